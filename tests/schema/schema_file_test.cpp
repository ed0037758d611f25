#include <cyclamendrift/schema/key_hash.h>
#include <cyclamendrift/schema/schema_difference.h>
#include <cyclamendrift/schema/schema_file.h>
#include <cyclamendrift/schema/schema_validation.h>

#include <property.h>

#include <algorithm>

using namespace cyclamendrift;

namespace {

const std::string validFile = R"(
services {
  name: "register"
  databases {
    name: "beds"
    connection_cap: 20
    slots { name: "a" address: "10.0.1.1" port: 5432 availability_zone: "palermo" }
    slots { name: "b" address: "10.0.2.1" port: 5432 availability_zone: "catania" }
  }
}
teams { name: "hospitals" rate_per_second: 50 burst: 100 services: "register" }
keys { id: "k1" team: "hospitals" secret_hash: ")"
    + hashSecret("secret") + "\" }\n";

bool reports(const SchemaFile& file, const std::string& line)
{
    return std::any_of(file.problems.begin(), file.problems.end(),
        [&line](const SchemaProblem& problem) { return problem.text().starts_with(line); });
}

} // namespace

TEST_SUITE("schema file")
{
    TEST_CASE("a valid file is read whole and survives being written out")
    {
        const auto file = parseSchemaFile(validFile);
        CHECK_MESSAGE(file.problems.empty(), joinProblems(file.problems));
        const auto again = parseSchemaFile(formatSchema(file.schema));
        CHECK(again.problems.empty());
        CHECK(schemaDifference(file.schema, again.schema).empty());
    }

    // An operator mistypes several things in one file. A validator that stopped at the first would send them
    // round once for each, and one that named no place would leave them searching.
    TEST_CASE("every problem is reported at once with its line and column")
    {
        const auto file = parseSchemaFile(
            "services {\n"
            "  name: \"reg/ister\"\n"
            "  databases { name: \"beds\" connection_cap: 3\n"
            "    slots { name: \"a\" address: \"h\" port: 70000 availability_zone: \"z\" }\n"
            "    slots { name: \"a\" address: \"h\" port: 1 availability_zone: \"z\" }\n"
            "  }\n"
            "}\n"
            "teams { name: \"t\" rate_per_second: -1 burst: 0 weight: 5000\n"
            "  services: \"nowhere\" }\n"
            "keys { id: \"k\" team: \"nobody\" secret_hash: \"plain text\" }\n");
        CHECK(reports(file, "2:3: services[0].name: "));
        CHECK(reports(file, "3:28: services[0].databases[0].connection_cap: "));
        CHECK(reports(file, "4:36: services[0].databases[0].slots[0].port: "));
        CHECK(reports(file, "5:13: services[0].databases[0].slots[1].name: "));
        CHECK(reports(file, "8:19: teams[0].rate_per_second: "));
        CHECK(reports(file, "8:39: teams[0].burst: "));
        CHECK(reports(file, "8:48: teams[0].weight: "));
        CHECK(reports(file, "9:3: teams[0].services[0]: "));
        CHECK(reports(file, "10:16: keys[0].team: "));
        CHECK(reports(file, "10:31: keys[0].secret_hash: "));
        CHECK(file.problems.size() == 10);
    }

    TEST_CASE("an error of syntax has its place")
    {
        const auto file = parseSchemaFile("teams {\n  nam: \"t\"\n}\n");
        CHECK(reports(file, "2:"));
    }

    TEST_CASE("one secret for two keys is refused")
    {
        auto file = parseSchemaFile(validFile);
        auto& twin = *file.schema.add_keys();
        twin = file.schema.keys(0);
        twin.set_id("k2");
        const auto problems = validateSchema(file.schema);
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().path == "keys[1].secret_hash");
    }

    TEST_CASE("differences name what changed")
    {
        const auto before = parseSchemaFile(validFile).schema;
        auto after = before;
        after.mutable_teams(0)->set_burst(200);
        after.mutable_keys()->Clear();
        const std::vector<std::string> expected { "team hospitals: burst 100 -> 200", "key k1: removed" };
        CHECK(schemaDifference(before, after) == expected);
    }
}
