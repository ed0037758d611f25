#include <cyclamendrift/settings/settings.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <sstream>

using namespace cyclamendrift;

namespace {

constexpr auto least = R"([vm]
name = "a"
availability_zone = "z"
[operators]
secret = "0123456789abcdef"
[siblings]
secret = "0123456789abcdef"
[platform]
store_url = "http://127.0.0.1:1"
vm_list_url = "http://127.0.0.1:2"
[upstreams]
user = "u"
)";

std::vector<std::string> problemsOf(const std::string& text)
{
    try {
        static_cast<void>(parseSettings(text, "f"));
        return {};
    } catch (const SettingsError& error) {
        std::vector<std::string> lines;
        for (const auto& problem : error.problems())
            lines.push_back(problem.text());
        return lines;
    }
}

bool has(const std::vector<std::string>& lines, std::string_view part)
{
    return std::any_of(lines.begin(), lines.end(),
        [part](const std::string& line) { return line.find(part) != std::string::npos; });
}

} // namespace

TEST_SUITE("settings")
{
    TEST_CASE("the example file is right and shows the defaults")
    {
        const auto settings = readSettings(EXAMPLES_DIRECTORY "/settings.toml");
        CHECK(settings.vm.name.view() == "palermo-1");
        const CallerSettings defaults;
        CHECK(settings.callers.maxConnections == defaults.maxConnections);
        CHECK(settings.callers.maxBodyBytes == defaults.maxBodyBytes);
        CHECK(settings.callers.readTimeout == defaults.readTimeout);
        CHECK(settings.callers.requestTimeout == defaults.requestTimeout);
        CHECK(settings.drainTimeout == Settings {}.drainTimeout);
        CHECK(settings.upstreams.deadAfter == UpstreamSettings {}.deadAfter);
    }

    TEST_CASE("what is required is enough")
    {
        CHECK(problemsOf(least).empty());
        const auto lines = problemsOf("");
        for (const auto* key : { "vm.name", "vm.availability_zone", "operators.secret", "siblings.secret",
                 "platform.store_url", "platform.vm_list_url", "upstreams.user" })
            CHECK_MESSAGE(has(lines, std::string { key } + " is required"), key);
    }

    // An operator misspells keys and mistypes values. One start must show all of it, with the place of each.
    TEST_CASE("every problem is reported at once with its place")
    {
        const auto lines = problemsOf(std::string { least } + R"([callers]
port = 70000
max_conections = 5
address = "localhost"
request_timeout_ms = "5"
[log]
level = "loud"
[tracing]
)");
        CHECK(lines.size() == 6);
        CHECK(has(lines, "f:14:8: callers.port must be a whole number from 0 to 65535"));
        CHECK(has(lines, "f:15:1: callers.max_conections is not known"));
        CHECK(has(lines, "f:16:11: callers.address must be an IP number"));
        CHECK(has(lines, "f:17:22: callers.request_timeout_ms must be a whole number"));
        CHECK(has(lines, R"(f:19:9: log.level must be one of "debug", "info", "warn", "error")"));
        CHECK(has(lines, "there is no section tracing"));
    }

    TEST_CASE("no TOML, an empty secret, an address that siblings can't reach")
    {
        CHECK(has(problemsOf("[vm"), "f:1:"));
        CHECK(has(problemsOf("[operators]\nsecret = \"short\"\n"), "operators.secret must have at least 16"));
        CHECK(has(problemsOf("[siblings]\naddress = \"0.0.0.0\"\n"), "siblings.address must be the address"));
        CHECK(has(problemsOf("vm = 3\n"), "vm must be a section"));
        CHECK(has(problemsOf("[platform]\nstore_url = \"ftp://x\"\n"), "platform.store_url must begin with"));
    }
}
