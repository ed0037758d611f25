#include <cyclamendrift/session_proxy/directory_reader.h>

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

using namespace cyclamendrift;

namespace {

/// Values are "service", "! reason" or "!! unexpected error"; keys are names of upstreams.
class PlainFormat final : public PlatformFormat {
public:
    [[nodiscard]] std::string operatorPrefix() const override { return {}; }
    [[nodiscard]] std::string configurationKey() const override { return {}; }
    [[nodiscard]] std::string evacuationPrefix() const override { return {}; }
    [[nodiscard]] std::string upstreamPrefix() const override { return {}; }
    [[nodiscard]] RouteTable readRoutes(std::string_view) const override { return {}; }
    [[nodiscard]] EvacuationRequest readEvacuation(std::string_view, std::string_view) const override
    {
        return {};
    }
    [[nodiscard]] UpstreamEntry readUpstream(std::string_view key, std::string_view value) const override
    {
        if (value.starts_with("!! "))
            throw std::runtime_error { std::string { value.substr(3) } };
        if (value.starts_with("! "))
            throw FormatError { std::string { value.substr(2) } };
        return { .name = UpstreamName { std::string { key } },
            .service = ServiceName { std::string { value } } };
    }
};

std::vector<StoreEntry> entriesFrom(std::vector<std::pair<std::string, std::string>> texts)
{
    std::vector<StoreEntry> entries;
    for (auto& [key, value] : texts)
        entries.push_back({ .key = std::move(key), .value = std::move(value) });
    return entries;
}

} // namespace

TEST_SUITE("reading of the directory")
{
    const PlainFormat format;

    TEST_CASE("an entry that cannot be read is set aside and the others hold")
    {
        // Guards against an entry of another writer that hides the upstreams.
        DirectoryReader reader { format };
        const auto entries = entriesFrom({ { "i-1", "register" }, { "i-2", "! no address" },
            { "i-3", "!! not expected" }, { "i-4", "register" } });
        const auto reading = reader.read(entries);
        REQUIRE(reading.upstreams.size() == 2);
        CHECK(reading.upstreams.back().name == UpstreamName { "i-4" });
        REQUIRE(reading.setAside.size() == 2);
        CHECK(reading.setAside.front().key == "i-2");
        CHECK(reading.setAside.front().reason == "no address");
        CHECK(reading.setAside.back().reason == "not expected");
    }

    TEST_CASE("an entry that stays unusable is reported once, and again for another reason")
    {
        // Guards against a log line for each heartbeat of another writer.
        DirectoryReader reader { format };
        const auto reported = [&reader](const std::string& value) {
            return reader.read(entriesFrom({ { "i-2", value } })).setAside.size();
        };
        CHECK(reported("! no address") == 1);
        CHECK(reported("! no address") == 0);
        CHECK(reported("! no port") == 1);
        CHECK(reported("register") == 0);
        CHECK(reported("! no port") == 1);
        CHECK(reader.setAsideTotal() == 3);
    }

    TEST_CASE("an upstream of a service that no configuration names is set aside")
    {
        // Guards against a group that VMs try to lead although no route uses it.
        DirectoryReader reader { format };
        const auto entries = entriesFrom({ { "i-1", "register" }, { "i-2", "orders" } });
        CHECK(reader.read(entries).upstreams.size() == 2);
        RouteTable routes;
        routes.connectionCaps[ServiceName { "register" }] = 12;
        reader.addServices(routes);
        const auto reading = reader.read(entries);
        REQUIRE(reading.upstreams.size() == 1);
        CHECK(reading.upstreams.front().name == UpstreamName { "i-1" });
        REQUIRE(reading.setAside.size() == 1);
        CHECK(reading.setAside.front().key == "i-2");
    }

    TEST_CASE("a service stays accepted when a later configuration no longer names it")
    {
        // Guards against transactions that lose their upstream when its service is removed.
        DirectoryReader reader { format };
        RouteTable routes;
        routes.routes["beds"] = { .service = ServiceName { "register" } };
        reader.addServices(routes);
        routes.routes["beds"] = { .service = ServiceName { "orders" } };
        reader.addServices(routes);
        const auto entries = entriesFrom({ { "i-1", "register" }, { "i-2", "orders" } });
        CHECK(reader.read(entries).upstreams.size() == 2);
    }
}
