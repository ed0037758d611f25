#include "pool_simulation.h"

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolWorld::Options throughHome { .freshness = ReadOwnWritesRoute { 2500ms }, .throughHome = true };

/// Fails the next statement that is handed on, and none after it.
void failOnce(PoolWorld& world, HandFailure failure)
{
    world.failHanding = [&world, failure](const HandWork&) {
        world.failHanding = nullptr;
        return std::optional { failure };
    };
}

} // namespace

TEST_SUITE("work handed to the home of its service")
{
    TEST_CASE("a statement runs at the home with its id, its text, its team and its session's values")
    {
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "SET zone palermo").failure);
        CHECK_FALSE(world.run(caller, "c/2", "PREPARE s1 WRITE shape").failure);
        const auto reply = world.run(caller, "c/3", "EXECUTE s1 item");
        CHECK(reply.rows == std::vector<std::string> { "row of c/3" });
        CHECK(reply.proof == "proof");
        REQUIRE(world.runs().size() == 1);
        CHECK(world.runs()[0].team == TeamName { "a" });
        CHECK(world.runs()[0].shape == PreparedShape { true, "shape" });
        CHECK(world.runs()[0].values.at("zone") == "palermo");
        CHECK(world.handed.size() == 1);
        CHECK(world.entry->connections() == 0);
        CHECK(world.engine.callers() == 0);
    }

    TEST_CASE("two sessions of one team share the home's connection")
    {
        PoolWorld world { throughHome };
        const auto first = world.connect();
        const auto second = world.connect();
        CHECK_FALSE(world.run(first, "f/1", "WRITE 1 x").failure);
        CHECK_FALSE(world.run(second, "s/1", "WRITE 2 y").failure);
        CHECK(world.openConnections() == 1);
    }

    TEST_CASE("a transaction stays with its guest until it ends")
    {
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
        CHECK(world.run(caller, "c/2", "WRITE 1 x").phase == SessionPhase::InTransaction);
        CHECK_FALSE(world.run(caller, "c/3", "READ 1").failure);
        CHECK_FALSE(world.committed("c/2"));
        CHECK(world.run(caller, "c/4", "COMMIT").phase == SessionPhase::Idle);
        CHECK(world.committed("c/2"));
        REQUIRE(world.handed.size() == 3);
        CHECK(world.handed[0].guest == world.handed[2].guest);
        CHECK_FALSE(world.handed[0].continues);
        CHECK(world.handed[1].continues);
        CHECK(world.engine.callers() == 0);
    }

    TEST_CASE("a rolled back transaction, and one whose caller leaves, is let go at once")
    {
        // The home would else hold the connection, and the rows that the transaction has locked, until the
        // caller has rested too long.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 x").failure);
        CHECK_FALSE(world.run(caller, "c/3", "ROLLBACK").failure);
        CHECK(world.letGo.size() == 1);
        CHECK_FALSE(world.run(caller, "c/4", "BEGIN").failure);
        CHECK_FALSE(world.run(caller, "c/5", "WRITE 1 x").failure);
        world.leave(caller);
        CHECK(world.letGo.size() == 2);
        CHECK(world.engine.callers() == 0);
        CHECK_FALSE(world.committed("c/2"));
        CHECK_FALSE(world.committed("c/5"));
    }

    TEST_CASE("a home out of reach costs nothing: the statement runs where the caller is")
    {
        // The home was killed a moment ago. Nothing has reached it, so the caller need not hear of it.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        failOnce(world, HandFailure::NotTaken);
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        CHECK(world.timesRun("c/1") == 1);
        CHECK(world.entry->connections() == 1);
        CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 y").failure);
        CHECK(world.handed.size() == 1);
        world.pass(3s);
        CHECK_FALSE(world.run(caller, "c/3", "WRITE 1 z").failure);
        CHECK(world.handed.size() == 2);
    }

    TEST_CASE("a write whose answer from the home is lost is in doubt and is not sent again")
    {
        // The home dies after it has run an order and before it could say so. Sent again, the order would be
        // placed twice; called not run, the shop would place it again itself.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        failOnce(world, HandFailure::Lost);
        CHECK(errorOf(world.run(caller, "c/1", "WRITE 1 x")) == StatementError::InDoubt);
        CHECK(world.timesRun("c/1") == 1);
        CHECK(world.committed("c/1"));
    }

    TEST_CASE("a commit whose answer is lost is in doubt, and the session goes on")
    {
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 x").failure);
        failOnce(world, HandFailure::Lost);
        const auto reply = world.run(caller, "c/3", "COMMIT");
        CHECK(errorOf(reply) == StatementError::InDoubt);
        CHECK(reply.phase == SessionPhase::Idle);
        CHECK_FALSE(world.run(caller, "c/4", "READ 1").failure);
    }

    TEST_CASE("a transaction whose home is gone is dropped, and the caller is told so")
    {
        // The home is killed with the transaction open. Nothing of it is kept, which the caller may rely on
        // when it starts again.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 x").failure);
        failOnce(world, HandFailure::NotTaken);
        const auto reply = world.run(caller, "c/3", "WRITE 2 y");
        CHECK(errorOf(reply) == StatementError::Aborted);
        CHECK(reply.phase == SessionPhase::FailedTransaction);
        CHECK_FALSE(world.run(caller, "c/4", "ROLLBACK").failure);
        CHECK_FALSE(world.committed("c/2"));
        CHECK_FALSE(world.committed("c/3"));
    }

    TEST_CASE("a guest that the home has dropped meanwhile is not opened anew in the middle")
    {
        // The home ended the transaction because its caller rested too long. If it took the next statement
        // for a new transaction, the commit would keep half of what the caller had asked for.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 x").failure);
        world.engine.guestLeft(world.handed.front().guest, world.now);
        CHECK(errorOf(world.run(caller, "c/3", "WRITE 2 y")) == StatementError::Aborted);
        CHECK(world.timesRun("c/3") == 0);
    }

    TEST_CASE("a session reads its own write through the home, wherever the read runs")
    {
        // A replica that lags is asked by the home, which has not seen this session before; without the
        // session's position it would answer from before the write.
        PoolWorld world { throughHome };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
        REQUIRE(world.handed.size() == 2);
        REQUIRE(world.handed[1].floor.has_value());
        CHECK(world.handed[1].floor->position == LogPosition { 101 });
    }

    TEST_CASE("an operation that the home refuses does not count against the team's limit")
    {
        PoolWorld world { { .limits = { { TeamName { "a" }, { .ratePerSecond = 4, .burst = 4 } } },
            .throughHome = true } };
        world.entry->setShares({ { TeamName { "a" }, { .ratePerSecond = 4, .burst = 4 } } }, world.now);
        const auto caller = world.connect();
        world.interfere = [](const ModelConnection&, const UpstreamStatement& statement) {
            std::optional<Reply> full;
            if (std::holds_alternative<PassStatement>(statement))
                full = Reply { .failure = StatementFailure { StatementError::Busy, "full" } };
            return full;
        };
        for (int tries = 0; tries < 6; ++tries) {
            world.ask(caller, "c/" + std::to_string(tries), "READ 1");
            world.pass(300ms);
            CHECK(errorOf(world.answer(caller)) == StatementError::Busy);
        }
        world.interfere = nullptr;
        CHECK_FALSE(world.run(caller, "c/9", "READ 1").failure);
    }

    TEST_CASE("a refusal for the team's rate, and a failure of a home, are found by the statement's id")
    {
        // A user complains of a refused order and gives its id; the engineer has only the log.
        PoolWorld world { { .limits = { { TeamName { "a" }, { .ratePerSecond = 1, .burst = 1 } } },
            .throughHome = true } };
        const auto caller = world.connect();
        world.ask(caller, "order-7", "WRITE 1 x");
        world.pass(500ms);
        CHECK(errorOf(world.answer(caller)) == StatementError::Busy);
        REQUIRE(world.logged("refused").size() == 1);
        CHECK(world.logged("refused").front().at("id") == "order-7");
        world.entry->setShares({ { TeamName { "a" }, { .ratePerSecond = 4, .burst = 4 } } }, world.now);
        world.pass(1s);
        failOnce(world, HandFailure::Lost);
        CHECK(errorOf(world.run(caller, "order-8", "WRITE 1 x")) == StatementError::InDoubt);
        CHECK(world.logged("home_failed").front().at("id") == "order-8");
        CHECK(world.logged("answer_lost").front().at("id") == "order-8");
    }
}
