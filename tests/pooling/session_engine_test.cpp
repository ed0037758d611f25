#include "pool_simulation.h"

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolSimulation::Options readOwnWrites { .freshness = ReadOwnWritesRoute { 2500ms } };
const PoolSimulation::Options boundedStaleness { .freshness = BoundedStalenessRoute { 1500ms } };

bool isCallerStatement(const UpstreamStatement& statement)
{
    return std::holds_alternative<PassStatement>(statement);
}

} // namespace

TEST_SUITE("sessions of callers")
{
    TEST_CASE("a statement goes to the upstream with its id and text, and its rows come back with the proof")
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

    TEST_CASE("values and prepared statements follow a session to whichever connection serves it")
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

    TEST_CASE("a value that another session left on a connection is dropped before the next statement")
    {
        // Two sessions share one connection, and the first has set a value. Without a reset the second one's
        // statements would run under it: a user would read with another user's settings and see no error.
        PoolSimulation simulation { {} };
        const auto first = simulation.connect();
        const auto second = simulation.connect();
        CHECK_FALSE(simulation.run(first, "f/1", "SET scope all").failure);
        CHECK_FALSE(simulation.run(first, "f/2", "READ 1").failure);
        CHECK_FALSE(simulation.run(second, "s/1", "READ 1").failure);
        CHECK(simulation.executed()[0].values.size() == 1);
        CHECK(simulation.executed()[1].values.empty());
    }

    TEST_CASE("a prepared statement whose name is not known is told so and runs nothing")
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

    TEST_CASE("statements sent ahead of their answers are answered in order")
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

    TEST_CASE("bad messages are told apart: no such database, no such key, an unreadable statement")
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

    TEST_CASE("a key that was withdrawn stops working on a session that is already open")
    {
        // An operator withdraws a key while its holder is connected. A session that only checked at its start
        // would go on reading for as long as it stays open.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.routes->keys.erase("key-a");
        simulation.publishRoutes();
        CHECK(errorOf(simulation.run(caller, "c/2", "READ 1")) == StatementError::UnknownKey);
        CHECK(simulation.executionCount("c/2") == 0);
    }

    TEST_CASE("an older version of the routes never replaces a newer one")
    {
        // Two copies of the configuration arrive in the wrong order, one from a sibling that lags. Taking the
        // older one would bring a withdrawn key back to life.
        PoolSimulation simulation { {} };
        auto older = std::make_shared<RouteTable>(*simulation.routes);
        simulation.routes->version = 5;
        simulation.routes->keys.erase("key-b");
        simulation.engine.setRoutes(std::make_shared<RouteTable>(*simulation.routes), simulation.now);
        simulation.engine.setRoutes(older, simulation.now);
        CHECK(simulation.closeFailure(simulation.connect("key-b")));
    }
}

TEST_SUITE("transactions")
{
    TEST_CASE("a transaction stays on one connection, and its commit is the caller's own statement")
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

    TEST_CASE(
        "a transaction is opened along with the values of its session, and its statement waits for both")
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

    TEST_CASE("a caller that leaves in the middle of a transaction leaves nothing behind")
    {
        // A client crashes between two statements. If its connection went back to the pool with the
        // transaction open, the next session's first write would commit what the crashed one had written.
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

    TEST_CASE("a caller that leaves while its transaction is being opened leaves nothing behind")
    {
        // The client goes away just as its first statement is on its way: the answer to the opening finds
        // nobody. Without the drop the connection would go back with a transaction open.
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

    TEST_CASE("a transaction whose connection is lost is dropped, and the caller is told once")
    {
        // The upstream crashes between two statements of a transaction. The caller's next statement must not
        // run on another connection outside the transaction, as if nothing had happened.
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

    TEST_CASE("a commit whose answer is lost is in doubt if it wrote, and dropped if it only read")
    {
        // The upstream commits and its answer is lost. Telling the caller that nothing was kept would make it
        // reserve the bed a second time.
        PoolSimulation simulation { {} };
        const auto writer = simulation.connect();
        simulation.submit(writer, "w/1", "BEGIN");
        simulation.submit(writer, "w/2", "WRITE 1 x");
        simulation.takeReplies(writer);
        simulation.shouldLoseReply = [](const UpstreamStatement& statement) {
            return isCallerStatement(statement) && std::get<PassStatement>(statement).text == "COMMIT";
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

    TEST_CASE("a transaction in which the caller rests too long is ended, and its connection serves others")
    {
        // A client opens a transaction and goes to lunch. With few connections to an upstream a handful of
        // these would stop everybody else.
        PoolSimulation simulation { { .connectionCap = 2 } };
        const auto caller = simulation.connect();
        simulation.submit(caller, "c/1", "BEGIN");
        simulation.submit(caller, "c/2", "WRITE 1 x");
        simulation.takeReplies(caller);
        simulation.advanceTime(3100ms);
        CHECK(errorOf(simulation.run(caller, "c/3", "WRITE 2 y")) == StatementError::Aborted);
        CHECK_FALSE(simulation.committed("c/2"));
        const auto next = simulation.connect();
        CHECK_FALSE(simulation.run(next, "n/1", "WRITE 1 z").failure);
    }
}

TEST_SUITE("what may run twice")
{
    TEST_CASE("a write whose answer is lost is never sent again")
    {
        // The upstream ran the order and the network lost the answer. Sending it again would place it twice;
        // the caller is told that nobody knows.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        simulation.shouldLoseReply = isCallerStatement;
        CHECK(errorOf(simulation.run(caller, "c/1", "WRITE 1 x")) == StatementError::InDoubt);
        CHECK(simulation.executionCount("c/1") == 1);
    }

    TEST_CASE("a read whose answer is lost runs again elsewhere")
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

    TEST_CASE("a write that the upstream says it did not run is tried again")
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

    TEST_CASE("a statement that succeeds late has a line that tells where its time went")
    {
        // A user complains that a search took long. The lines must tell whether it waited here or there.
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

    TEST_CASE(
        "a silent upstream costs its statement no more than the route allows, and a write stays in doubt")
    {
        // The upstream goes dark with a write on its way. The caller must get a final answer when the
        // statement's time is over, and not be told that nothing happened.
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

TEST_SUITE("which upstream may answer")
{
    TEST_CASE("a read of one's own writes names the position of the write at a replica")
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

    TEST_CASE("a replica that lags refuses, and the read is served by one that does not")
    {
        // Replication to one replica is held up right after a write. A read there would show the bed as free
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

    TEST_CASE("a bounded read does not trust what was seen of the primary longer ago than its bound")
    {
        // No statement has gone to the primary for longer than the bound, and a replica may have fallen
        // behind since. Reading there unchecked would show listings that are older than promised.
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

    TEST_CASE("without a view of the primary that holds nothing is written, and the caller is told when to "
              "come back")
    {
        // This VM was suspended, or cut off from store and replicas: another upstream may have been promoted
        // since. A write to the old primary would be acknowledged and lost.
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

    TEST_CASE("a write that is answered after the view has lapsed is acknowledged only once the view is "
              "known to have held")
    {
        // The answer comes late, and meanwhile another VM may have promoted a replica that lacks this write.
        // Passing the success on at once would acknowledge a write that is then lost.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.keepRenewingView = false;
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.now += 1100ms;
        simulation.holdUpstreamActions = false;
        SUBCASE("it held")
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

    TEST_CASE("while the primary is being replaced writes are refused at once and reads go on at replicas")
    {
        // Holding writes until their time is over would only hide from callers that they should come back
        // later.
        PoolSimulation simulation { readOwnWrites };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "WRITE 1 x").failure);
        simulation.upstream("replica-1").logPosition = simulation.upstream("primary").logPosition;
        simulation.setViewChanging();
        CHECK(errorOf(simulation.run(caller, "c/2", "WRITE 2 y")) == StatementError::Busy);
        CHECK_FALSE(simulation.run(caller, "c/3", "READ 1").failure);
        CHECK(simulation.executed().back().upstream == UpstreamName { "replica-1" });
    }

    TEST_CASE("positions of the term before do not keep reads from replicas of the new term")
    {
        // After a failover the session's last write has a position of the old term. Asking replicas for it
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

    TEST_CASE("an upstream that announces its end gets no new work")
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

TEST_SUITE("scarce connections")
{
    TEST_CASE("connections stay within this VM's share, and work beyond it waits in turn")
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

    TEST_CASE(
        "a connection that is free for another team is closed and opened anew for the team that needs it")
    {
        PoolSimulation simulation { { .replicas = 0, .connectionCap = 2 } };
        const auto first = simulation.connect("key-a");
        const auto second = simulation.connect("key-b");
        CHECK_FALSE(simulation.run(first, "f/1", "READ 1").failure);
        CHECK_FALSE(simulation.run(second, "s/1", "READ 1").failure);
        CHECK(simulation.executed()[0].team == TeamName { "a" });
        CHECK(simulation.executed()[1].team == TeamName { "b" });
    }

    TEST_CASE("connections that nobody uses are given back")
    {
        // All VMs lose power at once. Until their upstreams notice, the connections that were open then stay
        // taken, and the VMs come back to upstreams that are full of the dead.
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

    TEST_CASE("work that nobody can take within its target is refused, with when to come back")
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

TEST_SUITE("limits")
{
    const PoolSimulation::Options limited { .limits
        = { { TeamName { "a" }, { .ratePerSecond = 10, .burst = 2 } } } };

    TEST_CASE(
        "an operation beyond this VM's share waits for siblings to give, and goes on with what they give")
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

    TEST_CASE("a team that is over its rate everywhere is refused after a short wait and then at once")
    {
        // One team sends several times its rate. Each of its requests that waits holds nothing but costs its
        // caller time; once siblings have said that nothing is left, the answer is known.
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

    TEST_CASE("an operation that no upstream has run is not counted against its team")
    {
        // Upstreams are full and callers come back, as they are told to. If each of their tries counted, a
        // team that keeps to its rate would be refused for being over it.
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

    TEST_CASE("what is given to a sibling is gone here")
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

TEST_SUITE("a planned stop")
{
    TEST_CASE("idle sessions are closed, transactions get their time, and nothing that came in is cut")
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
