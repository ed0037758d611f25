#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <utility>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolSimulation::Options readOwnWrites { .freshness = ReadOwnWritesRoute { 2500ms } };
const PoolSimulation::Options boundedStaleness { .freshness = BoundedStalenessRoute { 1500ms } };

bool isCallerStatement(const UpstreamStatement& statement)
{
    return std::holds_alternative<RelayStatement>(statement);
}

/// Opens a transaction of a new caller and writes in it.
CallerId beginWithWrite(PoolSimulation& simulation, const std::string& name)
{
    const auto caller = simulation.connect();
    CHECK_FALSE(simulation.run(caller, name + "/1", "BEGIN").failure);
    CHECK_FALSE(simulation.run(caller, name + "/2", "WRITE 1 x").failure);
    return caller;
}

} // namespace

TEST_SUITE("caller sessions")
{
    TEST_CASE("a statement keeps its id and text and returns the upstream's rows and proof")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        const auto reply = simulation.run(caller, "c/1", "READ 1a4");
        CHECK_FALSE(reply.failure);
        CHECK(reply.rows == std::vector<std::string> { "row of c/1" });
        CHECK(reply.proof == "proof");
        REQUIRE(simulation.executed().size() == 1);
        CHECK(simulation.executed().front().text == "READ 1a4");
        CHECK(simulation.executed().front().team == TeamName { "a" });
    }

    TEST_CASE("values and prepared statements of a session are set on the connection that serves it")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        const auto other = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "SET zone palermo").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "PREPARE s1 WRITE shape-of-c").failure);
        CHECK_FALSE(simulation.run(other, "o/1", "PREPARE s1 READ shape-of-o").failure);
        CHECK_FALSE(simulation.run(other, "o/2", "EXECUTE s1 item").failure);
        CHECK_FALSE(simulation.run(caller, "c/3", "EXECUTE s1 item").failure);
        REQUIRE(simulation.executed().size() == 2);
        CHECK(simulation.executed()[0].shape == PreparedShape { false, "shape-of-o" });
        CHECK(simulation.executed()[0].values.empty());
        CHECK(simulation.executed()[1].shape == PreparedShape { true, "shape-of-c" });
        CHECK(
            simulation.executed()[1].values == std::map<std::string, std::string> { { "zone", "palermo" } });
        CHECK(simulation.openConnections() == 1);
    }

    TEST_CASE("a value that another session set on a connection is reset before the next statement")
    {
        // Two sessions share one connection, and the first has set a value. Without a reset the second one's
        // statements would run with it: a user would read with another user's settings and see no error.
        PoolSimulation simulation { {} };
        const auto first = simulation.connect();
        const auto second = simulation.connect();
        CHECK_FALSE(simulation.run(first, "f/1", "SET scope all").failure);
        CHECK_FALSE(simulation.run(first, "f/2", "READ 1").failure);
        CHECK_FALSE(simulation.run(second, "s/1", "READ 1").failure);
        CHECK(simulation.executed()[0].values.size() == 1);
        CHECK(simulation.executed()[1].values.empty());
    }

    TEST_CASE("an unknown prepared statement is refused and runs nothing")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK(
            errorOf(simulation.run(caller, "c/1", "EXECUTE none item")) == StatementError::UnknownStatement);
        CHECK_FALSE(simulation.run(caller, "c/2", "PREPARE s READ q").failure);
        CHECK_FALSE(simulation.run(caller, "c/3", "DEALLOCATE s").failure);
        CHECK(errorOf(simulation.run(caller, "c/4", "EXECUTE s item")) == StatementError::UnknownStatement);
        CHECK(errorOf(simulation.run(caller, "c/5", "DEALLOCATE s")) == StatementError::UnknownStatement);
        CHECK(simulation.executed().empty());
    }

    TEST_CASE("pipelined statements are answered in order")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "READ 1");
        simulation.submit(caller, "c/2", "SET a b");
        simulation.submit(caller, "c/3", "READ 2");
        CHECK(simulation.takeReplies(caller).empty());
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        const auto replies = simulation.takeReplies(caller);
        REQUIRE(replies.size() == 3);
        CHECK(replies[0].rows.front() == "row of c/1");
        CHECK(replies[1].proof == "-");
        CHECK(replies[2].rows.front() == "row of c/3");
    }

    TEST_CASE("unknown databases, unknown keys and malformed statements get distinct errors")
    {
        PoolSimulation simulation { {} };
        const auto unknownDatabaseCaller = simulation.connect("key-a", "nothing");
        REQUIRE(simulation.closeFailure(unknownDatabaseCaller));
        CHECK(simulation.closeFailure(unknownDatabaseCaller)->error == StatementError::UnknownDatabase);
        const auto unknownKeyCaller = simulation.connect("key-x");
        REQUIRE(simulation.closeFailure(unknownKeyCaller));
        CHECK(simulation.closeFailure(unknownKeyCaller)->error == StatementError::UnknownKey);
        const auto caller = simulation.connect();
        CHECK(errorOf(simulation.run(caller, "c/1", "GRANT everything")) == StatementError::Malformed);
        CHECK(errorOf(simulation.run(caller, "c/2", "COMMIT")) == StatementError::Malformed);
        CHECK_FALSE(simulation.run(caller, "c/3", "READ 1").failure);
    }

    TEST_CASE("a withdrawn key stops working on a session that is already open")
    {
        // An operator withdraws a key while its holder is connected. A session that checked the key only at
        // its start would keep reading for as long as it stays open.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.routes->keys.erase("key-a");
        simulation.publishRoutes();
        CHECK(errorOf(simulation.run(caller, "c/2", "READ 1")) == StatementError::UnknownKey);
        CHECK(simulation.executionCount("c/2") == 0);
    }

    TEST_CASE("an older version of the routes does not replace a newer one")
    {
        // Two copies of the configuration arrive in the wrong order, one from a sibling that lags. Applying
        // the older one would make a withdrawn key valid again.
        PoolSimulation simulation { {} };
        auto older = std::make_shared<RouteTable>(*simulation.routes);
        simulation.routes->version = 5;
        simulation.routes->keys.erase("key-b");
        simulation.engine.setRoutes(std::make_shared<RouteTable>(*simulation.routes), simulation.now);
        simulation.engine.setRoutes(older, simulation.now);
        CHECK(simulation.closeFailure(simulation.connect("key-b")));
    }

    TEST_CASE("a VM that lacks a later configuration for too long refuses operations until it has it")
    {
        // Guards against statements that run by a configuration which operators have replaced seconds ago,
        // and against callers who are told that a database which was added does not exist.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        const auto inTransaction = simulation.connect();
        CHECK_FALSE(simulation.run(inTransaction, "t/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(inTransaction, "t/2", "WRITE 1 x").failure);
        simulation.engine.setConfigurationOutdated(true, simulation.now);
        const auto refused = simulation.run(caller, "c/1", "READ 1");
        CHECK(errorOf(refused) == StatementError::Busy);
        CHECK(refused.failure->text.find("retry after") != std::string::npos);
        CHECK(simulation.executionCount("c/1") == 0);
        const auto closed = simulation.closeFailure(simulation.connect("key-a", "nothing"));
        REQUIRE(closed);
        CHECK(closed->error == StatementError::Busy);
        CHECK_FALSE(simulation.run(inTransaction, "t/3", "COMMIT").failure);
        simulation.engine.setConfigurationOutdated(false, simulation.now);
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
    }

    TEST_CASE("a VM whose configuration nobody confirms answers busy, and never that a name is not known")
    {
        // Guards against a VM that is cut off, or wakes from a suspension, and tells callers by a replaced
        // configuration that their database or key does not exist. No message of the control thread and no
        // tick comes before the callers' messages.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        const auto inTransaction = simulation.connect();
        CHECK_FALSE(simulation.run(inTransaction, "t/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(inTransaction, "t/2", "WRITE 1 x").failure);
        simulation.engine.setConfigurationValidUntil(simulation.now + 1s);
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.now += 1s;
        const auto refused = simulation.run(caller, "c/2", "READ 1");
        CHECK(errorOf(refused) == StatementError::Busy);
        CHECK(refused.failure->text.find("retry after 200 ms") != std::string::npos);
        CHECK(simulation.executionCount("c/2") == 0);
        for (const auto& [key, database] : { std::pair { "key-a", "nothing" }, { "nobody", "beds" } }) {
            const auto closed = simulation.closeFailure(simulation.connect(key, database));
            REQUIRE(closed);
            CHECK(closed->error == StatementError::Busy);
        }
        CHECK(simulation.engine.counters().refusedUnconfirmed == 3);
        simulation.renewView();
        CHECK_FALSE(simulation.run(inTransaction, "t/3", "COMMIT").failure);
        simulation.engine.setConfigurationValidUntil(simulation.now + 1s);
        CHECK_FALSE(simulation.run(caller, "c/3", "READ 1").failure);
        CHECK(simulation.loggedEvents("configuration_unconfirmed").size() == 1);
        CHECK(simulation.loggedEvents("configuration_valid").size() == 1);
    }

    TEST_CASE("a VM opens no more connections to upstreams than its descriptors allow")
    {
        // Guards against a VM that uses up its file descriptors and can reach neither siblings nor the store.
        PoolSimulation simulation { {} };
        simulation.engine.setMaxConnections(1);
        const auto first = simulation.connect();
        const auto second = simulation.connect();
        CHECK_FALSE(simulation.run(first, "a/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(first, "a/2", "WRITE 1 x").failure);
        simulation.submit(second, "b/1", "WRITE 2 x");
        CHECK(simulation.takeReplies(second).empty());
        CHECK(simulation.openConnections() == 1);
        CHECK_FALSE(simulation.run(first, "a/3", "COMMIT").failure);
        CHECK_FALSE(simulation.takeReply(second).failure);
        CHECK(simulation.openConnections() == 1);
    }
}

TEST_SUITE("transactions")
{
    TEST_CASE("a transaction stays on one connection and its commit is the caller's own statement")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK(simulation.run(caller, "c/1", "BEGIN").phase == SessionPhase::InTransaction);
        CHECK(simulation.openConnections() == 0);
        CHECK(simulation.run(caller, "c/2", "WRITE 1 x").phase == SessionPhase::InTransaction);
        CHECK_FALSE(simulation.committed("c/2"));
        const auto reply = simulation.run(caller, "c/3", "COMMIT");
        CHECK(reply.phase == SessionPhase::Idle);
        CHECK(reply.proof == "proof");
        CHECK(simulation.committed("c/2"));
    }

    TEST_CASE("a transaction is opened in one round trip with its session's values")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "SET zone palermo").failure);
        CHECK_FALSE(simulation.run(caller, "c/3", "BEGIN").failure);
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/4", "WRITE 1 x");
        int roundTrips = 0;
        for (; simulation.executionCount("c/4") == 0 && roundTrips < 5; ++roundTrips)
            simulation.deliverHeldActions();
        CHECK(roundTrips == 2);
        CHECK_FALSE(simulation.takeReply(caller).failure);
    }

    TEST_CASE("nothing is committed when a caller leaves in the middle of a transaction")
    {
        // A client crashes between two statements. If its connection returned to the pool with the
        // transaction open, the next session's first write would commit what the crashed client had written.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        simulation.submit(caller, "c/1", "BEGIN");
        simulation.submit(caller, "c/2", "WRITE 1 x");
        simulation.disconnect(caller);
        const auto next = simulation.connect();
        CHECK_FALSE(simulation.run(next, "n/1", "WRITE 2 y").failure);
        CHECK(simulation.committed("n/1"));
        CHECK_FALSE(simulation.committed("c/2"));
    }

    TEST_CASE("nothing is committed when a caller leaves while its transaction is being opened")
    {
        // The client disconnects while its first statement is on its way, so no session is left to receive
        // the reply that opens the transaction. Without a rollback the connection would return to the pool
        // with the transaction open.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.submit(caller, "c/1", "BEGIN");
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/2", "WRITE 1 x");
        simulation.disconnect(caller);
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        const auto next = simulation.connect();
        CHECK_FALSE(simulation.run(next, "n/1", "WRITE 2 y").failure);
        CHECK(simulation.committed("n/1"));
        CHECK_FALSE(simulation.committed("c/2"));
    }

    TEST_CASE("a transaction whose connection is lost is aborted and the caller is told once")
    {
        // The upstream crashes between two statements of a transaction. The caller's next statement must not
        // run on another connection outside the transaction.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        simulation.submit(caller, "c/1", "BEGIN");
        simulation.submit(caller, "c/2", "WRITE 1 x");
        simulation.takeReplies(caller);
        simulation.engine.connectionLost(ConnectionId { 1 }, simulation.now);
        CHECK(errorOf(simulation.run(caller, "c/3", "WRITE 2 y")) == StatementError::Aborted);
        CHECK(errorOf(simulation.run(caller, "c/4", "READ 2")) == StatementError::Malformed);
        CHECK_FALSE(simulation.run(caller, "c/5", "ROLLBACK").failure);
        CHECK(simulation.executionCount("c/3") == 0);
        CHECK_FALSE(simulation.run(caller, "c/6", "READ 2").failure);
    }

    TEST_CASE("a lost commit reply means in doubt after a write and aborted after reads only")
    {
        // The upstream commits and its reply is lost. A caller that is told that nothing was committed would
        // reserve the bed a second time.
        PoolSimulation simulation { {} };
        const auto writer = simulation.connect();
        simulation.submit(writer, "w/1", "BEGIN");
        simulation.submit(writer, "w/2", "WRITE 1 x");
        simulation.takeReplies(writer);
        simulation.shouldLoseReply = [](const UpstreamStatement& statement) {
            return isCallerStatement(statement) && std::get<RelayStatement>(statement).text == "COMMIT";
        };
        const auto reply = simulation.run(writer, "w/3", "COMMIT");
        CHECK(errorOf(reply) == StatementError::InDoubt);
        CHECK(reply.phase == SessionPhase::Idle);
        CHECK(simulation.executionCount("w/3") == 1);
        const auto reader = simulation.connect();
        simulation.submit(reader, "r/1", "BEGIN");
        simulation.submit(reader, "r/2", "READ 1");
        simulation.takeReplies(reader);
        CHECK(errorOf(simulation.run(reader, "r/3", "COMMIT")) == StatementError::Aborted);
    }

    TEST_CASE("the longest idle transaction is aborted when others wait for its connection")
    {
        // Clients leave transactions open for a long time. With few connections to an upstream, a handful of
        // these would block all other callers.
        PoolSimulation simulation { { .connectionCap = 2 } };
        const auto longest = beginWithWrite(simulation, "l");
        simulation.advanceTime(100ms);
        const auto other = beginWithWrite(simulation, "o");
        simulation.advanceTime(3100ms);
        const auto next = simulation.connect();
        simulation.submit(next, "n/1", "WRITE 1 z");
        simulation.advanceTime(40ms);
        CHECK_FALSE(simulation.takeReply(next).failure);
        CHECK(errorOf(simulation.run(longest, "l/3", "WRITE 2 y")) == StatementError::Aborted);
        CHECK_FALSE(simulation.committed("l/2"));
        CHECK_FALSE(simulation.run(other, "o/3", "COMMIT").failure);
        CHECK(simulation.committed("o/2"));
    }

    TEST_CASE("an idle transaction goes on while nothing waits for its connection")
    {
        // A caller that works for longer than the idle time between two statements would lose its transaction
        // although nobody needs the connection.
        PoolSimulation simulation { { .connectionCap = 2 } };
        const auto caller = beginWithWrite(simulation, "c");
        simulation.advanceTime(60s);
        CHECK_FALSE(simulation.run(simulation.connect(), "n/1", "WRITE 1 z").failure);
        CHECK_FALSE(simulation.run(caller, "c/3", "COMMIT").failure);
        CHECK(simulation.committed("c/2"));
    }

    TEST_CASE("a transaction is not aborted before its idle time is over, however many statements wait")
    {
        // A burst of all teams takes no transaction from a caller that keeps to the idle time.
        PoolSimulation simulation { { .connectionCap = 2 } };
        const auto first = beginWithWrite(simulation, "f");
        const auto second = beginWithWrite(simulation, "s");
        simulation.advanceTime(2s);
        const auto next = simulation.connect();
        simulation.submit(next, "n/1", "WRITE 1 z");
        simulation.advanceTime(300ms);
        CHECK(errorOf(simulation.takeReply(next)) == StatementError::Busy);
        CHECK_FALSE(simulation.run(first, "f/3", "COMMIT").failure);
        CHECK_FALSE(simulation.run(second, "s/3", "COMMIT").failure);
    }
}

TEST_SUITE("retries")
{
    TEST_CASE("a write whose reply is lost is never sent again")
    {
        // The upstream ran the order and the network lost the reply. Sending it again would place it twice,
        // so the caller is told that the outcome is unknown.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        simulation.shouldLoseReply = isCallerStatement;
        CHECK(errorOf(simulation.run(caller, "c/1", "WRITE 1 x")) == StatementError::InDoubt);
        CHECK(simulation.executionCount("c/1") == 1);
    }

    TEST_CASE("a read whose reply is lost is run again")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        int lost = 0;
        simulation.shouldLoseReply = [&lost](const UpstreamStatement& statement) {
            return isCallerStatement(statement) && lost++ == 0;
        };
        simulation.submit(caller, "c/1", "READ 1");
        simulation.advanceTime(300ms);
        CHECK_FALSE(simulation.takeReply(caller).failure);
        CHECK(simulation.executionCount("c/1") == 2);
    }

    TEST_CASE("a write that the upstream reports as not run is retried")
    {
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        int refused = 0;
        simulation.interceptStatement
            = [&refused](const ModelConnection&, const UpstreamStatement& statement) -> std::optional<Reply> {
            if (!isCallerStatement(statement) || refused++ > 0)
                return std::nullopt;
            return Reply { .failure = StatementFailure { StatementError::Busy, "full" } };
        };
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.advanceTime(100ms);
        CHECK_FALSE(simulation.takeReply(caller).failure);
        CHECK(simulation.executionCount("c/1") == 1);
    }

    TEST_CASE("a late success logs how long it waited in the proxy and at the upstream")
    {
        // A user complains about a slow search. The log must tell whether it waited in the proxy or at the
        // upstream.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        CHECK(simulation.loggedEvents("late").empty());
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "READ 1");
        simulation.now += 250ms;
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        CHECK_FALSE(simulation.takeReply(caller).failure);
        const auto lines = simulation.loggedEvents("late");
        REQUIRE(lines.size() == 1);
        CHECK(lines.front().at("id") == "c/1");
        CHECK(lines.front().at("waited_ms") == "0");
        CHECK(lines.front().at("upstream_ms") == "250");
    }

    TEST_CASE("a write at a silent upstream is in doubt once the statement timeout has passed")
    {
        // The upstream stops responding with a write on its way. The caller must get a final reply once the
        // statement timeout has passed, and must not be told that the write was not run.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.upstream("primary").reachable = false;
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.advanceTime(980ms);
        CHECK(simulation.takeReplies(caller).empty());
        simulation.advanceTime(40ms);
        CHECK(errorOf(simulation.takeReply(caller)) == StatementError::InDoubt);
    }
}

TEST_SUITE("upstream selection")
{
    TEST_CASE("a read at a replica requires the position of the session's own write")
    {
        PoolSimulation simulation { readOwnWrites };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        const auto written = simulation.upstream("primary").logPosition;
        for (int index = 0; index < 4; ++index)
            simulation.submit(caller, "c/r" + std::to_string(index), "READ 1");
        for (const auto& run : simulation.executed()) {
            const bool replica = run.upstream != UpstreamName { "primary" };
            if (replica) {
                REQUIRE(run.after);
                CHECK(run.after->position >= LogPosition { written });
            }
        }
    }

    TEST_CASE("a read refused by a lagging replica is served by another upstream")
    {
        // Replication to one replica is delayed right after a write. A read there would show the bed as free
        // that the same user has just reserved.
        PoolSimulation simulation { readOwnWrites };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        simulation.upstream("replica-2").logPosition = 101;
        for (int index = 0; index < 10; ++index) {
            const auto id = "c/r" + std::to_string(index);
            simulation.submit(caller, id, "READ 1");
            simulation.advanceTime(60ms);
            CHECK_FALSE(simulation.takeReply(caller).failure);
        }
        for (const auto& run : simulation.executed())
            CHECK(run.upstream != UpstreamName { "replica-1" });
    }

    TEST_CASE("a bounded staleness read does not use a position recorded before its bound")
    {
        // No statement has gone to the primary for longer than the bound, and a replica may have fallen
        // behind since. Reading there without a required position would show listings that are older than
        // promised.
        PoolSimulation simulation { boundedStaleness };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.advanceTime(2s);
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
        CHECK(simulation.executed().back().upstream == UpstreamName { "primary" });
        CHECK_FALSE(simulation.run(caller, "c/3", "READ 1").failure);
        CHECK(simulation.executed().back().upstream != UpstreamName { "primary" });
        CHECK(simulation.executed().back().after);
    }

    TEST_CASE("writes are refused with retry advice "
              "without a valid view of the primary")
    {
        // This VM was suspended, or cut off from the store and the replicas, and another upstream may have
        // been promoted since. A write to the old primary would be acknowledged and lost.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        simulation.keepRenewingView = false;
        simulation.advanceTime(1010ms);
        simulation.submit(caller, "c/2", "WRITE 2 y");
        simulation.advanceTime(60ms);
        const auto reply = simulation.takeReply(caller);
        CHECK(errorOf(reply) == StatementError::Busy);
        CHECK(reply.failure->text.find("retry after") != std::string::npos);
        CHECK(simulation.executionCount("c/2") == 0);
    }

    TEST_CASE("a write answered after the view expired "
              "is acknowledged only once the view is confirmed")
    {
        // The reply arrives late, and meanwhile another VM may have promoted a replica that lacks this write.
        // Reporting success at once would acknowledge a write that is then lost.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.keepRenewingView = false;
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.now += 1100ms;
        simulation.holdUpstreamActions = false;
        SUBCASE("the view is renewed")
        {
            simulation.deliverHeldActions();
            CHECK(simulation.takeReplies(caller).empty());
            simulation.renewView();
            CHECK_FALSE(simulation.takeReply(caller).failure);
        }
        SUBCASE("another upstream leads")
        {
            simulation.deliverHeldActions();
            simulation.setPrimary("replica-1", 2);
            CHECK(errorOf(simulation.takeReply(caller)) == StatementError::InDoubt);
        }
    }

    TEST_CASE("writes are refused at once and replicas serve reads while the primary is replaced")
    {
        // Holding writes until they time out would only delay the advice to retry later.
        PoolSimulation simulation { readOwnWrites };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        simulation.upstream("replica-1").logPosition = simulation.upstream("primary").logPosition;
        simulation.setViewChanging();
        CHECK(errorOf(simulation.run(caller, "c/2", "WRITE 2 y")) == StatementError::Busy);
        CHECK_FALSE(simulation.run(caller, "c/3", "READ 1").failure);
        CHECK(simulation.executed().back().upstream == UpstreamName { "replica-1" });
    }

    TEST_CASE("positions of the previous term do not keep reads from replicas of the new term")
    {
        // After a failover the session's last write has a position of the old term. Requiring it of replicas
        // for ever would send every read of that session to the primary.
        PoolSimulation simulation { readOwnWrites };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        for (const auto* name : { "primary", "replica-1", "replica-2" }) {
            simulation.upstream(name).term = 2;
            simulation.upstream(name).logPosition = 50;
        }
        simulation.upstream("primary").primary = false;
        simulation.upstream("replica-1").primary = true;
        simulation.setPrimary("replica-1", 2);
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
        bool atReplica = false;
        for (int index = 0; index < 6; ++index) {
            CHECK_FALSE(simulation.run(caller, "c/r" + std::to_string(index), "READ 1").failure);
            atReplica = atReplica || simulation.executed().back().upstream != UpstreamName { "replica-1" };
        }
        CHECK(atReplica);
    }

    TEST_CASE("a draining upstream gets no new statements")
    {
        PoolSimulation simulation { boundedStaleness };
        const auto caller = simulation.connect();
        simulation.upstream("replica-1").entry.draining = true;
        simulation.upstream("replica-2").entry.draining = true;
        simulation.publishDirectory();
        for (int index = 0; index < 6; ++index)
            CHECK_FALSE(simulation.run(caller, "c/" + std::to_string(index), "READ 1").failure);
        for (const auto& run : simulation.executed())
            CHECK(run.upstream == UpstreamName { "primary" });
    }
}

TEST_SUITE("connection limits")
{
    TEST_CASE("statements beyond this VM's share of the connections wait in a queue")
    {
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 3 } };
        simulation.holdUpstreamActions = true;
        std::vector<CallerId> callers;
        for (int index = 0; index < 8; ++index) {
            callers.push_back(simulation.connect());
            simulation.submit(callers.back(), "c" + std::to_string(index) + "/1", "READ 1");
        }
        CHECK(simulation.engine.connections() <= 3);
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        for (const auto caller : callers)
            CHECK_FALSE(simulation.takeReply(caller).failure);
    }

    TEST_CASE("an idle connection of one team is replaced by one for the team that needs it")
    {
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 2 } };
        const auto first = simulation.connect("key-a");
        const auto second = simulation.connect("key-b");
        CHECK_FALSE(simulation.run(first, "f/1", "READ 1").failure);
        CHECK_FALSE(simulation.run(second, "s/1", "READ 1").failure);
        CHECK(simulation.executed()[0].team == TeamName { "a" });
        CHECK(simulation.executed()[1].team == TeamName { "b" });
    }

    TEST_CASE("idle connections are closed")
    {
        // All VMs lose power at once. Until the upstreams notice, the connections that were open then stay
        // taken, and the restarted VMs find all connections of the upstreams in use.
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 9 } };
        simulation.holdUpstreamActions = true;
        std::vector<CallerId> callers;
        for (int index = 0; index < 6; ++index) {
            callers.push_back(simulation.connect());
            simulation.submit(callers.back(), "c" + std::to_string(index) + "/1", "READ 1");
        }
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        for (const auto caller : callers)
            CHECK_FALSE(simulation.takeReply(caller).failure);
        CHECK(simulation.openConnections() == 6);
        simulation.advanceTime(180ms);
        CHECK(simulation.openConnections() == 6);
        simulation.advanceTime(40ms);
        CHECK(simulation.openConnections() == 0);
    }

    TEST_CASE("a statement that gets no connection within its target latency is refused")
    {
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 2 } };
        simulation.holdUpstreamActions = true;
        const auto first = simulation.connect();
        const auto second = simulation.connect();
        const auto third = simulation.connect();
        simulation.submit(first, "f/1", "READ 1");
        simulation.submit(second, "s/1", "READ 1");
        simulation.submit(third, "t/1", "READ 1");
        simulation.advanceTime(220ms);
        CHECK(errorOf(simulation.takeReply(third)) == StatementError::Busy);
    }
}

TEST_SUITE("team limits")
{
    const PoolSimulation::Options limited { .limits
        = { { TeamName { "a" }, { .ratePerSecond = 10, .burst = 2 } } } };

    TEST_CASE("an operation beyond this VM's share waits for tokens from siblings and then runs")
    {
        PoolSimulation simulation { limited };
        simulation.engine.setShares(
            { { TeamName { "a" }, { .ratePerSecond = 4, .burst = 1 } } }, simulation.now);
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.submit(caller, "c/2", "READ 1");
        CHECK(simulation.takeReplies(caller).empty());
        REQUIRE(simulation.tokenRequests.size() == 1);
        CHECK(simulation.tokenRequests.front().team == TeamName { "a" });
        simulation.engine.tokensReceived(TeamName { "a" }, 1, simulation.now);
        simulation.advanceTime(1ms);
        CHECK_FALSE(simulation.takeReply(caller).failure);
    }

    TEST_CASE("a team over its rate on all VMs is refused after a short wait and then at once")
    {
        // One team sends several times its rate. A waiting request holds no resource but costs its caller
        // time; once siblings have reported that they have no tokens left, the outcome is known.
        PoolSimulation simulation { limited };
        simulation.engine.setShares(
            { { TeamName { "a" }, { .ratePerSecond = 0.1, .burst = 1 } } }, simulation.now);
        const auto caller = simulation.connect();
        simulation.submit(caller, "c/1", "READ 1");
        simulation.engine.tokensReceived(TeamName { "a" }, 0, simulation.now);
        simulation.advanceTime(60ms);
        CHECK(errorOf(simulation.takeReply(caller)) == StatementError::Busy);
        simulation.submit(caller, "c/2", "READ 1");
        simulation.engine.tokensReceived(TeamName { "a" }, 0, simulation.now);
        simulation.advanceTime(55ms);
        CHECK(errorOf(simulation.takeReply(caller)) == StatementError::Busy);
        CHECK(errorOf(simulation.run(caller, "c/3", "READ 1")) == StatementError::Busy);
        CHECK(simulation.executed().empty());
    }

    TEST_CASE("an operation that no upstream has run does not count against its team's limit")
    {
        // Upstreams are full and callers retry as advised. If each of their tries counted, a team that keeps
        // to its rate would be refused for exceeding it.
        PoolSimulation simulation { { .limits = limited.limits } };
        simulation.engine.setShares(
            { { TeamName { "a" }, { .ratePerSecond = 0.01, .burst = 1 } } }, simulation.now);
        simulation.engine.tokensReceived(TeamName { "a" }, 1, simulation.now);
        const auto caller = simulation.connect();
        simulation.setViewChanging();
        for (int tries = 0; tries < 5; ++tries)
            CHECK(simulation.run(caller, "c/" + std::to_string(tries), "WRITE 1 x")
                      .failure->text.find("replaced")
                != std::string::npos);
        simulation.setPrimary("primary", 1);
        CHECK_FALSE(simulation.run(caller, "c/6", "WRITE 1 x").failure);
    }

    TEST_CASE("tokens given to a sibling are deducted from this VM's share")
    {
        PoolSimulation simulation { limited };
        simulation.engine.setShares(
            { { TeamName { "a" }, { .ratePerSecond = 4, .burst = 8 } } }, simulation.now);
        simulation.advanceTime(2s);
        CHECK(simulation.engine.giveTokens(TeamName { "a" }, 100, simulation.now) == 4);
        CHECK(simulation.engine.giveTokens(TeamName { "a" }, 100, simulation.now) == 2);
        CHECK(simulation.engine.giveTokens(TeamName { "none" }, 1, simulation.now) == 0);
    }
}

TEST_SUITE("planned stop")
{
    TEST_CASE("a planned stop closes idle sessions and lets open transactions finish")
    {
        PoolSimulation simulation { {} };
        const auto idle = simulation.connect();
        const auto busy = simulation.connect();
        simulation.submit(busy, "b/1", "BEGIN");
        simulation.submit(busy, "b/2", "WRITE 1 x");
        simulation.takeReplies(busy);
        simulation.engine.drain(simulation.now + 1s, simulation.now + 3s);
        simulation.advanceTime(500ms);
        CHECK_FALSE(simulation.isClosed(idle));
        simulation.advanceTime(600ms);
        CHECK(simulation.isClosed(idle));
        CHECK_FALSE(simulation.closeFailure(idle));
        CHECK_FALSE(simulation.isClosed(busy));
        CHECK_FALSE(simulation.run(busy, "b/3", "COMMIT").failure);
        CHECK(simulation.committed("b/2"));
        CHECK(simulation.isClosed(busy));
    }
}
