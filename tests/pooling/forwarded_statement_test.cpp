#include "pool_simulation.h"

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolSimulation::Options forwardToOwner { .freshness = ReadOwnWritesRoute { 2500ms },
    .forwardToOwner = true };

/// Fails the next forwarded statement and none after it.
void failOnce(PoolSimulation& simulation, ForwardFailure failure)
{
    simulation.failForwarding = [&simulation, failure](const ForwardStatement&) {
        simulation.failForwarding = nullptr;
        return std::optional { failure };
    };
}

} // namespace

TEST_SUITE("statements forwarded to the service owner")
{
    TEST_CASE("a forwarded statement runs at the owner with its id, team and session state")
    {
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "SET zone palermo").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "PREPARE s1 WRITE shape").failure);
        const auto reply = simulation.run(caller, "c/3", "EXECUTE s1 item");
        CHECK(reply.rows == std::vector<std::string> { "row of c/3" });
        CHECK(reply.proof == "proof");
        REQUIRE(simulation.executed().size() == 1);
        CHECK(simulation.executed()[0].team == TeamName { "a" });
        CHECK(simulation.executed()[0].shape == PreparedShape { true, "shape" });
        CHECK(simulation.executed()[0].values.at("zone") == "palermo");
        CHECK(simulation.forwarded.size() == 1);
        CHECK(simulation.entryEngine->connections() == 0);
        CHECK(simulation.engine.callers() == 0);
    }

    TEST_CASE("two sessions of one team share the owner's connection")
    {
        PoolSimulation simulation { forwardToOwner };
        const auto first = simulation.connect();
        const auto second = simulation.connect();
        CHECK_FALSE(simulation.run(first, "f/1", "WRITE 1 x").failure);
        CHECK_FALSE(simulation.run(second, "s/1", "WRITE 2 y").failure);
        CHECK(simulation.openConnections() == 1);
    }

    TEST_CASE("a transaction keeps its remote session until it ends")
    {
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK(simulation.run(caller, "c/2", "WRITE 1 x").phase == SessionPhase::InTransaction);
        CHECK_FALSE(simulation.run(caller, "c/3", "READ 1").failure);
        CHECK_FALSE(simulation.committed("c/2"));
        CHECK(simulation.run(caller, "c/4", "COMMIT").phase == SessionPhase::Idle);
        CHECK(simulation.committed("c/2"));
        REQUIRE(simulation.forwarded.size() == 3);
        CHECK(simulation.forwarded[0].remoteSession == simulation.forwarded[2].remoteSession);
        CHECK_FALSE(simulation.forwarded[0].continuesTransaction);
        CHECK(simulation.forwarded[1].continuesTransaction);
        CHECK(simulation.engine.callers() == 0);
    }

    TEST_CASE("a remote session is released at once after a rollback or when its caller leaves")
    {
        // Guards against the owner holding the connection, and the rows that the transaction has locked,
        // until the transaction's idle time is over.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        CHECK_FALSE(simulation.run(caller, "c/3", "ROLLBACK").failure);
        CHECK(simulation.releasedRemoteSessions.size() == 1);
        CHECK_FALSE(simulation.run(caller, "c/4", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/5", "WRITE 1 x").failure);
        simulation.disconnect(caller);
        CHECK(simulation.releasedRemoteSessions.size() == 2);
        CHECK(simulation.engine.callers() == 0);
        CHECK_FALSE(simulation.committed("c/2"));
        CHECK_FALSE(simulation.committed("c/5"));
    }

    TEST_CASE("a statement runs on the caller's VM when the owner is unreachable")
    {
        // Guards against an error for the caller when the owner was killed a moment ago. The statement has
        // not reached it and can run elsewhere.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        failOnce(simulation, ForwardFailure::NotAccepted);
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        CHECK(simulation.executionCount("c/1") == 1);
        CHECK(simulation.entryEngine->connections() == 1);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 y").failure);
        CHECK(simulation.forwarded.size() == 1);
        simulation.advanceTime(3s);
        CHECK_FALSE(simulation.run(caller, "c/3", "WRITE 1 z").failure);
        CHECK(simulation.forwarded.size() == 2);
    }

    TEST_CASE("a write whose reply from the owner is lost is in doubt and is not sent again")
    {
        // The owner fails after it has run an order and before it could reply. If the order were sent again,
        // it would be placed twice; if it were reported as not run, the caller would place it again.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        failOnce(simulation, ForwardFailure::Lost);
        CHECK(errorOf(simulation.run(caller, "c/1", "WRITE 1 x")) == StatementError::InDoubt);
        CHECK(simulation.executionCount("c/1") == 1);
        CHECK(simulation.committed("c/1"));
    }

    TEST_CASE("a commit whose reply is lost is in doubt and the session continues")
    {
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        failOnce(simulation, ForwardFailure::Lost);
        const auto reply = simulation.run(caller, "c/3", "COMMIT");
        CHECK(errorOf(reply) == StatementError::InDoubt);
        CHECK(reply.phase == SessionPhase::Idle);
        CHECK_FALSE(simulation.run(caller, "c/4", "READ 1").failure);
    }

    TEST_CASE("a transaction whose owner is gone is aborted and the caller is told so")
    {
        // The owner is killed with the transaction open. Nothing of it is committed, and the caller may rely
        // on that when it runs the transaction again.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        failOnce(simulation, ForwardFailure::NotAccepted);
        const auto reply = simulation.run(caller, "c/3", "WRITE 2 y");
        CHECK(errorOf(reply) == StatementError::Aborted);
        CHECK(reply.phase == SessionPhase::FailedTransaction);
        CHECK_FALSE(simulation.run(caller, "c/4", "ROLLBACK").failure);
        CHECK_FALSE(simulation.committed("c/2"));
        CHECK_FALSE(simulation.committed("c/3"));
    }

    TEST_CASE("a statement of a transaction that the owner has ended starts no new transaction")
    {
        // The owner ended the transaction because its caller was idle for too long. If it took the next
        // statement for the start of a new transaction, the commit would keep only half of what the caller
        // had sent.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        simulation.engine.remoteSessionReleased(simulation.forwarded.front().remoteSession, simulation.now);
        CHECK(errorOf(simulation.run(caller, "c/3", "WRITE 2 y")) == StatementError::Aborted);
        CHECK(simulation.executionCount("c/3") == 0);
    }

    TEST_CASE("an owner ends a sibling's idle transaction some time after its idle time")
    {
        // The forwarding VM fails and releases nothing. Its transactions would hold rows locked for ever.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        simulation.advanceTime(10s);
        CHECK(simulation.engine.callers() == 1);
        simulation.advanceTime(21s);
        CHECK(simulation.engine.callers() == 0);
        CHECK(errorOf(simulation.run(caller, "c/3", "COMMIT")) == StatementError::Aborted);
        CHECK_FALSE(simulation.committed("c/2"));
    }

    TEST_CASE("a session reads its own write through the owner wherever the read runs")
    {
        // The owner may read at a replica that lags and has not seen this session before. Without the
        // session's required progress the read would return a row from before the write.
        PoolSimulation simulation { forwardToOwner };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
        REQUIRE(simulation.forwarded.size() == 2);
        REQUIRE(simulation.forwarded[1].requiredProgress.has_value());
        CHECK(simulation.forwarded[1].requiredProgress->position == LogPosition { 101 });
    }

    TEST_CASE("an operation that the owner refuses does not count against the team's limit")
    {
        PoolSimulation simulation { { .limits = { { TeamName { "a" }, { .ratePerSecond = 4, .burst = 4 } } },
            .forwardToOwner = true } };
        simulation.entryEngine->setShares(
            { { TeamName { "a" }, { .ratePerSecond = 4, .burst = 4 } } }, simulation.now);
        const auto caller = simulation.connect();
        simulation.interceptStatement = [](const ModelConnection&, const UpstreamStatement& statement) {
            std::optional<Reply> busyReply;
            if (std::holds_alternative<RelayStatement>(statement))
                busyReply = Reply { .failure = StatementFailure { StatementError::Busy, "full" } };
            return busyReply;
        };
        for (int tries = 0; tries < 6; ++tries) {
            simulation.submit(caller, "c/" + std::to_string(tries), "READ 1");
            simulation.advanceTime(300ms);
            CHECK(errorOf(simulation.takeReply(caller)) == StatementError::Busy);
        }
        simulation.interceptStatement = nullptr;
        CHECK_FALSE(simulation.run(caller, "c/9", "READ 1").failure);
    }

    TEST_CASE("log lines of rate refusals and owner failures have the statement's id")
    {
        // A user complains about a refused order and gives its id; only the log can tell an operator what
        // happened.
        PoolSimulation simulation { { .limits = { { TeamName { "a" }, { .ratePerSecond = 1, .burst = 1 } } },
            .forwardToOwner = true } };
        const auto caller = simulation.connect();
        simulation.submit(caller, "order-7", "WRITE 1 x");
        simulation.advanceTime(500ms);
        CHECK(errorOf(simulation.takeReply(caller)) == StatementError::Busy);
        REQUIRE(simulation.loggedEvents("refused").size() == 1);
        CHECK(simulation.loggedEvents("refused").front().at("id") == "order-7");
        simulation.entryEngine->setShares(
            { { TeamName { "a" }, { .ratePerSecond = 4, .burst = 4 } } }, simulation.now);
        simulation.advanceTime(1s);
        failOnce(simulation, ForwardFailure::Lost);
        CHECK(errorOf(simulation.run(caller, "order-8", "WRITE 1 x")) == StatementError::InDoubt);
        CHECK(simulation.loggedEvents("home_failed").front().at("id") == "order-8");
        CHECK(simulation.loggedEvents("answer_lost").front().at("id") == "order-8");
    }
}
