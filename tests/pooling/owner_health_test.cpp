#include "pool_simulation.h"

#include <cyclamendrift/pooling/home_health.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolWorld::Options throughHome { .freshness = ReadOwnWritesRoute { 2500ms }, .throughHome = true };
const VmName home { "vm-1" };
constexpr Instant start { 100s };

} // namespace

TEST_SUITE("homes that cannot be reached")
{
    TEST_CASE("work goes elsewhere soon after its home was cut off, not after a statement's whole time")
    {
        // Guards against a second of statements that all wait at a home behind a partition.
        PoolWorld world { throughHome };
        const auto first = world.connect();
        const auto second = world.connect();
        world.homeUnreachable = true;
        world.ask(first, "c/1", "READ 1");
        world.pass(100ms);
        CHECK(world.answers(first).empty());
        world.pass(100ms);
        CHECK(world.logged("home_out_of_reach").size() == 1);
        CHECK_FALSE(world.run(second, "d/1", "READ 1").failure);
        // What is under way may run at the home and is left there.
        CHECK(world.answers(first).empty());
        world.deliverToHome();
        CHECK_FALSE(world.answer(first).failure);
        CHECK(world.timesRun("c/1") == 1);
    }

    TEST_CASE("nothing is handed to a home out of reach until it gives a sign of life")
    {
        // Guards against one statement of each pause that is lost to find out whether the home is back.
        PoolWorld world { throughHome };
        const auto first = world.connect();
        const auto second = world.connect();
        world.homeUnreachable = true;
        world.ask(first, "c/1", "READ 1");
        world.pass(200ms);
        CHECK(world.handed.size() == 1);
        for (int read = 0; read < 20; ++read) {
            CHECK_FALSE(world.run(second, "d/" + std::to_string(read), "READ 1").failure);
            world.pass(200ms);
        }
        CHECK(world.handed.size() == 1);
        world.homeUnreachable = false;
        world.pass(400ms);
        CHECK_FALSE(world.run(second, "e/1", "READ 1").failure);
        CHECK(world.handed.size() == 2);
    }

    TEST_CASE("a write at a home that cannot be reached is never sent again")
    {
        // Guards against an order that is placed twice: it may have arrived before the partition.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        world.homeUnreachable = true;
        world.ask(caller, "c/1", "WRITE 1 x");
        world.pass(400ms);
        CHECK(world.answers(caller).empty());
        world.deliverToHome();
        CHECK_FALSE(world.answer(caller).failure);
        CHECK(world.timesRun("c/1") == 1);
        CHECK(world.handed.size() == 1);
    }

    TEST_CASE("a transaction at a home out of reach is dropped at its next statement, with nothing kept")
    {
        // Guards against each further statement of the transaction waiting until its time limit.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        const auto other = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 x").failure);
        world.homeUnreachable = true;
        world.ask(other, "d/1", "READ 1");
        world.pass(200ms);
        CHECK(errorOf(world.run(caller, "c/3", "COMMIT")) == StatementError::Aborted);
        world.deliverToHome();
        world.pass(5s);
        CHECK_FALSE(world.committed("c/2"));
    }

    TEST_CASE("what a home answers to work that was given up is no answer to the work that followed")
    {
        // Guards against rows of one read in the answer to another.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        world.ask(caller, "c/1", "READ 1");
        const auto former = world.handed.back().guest;
        CHECK_FALSE(world.answer(caller).failure);
        world.holding = true;
        world.ask(caller, "c/2", "READ 2");
        const Reply late { .rows = { "row of c/1" }, .proof = "proof" };
        world.entry->handedWorkAnswered(caller, former, late, world.now);
        world.entry->handedWorkFailed(caller, former, HandFailure::NotTaken, world.now);
        CHECK(world.answers(caller).empty());
        world.holding = false;
        world.deliver();
        CHECK(world.answer(caller).rows == std::vector<std::string> { "row of c/2" });
    }

    TEST_CASE("a slow statement at a home that lives is left there")
    {
        // Guards against twice the work for upstreams that are slow.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.holding = true;
        world.ask(caller, "c/1", "READ 1");
        world.pass(300ms);
        CHECK(world.signsOfLifeAsked == 1);
        CHECK(world.answers(caller).empty());
        CHECK(world.handed.size() == 2);
        world.holding = false;
        world.deliver();
        CHECK_FALSE(world.answer(caller).failure);
        CHECK(world.timesRun("c/1") == 1);
    }

    TEST_CASE("a home is asked only when it owes an answer for a while")
    {
        HomeHealth health;
        health.noteWaiting({ { home, start } });
        CHECK(health.due(start + 100ms).empty());
        CHECK(health.due(start + 150ms) == std::vector { home });
        CHECK(health.due(start + 200ms).empty());
        CHECK_FALSE(health.askEnded(home, true, start + 210ms));
        CHECK_FALSE(health.isOutOfReach(home));
        health.noteWaiting({});
        CHECK(health.due(start + 1s).empty());
    }

    TEST_CASE("a home out of reach is asked until it gives a sign, or long enough")
    {
        HomeHealth health;
        health.noteWaiting({ { home, start } });
        static_cast<void>(health.due(start + 150ms));
        CHECK(health.askEnded(home, false, start + 250ms));
        health.noteWaiting({});
        CHECK(health.isOutOfReach(home));
        CHECK(health.due(start + 600ms) == std::vector { home });
        CHECK_FALSE(health.askEnded(home, false, start + 700ms));
        CHECK(health.due(start + 1100ms) == std::vector { home });
        CHECK_FALSE(health.askEnded(home, true, start + 1110ms));
        CHECK_FALSE(health.isOutOfReach(home));
    }
}
