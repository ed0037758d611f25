#include "../coroutine.h"
#include "../silent_peer.h"
#include "line_upstreams.h"

#include <platform/leadership_client.h>

#include <asio/error.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cstdint>
#include <string>

using namespace cyclamendrift;
using platform::LeadershipClient;

namespace {

UpstreamEntry entryOf(const std::string& id, std::uint16_t port)
{
    return {
        .name = UpstreamName { id }, .service = ServiceName { "register" }, .host = "127.0.0.1", .port = port
    };
}

} // namespace

TEST_SUITE("orders to upstreams")
{
    // Guards against a VM that resumes after a suspension and ends another VM's pause of a replica.
    TEST_CASE("an order whose time limit has passed when the connection is open is not sent")
    {
        asio::io_context context;
        LineUpstreams upstreams { context, "register", 2 };
        auto& replica = upstreams.node(1);
        replica.held = 2;
        Instant now {};
        const auto suspendedAfterEachLook = [&now] { return now += std::chrono::hours { 1 }; };
        LeadershipClient client { context, { .clock = suspendedAfterEachLook } };
        const auto status
            = runCoroutine(context, client.order(entryOf(replica.id, replica.port), ResumeReplication {}));
        CHECK_FALSE(status.has_value());
        context.poll();
        CHECK(replica.held == 2);
    }

    // Guards against an abandoned order that arrives after a partition and after later orders.
    TEST_CASE("an abandoned order resets its connection")
    {
        asio::io_context context;
        SilentPeer upstream { context, "READY I 1.100\r\n" };
        LeadershipClient client { context, {} };
        const auto status
            = runCoroutine(context, client.order(entryOf("i-1", upstream.port()), ResumeReplication {}));
        CHECK_FALSE(status.has_value());
        CHECK(upstream.awaitEnd() == asio::error::connection_reset);
        CHECK(upstream.received().find("RESUME") != std::string::npos);
    }

    // Guards against upstreams that see every control connection reset.
    TEST_CASE("an answered order closes its connection")
    {
        asio::io_context context;
        SilentPeer upstream { context,
            "READY I 1.100\r\nROW replica 1 1.100 0 0 0 1\r\nDONE -\r\nREADY I 1.100\r\n" };
        LeadershipClient client { context, {} };
        const auto status
            = runCoroutine(context, client.order(entryOf("i-1", upstream.port()), ReportStatus {}));
        CHECK(status.has_value());
        CHECK(upstream.awaitEnd() == asio::error::eof);
    }
}

TEST_SUITE("promotions")
{
    // Guards against an abandoned promotion that arrives after a partition and makes a second primary.
    TEST_CASE("an abandoned promotion resets its connection")
    {
        asio::io_context context;
        SilentPeer platform { context };
        LeadershipClient client { context,
            { .promotionAddress = platform.address(),
                .promotionTimeout = std::chrono::milliseconds { 200 } } };
        const auto answer = runCoroutine(context,
            client.promote(ServiceName { "register" }, UpstreamName { "i-1" }, VmName { "vm-1" }, 7));
        CHECK(answer == LeadershipPort::PromotionAnswer::NoAnswer);
        CHECK(platform.awaitEnd() == asio::error::connection_reset);
        CHECK(platform.received().find("i-1") != std::string::npos);
    }

    // Guards against a VM that resumes after a suspension and promotes a replica without its lease.
    TEST_CASE("a promotion whose time limit has passed is not sent")
    {
        asio::io_context context;
        SilentPeer platform { context };
        Instant now {};
        const auto suspendedAfterEachLook = [&now] { return now += std::chrono::hours { 1 }; };
        LeadershipClient client { context,
            { .promotionAddress = platform.address(), .clock = suspendedAfterEachLook } };
        const auto answer = runCoroutine(context,
            client.promote(ServiceName { "register" }, UpstreamName { "i-1" }, VmName { "vm-1" }, 7));
        CHECK(answer == LeadershipPort::PromotionAnswer::NoAnswer);
        CHECK(platform.awaitEnd() == asio::error::connection_reset);
        CHECK(platform.received().empty());
    }
}
