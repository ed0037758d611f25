#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Opens one session for each of `teams` teams.
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

/// Makes the engine that holds the connections the only owner of every service, in a fleet of four VMs.
void makeOwner(PoolSimulation& simulation)
{
    const auto owners = std::make_shared<ServiceOwners>(
        VmName { "home" }, std::map<VmName, VmCapacity> { { VmName { "home" }, {} } });
    simulation.engine.setPlace({ .vms = 4, .rank = 0, .owners = owners }, simulation.now);
}

} // namespace

TEST_SUITE("overload")
{
    TEST_CASE("a VM whose share of the connections suffices forwards nothing to an owner")
    {
        // Six VMs share 32 connections to each upstream. If a team's statements all went to one owner that
        // turns slow or is replaced, callers of every VM would wait for it, although the VM that they are
        // connected to could serve them by itself.
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

    TEST_CASE("operations of the highest priority are admitted first when a team exceeds its rate")
    {
        // One team asks for several times its rate, with operations of all priorities. Each waits for the
        // limit for a part of its own target latency; when they were admitted without regard to priority,
        // those with the longest targets waited longest and were admitted, while nearly all urgent ones were
        // refused.
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
        // All VMs lose power while a primary is being replaced. The restarted VMs have recorded no position
        // that they could require of a replica, so no upstream may serve even a read. A read that is held
        // until its target latency has passed would be refused all the same, with less time left for a retry.
        PoolSimulation simulation { { .freshness = BoundedStalenessRoute { 1500ms } } };
        simulation.setViewChanging();
        const auto caller = simulation.connect();
        const auto reply = simulation.run(caller, "c/1", "READ 1");
        CHECK(errorOf(reply) == StatementError::Busy);
        CHECK(reply.failure->text.find("retry after") != std::string::npos);
        CHECK(simulation.executed().empty());
    }

    TEST_CASE("a VM keeps half of its connections unopened while it can close idle ones")
    {
        // Eight teams send statements in turn, each over a connection of its own. If all VMs lose power, the
        // upstream counts every open connection as taken for three seconds more and refuses the restarted
        // VMs.
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 9 } };
        const auto callers = connectTeams(simulation, 8);
        for (std::size_t index = 0; index < callers.size(); ++index)
            CHECK_FALSE(simulation.run(callers[index], std::to_string(index) + "/1", "READ 1").failure);
        CHECK(simulation.openConnections() == 4);
    }

    TEST_CASE("an owner keeps a quarter of its connections unopened while it can close idle ones")
    {
        // A loss of power as above, at an owner, which is to have open connections for as many teams as it
        // can.
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 13 } };
        makeOwner(simulation);
        const auto callers = connectTeams(simulation, 12);
        for (std::size_t index = 0; index < callers.size(); ++index)
            CHECK_FALSE(simulation.run(callers[index], std::to_string(index) + "/1", "READ 1").failure);
        CHECK(simulation.openConnections() == 9);
    }

    TEST_CASE("an owner reuses the connection of a team that sends a statement every five seconds")
    {
        // 75 teams of two operations a second on 8 services opened 15,345 connections for 53,122 statements
        // when an owner closed connections after a second; each opening takes the upstream as long as a short
        // statement.
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 13 } };
        makeOwner(simulation);
        const auto caller = simulation.connect();
        for (int number = 0; number < 4; ++number) {
            CHECK_FALSE(simulation.run(caller, std::to_string(number), "READ 1").failure);
            simulation.advanceTime(5s);
        }
        CHECK(simulation.openingsAt("primary") == 1);
    }

    TEST_CASE("a read that a replica can take does not wait for a thousand statements of the primary")
    {
        // A burst of all teams' writes at one primary. Guards against a pass over the waiting statements that
        // ends, or takes milliseconds, because the first of them can only run at the saturated primary.
        PoolSimulation simulation { { .replicas = 1, .freshness = BoundedStalenessRoute { 1500ms } } };
        simulation.routes->routes["orders"] = simulation.routes->routes["beds"];
        simulation.routes->routes["orders"].freshness = PrimaryRoute {};
        simulation.publishRoutes();
        const auto reader = simulation.connect("key-b");
        CHECK_FALSE(simulation.run(simulation.connect(), "first", "WRITE 1 x").failure);
        simulation.holdUpstreamActions = true;
        for (int number = 0; number < 1000; ++number)
            simulation.submit(
                simulation.connect("key-a", "orders"), "w/" + std::to_string(number), "WRITE 1 x");
        const auto busy = simulation.engine.connections();
        simulation.submit(reader, "r/1", "READ 1");
        CHECK(simulation.engine.connections() == busy + 1);
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        CHECK_FALSE(simulation.takeReply(reader).failure);
        CHECK(simulation.executionsAt("replica-1") == 1);
        CHECK(simulation.executionsAt("primary") == 1001);
    }

    TEST_CASE("waiting statements are served by priority, then in the order of their arrival")
    {
        // A burst of the least urgent class arrives before urgent statements. Guards against an order of
        // insertion that lets the burst go first.
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 2 } };
        simulation.routes->routes["history"] = simulation.routes->routes["beds"];
        simulation.routes->routes["history"].priority = 2;
        simulation.publishRoutes();
        simulation.holdUpstreamActions = true;
        simulation.submit(simulation.connect(), "first", "READ 1");
        simulation.submit(simulation.connect(), "second", "READ 1");
        for (const auto* id : { "late/1", "late/2" })
            simulation.submit(simulation.connect("key-a", "history"), id, "READ 1");
        for (const auto* id : { "urgent/1", "urgent/2" })
            simulation.submit(simulation.connect(), id, "READ 1");
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        std::vector<std::string> order;
        for (const auto& statement : simulation.executed())
            order.push_back(statement.id);
        REQUIRE(order.size() == 6);
        CHECK(std::vector<std::string>(order.begin() + 2, order.end())
            == std::vector<std::string> { "urgent/1", "urgent/2", "late/1", "late/2" });
    }

    TEST_CASE("concurrent statements use more than half of a VM's connections")
    {
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 9 } };
        const auto callers = connectTeams(simulation, 6);
        simulation.holdUpstreamActions = true;
        for (std::size_t index = 0; index < callers.size(); ++index)
            simulation.submit(callers[index], std::to_string(index) + "/1", "READ 1");
        CHECK(simulation.engine.connections() == 6);
    }
}
