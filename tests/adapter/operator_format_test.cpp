#include "unusable_entries.h"

#include <platform/operator_format.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace cyclamendrift::platform;
using namespace std::chrono_literals;

namespace {

const OperatorFormat format;

constexpr auto configuration = R"({"version":7,"routes":[
  {"name":"r","host":"beds","prefix":"/","kind":"bounded_staleness","timeoutMs":2000,"targetLatencyMs":600,"priority":2,
   "service":"register","maxAttempts":2,"maxStalenessMs":1500,"public":false},
  {"name":"q","host":"orders","kind":"something_new","timeoutMs":1000,"targetLatencyMs":200,"service":"register"}],
 "services":[{"name":"register","healthPath":"/health","maxConns":21,"protocol":"h1","tls":false,"syncReplicas":0}],
 "limits":{"maxHeaderBytes":16384,"txnIdleMs":3000},
 "tenants":[{"name":"a","apiKeys":["k1","k2"],"priority":1,"ratePerS":132.5,"burst":100}]})";

constexpr auto upstream
    = R"({"service":"register","address":"10.128.0.9:8080","zone":"palermo","version":"v1","slots":3,
 "state":"ready","coldLeftMs":0,"dbRole":"primary","seq":4,"born":1700000000123})";

} // namespace

TEST_SUITE("format of operators' and upstreams' entries")
{
    TEST_CASE("routes, keys, limits and connection caps are read from a configuration")
    {
        const auto table = format.readRoutes(configuration);
        CHECK(table.version == 7);
        const auto* beds = table.findRoute("beds");
        REQUIRE(beds != nullptr);
        CHECK(maxStalenessOf(beds->freshness) == 1500ms);
        CHECK(beds->statementTimeout == 2s);
        CHECK(beds->priority == 2);
        REQUIRE(table.findTeam("k2") != nullptr);
        CHECK(*table.findTeam("k2") == TeamName { "a" });
        CHECK(table.limits.at(TeamName { "a" }) == TeamLimit { 132.5, 100 });
        CHECK(table.connectionCaps.at(ServiceName { "register" }) == 21);
        CHECK(table.maxTransactionIdleTime == 3s);
        CHECK(table.coldStartRates.empty());
    }

    TEST_CASE("an unknown kind of route is treated as the strictest one")
    {
        const auto table = format.readRoutes(configuration);
        CHECK(std::holds_alternative<PrimaryRoute>(table.findRoute("orders")->freshness));
    }

    TEST_CASE("an unreadable configuration is rejected as a whole")
    {
        for (const auto* text : { "", "{", "[]", R"({"version":"seven","routes":[]})", R"({"routes":[]})",
                 R"({"version":1,"routes":[{"host":"beds"}]})" })
            CHECK_THROWS_AS(static_cast<void>(format.readRoutes(text)), FormatError);
    }

    TEST_CASE("an upstream's address, zone, role and start time are read from its entry")
    {
        const auto entry = format.readUpstream("servers/i-7f", upstream);
        CHECK(entry.name == UpstreamName { "i-7f" });
        CHECK(entry.host == "10.128.0.9");
        CHECK(entry.port == 8080);
        CHECK(entry.claimsPrimary);
        CHECK_FALSE(entry.draining);
        CHECK(entry.startedAtMs == 1700000000123);
    }

    TEST_CASE("a service's rate for cold upstreams and an upstream's time until it is warm are read")
    {
        const auto table = format.readRoutes(
            R"({"version":1,"routes":[],"services":[{"name":"register","coldStartS":4.0,"coldPerS":12.5}]})");
        CHECK(table.coldStartRates.at(ServiceName { "register" }) == 12.5);
        std::string entry { upstream };
        const std::string warm = "\"coldLeftMs\":0";
        entry.replace(entry.find(warm), warm.size(), "\"coldLeftMs\":2500");
        CHECK(format.readUpstream("servers/i-1", entry).coldFor == 2500ms);
        entry.replace(entry.find("2500"), 4, "9000000000000000000");
        CHECK(format.readUpstream("servers/i-1", entry).coldFor == 1h);
        entry.replace(entry.find("9000000000000000000"), 19, "-7");
        CHECK(format.readUpstream("servers/i-1", entry).coldFor == 0ms);
    }

    TEST_CASE("the availability zone of an evacuation is read from its key, whatever its value is")
    {
        // Guards against an evacuation that is ignored because of its body.
        const auto request = format.readEvacuation("op/evacuate/palermo", "{}");
        CHECK(request.zone == ZoneName { "palermo" });
        CHECK(request.wellFormed);
        for (const auto* text : { "", "[]", "7", "\xff" }) {
            const auto malformed = format.readEvacuation("op/evacuate/catania/1", text);
            CHECK(malformed.zone == ZoneName { "catania/1" });
            CHECK_FALSE(malformed.wellFormed);
        }
        CHECK(format.evacuationPrefix().starts_with(format.operatorPrefix()));
        CHECK(format.configurationKey().starts_with(format.operatorPrefix()));
    }

    TEST_CASE("an evacuation whose key names no availability zone is rejected")
    {
        // Guards against names that cannot be logged or sent to siblings.
        const std::vector<std::string> keys { "op/evacuate/", "op/evacuate/" + std::string(10000, 'z'),
            "op/evacuate/\xff\xfe" };
        for (const auto& key : keys)
            CHECK_THROWS_AS(static_cast<void>(format.readEvacuation(key, "{}")), FormatError);
    }

    TEST_CASE("foreign entries under the upstreams' prefix are rejected")
    {
        // Guards against a foreign entry that is taken for an upstream, and against one that hides all
        // others.
        for (const auto* text :
            { "", "\xff\xfe", "null", "{}", R"({"service":"s","address":"10.0.0.1:8","slots":3})",
                R"({"service":7,"address":"10.0.0.1:8","slots":3,"state":"ready"})",
                R"({"service":"s","address":"10.0.0.1","slots":3,"state":"ready"})",
                R"({"service":"s","address":"host:80","slots":3,"state":"ready"})",
                R"({"service":"s","address":"10.0.0.1:99999","slots":3,"state":"ready"})",
                R"({"service":"s","address":"10.0.0.1:80","slots":"three","state":"ready"})",
                R"({"service":"s","address":"10.0.0.1:80","slots":3,"state":"asleep"})" })
            CHECK_THROWS_AS(static_cast<void>(format.readUpstream("servers/i-1", text)), FormatError);
        CHECK_THROWS_AS(static_cast<void>(format.readUpstream("servers/", upstream)), FormatError);
    }

    TEST_CASE("an entry with a missing, mistyped or invalid field names no upstream")
    {
        // Guards against an entry of another writer that is taken for an upstream and ends the process.
        CHECK_NOTHROW(static_cast<void>(format.readUpstream("servers/i-1", upstream)));
        for (const auto& [key, value] : unusableEntries("register")) {
            CAPTURE(key);
            CAPTURE(value);
            CHECK_THROWS_AS(static_cast<void>(format.readUpstream(key, value)), FormatError);
        }
    }
}
