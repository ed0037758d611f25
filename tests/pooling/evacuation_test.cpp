#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolSimulation::Options boundedStaleness { .freshness = BoundedStalenessRoute { 1500ms } };
const ZoneName palermo { "palermo" };
const ZoneName catania { "catania" };
const ZoneName messina { "messina" };

/// Places the primary in palermo and the replicas in catania and messina.
void placeInThreeZones(PoolSimulation& simulation)
{
    simulation.upstream("replica-1").entry.zone = catania;
    simulation.upstream("replica-2").entry.zone = messina;
    simulation.publishDirectory();
}

/// Connects as many callers as given; each sends a read before any of them is answered.
std::vector<CallerId> readAtOnce(PoolSimulation& simulation, std::size_t readers)
{
    std::vector<CallerId> callers;
    simulation.holdUpstreamActions = true;
    for (std::size_t index = 0; index < readers; ++index) {
        callers.push_back(simulation.connect());
        simulation.submit(callers.back(), "r", "READ 1");
    }
    return callers;
}

/// Sends what was held back and checks that each caller gets one success.
void checkAllServed(PoolSimulation& simulation, const std::vector<CallerId>& callers)
{
    simulation.holdUpstreamActions = false;
    simulation.deliverHeldActions();
    simulation.advanceTime(100ms);
    for (const auto caller : callers)
        CHECK_FALSE(simulation.takeReply(caller).failure);
}

/// Opens a transaction of a new caller that has written.
CallerId openTransaction(PoolSimulation& simulation)
{
    const auto caller = simulation.connect();
    CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
    CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
    return caller;
}

void checkRefusedWithRetryAdvice(const Reply& reply)
{
    REQUIRE(reply.failure);
    CHECK(reply.failure->error == StatementError::Busy);
    CHECK(reply.failure->text.find("evacuated, retry after 1000 ms") != std::string::npos);
}

} // namespace

TEST_SUITE("evacuation of availability zones")
{
    TEST_CASE("reads run outside the evacuated zone and return to it when the evacuation is withdrawn")
    {
        // Guards against statements that still reach a zone whose upstreams are about to be switched off.
        PoolSimulation simulation { boundedStaleness };
        placeInThreeZones(simulation);
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "WRITE 1 x").failure);
        simulation.setEvacuatedZones({ catania });
        const auto before = simulation.executionsAt("replica-1");
        const auto openingsBefore = simulation.openingsAt("replica-1");
        checkAllServed(simulation, readAtOnce(simulation, 9));
        CHECK(simulation.executionsAt("replica-1") == before);
        CHECK(simulation.openingsAt("replica-1") == openingsBefore);
        simulation.setEvacuatedZones({});
        checkAllServed(simulation, readAtOnce(simulation, 9));
        CHECK(simulation.executionsAt("replica-1") > before);
    }

    TEST_CASE("a statement whose connection was being opened in the evacuated zone runs elsewhere")
    {
        // Guards against session set-up and statements that were decided on before the evacuation.
        PoolSimulation simulation { boundedStaleness };
        placeInThreeZones(simulation);
        const auto writer = simulation.connect();
        CHECK_FALSE(simulation.run(writer, "w/0", "WRITE 1 x").failure);
        const auto readers = readAtOnce(simulation, 9);
        simulation.setEvacuatedZones({ catania, messina });
        checkAllServed(simulation, readers);
        CHECK(simulation.executionsAt("replica-1") == 0);
        CHECK(simulation.executionsAt("replica-2") == 0);
    }

    TEST_CASE("idle connections to the evacuated zone are closed at once")
    {
        // Guards against sessions that are set up on connections into the zone.
        PoolSimulation simulation { {} };
        placeInThreeZones(simulation);
        CHECK_FALSE(simulation.run(simulation.connect(), "c/0", "READ 1").failure);
        REQUIRE(simulation.openConnections() == 1);
        simulation.setEvacuatedZones({ palermo });
        CHECK(simulation.openConnections() == 0);
    }

    TEST_CASE("what only an evacuated primary can run is refused at once with retry advice")
    {
        // Guards against callers that wait until their deadline for a primary that may get nothing.
        PoolSimulation simulation { {} };
        placeInThreeZones(simulation);
        const auto caller = simulation.connect();
        simulation.setEvacuatedZones({ palermo });
        checkRefusedWithRetryAdvice(simulation.run(caller, "c/1", "WRITE 1 x"));
        checkRefusedWithRetryAdvice(simulation.run(caller, "c/2", "READ 1"));
        CHECK(simulation.executed().empty());
        simulation.promote("replica-1");
        simulation.setPrimary("replica-1", 2);
        CHECK_FALSE(simulation.run(caller, "c/3", "WRITE 1 x").failure);
    }

    TEST_CASE("a waiting write is refused as soon as its primary's zone is evacuated")
    {
        // Guards against work in queues that is not looked at again.
        PoolSimulation simulation { { .connectionCap = 2 } };
        placeInThreeZones(simulation);
        const auto holder = simulation.connect();
        CHECK_FALSE(simulation.run(holder, "h/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(holder, "h/2", "WRITE 1 x").failure);
        const auto second = simulation.connect();
        CHECK_FALSE(simulation.run(second, "s/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(second, "s/2", "WRITE 1 x").failure);
        const auto caller = simulation.connect();
        simulation.submit(caller, "c/1", "WRITE 1 x");
        REQUIRE(simulation.takeReplies(caller).empty());
        simulation.setEvacuatedZones({ palermo });
        checkRefusedWithRetryAdvice(simulation.takeReply(caller));
    }

    TEST_CASE("when all zones are evacuated every statement is refused and nothing runs")
    {
        // Guards against an upstream that is taken as the last resort.
        PoolSimulation simulation { boundedStaleness };
        placeInThreeZones(simulation);
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "WRITE 1 x").failure);
        const auto before = simulation.executed().size();
        simulation.setEvacuatedZones({ palermo, catania, messina, ZoneName { "unknown" } });
        checkRefusedWithRetryAdvice(simulation.run(caller, "c/1", "READ 1"));
        checkRefusedWithRetryAdvice(simulation.run(caller, "c/2", "WRITE 1 x"));
        CHECK(simulation.executed().size() == before);
    }

    TEST_CASE("a zone without upstreams changes nothing")
    {
        PoolSimulation simulation { {} };
        placeInThreeZones(simulation);
        simulation.setEvacuatedZones({ ZoneName { "unknown" } });
        CHECK_FALSE(simulation.run(simulation.connect(), "c/1", "WRITE 1 x").failure);
    }

    TEST_CASE("an open transaction may commit within the grace period")
    {
        // Guards against transactions that are aborted although there is time to end them.
        PoolSimulation simulation { {} };
        placeInThreeZones(simulation);
        const auto caller = openTransaction(simulation);
        simulation.setEvacuatedZones({ palermo });
        simulation.advanceTime(500ms);
        CHECK_FALSE(simulation.run(caller, "c/3", "COMMIT").failure);
        CHECK(simulation.committed("c/2"));
        CHECK(simulation.openConnections() == 0);
    }

    TEST_CASE("a transaction that outlasts the grace period is aborted without a further statement")
    {
        // Guards against an abort whose rollback reaches the zone, and against a commit reported as done.
        PoolSimulation simulation { {} };
        placeInThreeZones(simulation);
        const auto caller = openTransaction(simulation);
        simulation.setEvacuatedZones({ palermo });
        std::size_t sent = 0;
        simulation.interceptStatement
            = [&sent](const ModelConnection&, const UpstreamStatement&) -> std::optional<Reply> {
            ++sent;
            return std::nullopt;
        };
        simulation.advanceTime(1100ms);
        CHECK(simulation.openConnections() == 0);
        CHECK(errorOf(simulation.run(caller, "c/3", "COMMIT")) == StatementError::Aborted);
        CHECK_FALSE(simulation.committed("c/2"));
        CHECK(sent == 0);
    }

    TEST_CASE("a transaction goes on when the evacuation is withdrawn within the grace period")
    {
        PoolSimulation simulation { {} };
        placeInThreeZones(simulation);
        const auto caller = openTransaction(simulation);
        simulation.setEvacuatedZones({ palermo });
        simulation.advanceTime(900ms);
        simulation.setEvacuatedZones({});
        simulation.advanceTime(1500ms);
        CHECK_FALSE(simulation.run(caller, "c/3", "COMMIT").failure);
        CHECK(simulation.committed("c/2"));
    }

    TEST_CASE("an owner VM refuses a forwarded write of an evacuated primary and the entry VM passes it on")
    {
        // Guards against statements that an owner VM still runs for siblings which do not know of the
        // request.
        PoolSimulation simulation { { .forwardToOwner = true } };
        placeInThreeZones(simulation);
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.engine.setEvacuatedZones({ palermo }, simulation.now);
        simulation.advanceTime(20ms);
        const auto before = simulation.executed().size();
        checkRefusedWithRetryAdvice(simulation.run(caller, "c/2", "WRITE 1 x"));
        CHECK(simulation.executed().size() == before);
    }
}
