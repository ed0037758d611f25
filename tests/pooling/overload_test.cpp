#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// One session for each of so many teams.
std::vector<CallerId> connectTeams(PoolSimulation& simulation, int teams)
{
    for (int number = 0; number < teams; ++number)
        simulation.routes->keys["key " + std::to_string(number)]
            = TeamName { "team-" + std::to_string(number) };
    simulation.publishRoutes();
    std::vector<CallerId> callers;
    for (int number = 0; number < teams; ++number)
        callers.push_back(simulation.connect("key " + std::to_string(number)));
    return callers;
}

} // namespace

TEST_SUITE("decisions under heavy load")
{
    TEST_CASE("a VM whose own part of the connections suffices hands nothing to a home")
    {
        // Six VMs share 32 connections to each upstream, and all of a team's work goes to one home. That home
        // turns slow or is replaced: callers of every VM wait for it, though the VM they came to could have
        // served them by itself.
        PoolSimulation simulation { { .connectionCap = 32,
            .freshness = ReadOwnWritesRoute { 2500ms },
            .forwardToOwner = true,
            .vms = 6 } };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
        CHECK(simulation.forwarded.empty());
        CHECK(simulation.entryEngine->connections() > 0);
    }

    TEST_CASE("of a team that is over its rate the most urgent operations are let in first")
    {
        // One team asks for several times its rate, with all kinds of operations. Each waits for the limit a
        // part of its own target, so the leisurely ones waited longest and got in, while nearly all of the
        // urgent ones were refused.
        PoolSimulation simulation { { .limits
            = { { TeamName { "a" }, { .ratePerSecond = 10, .burst = 1 } } } } };
        simulation.routes->routes["history"] = simulation.routes->routes["beds"];
        simulation.routes->routes["history"].priority = 2;
        simulation.publishRoutes();
        simulation.engine.setShares(
            { { TeamName { "a" }, { .ratePerSecond = 4, .burst = 1 } } }, simulation.now);
        const auto first = simulation.connect("key-a", "history");
        const auto lowPriority = simulation.connect("key-a", "history");
        const auto highPriority = simulation.connect("key-a", "beds");
        CHECK_FALSE(simulation.run(first, "f/1", "READ 1").failure);
        simulation.submit(lowPriority, "l/1", "READ 1");
        simulation.submit(highPriority, "u/1", "READ 1");
        simulation.engine.tokensReceived(TeamName { "a" }, 1, simulation.now);
        simulation.advanceTime(1ms);
        CHECK_FALSE(simulation.takeReply(highPriority).failure);
        CHECK(simulation.takeReplies(lowPriority).empty());
        simulation.advanceTime(60ms);
        CHECK(errorOf(simulation.takeReply(lowPriority)) == StatementError::Busy);
    }

    TEST_CASE("a read that depends on the primary is refused at once while the primary is being replaced")
    {
        // All VMs lose power while a primary is being replaced. The restarted ones have seen no position that
        // they could name to a replica, so no upstream may answer even a read. Held back until its target had
        // passed it would be refused all the same, with less time left for another try.
        PoolSimulation simulation { { .freshness = BoundedStalenessRoute { 1500ms } } };
        simulation.setViewChanging();
        const auto caller = simulation.connect();
        const auto reply = simulation.run(caller, "c/1", "READ 1");
        CHECK(errorOf(reply) == StatementError::Busy);
        CHECK(reply.failure->text.find("retry after") != std::string::npos);
        CHECK(simulation.executed().empty());
    }

    TEST_CASE("half of a VM's connections stay unopened while idle ones can make room")
    {
        // Eight teams ask in turn, and each gets a connection of its own. All VMs lose power: their upstream
        // takes every one of these connections for open for three seconds more and turns the restarted VMs
        // away.
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 9 } };
        const auto callers = connectTeams(simulation, 8);
        for (std::size_t index = 0; index < callers.size(); ++index)
            CHECK_FALSE(simulation.run(callers[index], std::to_string(index) + "/1", "READ 1").failure);
        CHECK(simulation.openConnections() == 4);
    }

    TEST_CASE("statements that come together get all of a VM's connections")
    {
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 9 } };
        const auto callers = connectTeams(simulation, 6);
        simulation.holdUpstreamActions = true;
        for (std::size_t index = 0; index < callers.size(); ++index)
            simulation.submit(callers[index], std::to_string(index) + "/1", "READ 1");
        CHECK(simulation.engine.connections() == 6);
    }
}
