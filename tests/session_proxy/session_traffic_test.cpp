#include <cyclamendrift/session_proxy/session_traffic.h>

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/pooling/route_table.h>
#include <cyclamendrift/runtime/boot_clock.h>

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <memory>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Accepts every caller but one, for which it fails.
class FailingCallers final : public CallerPort {
public:
    explicit FailingCallers(CallerId failsFor)
        : failsFor(failsFor)
    {
    }

    void listen(CallerEvents& received) override { this->events = &received; }
    void accept(CallerId caller) override
    {
        if (caller == this->failsFor)
            throw Error { "the connection cannot be used" };
        this->accepted.push_back(caller);
    }
    void answer(CallerId, const Reply&) override { }
    void close(CallerId, const std::optional<StatementFailure>&) override { }
    void stopListening() override { }
    [[nodiscard]] bool isSending() const override { return this->sending; }

    CallerEvents* events = nullptr;
    bool sending = false;
    std::vector<CallerId> accepted;

private:
    CallerId failsFor;
};

/// Opens no connection.
class FailingUpstreams final : public UpstreamPort {
public:
    void setEvents(UpstreamEvents&) override { }
    void open(ConnectionId, const UpstreamEntry&, const TeamName&) override
    {
        ++this->opened;
        throw Error { "the address cannot be used" };
    }
    void send(ConnectionId, const UpstreamStatement&) override { }
    void close(ConnectionId) override { }

    std::size_t opened = 0;
};

/// Session traffic whose ports fail, in a context that the test runs.
class FailingTraffic {
public:
    explicit FailingTraffic(CallerId failsFor)
        : callers(failsFor)
        , traffic({ .context = context,
              .vm = VmName { "vm-1" },
              .zone = ZoneName { "palermo" },
              .callers = callers,
              .upstreams = upstreams,
              .onDrained = [this] { this->drained = true; },
              .onServiceUsed = [](const ServiceName&) {} })
    {
        auto routes = std::make_shared<RouteTable>();
        routes->version = 1;
        routes->routes["beds"] = { .service = service, .statementTimeout = 1s, .targetLatency = 1s };
        routes->keys["k1"] = TeamName { "hospitals" };
        routes->limits[TeamName { "hospitals" }] = { .ratePerSecond = 1000, .burst = 1000 };
        routes->connectionCaps[service] = 12;
        this->traffic.setConfigurationValidUntil(Instant::max());
        this->traffic.setRoutes(std::move(routes));
        this->traffic.setPlace({ .vms = 1 });
        this->traffic.setShares({ { TeamName { "hospitals" }, { .ratePerSecond = 1000, .burst = 1000 } } });
        this->traffic.listen();
        this->context.run();
    }

    void startSession(CallerId caller)
    {
        this->callers.events->connected(caller);
        this->callers.events->started(caller, { .database = "beds", .key = "k1" });
    }

    ServiceName service { "register" };
    asio::io_context context { 1 };
    FailingCallers callers;
    FailingUpstreams upstreams;
    bool drained = false;
    SessionTraffic traffic;
};

} // namespace

TEST_SUITE("traffic of a session proxy")
{
    TEST_CASE("an action that fails does not keep later ones from being performed")
    {
        // Guards against a process that performs no action any more and still reports that it is ready.
        FailingTraffic failing { CallerId { 1 } };
        CHECK_NOTHROW(failing.startSession(CallerId { 1 }));
        failing.startSession(CallerId { 2 });
        CHECK(failing.callers.accepted == std::vector { CallerId { 2 } });
    }

    TEST_CASE("a connection that cannot be opened counts as lost")
    {
        // Guards against a statement that waits until its time limit for a connection which nobody opens.
        FailingTraffic failing { CallerId { 9 } };
        failing.traffic.setDirectory({ { .name = UpstreamName { "i-1" },
            .service = failing.service,
            .host = "127.1",
            .port = 9,
            .zone = ZoneName { "palermo" },
            .maxConcurrency = 3,
            .claimsPrimary = true } });
        failing.traffic.setLeader(failing.service,
            { .phase = LeaderView::Phase::Settled,
                .primary = UpstreamName { "i-1" },
                .term = Term { 1 },
                .expiresAt = bootNow() + 10s });
        failing.context.restart();
        failing.context.run();
        failing.startSession(CallerId { 1 });
        CHECK_NOTHROW(failing.callers.events->statementReceived(
            CallerId { 1 }, { .id = "1", .text = "READ bed-1", .statement = ReadItem {} }));
        CHECK(failing.upstreams.opened > 0);
        std::size_t connections = 1;
        failing.traffic.report(
            [&connections](const TrafficReport& report) { connections = report.connections; });
        failing.context.restart();
        failing.context.run();
        CHECK(connections == 0);
    }

    TEST_CASE("a stop waits for replies that are still being sent, and not beyond its time")
    {
        // Guards against answers that are cut off by a planned stop although there is time to send them.
        for (const bool readsInTime : { true, false }) {
            CAPTURE(readsInTime);
            FailingTraffic stopping { CallerId { 9 } };
            stopping.callers.sending = true;
            stopping.traffic.start();
            const auto now = bootNow();
            stopping.traffic.drain(now, now, now + 400ms);
            stopping.context.restart();
            stopping.context.run_for(150ms);
            CHECK_FALSE(stopping.drained);
            stopping.callers.sending = !readsInTime;
            stopping.context.run_for(100ms);
            CHECK(stopping.drained == readsInTime);
            stopping.context.run_for(400ms);
            CHECK(stopping.drained);
        }
    }
}
