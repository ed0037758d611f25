#include <cyclamendrift/schema/schema_file.h>

#include <cyclamendrift/schema/schema_validation.h>

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/text_format.h>

#include <charconv>

namespace cyclamendrift {

namespace {

using google::protobuf::TextFormat;

class ProblemCollector final : public google::protobuf::io::ErrorCollector {
public:
    explicit ProblemCollector(std::vector<SchemaProblem>& problems)
        : problems(problems)
    {
    }

    void AddError(int line, int column, const std::string& message) override
    {
        this->problems.push_back({ .line = line + 1, .column = column + 1, .message = message });
    }

private:
    std::vector<SchemaProblem>& problems;
};

struct PathStep {
    std::string_view field;
    int index = -1;
};

/// Takes the first step of a path such as "teams[2].burst" off its front.
PathStep takeStep(std::string_view& path)
{
    const auto dot = path.find('.');
    auto step = path.substr(0, dot);
    path = dot == std::string_view::npos ? std::string_view {} : path.substr(dot + 1);
    const auto bracket = step.find('[');
    if (bracket == std::string_view::npos)
        return { .field = step };
    PathStep result { .field = step.substr(0, bracket) };
    std::from_chars(step.data() + bracket + 1, step.data() + step.size() - 1, result.index);
    return result;
}

/// Finds the place of a field. A field that the file leaves out has no place of its own; the nearest message
/// around it stands for it.
void locate(const TextFormat::ParseInfoTree& root, SchemaProblem& problem)
{
    const auto* tree = &root;
    const auto* type = api::Schema::descriptor();
    std::string_view rest = problem.path;
    while (tree && type && !rest.empty()) {
        const auto step = takeStep(rest);
        const auto* field = type->FindFieldByName(std::string { step.field });
        if (!field)
            return;
        const auto place = tree->GetLocation(field, step.index);
        if (place.line >= 0) {
            problem.line = place.line + 1;
            problem.column = place.column + 1;
        }
        type = field->message_type();
        tree = type && step.index >= 0 ? tree->GetTreeForNested(field, step.index) : nullptr;
    }
}

} // namespace

SchemaFile parseSchemaFile(std::string_view text)
{
    SchemaFile file;
    ProblemCollector collector { file.problems };
    TextFormat::ParseInfoTree places;
    TextFormat::Parser parser;
    parser.RecordErrorsTo(&collector);
    parser.WriteLocationsTo(&places);
    if (!parser.ParseFromString(std::string { text }, &file.schema))
        return file;
    auto problems = validateSchema(file.schema);
    for (auto& problem : problems)
        locate(places, problem);
    file.problems.insert(file.problems.end(), problems.begin(), problems.end());
    return file;
}

std::string formatSchema(const api::Schema& schema)
{
    std::string text;
    TextFormat::PrintToString(schema, &text);
    return text;
}

} // namespace cyclamendrift
