#include <cyclamendrift/pooling/session_engine.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const ServiceName service { "register" };
constexpr std::size_t teams = 40;

/// A VM with a caller of each team and one upstream, which refuses every connection.
class RefusedVm {
public:
    RefusedVm()
    {
        RouteTable routes;
        routes.version = 1;
        routes.routes["beds"] = {
            .service = service, .freshness = PrimaryRoute {}, .statementTimeout = 2s, .targetLatency = 2s
        };
        for (std::size_t team = 0; team < teams; ++team)
            routes.keys["key-" + std::to_string(team)] = TeamName { "team-" + std::to_string(team) };
        routes.connectionCaps[service] = 456;
        this->engine.setRoutes(std::make_shared<RouteTable>(routes), this->now);
        this->engine.setPlace({ .vms = 1, .rank = 0 }, this->now);
        this->engine.setDirectory({ { .name = UpstreamName { "primary" },
                                      .service = service,
                                      .zone = ZoneName { "palermo" },
                                      .maxConcurrency = 4 } },
            this->now);
        this->renewView();
    }

    /// One statement of each team arrives, and time passes.
    void run(Duration duration)
    {
        for (std::size_t team = 0; team < teams; ++team) {
            const CallerId caller { team + 1 };
            this->engine.callerConnected(caller, this->now);
            this->engine.callerStartedSession(
                caller, { .database = "beds", .key = "key-" + std::to_string(team) }, this->now);
            this->engine.callerSentStatement(caller,
                { .id = "id-" + std::to_string(team), .text = "READ 1", .statement = ReadItem {} },
                this->now);
            this->perform();
        }
        for (const auto end = this->now + duration; this->now < end;) {
            this->now += 20ms;
            this->renewView();
            this->engine.tick(this->now);
            this->perform();
        }
    }

    std::size_t attempts = 0;
    std::size_t trackRequests = 0;

private:
    void renewView()
    {
        this->engine.setLeader(service,
            { .phase = LeaderView::Phase::Settled,
                .primary = UpstreamName { "primary" },
                .term = Term { 1 },
                .expiresAt = this->now + 1s },
            this->now);
    }

    void perform()
    {
        for (auto actions = this->engine.takeActions(); !actions.empty();
             actions = this->engine.takeActions()) {
            for (const auto& action : actions) {
                this->trackRequests += std::holds_alternative<TrackService>(action) ? 1 : 0;
                const auto* open = std::get_if<OpenConnection>(&action);
                if (open == nullptr)
                    continue;
                ++this->attempts;
                this->engine.connectionRefused(
                    open->connection, StatementError::TooManyConnections, this->now);
            }
        }
    }

    SessionEngine engine { { .zone = ZoneName { "palermo" } } };
    Instant now { 100s };
};

} // namespace

TEST_SUITE("upstream without connections left")
{
    TEST_CASE("a VM pauses as a whole at an upstream that has no connection left")
    {
        // Guards against waiting statements that each open again and again: at 299 VMs they made 1.26 million
        // attempts in 6.4 s, and upstreams spent their time on refusals.
        RefusedVm vm;
        vm.run(1s);
        CHECK(vm.attempts >= 2);
        CHECK(vm.attempts <= 8);
    }

    TEST_CASE("a VM requests the view of a service once for many statements, and again later")
    {
        // Guards against a request to the control thread for each statement, and against a service that is in
        // use and no longer tracked.
        RefusedVm vm;
        vm.run(1s);
        CHECK(vm.trackRequests == 1);
        vm.run(10s);
        vm.run(1s);
        CHECK(vm.trackRequests == 2);
    }
}
