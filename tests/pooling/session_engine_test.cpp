#include "pool_simulation.h"

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolWorld::Options ownWrites { .freshness = ReadOwnWritesRoute { 2500ms } };
const PoolWorld::Options bounded { .freshness = BoundedStalenessRoute { 1500ms } };

bool isMain(const UpstreamStatement& statement) { return std::holds_alternative<PassStatement>(statement); }

} // namespace

TEST_SUITE("sessions of callers")
{
    TEST_CASE("a statement goes to the upstream with its id and text, and its rows come back with the proof")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        const auto reply = world.run(caller, "c/1", "READ 1a4");
        CHECK_FALSE(reply.failure);
        CHECK(reply.rows == std::vector<std::string> { "row of c/1" });
        CHECK(reply.proof == "proof");
        REQUIRE(world.runs().size() == 1);
        CHECK(world.runs().front().text == "READ 1a4");
        CHECK(world.runs().front().team == TeamName { "a" });
    }

    TEST_CASE("values and prepared statements follow a session to whichever connection serves it")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        const auto other = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "SET zone palermo").failure);
        CHECK_FALSE(world.run(caller, "c/2", "PREPARE s1 WRITE shape-of-c").failure);
        CHECK_FALSE(world.run(other, "o/1", "PREPARE s1 READ shape-of-o").failure);
        CHECK_FALSE(world.run(other, "o/2", "EXECUTE s1 item").failure);
        CHECK_FALSE(world.run(caller, "c/3", "EXECUTE s1 item").failure);
        REQUIRE(world.runs().size() == 2);
        CHECK(world.runs()[0].shape == PreparedShape { false, "shape-of-o" });
        CHECK(world.runs()[0].values.empty());
        CHECK(world.runs()[1].shape == PreparedShape { true, "shape-of-c" });
        CHECK(world.runs()[1].values == std::map<std::string, std::string> { { "zone", "palermo" } });
        CHECK(world.openConnections() == 1);
    }

    TEST_CASE("a value that another session left on a connection is dropped before the next statement")
    {
        // Two sessions share one connection, and the first has set a value. Without a reset the second one's
        // statements would run under it: a user would read with another user's settings and see no error.
        PoolWorld world { {} };
        const auto first = world.connect();
        const auto second = world.connect();
        CHECK_FALSE(world.run(first, "f/1", "SET scope all").failure);
        CHECK_FALSE(world.run(first, "f/2", "READ 1").failure);
        CHECK_FALSE(world.run(second, "s/1", "READ 1").failure);
        CHECK(world.runs()[0].values.size() == 1);
        CHECK(world.runs()[1].values.empty());
    }

    TEST_CASE("a prepared statement whose name is not known is told so and runs nothing")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK(errorOf(world.run(caller, "c/1", "EXECUTE none item")) == StatementError::UnknownStatement);
        CHECK_FALSE(world.run(caller, "c/2", "PREPARE s READ q").failure);
        CHECK_FALSE(world.run(caller, "c/3", "DEALLOCATE s").failure);
        CHECK(errorOf(world.run(caller, "c/4", "EXECUTE s item")) == StatementError::UnknownStatement);
        CHECK(errorOf(world.run(caller, "c/5", "DEALLOCATE s")) == StatementError::UnknownStatement);
        CHECK(world.runs().empty());
    }

    TEST_CASE("statements sent ahead of their answers are answered in order")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        world.holding = true;
        world.ask(caller, "c/1", "READ 1");
        world.ask(caller, "c/2", "SET a b");
        world.ask(caller, "c/3", "READ 2");
        CHECK(world.answers(caller).empty());
        world.holding = false;
        world.deliver();
        const auto replies = world.answers(caller);
        REQUIRE(replies.size() == 3);
        CHECK(replies[0].rows.front() == "row of c/1");
        CHECK(replies[1].proof == "-");
        CHECK(replies[2].rows.front() == "row of c/3");
    }

    TEST_CASE("bad messages are told apart: no such database, no such key, an unreadable statement")
    {
        PoolWorld world { {} };
        const auto nowhere = world.connect("key-a", "nothing");
        REQUIRE(world.closedWith(nowhere));
        CHECK(world.closedWith(nowhere)->error == StatementError::UnknownDatabase);
        const auto stranger = world.connect("key-x");
        REQUIRE(world.closedWith(stranger));
        CHECK(world.closedWith(stranger)->error == StatementError::UnknownKey);
        const auto caller = world.connect();
        CHECK(errorOf(world.run(caller, "c/1", "GRANT everything")) == StatementError::Malformed);
        CHECK(errorOf(world.run(caller, "c/2", "COMMIT")) == StatementError::Malformed);
        CHECK_FALSE(world.run(caller, "c/3", "READ 1").failure);
    }

    TEST_CASE("a key that was withdrawn stops working on a session that is already open")
    {
        // An operator withdraws a key while its holder is connected. A session that only checked at its start
        // would go on reading for as long as it stays open.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.routes->keys.erase("key-a");
        world.publishRoutes();
        CHECK(errorOf(world.run(caller, "c/2", "READ 1")) == StatementError::UnknownKey);
        CHECK(world.timesRun("c/2") == 0);
    }

    TEST_CASE("an older version of the routes never replaces a newer one")
    {
        // Two copies of the configuration arrive in the wrong order, one from a sibling that lags. Taking the
        // older one would bring a withdrawn key back to life.
        PoolWorld world { {} };
        auto older = std::make_shared<RouteTable>(*world.routes);
        world.routes->version = 5;
        world.routes->keys.erase("key-b");
        world.engine.setRoutes(std::make_shared<RouteTable>(*world.routes), world.now);
        world.engine.setRoutes(older, world.now);
        CHECK(world.closedWith(world.connect("key-b")));
    }
}

TEST_SUITE("transactions")
{
    TEST_CASE("a transaction stays on one connection, and its commit is the caller's own statement")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK(world.run(caller, "c/1", "BEGIN").phase == SessionPhase::InTransaction);
        CHECK(world.openConnections() == 0);
        CHECK(world.run(caller, "c/2", "WRITE 1 x").phase == SessionPhase::InTransaction);
        CHECK_FALSE(world.committed("c/2"));
        const auto reply = world.run(caller, "c/3", "COMMIT");
        CHECK(reply.phase == SessionPhase::Idle);
        CHECK(reply.proof == "proof");
        CHECK(world.committed("c/2"));
    }

    TEST_CASE(
        "a transaction is opened along with the values of its session, and its statement waits for both")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        CHECK_FALSE(world.run(caller, "c/2", "SET zone palermo").failure);
        CHECK_FALSE(world.run(caller, "c/3", "BEGIN").failure);
        world.holding = true;
        world.ask(caller, "c/4", "WRITE 1 x");
        int roundTrips = 0;
        for (; world.timesRun("c/4") == 0 && roundTrips < 5; ++roundTrips)
            world.deliver();
        CHECK(roundTrips == 2);
        CHECK_FALSE(world.answer(caller).failure);
    }

    TEST_CASE("a caller that leaves in the middle of a transaction leaves nothing behind")
    {
        // A client crashes between two statements. If its connection went back to the pool with the
        // transaction open, the next session's first write would commit what the crashed one had written.
        PoolWorld world { {} };
        const auto caller = world.connect();
        world.ask(caller, "c/1", "BEGIN");
        world.ask(caller, "c/2", "WRITE 1 x");
        world.leave(caller);
        const auto next = world.connect();
        CHECK_FALSE(world.run(next, "n/1", "WRITE 2 y").failure);
        CHECK(world.committed("n/1"));
        CHECK_FALSE(world.committed("c/2"));
    }

    TEST_CASE("a caller that leaves while its transaction is being opened leaves nothing behind")
    {
        // The client goes away just as its first statement is on its way: the answer to the opening finds
        // nobody. Without the drop the connection would go back with a transaction open.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.ask(caller, "c/1", "BEGIN");
        world.holding = true;
        world.ask(caller, "c/2", "WRITE 1 x");
        world.leave(caller);
        world.holding = false;
        world.deliver();
        const auto next = world.connect();
        CHECK_FALSE(world.run(next, "n/1", "WRITE 2 y").failure);
        CHECK(world.committed("n/1"));
        CHECK_FALSE(world.committed("c/2"));
    }

    TEST_CASE("a transaction whose connection is lost is dropped, and the caller is told once")
    {
        // The upstream crashes between two statements of a transaction. The caller's next statement must not
        // run on another connection outside the transaction, as if nothing had happened.
        PoolWorld world { {} };
        const auto caller = world.connect();
        world.ask(caller, "c/1", "BEGIN");
        world.ask(caller, "c/2", "WRITE 1 x");
        world.answers(caller);
        world.engine.connectionLost(ConnectionId { 1 }, world.now);
        CHECK(errorOf(world.run(caller, "c/3", "WRITE 2 y")) == StatementError::Aborted);
        CHECK(errorOf(world.run(caller, "c/4", "READ 2")) == StatementError::Malformed);
        CHECK_FALSE(world.run(caller, "c/5", "ROLLBACK").failure);
        CHECK(world.timesRun("c/3") == 0);
        CHECK_FALSE(world.run(caller, "c/6", "READ 2").failure);
    }

    TEST_CASE("a commit whose answer is lost is in doubt if it wrote, and dropped if it only read")
    {
        // The upstream commits and its answer is lost. Telling the caller that nothing was kept would make it
        // reserve the bed a second time.
        PoolWorld world { {} };
        const auto writer = world.connect();
        world.ask(writer, "w/1", "BEGIN");
        world.ask(writer, "w/2", "WRITE 1 x");
        world.answers(writer);
        world.loseAnswer = [](const UpstreamStatement& statement) {
            return isMain(statement) && std::get<PassStatement>(statement).text == "COMMIT";
        };
        const auto reply = world.run(writer, "w/3", "COMMIT");
        CHECK(errorOf(reply) == StatementError::InDoubt);
        CHECK(reply.phase == SessionPhase::Idle);
        CHECK(world.timesRun("w/3") == 1);
        const auto reader = world.connect();
        world.ask(reader, "r/1", "BEGIN");
        world.ask(reader, "r/2", "READ 1");
        world.answers(reader);
        CHECK(errorOf(world.run(reader, "r/3", "COMMIT")) == StatementError::Aborted);
    }

    TEST_CASE("a transaction in which the caller rests too long is ended, and its connection serves others")
    {
        // A client opens a transaction and goes to lunch. With few connections to an upstream a handful of
        // these would stop everybody else.
        PoolWorld world { { .connectionCap = 2 } };
        const auto caller = world.connect();
        world.ask(caller, "c/1", "BEGIN");
        world.ask(caller, "c/2", "WRITE 1 x");
        world.answers(caller);
        world.pass(3100ms);
        CHECK(errorOf(world.run(caller, "c/3", "WRITE 2 y")) == StatementError::Aborted);
        CHECK_FALSE(world.committed("c/2"));
        const auto next = world.connect();
        CHECK_FALSE(world.run(next, "n/1", "WRITE 1 z").failure);
    }
}

TEST_SUITE("what may run twice")
{
    TEST_CASE("a write whose answer is lost is never sent again")
    {
        // The upstream ran the order and the network lost the answer. Sending it again would place it twice;
        // the caller is told that nobody knows.
        PoolWorld world { {} };
        const auto caller = world.connect();
        world.loseAnswer = isMain;
        CHECK(errorOf(world.run(caller, "c/1", "WRITE 1 x")) == StatementError::InDoubt);
        CHECK(world.timesRun("c/1") == 1);
    }

    TEST_CASE("a read whose answer is lost runs again elsewhere")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        int lost = 0;
        world.loseAnswer
            = [&lost](const UpstreamStatement& statement) { return isMain(statement) && lost++ == 0; };
        world.ask(caller, "c/1", "READ 1");
        world.pass(300ms);
        CHECK_FALSE(world.answer(caller).failure);
        CHECK(world.timesRun("c/1") == 2);
    }

    TEST_CASE("a write that the upstream says it did not run is tried again")
    {
        PoolWorld world { {} };
        const auto caller = world.connect();
        int refused = 0;
        world.interfere
            = [&refused](const ModelConnection&, const UpstreamStatement& statement) -> std::optional<Reply> {
            if (!isMain(statement) || refused++ > 0)
                return std::nullopt;
            return Reply { .failure = StatementFailure { StatementError::Busy, "full" } };
        };
        world.ask(caller, "c/1", "WRITE 1 x");
        world.pass(100ms);
        CHECK_FALSE(world.answer(caller).failure);
        CHECK(world.timesRun("c/1") == 1);
    }

    TEST_CASE("a statement that succeeds late has a line that tells where its time went")
    {
        // A user complains that a search took long. The lines must tell whether it waited here or there.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        CHECK(world.logged("late").empty());
        world.holding = true;
        world.ask(caller, "c/1", "READ 1");
        world.now += 250ms;
        world.holding = false;
        world.deliver();
        CHECK_FALSE(world.answer(caller).failure);
        const auto lines = world.logged("late");
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
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.upstream("primary").reachable = false;
        world.ask(caller, "c/1", "WRITE 1 x");
        world.pass(980ms);
        CHECK(world.answers(caller).empty());
        world.pass(40ms);
        CHECK(errorOf(world.answer(caller)) == StatementError::InDoubt);
    }
}

TEST_SUITE("which upstream may answer")
{
    TEST_CASE("a read of one's own writes names the position of the write at a replica")
    {
        PoolWorld world { ownWrites };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        const auto written = world.upstream("primary").received;
        for (int index = 0; index < 4; ++index)
            world.ask(caller, "c/r" + std::to_string(index), "READ 1");
        for (const auto& run : world.runs()) {
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
        PoolWorld world { ownWrites };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        world.upstream("replica-2").received = 101;
        for (int index = 0; index < 10; ++index) {
            const auto id = "c/r" + std::to_string(index);
            world.ask(caller, id, "READ 1");
            world.pass(60ms);
            CHECK_FALSE(world.answer(caller).failure);
        }
        for (const auto& run : world.runs())
            CHECK(run.upstream != UpstreamName { "replica-1" });
    }

    TEST_CASE("a bounded read does not trust what was seen of the primary longer ago than its bound")
    {
        // No statement has gone to the primary for longer than the bound, and a replica may have fallen
        // behind since. Reading there unchecked would show listings that are older than promised.
        PoolWorld world { bounded };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.pass(2s);
        CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
        CHECK(world.runs().back().upstream == UpstreamName { "primary" });
        CHECK_FALSE(world.run(caller, "c/3", "READ 1").failure);
        CHECK(world.runs().back().upstream != UpstreamName { "primary" });
        CHECK(world.runs().back().after);
    }

    TEST_CASE("without a view of the primary that holds nothing is written, and the caller is told when to "
              "come back")
    {
        // This VM was suspended, or cut off from store and replicas: another upstream may have been promoted
        // since. A write to the old primary would be acknowledged and lost.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        world.renewing = false;
        world.pass(1010ms);
        world.ask(caller, "c/2", "WRITE 2 y");
        world.pass(60ms);
        const auto reply = world.answer(caller);
        CHECK(errorOf(reply) == StatementError::Busy);
        CHECK(reply.failure->text.find("retry after") != std::string::npos);
        CHECK(world.timesRun("c/2") == 0);
    }

    TEST_CASE("a write that is answered after the view has lapsed is acknowledged only once the view is "
              "known to have held")
    {
        // The answer comes late, and meanwhile another VM may have promoted a replica that lacks this write.
        // Passing the success on at once would acknowledge a write that is then lost.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.renewing = false;
        world.holding = true;
        world.ask(caller, "c/1", "WRITE 1 x");
        world.now += 1100ms;
        world.holding = false;
        SUBCASE("it held")
        {
            world.deliver();
            CHECK(world.answers(caller).empty());
            world.renewLeader();
            CHECK_FALSE(world.answer(caller).failure);
        }
        SUBCASE("another upstream leads")
        {
            world.deliver();
            world.lead("replica-1", 2);
            CHECK(errorOf(world.answer(caller)) == StatementError::InDoubt);
        }
    }

    TEST_CASE("while the primary is being replaced writes are refused at once and reads go on at replicas")
    {
        // Holding writes until their time is over would only hide from callers that they should come back
        // later.
        PoolWorld world { ownWrites };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        world.upstream("replica-1").received = world.upstream("primary").received;
        world.setChanging();
        CHECK(errorOf(world.run(caller, "c/2", "WRITE 2 y")) == StatementError::Busy);
        CHECK_FALSE(world.run(caller, "c/3", "READ 1").failure);
        CHECK(world.runs().back().upstream == UpstreamName { "replica-1" });
    }

    TEST_CASE("positions of the term before do not keep reads from replicas of the new term")
    {
        // After a failover the session's last write has a position of the old term. Asking replicas for it
        // for ever would send every read of that session to the primary.
        PoolWorld world { ownWrites };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        for (const auto* name : { "primary", "replica-1", "replica-2" }) {
            world.upstream(name).term = 2;
            world.upstream(name).received = 50;
        }
        world.upstream("primary").primary = false;
        world.upstream("replica-1").primary = true;
        world.lead("replica-1", 2);
        CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
        bool atReplica = false;
        for (int index = 0; index < 6; ++index) {
            CHECK_FALSE(world.run(caller, "c/r" + std::to_string(index), "READ 1").failure);
            atReplica = atReplica || world.runs().back().upstream != UpstreamName { "replica-1" };
        }
        CHECK(atReplica);
    }

    TEST_CASE("an upstream that announces its end gets no new work")
    {
        PoolWorld world { bounded };
        const auto caller = world.connect();
        world.upstream("replica-1").entry.draining = true;
        world.upstream("replica-2").entry.draining = true;
        world.publishDirectory();
        for (int index = 0; index < 6; ++index)
            CHECK_FALSE(world.run(caller, "c/" + std::to_string(index), "READ 1").failure);
        for (const auto& run : world.runs())
            CHECK(run.upstream == UpstreamName { "primary" });
    }
}

TEST_SUITE("scarce connections")
{
    TEST_CASE("connections stay within this VM's share, and work beyond it waits in turn")
    {
        PoolWorld world { { .replicas = 0, .connectionCap = 3 } };
        world.holding = true;
        std::vector<CallerId> callers;
        for (int index = 0; index < 8; ++index) {
            callers.push_back(world.connect());
            world.ask(callers.back(), "c" + std::to_string(index) + "/1", "READ 1");
        }
        CHECK(world.engine.connections() <= 3);
        world.holding = false;
        world.deliver();
        for (const auto caller : callers)
            CHECK_FALSE(world.answer(caller).failure);
    }

    TEST_CASE(
        "a connection that is free for another team is closed and opened anew for the team that needs it")
    {
        PoolWorld world { { .replicas = 0, .connectionCap = 2 } };
        const auto first = world.connect("key-a");
        const auto second = world.connect("key-b");
        CHECK_FALSE(world.run(first, "f/1", "READ 1").failure);
        CHECK_FALSE(world.run(second, "s/1", "READ 1").failure);
        CHECK(world.runs()[0].team == TeamName { "a" });
        CHECK(world.runs()[1].team == TeamName { "b" });
    }

    TEST_CASE("connections that nobody uses are given back")
    {
        // All VMs lose power at once. Until their upstreams notice, the connections that were open then stay
        // taken, and the VMs come back to upstreams that are full of the dead.
        PoolWorld world { { .replicas = 0, .connectionCap = 9 } };
        world.holding = true;
        std::vector<CallerId> callers;
        for (int index = 0; index < 6; ++index) {
            callers.push_back(world.connect());
            world.ask(callers.back(), "c" + std::to_string(index) + "/1", "READ 1");
        }
        world.holding = false;
        world.deliver();
        for (const auto caller : callers)
            CHECK_FALSE(world.answer(caller).failure);
        CHECK(world.openConnections() == 6);
        world.pass(180ms);
        CHECK(world.openConnections() == 6);
        world.pass(40ms);
        CHECK(world.openConnections() == 0);
    }

    TEST_CASE("work that nobody can take within its target is refused, with when to come back")
    {
        PoolWorld world { { .replicas = 0, .connectionCap = 2 } };
        world.holding = true;
        const auto first = world.connect();
        const auto second = world.connect();
        const auto third = world.connect();
        world.ask(first, "f/1", "READ 1");
        world.ask(second, "s/1", "READ 1");
        world.ask(third, "t/1", "READ 1");
        world.pass(220ms);
        CHECK(errorOf(world.answer(third)) == StatementError::Busy);
    }
}

TEST_SUITE("limits")
{
    const PoolWorld::Options limited { .limits
        = { { TeamName { "a" }, { .ratePerSecond = 10, .burst = 2 } } } };

    TEST_CASE(
        "an operation beyond this VM's share waits for siblings to give, and goes on with what they give")
    {
        PoolWorld world { limited };
        world.engine.setShares({ { TeamName { "a" }, { .ratePerSecond = 4, .burst = 1 } } }, world.now);
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.ask(caller, "c/2", "READ 1");
        CHECK(world.answers(caller).empty());
        REQUIRE(world.tokenQuestions.size() == 1);
        CHECK(world.tokenQuestions.front().team == TeamName { "a" });
        world.engine.tokensReceived(TeamName { "a" }, 1, world.now);
        world.pass(1ms);
        CHECK_FALSE(world.answer(caller).failure);
    }

    TEST_CASE("a team that is over its rate everywhere is refused after a short wait and then at once")
    {
        // One team sends several times its rate. Each of its requests that waits holds nothing but costs its
        // caller time; once siblings have said that nothing is left, the answer is known.
        PoolWorld world { limited };
        world.engine.setShares({ { TeamName { "a" }, { .ratePerSecond = 0.1, .burst = 1 } } }, world.now);
        const auto caller = world.connect();
        world.ask(caller, "c/1", "READ 1");
        world.engine.tokensReceived(TeamName { "a" }, 0, world.now);
        world.pass(60ms);
        CHECK(errorOf(world.answer(caller)) == StatementError::Busy);
        world.ask(caller, "c/2", "READ 1");
        world.engine.tokensReceived(TeamName { "a" }, 0, world.now);
        world.pass(55ms);
        CHECK(errorOf(world.answer(caller)) == StatementError::Busy);
        CHECK(errorOf(world.run(caller, "c/3", "READ 1")) == StatementError::Busy);
        CHECK(world.runs().empty());
    }

    TEST_CASE("an operation that no upstream has run is not counted against its team")
    {
        // Upstreams are full and callers come back, as they are told to. If each of their tries counted, a
        // team that keeps to its rate would be refused for being over it.
        PoolWorld world { { .limits = limited.limits } };
        world.engine.setShares({ { TeamName { "a" }, { .ratePerSecond = 0.01, .burst = 1 } } }, world.now);
        world.engine.tokensReceived(TeamName { "a" }, 1, world.now);
        const auto caller = world.connect();
        world.setChanging();
        for (int tries = 0; tries < 5; ++tries)
            CHECK(world.run(caller, "c/" + std::to_string(tries), "WRITE 1 x").failure->text.find("replaced")
                != std::string::npos);
        world.lead("primary", 1);
        CHECK_FALSE(world.run(caller, "c/6", "WRITE 1 x").failure);
    }

    TEST_CASE("what is given to a sibling is gone here")
    {
        PoolWorld world { limited };
        world.engine.setShares({ { TeamName { "a" }, { .ratePerSecond = 4, .burst = 8 } } }, world.now);
        world.pass(2s);
        CHECK(world.engine.giveTokens(TeamName { "a" }, 100, world.now) == 4);
        CHECK(world.engine.giveTokens(TeamName { "a" }, 100, world.now) == 2);
        CHECK(world.engine.giveTokens(TeamName { "none" }, 1, world.now) == 0);
    }
}

TEST_SUITE("a planned stop")
{
    TEST_CASE("idle sessions are closed, transactions get their time, and nothing that came in is cut")
    {
        PoolWorld world { {} };
        const auto idle = world.connect();
        const auto busy = world.connect();
        world.ask(busy, "b/1", "BEGIN");
        world.ask(busy, "b/2", "WRITE 1 x");
        world.answers(busy);
        world.engine.drain(world.now + 1s, world.now + 3s);
        world.pass(500ms);
        CHECK_FALSE(world.isClosed(idle));
        world.pass(600ms);
        CHECK(world.isClosed(idle));
        CHECK_FALSE(world.closedWith(idle));
        CHECK_FALSE(world.isClosed(busy));
        CHECK_FALSE(world.run(busy, "b/3", "COMMIT").failure);
        CHECK(world.committed("b/2"));
        CHECK(world.isClosed(busy));
    }
}
