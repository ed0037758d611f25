#include <platform/leadership_client.h>
#include <platform/upstream_connector.h>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/use_future.hpp>

#include <doctest/doctest.h>

#include <vector>

using namespace cyclamendrift;

namespace {

UpstreamEntry withoutUsableAddress()
{
    return {
        .name = UpstreamName { "i-other" }, .service = ServiceName { "register" }, .host = "127.1", .port = 9
    };
}

/// Records which connections were lost.
class LostConnections final : public UpstreamEvents {
public:
    void opened(ConnectionId, std::optional<Progress>) override { }
    void refused(ConnectionId, StatementError) override { }
    void lost(ConnectionId connection) override { this->connections.push_back(connection); }
    void replied(ConnectionId, Reply) override { }

    std::vector<ConnectionId> connections;
};

} // namespace

TEST_SUITE("upstreams without a usable address")
{
    TEST_CASE("a connection to an address that is no IP number is reported as lost")
    {
        // Guards against an address that ends the process.
        asio::io_context context { 1 };
        platform::UpstreamConnector connector { context };
        LostConnections events;
        connector.setEvents(events);
        connector.open(ConnectionId { 1 }, withoutUsableAddress(), TeamName { "hospitals" });
        connector.open(ConnectionId { 2 }, withoutUsableAddress(), TeamName { "hospitals" });
        CHECK(events.connections.empty());
        connector.close(ConnectionId { 2 });
        context.run();
        CHECK(events.connections == std::vector { ConnectionId { 1 } });
    }

    TEST_CASE("an order to an address that is no IP number has no answer")
    {
        // Guards against an address that ends the work on a group's primary.
        asio::io_context context { 1 };
        platform::LeadershipClient client { context, { .promotionAddress = "127.0.0.1:9" } };
        auto answer = asio::co_spawn(
            context, client.order(withoutUsableAddress(), ReportStatus {}), asio::use_future);
        context.run();
        CHECK_FALSE(answer.get());
    }
}
