#include <cyclamendrift/settings/session_settings.h>

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const std::string whole = R"([vm]
name = "palermo-1"
availability_zone = "palermo"
[callers]
listen = "10.1.0.26:8465"
[readiness]
listen = "10.1.0.26:8460"
path = "/ready"
[metrics]
listen = "10.1.0.26:9464"
[siblings]
listen = "10.1.0.26:7560"
[store]
address = "10.200.1.7:8466"
[promotion]
address = "10.200.0.2:8466"
[shutdown]
grace_ms = 6000
[log]
level = "warn"
)";

std::string problemsOf(const std::string& text)
{
    try {
        static_cast<void>(parseSessionSettings(text, "node.toml"));
    } catch (const SettingsError& error) {
        std::string all;
        for (const auto& problem : error.problems())
            all += problem.text() + '\n';
        return all;
    }
    return {};
}

} // namespace

TEST_SUITE("settings of the session proxy")
{
    TEST_CASE("every field is read")
    {
        const auto settings = parseSessionSettings(whole, "node.toml");
        CHECK(settings.vm.name == VmName { "palermo-1" });
        CHECK(settings.callers.address == "10.1.0.26");
        CHECK(settings.callers.port == 8465);
        CHECK(settings.readinessPath == "/ready");
        CHECK(settings.siblings.port == 7560);
        CHECK(settings.storeAddress == "10.200.1.7:8466");
        CHECK(settings.grace == 6s);
        CHECK(settings.log.level == LogLevel::Warn);
        CHECK(settings.cores == 1);
    }

    TEST_CASE("a VM's processor is the share of each core times the cores")
    {
        const auto settings
            = parseSessionSettings(whole + "[processor]\nshare = 0.12\ncores = 2\n", "node.toml");
        CHECK(settings.cores == doctest::Approx(0.24));
        CHECK(problemsOf(whole + "[processor]\nshare = 1.5\n").find("up to 1") != std::string::npos);
    }

    TEST_CASE("a VM's link is given in megabits and must bear something")
    {
        const auto settings
            = parseSessionSettings(whole + "[link]\nmegabits_per_second = 20.0\n", "node.toml");
        CHECK(settings.linkBytesPerSecond == doctest::Approx(2500000));
        CHECK(problemsOf(whole + "[link]\nmegabits_per_second = 0\n").find("megabits_per_second")
            != std::string::npos);
    }

    TEST_CASE("placement by zone is automatic unless the file says otherwise")
    {
        CHECK(parseSessionSettings(whole, "node.toml").placementByZone == PlacementByZone::Auto);
        const auto modeOf = [](const std::string& mode) {
            return parseSessionSettings(whole + "[placement]\nby_zone = \"" + mode + "\"\n", "node.toml")
                .placementByZone;
        };
        CHECK(modeOf("auto") == PlacementByZone::Auto);
        CHECK(modeOf("always") == PlacementByZone::Always);
        CHECK(modeOf("never") == PlacementByZone::Never);
        CHECK(
            problemsOf(whole + "[placement]\nby_zone = \"perhaps\"\n").find("by_zone") != std::string::npos);
    }

    TEST_CASE("the limits of an unconfirmed configuration have defaults and are checked")
    {
        // Guards against a VM that refuses operations between two confirmations, and against a platform
        // without these bounds whose VMs do not start.
        const auto defaults = parseSessionSettings(whole, "node.toml");
        CHECK(defaults.configurationApplyLimit == 3s);
        CHECK(defaults.configurationOutageExtension == 12s);
        const auto given = parseSessionSettings(
            whole + "[configuration]\napply_limit_ms = 5000\noutage_extension_ms = 15000\n", "node.toml");
        CHECK(given.configurationApplyLimit == 5s);
        CHECK(given.configurationOutageExtension == 15s);
        CHECK(problemsOf(whole + "[configuration]\napply_limit_ms = 900\n").find("at least 1000")
            != std::string::npos);
        CHECK(problemsOf(whole + "[configuration]\noutage_extension_ms = 0\n").find("outage_extension_ms")
            != std::string::npos);
    }

    TEST_CASE("each mistake is told with its line and column, all at once")
    {
        auto text = whole;
        text.replace(text.find("10.1.0.26:8465"), 14, "10.1.0.26:70000");
        text.replace(text.find("grace_ms"), 8, "grace_s ");
        const auto problems = problemsOf(text);
        CHECK(problems.find("node.toml:5:10") != std::string::npos);
        CHECK(problems.find("an IP number and a port") != std::string::npos);
        CHECK(problems.find("grace_s") != std::string::npos);
        CHECK(problemsOf("[vm").find("this is not TOML") != std::string::npos);
        CHECK(problemsOf("").find("store") != std::string::npos);
    }

    TEST_CASE("the order of admission is read and is off unless set")
    {
        // Guards against a VM that orders requests by priority while the operators did not ask for it.
        CHECK_FALSE(parseSessionSettings(whole, "node.toml").urgentFirst);
        CHECK(parseSessionSettings(whole + "[admission]\nurgent_first = true\n", "node.toml").urgentFirst);
        CHECK(problemsOf(whole + "[admission]\nurgent_first = 1\n").find("must be true or false")
            != std::string::npos);
    }
}
