#include "settings_reader.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::int64_t millisecondsOfDay = std::int64_t { 24 } * 3600 * 1000;

} // namespace

SettingsReader::SettingsReader(const toml::table& root, std::string file)
    : root(root)
    , file(std::move(file))
{
}

void SettingsReader::enter(std::string_view section)
{
    this->sections.push_back({ .name = std::string { section } });
    const auto* node = this->root.get(section);
    this->table = node == nullptr ? nullptr : node->as_table();
    if (node != nullptr && this->table == nullptr)
        this->reportAt(node->source(),
            std::string { section } + " must be a section, as in [" + std::string { section } + ']');
}

void SettingsReader::text(std::string_view key, std::string& value, std::size_t leastLength)
{
    if (const auto* node = this->find(key)) {
        if (const auto* text = node->as_string())
            value = text->get();
        else
            this->report(key, "must be a text in quotes");
    }
    if (value.size() >= leastLength)
        return;
    if (value.empty())
        this->report(key, "is required");
    else
        this->report(key, "must have at least " + std::to_string(leastLength) + " characters");
}

void SettingsReader::word(
    std::string_view key, std::string& value, std::initializer_list<std::string_view> words)
{
    this->text(key, value);
    if (std::find(words.begin(), words.end(), value) != words.end())
        return;
    std::string list;
    for (const auto word : words) {
        if (!list.empty())
            list += ", ";
        list += '"' + std::string { word } + '"';
    }
    this->report(key, "must be one of " + list);
}

void SettingsReader::positive(std::string_view key, double& value, double most)
{
    const auto* node = this->find(key);
    if (node == nullptr)
        return;
    const auto read = node->value<double>();
    if (read && *read > 0 && *read <= most)
        value = *read;
    else
        this->report(key, "must be a number above 0 and up to " + std::to_string(std::lround(most)));
}

void SettingsReader::flag(std::string_view key, bool& value)
{
    const auto* node = this->find(key);
    if (node == nullptr)
        return;
    if (const auto read = node->value_exact<bool>())
        value = *read;
    else
        this->reportAt(node->source(), this->qualified(key) + " must be true or false");
}

void SettingsReader::milliseconds(std::string_view key, Duration& value)
{
    if (const auto read = this->numberAt(key, { 1, millisecondsOfDay }))
        value = std::chrono::milliseconds { *read };
}

void SettingsReader::report(std::string_view key, std::string message)
{
    toml::source_region place;
    if (this->table != nullptr)
        place = this->table->source();
    if (const auto* node = this->find(key))
        place = node->source();
    this->reportAt(place, this->qualified(key) + ' ' + std::move(message));
}

void SettingsReader::finish()
{
    this->reportUnknownKeys();
    if (this->problems.empty())
        return;
    std::stable_sort(this->problems.begin(), this->problems.end(), [](const auto& left, const auto& right) {
        return std::pair { left.line, left.column } < std::pair { right.line, right.column };
    });
    throw SettingsError(std::move(this->problems));
}

const toml::node* SettingsReader::find(std::string_view key)
{
    auto& keys = this->sections.back().keys;
    if (std::find(keys.begin(), keys.end(), key) == keys.end())
        keys.emplace_back(key);
    return this->table == nullptr ? nullptr : this->table->get(key);
}

std::optional<std::int64_t> SettingsReader::numberAt(std::string_view key, NumberRange range)
{
    const auto* node = this->find(key);
    if (node == nullptr)
        return std::nullopt;
    const auto* number = node->as_integer();
    if (number != nullptr && number->get() >= range.least && number->get() <= range.most)
        return number->get();
    this->report(key,
        "must be a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most));
    return std::nullopt;
}

std::string SettingsReader::qualified(std::string_view key) const
{
    return this->sections.back().name + '.' + std::string { key };
}

void SettingsReader::reportAt(const toml::source_region& place, std::string message)
{
    this->problems.push_back({ .file = this->file,
        .line = place.begin.line,
        .column = place.begin.column,
        .message = std::move(message) });
}

void SettingsReader::reportUnknownKeys()
{
    for (const auto& [name, node] : this->root) {
        const auto section = std::find_if(this->sections.begin(), this->sections.end(),
            [name = name.str()](const Section& candidate) { return candidate.name == name; });
        if (section == this->sections.end()) {
            this->reportAt(name.source(), "there is no section " + std::string { name.str() });
            continue;
        }
        const auto* table = node.as_table();
        if (table == nullptr)
            continue;
        for (const auto& [key, value] : *table) {
            const auto& known = section->keys;
            if (std::find(known.begin(), known.end(), key.str()) == known.end())
                this->reportAt(key.source(),
                    section->name + '.' + std::string { key.str() }
                        + " is not known; remove it or mend its spelling");
        }
    }
}

} // namespace cyclamendrift
