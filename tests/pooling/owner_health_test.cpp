#include "pool_simulation.h"

#include <cyclamendrift/pooling/owner_health.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolSimulation::Options forwardToOwner { .freshness = ReadOwnWritesRoute { 2500ms },
    .forwardToOwner = true };
const VmName owner { "vm-1" };
constexpr Instant start { 100s };

} // namespace

TEST_SUITE("unreachable owners")
{
    TEST_CASE("statements run elsewhere soon after their owner was cut off")
    {
        // Guards against a second of statements that all wait at an owner behind a partition.
        PoolSimulation simulation { forwardToOwner };
        const auto first = simulation.connect();
        const auto second = simulation.connect();
        simulation.ownerUnreachable = true;
        simulation.submit(first, "c/1", "READ 1");
        simulation.advanceTime(100ms);
        CHECK(simulation.takeReplies(first).empty());
        simulation.advanceTime(100ms);
        CHECK(simulation.loggedEvents("home_out_of_reach").size() == 1);
        CHECK_FALSE(simulation.run(second, "d/1", "READ 1").failure);
        // The statement in progress may run at the owner, so it is not sent to another VM.
        CHECK(simulation.takeReplies(first).empty());
        simulation.restoreOwnerLink();
        CHECK_FALSE(simulation.takeReply(first).failure);
        CHECK(simulation.executionCount("c/1") == 1);
    }

    TEST_CASE("the other VMs of a lost zone are passed over until they have been checked")
    {
        // Guards against one statement per VM that waits out its time while a whole zone is without power.
        const std::vector<VmName> sameZone { VmName { "vm-2" }, VmName { "vm-3" } };
        OwnerHealth health;
        health.recordWaiting({ { owner, start }, { sameZone[1], start } });
        REQUIRE(health.beginDueChecks(start + 150ms) == std::vector { owner, sameZone[1] });
        CHECK_FALSE(health.checkEnded(sameZone[1], true, start + 153ms));
        REQUIRE(health.checkEnded(owner, false, start + 250ms));
        health.suspect(sameZone, start + 250ms);
        CHECK(health.isUnreachable(sameZone[0]));
        // It answered a moment ago.
        CHECK_FALSE(health.isUnreachable(sameZone[1]));
        health.recordWaiting({});
        CHECK(health.beginDueChecks(start + 250ms) == std::vector { sameZone[0] });
        SUBCASE("a VM that answers is used again at once")
        {
            CHECK_FALSE(health.checkEnded(sameZone[0], true, start + 253ms));
            CHECK_FALSE(health.isUnreachable(sameZone[0]));
        }
        SUBCASE("a VM that does not answer stays unreachable")
        {
            CHECK(health.checkEnded(sameZone[0], false, start + 350ms));
            CHECK(health.isUnreachable(sameZone[0]));
        }
    }

    TEST_CASE("nothing is forwarded to an unreachable owner until a liveness check succeeds")
    {
        // Guards against losing one statement per pause to find out whether the owner is reachable again.
        PoolSimulation simulation { forwardToOwner };
        const auto first = simulation.connect();
        const auto second = simulation.connect();
        simulation.ownerUnreachable = true;
        simulation.submit(first, "c/1", "READ 1");
        simulation.advanceTime(200ms);
        CHECK(simulation.forwarded.size() == 1);
        for (int read = 0; read < 20; ++read) {
            CHECK_FALSE(simulation.run(second, "d/" + std::to_string(read), "READ 1").failure);
            simulation.advanceTime(200ms);
        }
        CHECK(simulation.forwarded.size() == 1);
        simulation.ownerUnreachable = false;
        simulation.advanceTime(400ms);
        CHECK_FALSE(simulation.run(second, "e/1", "READ 1").failure);
        CHECK(simulation.forwarded.size() == 2);
    }

    TEST_CASE("a write at an unreachable owner is never sent again")
    {
        // Guards against placing an order twice: it may have arrived before the partition.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        simulation.ownerUnreachable = true;
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.advanceTime(400ms);
        CHECK(simulation.takeReplies(caller).empty());
        simulation.restoreOwnerLink();
        CHECK_FALSE(simulation.takeReply(caller).failure);
        CHECK(simulation.executionCount("c/1") == 1);
        CHECK(simulation.forwarded.size() == 1);
    }

    TEST_CASE("a transaction at an unreachable owner is aborted at its next statement")
    {
        // Guards against each further statement of the transaction waiting until its time limit.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        const auto other = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        simulation.ownerUnreachable = true;
        simulation.submit(other, "d/1", "READ 1");
        simulation.advanceTime(200ms);
        CHECK(errorOf(simulation.run(caller, "c/3", "COMMIT")) == StatementError::Aborted);
        simulation.restoreOwnerLink();
        simulation.advanceTime(5s);
        CHECK_FALSE(simulation.committed("c/2"));
    }

    TEST_CASE("an owner's late reply is not taken for the reply to the next statement")
    {
        // Guards against rows of one read in the reply to another.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        simulation.submit(caller, "c/1", "READ 1");
        const auto formerSession = simulation.forwarded.back().remoteSession;
        CHECK_FALSE(simulation.takeReply(caller).failure);
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/2", "READ 2");
        const Reply lateReply { .rows = { "row of c/1" }, .proof = "proof" };
        simulation.entryEngine->forwardedStatementAnswered(caller, formerSession, lateReply, simulation.now);
        simulation.entryEngine->forwardingFailed(
            caller, formerSession, ForwardFailure::NotAccepted, simulation.now);
        CHECK(simulation.takeReplies(caller).empty());
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        CHECK(simulation.takeReply(caller).rows == std::vector<std::string> { "row of c/2" });
    }

    TEST_CASE("a slow statement stays at an owner that passes its liveness check")
    {
        // Guards against doubling the load of upstreams that are slow.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "READ 1");
        simulation.advanceTime(300ms);
        CHECK(simulation.livenessChecks == 1);
        CHECK(simulation.takeReplies(caller).empty());
        CHECK(simulation.forwarded.size() == 2);
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        CHECK_FALSE(simulation.takeReply(caller).failure);
        CHECK(simulation.executionCount("c/1") == 1);
    }

    TEST_CASE("an owner is checked only when it has owed a reply for a while")
    {
        OwnerHealth health;
        health.recordWaiting({ { owner, start } });
        CHECK(health.beginDueChecks(start + 100ms).empty());
        CHECK(health.beginDueChecks(start + 150ms) == std::vector { owner });
        CHECK(health.beginDueChecks(start + 200ms).empty());
        CHECK_FALSE(health.checkEnded(owner, true, start + 210ms));
        CHECK_FALSE(health.isUnreachable(owner));
        health.recordWaiting({});
        CHECK(health.beginDueChecks(start + 1s).empty());
    }

    TEST_CASE("an unreachable owner is checked until it passes")
    {
        OwnerHealth health;
        health.recordWaiting({ { owner, start } });
        static_cast<void>(health.beginDueChecks(start + 150ms));
        CHECK(health.checkEnded(owner, false, start + 250ms));
        health.recordWaiting({});
        CHECK(health.isUnreachable(owner));
        CHECK(health.beginDueChecks(start + 600ms) == std::vector { owner });
        CHECK_FALSE(health.checkEnded(owner, false, start + 700ms));
        CHECK(health.beginDueChecks(start + 1100ms) == std::vector { owner });
        CHECK_FALSE(health.checkEnded(owner, true, start + 1110ms));
        CHECK_FALSE(health.isUnreachable(owner));
    }
}
