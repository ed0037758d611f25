#include <cyclamendrift/pooling/cold_start_limit.h>

#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

// The bounds that operators state: `rate` x overrun + slack statements in any second.
constexpr double overrun = 1.5;
constexpr double slack = 5;

struct Fleet {
    std::size_t vms = 1;
    double rate = 1;
    /// VMs that count one holder less than there are.
    std::size_t outdatedVms = 0;
};

/// Lets every VM send as much as it may for ten seconds; returns the highest number in any one second.
std::size_t highestInOneSecond(const Fleet& fleet)
{
    const Instant start { 1000s };
    std::vector<ColdStartLimit> limits(fleet.vms);
    for (std::size_t rank = 0; rank < fleet.vms; ++rank) {
        const bool outdated = rank < fleet.outdatedVms;
        limits[rank].setRate(
            fleet.rate, { .rank = rank, .holders = fleet.vms - (outdated ? 1 : 0) }, start + 20s);
    }
    std::deque<Instant> lastSecond;
    std::size_t highest = 0;
    for (auto now = start; now < start + 10s; now += 1ms) {
        while (!lastSecond.empty() && lastSecond.front() <= now - 1s)
            lastSecond.pop_front();
        for (auto& limit : limits) {
            if (!limit.mayStart(now))
                continue;
            limit.recordStart(now);
            lastSecond.push_back(now);
        }
        highest = std::max(highest, lastSecond.size());
    }
    return highest;
}

} // namespace

TEST_SUITE("cold upstreams")
{
    TEST_CASE("the whole fleet stays within the rate of a cold upstream at 6 and at 200 VMs")
    {
        // Guards against a share for each VM that adds up to a flood over a large fleet.
        for (const std::size_t vms : { 1, 6, 9, 83, 200 }) {
            for (const double rate : { 0.5, 1.0, 4.0, 10.0, 40.0, 200.0 }) {
                for (const std::size_t outdated : { std::size_t { 0 }, vms / 2 }) {
                    if (vms == 1 && outdated > 0)
                        continue;
                    CAPTURE(vms);
                    CAPTURE(rate);
                    CAPTURE(outdated);
                    const auto highest
                        = highestInOneSecond({ .vms = vms, .rate = rate, .outdatedVms = outdated });
                    CHECK(static_cast<double>(highest) <= rate * overrun + slack);
                    CHECK(highest > 0);
                }
            }
        }
    }

    TEST_CASE("a VM that does not know the other VMs sends nothing to a cold upstream")
    {
        ColdStartLimit limit;
        const Instant now { 1000s };
        limit.setRate(100, {}, now + 5s);
        CHECK(limit.isExcluded(now));
        CHECK_FALSE(limit.mayStart(now));
        CHECK(limit.mayStart(now + 5s));
    }

    TEST_CASE("a very low rate leaves a time between two statements that can be represented")
    {
        ColdStartLimit limit;
        const Instant now { 1000s };
        limit.setRate(1e-300, { .rank = 0, .holders = 1 }, now + 5s);
        REQUIRE(limit.mayStart(now));
        limit.recordStart(now);
        CHECK_FALSE(limit.mayStart(now + 4s));
        CHECK(limit.startAt() > now);
    }

    TEST_CASE("an upstream that reports to be warm has no limit any more")
    {
        // Guards against a limit that outlasts the time for which the upstream asked.
        PoolSimulation simulation { {} };
        simulation.routes->coldStartRates[ServiceName { "register" }] = 1;
        simulation.publishRoutes();
        simulation.upstream("primary").entry.coldFor = 60s;
        simulation.publishDirectory();
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.submit(caller, "c/2", "READ 1");
        CHECK(simulation.takeReplies(caller).empty());
        simulation.upstream("primary").entry.coldFor = 0s;
        simulation.publishDirectory();
        CHECK_FALSE(simulation.takeReply(caller).failure);
    }

    TEST_CASE("reads use a cold replica at its rate and the others without a limit")
    {
        // Guards against a replica that is flooded as soon as it registers after an evacuation.
        PoolSimulation simulation { { .replicas = 1, .freshness = BoundedStalenessRoute { 1500ms } } };
        simulation.routes->coldStartRates[ServiceName { "register" }] = 4;
        simulation.publishRoutes();
        const auto writer = simulation.connect();
        CHECK_FALSE(simulation.run(writer, "w/0", "WRITE 1 x").failure);
        simulation.upstream("replica-1").entry.coldFor = 5s;
        simulation.publishDirectory();
        std::vector<CallerId> readers;
        for (int index = 0; index < 6; ++index)
            readers.push_back(simulation.connect());
        for (int round = 0; round < 50; ++round) {
            simulation.holdUpstreamActions = true;
            for (const auto reader : readers)
                simulation.submit(reader, "r/" + std::to_string(round), "READ 1");
            simulation.holdUpstreamActions = false;
            simulation.deliverHeldActions();
            simulation.advanceTime(20ms);
        }
        CHECK(simulation.executionsAt("replica-1") > 0);
        CHECK(simulation.executionsAt("replica-1") <= 11);
        for (const auto reader : readers)
            CHECK(simulation.takeReplies(reader).size() == 50);
    }

    TEST_CASE("a transaction on a primary that became cold is paced, and aborted when its time would run out")
    {
        PoolSimulation simulation { {} };
        simulation.routes->coldStartRates[ServiceName { "register" }] = 2;
        simulation.publishRoutes();
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        simulation.upstream("primary").entry.coldFor = 10s;
        simulation.publishDirectory();
        CHECK_FALSE(simulation.run(caller, "c/3", "WRITE 2 x").failure);
        simulation.submit(caller, "c/4", "WRITE 3 x");
        CHECK(simulation.takeReplies(caller).empty());
        simulation.advanceTime(700ms);
        CHECK_FALSE(simulation.takeReply(caller).failure);
        simulation.routes->coldStartRates[ServiceName { "register" }] = 0.1;
        simulation.publishRoutes();
        simulation.advanceTime(700ms);
        CHECK_FALSE(simulation.run(caller, "c/5", "WRITE 4 x").failure);
        CHECK(errorOf(simulation.run(caller, "c/6", "COMMIT")) == StatementError::Aborted);
        CHECK_FALSE(simulation.committed("c/2"));
    }
}
