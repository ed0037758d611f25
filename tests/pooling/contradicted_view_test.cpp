#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolWorld::Options bounded { .freshness = BoundedStalenessRoute { 1500ms } };
const UpstreamName formerPrimary { "primary" };

/// A database of the same upstreams whose reads see every commit.
void addPrimaryRoute(PoolWorld& world)
{
    world.routes->routes["desk"] = world.routes->routes["beds"];
    world.routes->routes["desk"].freshness = PrimaryRoute {};
    world.publishRoutes();
}

/// Reads of `caller` until one ran at a replica.
void readAtReplica(PoolWorld& world, CallerId caller)
{
    const auto before = world.runs().size();
    for (int tries = 0; tries < 8; ++tries) {
        world.ask(caller, "b/" + std::to_string(before) + '.' + std::to_string(tries), "READ 1");
        world.pass(40ms);
        if (!world.runs().empty() && world.runs().back().upstream != formerPrimary)
            break;
    }
    REQUIRE(world.runs().size() > before);
    REQUIRE(world.runs().back().upstream != formerPrimary);
    world.answers(caller);
}

bool isContradicted(const PoolWorld& world)
{
    const auto all = world.engine.evidence();
    return std::any_of(
        all.begin(), all.end(), [](const UpstreamEvidence& evidence) { return evidence.contradictsView; });
}

/// Reads of `caller` until one came to an upstream of a later term.
void seeLaterTerm(PoolWorld& world, CallerId caller)
{
    for (int tries = 0; tries < 8 && !isContradicted(world); ++tries) {
        world.ask(caller, "b/" + std::to_string(tries), "READ 1");
        world.pass(40ms);
    }
    REQUIRE(isContradicted(world));
    world.pass(100ms);
    world.answers(caller);
}

/// The answer that a caller gets to what it asked within the time in which work waits for a primary.
Reply answerSoon(PoolWorld& world, CallerId caller)
{
    world.pass(80ms);
    return world.answer(caller);
}

void checkSentAway(const Reply& reply)
{
    REQUIRE(reply.failure);
    CHECK(reply.failure->error == StatementError::Busy);
    CHECK(reply.failure->text.find("retry after") != std::string::npos);
}

/// Answers the next statement with this text in the place of the upstream.
void answerOnce(PoolWorld& world, const std::string& text, std::optional<Progress> progress,
    SessionPhase phase = SessionPhase::Idle)
{
    world.interfere
        = [=, &world](const ModelConnection&, const UpstreamStatement& statement) -> std::optional<Reply> {
        const auto* pass = std::get_if<PassStatement>(&statement);
        if (pass == nullptr || pass->text != text)
            return std::nullopt;
        std::optional reply { Reply {
            .rows = { "row" }, .proof = "proof", .phase = phase, .progress = progress } };
        // This ends what is captured here.
        world.interfere = nullptr;
        return reply;
    };
}

Progress at(std::uint64_t term, std::uint64_t position)
{
    return { Term { term }, LogPosition { position } };
}

} // namespace

TEST_SUITE("a view of the primary that answers contradict")
{
    TEST_CASE("after a replica has told a later term nothing is sent to the view's primary")
    {
        // Guards against reads and writes at a former primary by a VM that has already seen the next one's
        // term.
        PoolWorld world { bounded };
        addPrimaryRoute(world);
        const auto reader = world.connect();
        const auto caller = world.connect("key-a", "desk");
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        for (const auto* name : { "replica-1", "replica-2" })
            world.upstream(name).term = 2;
        world.upstream("replica-1").primary = true;
        seeLaterTerm(world, reader);
        const auto before = world.runs().size();
        world.ask(caller, "c/2", "READ 1");
        checkSentAway(answerSoon(world, caller));
        world.ask(caller, "c/3", "WRITE 1 x");
        checkSentAway(answerSoon(world, caller));
        CHECK(world.runs().size() == before);
        world.lead("replica-1", 2);
        CHECK_FALSE(world.run(caller, "c/4", "READ 1").failure);
        CHECK(world.runs().back().upstream == UpstreamName { "replica-1" });
    }

    TEST_CASE("a renewal does not bring a contradicted view back, and a later term of the same primary does")
    {
        // Guards against a view that is renewed past what was seen, and against a primary that is never used
        // again.
        PoolWorld world { bounded };
        addPrimaryRoute(world);
        const auto reader = world.connect();
        const auto caller = world.connect("key-a", "desk");
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.promote("replica-1");
        world.promote("primary");
        seeLaterTerm(world, reader);
        world.setChanging();
        world.lead("primary", 1);
        world.ask(caller, "c/2", "WRITE 1 x");
        checkSentAway(answerSoon(world, caller));
        CHECK(world.timesRun("c/2") == 0);
        world.lead("primary", 3);
        CHECK_FALSE(world.run(caller, "c/3", "WRITE 1 x").failure);
    }

    TEST_CASE("a contradiction that nothing bears out keeps a primary from its callers for seconds only")
    {
        // Guards against a VM that never serves a group again after an answer from a term that came to
        // nothing.
        PoolWorld world { bounded };
        addPrimaryRoute(world);
        const auto reader = world.connect();
        const auto caller = world.connect("key-a", "desk");
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        for (const auto* name : { "replica-1", "replica-2" })
            world.upstream(name).term = 2;
        seeLaterTerm(world, reader);
        for (const auto* name : { "replica-1", "replica-2" })
            world.upstream(name).term = 1;
        world.lead("primary", 1);
        world.ask(caller, "c/2", "WRITE 1 x");
        checkSentAway(answerSoon(world, caller));
        world.pass(5s);
        world.lead("primary", 1);
        CHECK_FALSE(world.run(caller, "c/3", "WRITE 1 x").failure);
    }

    TEST_CASE("a statement is not sent on a connection whose greeting comes from a later term")
    {
        // Guards against running a statement at a former primary that has told its term when the connection
        // opened.
        PoolWorld world { {} };
        world.promote("replica-1");
        const auto caller = world.connect();
        world.ask(caller, "c/1", "READ 1");
        checkSentAway(answerSoon(world, caller));
        CHECK(world.timesRun("c/1") == 0);
    }

    TEST_CASE("a transaction that rests on a contradicted view reads no more")
    {
        // Guards against reads on a snapshot that may have been taken when the next primary led already.
        PoolWorld world { bounded };
        addPrimaryRoute(world);
        const auto reader = world.connect();
        const auto caller = world.connect("key-a", "desk");
        SUBCASE("one for reading") { CHECK_FALSE(world.run(caller, "c/1", "BEGIN READ").failure); }
        SUBCASE("one for writing") { CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure); }
        CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
        for (const auto* name : { "replica-1", "replica-2" })
            world.upstream(name).term = 2;
        seeLaterTerm(world, reader);
        const auto reply = world.run(caller, "c/3", "READ 1");
        CHECK(errorOf(reply) == StatementError::Aborted);
        CHECK(reply.phase == SessionPhase::FailedTransaction);
        CHECK(world.timesRun("c/3") == 0);
    }

    TEST_CASE("a primary that refuses to act as one is not read at as one")
    {
        // Guards against reads of primary routes at an upstream that has answered READONLY under the same
        // view.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.upstream("primary").primary = false;
        SUBCASE("to a write") { world.ask(caller, "c/1", "WRITE 1 x"); }
        SUBCASE("to the opening of a transaction")
        {
            CHECK_FALSE(world.run(caller, "c/b", "BEGIN").failure);
            world.ask(caller, "c/1", "WRITE 1 x");
        }
        SUBCASE("within a transaction")
        {
            world.upstream("primary").primary = true;
            CHECK_FALSE(world.run(caller, "c/b", "BEGIN").failure);
            CHECK_FALSE(world.run(caller, "c/w", "WRITE 1 x").failure);
            world.upstream("primary").primary = false;
            world.ask(caller, "c/1", "WRITE 1 x");
        }
        world.pass(300ms);
        CHECK(world.answer(caller).failure);
        const auto other = world.connect();
        world.ask(other, "o/1", "READ 1");
        checkSentAway(answerSoon(world, other));
        CHECK(world.timesRun("o/1") == 0);
    }

    TEST_CASE("a write that a transaction for reading refuses says nothing of who leads")
    {
        // Guards against one caller's mistake that would take a healthy primary out of service.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN READ").failure);
        CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
        world.interfere = [](const ModelConnection&, const UpstreamStatement& statement) {
            std::optional<Reply> refused;
            if (std::holds_alternative<PassStatement>(statement))
                refused = Reply { .failure = StatementFailure { StatementError::ReadOnly, "no" },
                    .phase = SessionPhase::FailedTransaction };
            return refused;
        };
        CHECK(world.run(caller, "c/3", "WRITE 1 x").failure);
        world.interfere = nullptr;
        const auto other = world.connect();
        CHECK_FALSE(world.run(other, "o/1", "WRITE 1 x").failure);
    }

    TEST_CASE("a refusal of what was sent under an earlier view says nothing of the present one")
    {
        // Guards against a late READONLY that would take a primary out of service which leads again.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.holding = true;
        world.ask(caller, "c/1", "WRITE 1 x");
        world.lead("replica-1", 2);
        world.upstream("primary").term = 3;
        world.lead("primary", 3);
        world.interfere = [&world](const ModelConnection&, const UpstreamStatement& statement) {
            std::optional<Reply> refused;
            if (std::holds_alternative<PassStatement>(statement)) {
                refused = Reply { .failure = StatementFailure { StatementError::ReadOnly, "no" } };
                world.interfere = nullptr;
            }
            return refused;
        };
        world.holding = false;
        world.deliver();
        world.pass(40ms);
        CHECK_FALSE(world.answer(caller).failure);
    }

    TEST_CASE("the control side is told until a view comes that is not contradicted")
    {
        // Guards against a later term that is forgotten with the first new view, though that one is older
        // still.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        CHECK_FALSE(isContradicted(world));
        world.promote("replica-1");
        world.promote("replica-2");
        world.ask(caller, "c/2", "READ 1");
        world.pass(80ms);
        CHECK(isContradicted(world));
        world.lead("replica-1", 2);
        CHECK(isContradicted(world));
        world.lead("replica-2", 3);
        CHECK_FALSE(isContradicted(world));
    }
}

TEST_SUITE("reads that rest on a view of the primary")
{
    TEST_CASE("a read that a former primary answers from the next term is not delivered")
    {
        // Guards against the stale read at a former primary that follows the next term and lacks a commit of
        // it.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.promote("replica-1");
        world.ask(caller, "c/1", "READ 1");
        CHECK(world.answers(caller).empty());
        SUBCASE("the view of the next primary comes in time")
        {
            world.lead("replica-1", 2);
            CHECK_FALSE(world.answer(caller).failure);
            CHECK(world.runs().back().upstream == UpstreamName { "replica-1" });
        }
        SUBCASE("it does not")
        {
            checkSentAway(answerSoon(world, caller));
            CHECK(world.timesRun("c/1") == 1);
        }
    }

    TEST_CASE("a read is judged by the view under which it was sent")
    {
        // Guards against a stale read whose answer comes when the view of the next term is already there.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.holding = true;
        world.ask(caller, "c/1", "READ 1");
        world.promote("replica-1");
        world.lead("replica-1", 2);
        world.holding = false;
        world.deliver();
        CHECK_FALSE(world.answer(caller).failure);
        CHECK(world.runs().back().upstream == UpstreamName { "replica-1" });
    }

    TEST_CASE("a bounded read that named no position is judged like one of a primary route")
    {
        // Guards against a bounded read at a former primary that may be behind by more than the bound.
        PoolWorld world { bounded };
        const auto caller = world.connect();
        world.interfere = [&world](const ModelConnection&, const UpstreamStatement& statement) {
            if (std::holds_alternative<PassStatement>(statement) && world.runs().empty())
                world.promote("replica-1");
            world.interfere = nullptr;
            return std::optional<Reply> {};
        };
        world.ask(caller, "c/1", "READ 1");
        const auto reply = answerSoon(world, caller);
        REQUIRE_FALSE(world.runs().front().after);
        CHECK((reply.failure || world.runs().back().after));
    }

    TEST_CASE("a bounded read that named a position is delivered whatever term answers")
    {
        // Guards against refusing reads at replicas during a failover, whose freshness rests on no view.
        PoolWorld world { bounded };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.setChanging();
        world.promote("replica-1");
        for (int index = 0; index < 4; ++index)
            CHECK_FALSE(world.run(caller, "c/r" + std::to_string(index), "READ 1").failure);
    }

    TEST_CASE("a transaction for reading is not opened at a former primary")
    {
        // Guards against a snapshot taken at a former primary, at which all reads of the transaction would
        // run.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN READ").failure);
        world.promote("replica-1");
        world.ask(caller, "c/2", "READ 1");
        SUBCASE("it waits for the view of the next primary")
        {
            world.lead("replica-1", 2);
            CHECK_FALSE(world.answer(caller).failure);
            CHECK(world.runs().back().upstream == UpstreamName { "replica-1" });
            CHECK_FALSE(world.run(caller, "c/3", "COMMIT").failure);
        }
        SUBCASE("without one it is sent away")
        {
            checkSentAway(answerSoon(world, caller));
            CHECK(world.timesRun("c/2") == 0);
        }
    }

    TEST_CASE("a transaction whose read is answered from a later term is dropped")
    {
        // Guards against a stale read within a transaction, and against keeping what such a transaction
        // wrote.
        PoolWorld world { {} };
        const auto caller = world.connect();
        SUBCASE("one for reading")
        {
            CHECK_FALSE(world.run(caller, "c/1", "BEGIN READ").failure);
            CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
            world.promote("replica-1");
        }
        SUBCASE("one that has written")
        {
            CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
            CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 x").failure);
            answerOnce(world, "READ 9", at(2, 90), SessionPhase::InTransaction);
        }
        const auto reply = world.run(caller, "c/3", "READ 9");
        CHECK(errorOf(reply) == StatementError::Aborted);
        CHECK(reply.phase == SessionPhase::FailedTransaction);
        CHECK_FALSE(world.run(caller, "c/4", "ROLLBACK").failure);
        world.pass(100ms);
        CHECK_FALSE(world.committed("c/2"));
    }

    TEST_CASE("a transaction that named a position goes on whatever term answers")
    {
        // Guards against dropping transactions at replicas in every failover.
        PoolWorld world { bounded };
        const auto reader = world.connect();
        CHECK_FALSE(world.run(reader, "r/1", "READ 1").failure);
        readAtReplica(world, reader);
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN READ").failure);
        CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
        REQUIRE(world.runs().back().upstream != formerPrimary);
        world.promote("replica-1");
        CHECK_FALSE(world.run(caller, "c/3", "READ 1").failure);
        CHECK_FALSE(world.run(caller, "c/4", "COMMIT").failure);
    }
}

TEST_SUITE("commits that rest on a view of the primary")
{
    TEST_CASE("a write that is answered from a later term is a success only once a view of that term holds")
    {
        // Guards against acknowledging a write under a view that its own answer shows to be out of date.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        answerOnce(world, "WRITE 1 x", at(3, 101));
        world.ask(caller, "c/1", "WRITE 1 x");
        CHECK(world.answers(caller).empty());
        SUBCASE("that view comes")
        {
            world.pass(200ms);
            world.lead("primary", 3);
            CHECK_FALSE(world.answer(caller).failure);
        }
        SUBCASE("another one comes")
        {
            world.lead("replica-1", 4);
            CHECK(errorOf(world.answer(caller)) == StatementError::InDoubt);
        }
        SUBCASE("none comes")
        {
            world.pass(900ms);
            CHECK(errorOf(world.answer(caller)) == StatementError::InDoubt);
        }
    }

    TEST_CASE("a commit that is answered from a later term is held like a write")
    {
        // Guards against the same for transactions, whose commit must be in doubt and not dropped.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(world.run(caller, "c/2", "WRITE 1 x").failure);
        answerOnce(world, "COMMIT", at(3, 101));
        world.ask(caller, "c/3", "COMMIT");
        CHECK(world.answers(caller).empty());
        world.pass(900ms);
        const auto reply = world.answer(caller);
        CHECK(errorOf(reply) == StatementError::InDoubt);
        CHECK(reply.phase == SessionPhase::Idle);
    }

    TEST_CASE("a write of an earlier term is not a success because its upstream leads once more")
    {
        // Guards against acknowledging a write that two promotions may have cut from the log in between.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.holding = true;
        world.ask(caller, "c/1", "WRITE 1 x");
        world.lead("replica-1", 2);
        world.lead("primary", 3);
        world.holding = false;
        world.deliver();
        world.pass(20ms);
        CHECK(errorOf(world.answer(caller)) == StatementError::InDoubt);
    }

    TEST_CASE("a write that no view can confirm any more is in doubt at once")
    {
        // Guards against keeping a caller waiting for a view that cannot come.
        PoolWorld world { {} };
        const auto writer = world.connect();
        const auto other = world.connect();
        const auto askBoth = [&](const std::string& second) {
            world.holding = true;
            world.ask(writer, "w/" + second, "WRITE 1 x");
            world.ask(other, "o/" + second, second);
            world.holding = false;
        };
        askBoth("READ 1");
        world.deliver();
        CHECK_FALSE(world.answer(writer).failure);
        CHECK_FALSE(world.answer(other).failure);
        world.renewing = false;
        const auto answerWith = [&world](const std::string& text, const Reply& reply) {
            world.interfere = [text, reply, before = world.interfere](
                                  const ModelConnection& connection, const UpstreamStatement& statement) {
                const auto* pass = std::get_if<PassStatement>(&statement);
                if (pass != nullptr && pass->text == text)
                    return std::optional { reply };
                return before ? before(connection, statement) : std::nullopt;
            };
        };
        SUBCASE("as a term later than its own was seen")
        {
            askBoth("READ 2");
            answerWith("WRITE 1 x", { .proof = "proof", .progress = at(3, 101) });
            answerWith("READ 2", { .proof = "proof", .progress = at(4, 101) });
        }
        SUBCASE("as its upstream has refused to act as the primary")
        {
            askBoth("WRITE 2 y");
            world.now += 1100ms;
            answerWith("WRITE 2 y", { .failure = StatementFailure { StatementError::ReadOnly, "no" } });
        }
        world.deliver();
        world.pass(20ms);
        CHECK(errorOf(world.answer(writer)) == StatementError::InDoubt);
    }

    TEST_CASE("a write whose answer tells no position waits for the view like any other")
    {
        // Guards against a success without a view that holds, for want of a position to compare.
        PoolWorld world { {} };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/0", "READ 1").failure);
        world.renewing = false;
        world.holding = true;
        world.ask(caller, "c/1", "WRITE 1 x");
        world.now += 1100ms;
        world.holding = false;
        answerOnce(world, "WRITE 1 x", std::nullopt);
        world.deliver();
        CHECK(world.answers(caller).empty());
        SUBCASE("it held")
        {
            world.renewLeader();
            CHECK_FALSE(world.answer(caller).failure);
        }
        SUBCASE("another upstream leads")
        {
            world.lead("replica-1", 2);
            CHECK(errorOf(world.answer(caller)) == StatementError::InDoubt);
        }
    }
}

TEST_SUITE("terms that siblings tell")
{
    TEST_CASE("a home does not read at its view's primary for a session that has written in a later term")
    {
        // Guards against a session that misses its own write at a home whose view is out of date.
        PoolWorld world { { .freshness = ReadOwnWritesRoute { 2500ms } } };
        const auto first = world.connect();
        CHECK_FALSE(world.run(first, "f/1", "READ 1").failure);
        HandedWork work { .guest = CallerId { 77 },
            .query = { .id = "g/1", .text = "READ 1", .statement = ReadItem {} },
            .team = TeamName { "a" },
            .route = world.routes->routes.at("beds"),
            .floor = at(2, 101) };
        world.engine.guestAsked(work, world.now);
        world.pass(100ms);
        CHECK(world.timesRun("g/1") == 0);
    }

    TEST_CASE("what a home answers from a later term ends the view of the VM that handed it on")
    {
        // Guards against a VM that runs work itself under a view that its home has shown to be out of date.
        PoolWorld world { { .throughHome = true } };
        const auto caller = world.connect();
        world.promote("replica-1");
        world.engine.setLeader(ServiceName { "register" },
            { .phase = LeaderView::Phase::Led,
                .primary = UpstreamName { "replica-1" },
                .term = Term { 2 },
                .validUntil = world.now + 1s },
            world.now);
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.failHanding = [](const HandWork&) { return std::optional { HandFailure::NotTaken }; };
        world.renewing = false;
        world.ask(caller, "c/2", "READ 1");
        checkSentAway(answerSoon(world, caller));
        CHECK(world.entry->connections() == 0);
    }
}

TEST_SUITE("positions that were noted under a view")
{
    TEST_CASE("positions noted under a view that still held when a later term was seen are not used any more")
    {
        // Guards against bounded reads at positions of a former primary, which cover no commit of the next
        // one.
        PoolWorld world { bounded };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.promote("replica-1");
        seeLaterTerm(world, caller);
        const auto before = world.runs().size();
        world.ask(caller, "c/2", "READ 1");
        checkSentAway(answerSoon(world, caller));
        CHECK(world.runs().size() == before);
    }

    TEST_CASE("positions noted under a view that had ended go on serving reads at replicas")
    {
        // Guards against refusing reads during every failover, from the first answer of the next term on.
        PoolWorld world { bounded };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "READ 1").failure);
        world.setChanging();
        world.promote("replica-1");
        for (int index = 0; index < 4; ++index) {
            CHECK_FALSE(world.run(caller, "c/r" + std::to_string(index), "READ 1").failure);
            CHECK(world.runs().back().after);
        }
    }
}
