#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const PoolSimulation::Options boundedStaleness { .freshness = BoundedStalenessRoute { 1500ms } };
const UpstreamName formerPrimary { "primary" };

/// Adds the database "desk" on the same upstreams, whose reads see every commit.
void addPrimaryRoute(PoolSimulation& simulation)
{
    simulation.routes->routes["desk"] = simulation.routes->routes["beds"];
    simulation.routes->routes["desk"].freshness = PrimaryRoute {};
    simulation.publishRoutes();
}

/// Sends reads of `caller` until one has run at a replica.
void readUntilServedByReplica(PoolSimulation& simulation, CallerId caller)
{
    const auto before = simulation.executed().size();
    for (int tries = 0; tries < 8; ++tries) {
        simulation.submit(caller, "b/" + std::to_string(before) + '.' + std::to_string(tries), "READ 1");
        simulation.advanceTime(40ms);
        if (!simulation.executed().empty() && simulation.executed().back().upstream != formerPrimary)
            break;
    }
    REQUIRE(simulation.executed().size() > before);
    REQUIRE(simulation.executed().back().upstream != formerPrimary);
    simulation.takeReplies(caller);
}

bool isContradicted(const PoolSimulation& simulation)
{
    const auto all = simulation.engine.upstreamHealth();
    return std::any_of(all.begin(), all.end(),
        [](const UpstreamHealth& upstreamHealth) { return upstreamHealth.contradictsView; });
}

/// Sends reads of `caller` until the reply of a later term has contradicted the view.
void readUntilLaterTermSeen(PoolSimulation& simulation, CallerId caller)
{
    for (int tries = 0; tries < 8 && !isContradicted(simulation); ++tries) {
        simulation.submit(caller, "b/" + std::to_string(tries), "READ 1");
        simulation.advanceTime(40ms);
    }
    REQUIRE(isContradicted(simulation));
    simulation.advanceTime(100ms);
    simulation.takeReplies(caller);
}

/// Returns the reply after the longest time that a statement waits for a valid view of the primary.
Reply takeReplyAfterWait(PoolSimulation& simulation, CallerId caller)
{
    simulation.advanceTime(80ms);
    return simulation.takeReply(caller);
}

void checkRefusedWithRetryAdvice(const Reply& reply)
{
    REQUIRE(reply.failure);
    CHECK(reply.failure->error == StatementError::Busy);
    CHECK(reply.failure->text.find("retry after") != std::string::npos);
}

/// Replies to the next statement with this text in place of the upstream.
void replyOnce(PoolSimulation& simulation, const std::string& text, std::optional<Progress> progress,
    SessionPhase phase = SessionPhase::Idle)
{
    simulation.interceptStatement = [=, &simulation](const ModelConnection&,
                                        const UpstreamStatement& statement) -> std::optional<Reply> {
        const auto* callerStatement = std::get_if<RelayStatement>(&statement);
        if (callerStatement == nullptr || callerStatement->text != text)
            return std::nullopt;
        std::optional reply { Reply {
            .rows = { "row" }, .proof = "proof", .phase = phase, .progress = progress } };
        // Destroys this lambda and its captures, so nothing captured is used after this line.
        simulation.interceptStatement = nullptr;
        return reply;
    };
}

Progress progressAt(std::uint64_t term, std::uint64_t position)
{
    return { Term { term }, LogPosition { position } };
}

} // namespace

TEST_SUITE("a view of the primary contradicted by replies")
{
    TEST_CASE("nothing is sent to the view's primary after a replica reported a later term")
    {
        // Guards against a VM that sends reads and writes to a former primary although it has already seen
        // the next primary's term.
        PoolSimulation simulation { boundedStaleness };
        addPrimaryRoute(simulation);
        const auto reader = simulation.connect();
        const auto caller = simulation.connect("key-a", "desk");
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        for (const auto* name : { "replica-1", "replica-2" })
            simulation.upstream(name).term = 2;
        simulation.upstream("replica-1").primary = true;
        readUntilLaterTermSeen(simulation, reader);
        const auto before = simulation.executed().size();
        simulation.submit(caller, "c/2", "READ 1");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
        simulation.submit(caller, "c/3", "WRITE 1 x");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
        CHECK(simulation.executed().size() == before);
        simulation.setPrimary("replica-1", 2);
        CHECK_FALSE(simulation.run(caller, "c/4", "READ 1").failure);
        CHECK(simulation.executed().back().upstream == UpstreamName { "replica-1" });
    }

    TEST_CASE("a later term of the same primary replaces a contradicted view and a renewal does not")
    {
        // Guards against renewing a view that replies have contradicted, and against a primary that is never
        // used again.
        PoolSimulation simulation { boundedStaleness };
        addPrimaryRoute(simulation);
        const auto reader = simulation.connect();
        const auto caller = simulation.connect("key-a", "desk");
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.promote("replica-1");
        simulation.promote("primary");
        readUntilLaterTermSeen(simulation, reader);
        simulation.setViewChanging();
        simulation.setPrimary("primary", 1);
        simulation.submit(caller, "c/2", "WRITE 1 x");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
        CHECK(simulation.executionCount("c/2") == 0);
        simulation.setPrimary("primary", 3);
        CHECK_FALSE(simulation.run(caller, "c/3", "WRITE 1 x").failure);
    }

    TEST_CASE("an unconfirmed contradiction makes the primary unavailable for seconds only")
    {
        // Guards against a VM that never serves a group again after a reply from a term that did not last.
        PoolSimulation simulation { boundedStaleness };
        addPrimaryRoute(simulation);
        const auto reader = simulation.connect();
        const auto caller = simulation.connect("key-a", "desk");
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        for (const auto* name : { "replica-1", "replica-2" })
            simulation.upstream(name).term = 2;
        readUntilLaterTermSeen(simulation, reader);
        for (const auto* name : { "replica-1", "replica-2" })
            simulation.upstream(name).term = 1;
        simulation.setPrimary("primary", 1);
        simulation.submit(caller, "c/2", "WRITE 1 x");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
        simulation.advanceTime(5s);
        simulation.setPrimary("primary", 1);
        CHECK_FALSE(simulation.run(caller, "c/3", "WRITE 1 x").failure);
    }

    TEST_CASE("a statement is not sent on a connection whose greeting reports a later term")
    {
        // Guards against running a statement at a former primary that reported the later term when the
        // connection opened.
        PoolSimulation simulation { {} };
        simulation.promote("replica-1");
        const auto caller = simulation.connect();
        simulation.submit(caller, "c/1", "READ 1");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
        CHECK(simulation.executionCount("c/1") == 0);
    }

    TEST_CASE("a transaction that depends on a contradicted view is aborted at its next read")
    {
        // Guards against reads on a snapshot that may have been taken after the next primary was promoted.
        PoolSimulation simulation { boundedStaleness };
        addPrimaryRoute(simulation);
        const auto reader = simulation.connect();
        const auto caller = simulation.connect("key-a", "desk");
        SUBCASE("read-only") { CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN READ").failure); }
        SUBCASE("read-write") { CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure); }
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
        for (const auto* name : { "replica-1", "replica-2" })
            simulation.upstream(name).term = 2;
        readUntilLaterTermSeen(simulation, reader);
        const auto reply = simulation.run(caller, "c/3", "READ 1");
        CHECK(errorOf(reply) == StatementError::Aborted);
        CHECK(reply.phase == SessionPhase::FailedTransaction);
        CHECK(simulation.executionCount("c/3") == 0);
    }

    TEST_CASE("no primary read goes to an upstream that refused to act as the primary")
    {
        // Guards against reads of primary routes at an upstream that has replied READONLY under the same
        // view.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.upstream("primary").primary = false;
        SUBCASE("refuses a write") { simulation.submit(caller, "c/1", "WRITE 1 x"); }
        SUBCASE("refuses to open a transaction")
        {
            CHECK_FALSE(simulation.run(caller, "c/b", "BEGIN").failure);
            simulation.submit(caller, "c/1", "WRITE 1 x");
        }
        SUBCASE("refuses a write in an open transaction")
        {
            simulation.upstream("primary").primary = true;
            CHECK_FALSE(simulation.run(caller, "c/b", "BEGIN").failure);
            CHECK_FALSE(simulation.run(caller, "c/w", "WRITE 1 x").failure);
            simulation.upstream("primary").primary = false;
            simulation.submit(caller, "c/1", "WRITE 1 x");
        }
        simulation.advanceTime(300ms);
        CHECK(simulation.takeReply(caller).failure);
        const auto other = simulation.connect();
        simulation.submit(other, "o/1", "READ 1");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, other));
        CHECK(simulation.executionCount("o/1") == 0);
    }

    TEST_CASE("a write refused in a read-only transaction does not contradict the view")
    {
        // Guards against one caller's mistake taking a healthy primary out of service.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN READ").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
        simulation.interceptStatement = [](const ModelConnection&, const UpstreamStatement& statement) {
            std::optional<Reply> refused;
            if (std::holds_alternative<RelayStatement>(statement))
                refused = Reply { .failure = StatementFailure { StatementError::ReadOnly, "no" },
                    .phase = SessionPhase::FailedTransaction };
            return refused;
        };
        CHECK(simulation.run(caller, "c/3", "WRITE 1 x").failure);
        simulation.interceptStatement = nullptr;
        const auto other = simulation.connect();
        CHECK_FALSE(simulation.run(other, "o/1", "WRITE 1 x").failure);
    }

    TEST_CASE("a refusal of a statement sent under an earlier view does not contradict the view")
    {
        // Guards against a late READONLY reply taking a primary out of service that has been promoted again
        // since.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.setPrimary("replica-1", 2);
        simulation.upstream("primary").term = 3;
        simulation.setPrimary("primary", 3);
        simulation.interceptStatement
            = [&simulation](const ModelConnection&, const UpstreamStatement& statement) {
                  std::optional<Reply> refused;
                  if (std::holds_alternative<RelayStatement>(statement)) {
                      refused = Reply { .failure = StatementFailure { StatementError::ReadOnly, "no" } };
                      simulation.interceptStatement = nullptr;
                  }
                  return refused;
              };
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        simulation.advanceTime(40ms);
        CHECK_FALSE(simulation.takeReply(caller).failure);
    }

    TEST_CASE("a contradiction is reported until a view arrives that is not contradicted")
    {
        // Guards against forgetting the later term with the first new view although that view is older still.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        CHECK_FALSE(isContradicted(simulation));
        simulation.promote("replica-1");
        simulation.promote("replica-2");
        simulation.submit(caller, "c/2", "READ 1");
        simulation.advanceTime(80ms);
        CHECK(isContradicted(simulation));
        simulation.setPrimary("replica-1", 2);
        CHECK(isContradicted(simulation));
        simulation.setPrimary("replica-2", 3);
        CHECK_FALSE(isContradicted(simulation));
    }
}

TEST_SUITE("reads that depend on a view of the primary")
{
    TEST_CASE("a read that a former primary answers in the next term is not delivered")
    {
        // Guards against a stale read at a former primary that follows the next term and lacks one of its
        // commits.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.promote("replica-1");
        simulation.submit(caller, "c/1", "READ 1");
        CHECK(simulation.takeReplies(caller).empty());
        SUBCASE("the view of the next primary arrives in time")
        {
            simulation.setPrimary("replica-1", 2);
            CHECK_FALSE(simulation.takeReply(caller).failure);
            CHECK(simulation.executed().back().upstream == UpstreamName { "replica-1" });
        }
        SUBCASE("the view of the next primary does not arrive")
        {
            checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
            CHECK(simulation.executionCount("c/1") == 1);
        }
    }

    TEST_CASE("a read is checked against the view under which it was sent")
    {
        // Guards against a stale read whose reply arrives after the view of the next term.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "READ 1");
        simulation.promote("replica-1");
        simulation.setPrimary("replica-1", 2);
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        CHECK_FALSE(simulation.takeReply(caller).failure);
        CHECK(simulation.executed().back().upstream == UpstreamName { "replica-1" });
    }

    TEST_CASE("a bounded staleness read without a position is checked like a primary read")
    {
        // Guards against a bounded staleness read at a former primary that may be behind by more than the
        // bound.
        PoolSimulation simulation { boundedStaleness };
        const auto caller = simulation.connect();
        simulation.interceptStatement
            = [&simulation](const ModelConnection&, const UpstreamStatement& statement) {
                  if (std::holds_alternative<RelayStatement>(statement) && simulation.executed().empty())
                      simulation.promote("replica-1");
                  simulation.interceptStatement = nullptr;
                  return std::optional<Reply> {};
              };
        simulation.submit(caller, "c/1", "READ 1");
        const auto reply = takeReplyAfterWait(simulation, caller);
        REQUIRE_FALSE(simulation.executed().front().after);
        CHECK((reply.failure || simulation.executed().back().after));
    }

    TEST_CASE("a bounded staleness read with a position is delivered whatever term answers")
    {
        // Guards against refusing reads at replicas during a failover; their freshness does not depend on a
        // view.
        PoolSimulation simulation { boundedStaleness };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.setViewChanging();
        simulation.promote("replica-1");
        for (int index = 0; index < 4; ++index)
            CHECK_FALSE(simulation.run(caller, "c/r" + std::to_string(index), "READ 1").failure);
    }

    TEST_CASE("a read-only transaction is not opened at a former primary")
    {
        // Guards against a snapshot taken at a former primary, where all reads of the transaction would run.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN READ").failure);
        simulation.promote("replica-1");
        simulation.submit(caller, "c/2", "READ 1");
        SUBCASE("waits for the view of the next primary")
        {
            simulation.setPrimary("replica-1", 2);
            CHECK_FALSE(simulation.takeReply(caller).failure);
            CHECK(simulation.executed().back().upstream == UpstreamName { "replica-1" });
            CHECK_FALSE(simulation.run(caller, "c/3", "COMMIT").failure);
        }
        SUBCASE("is refused without a view of the next primary")
        {
            checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
            CHECK(simulation.executionCount("c/2") == 0);
        }
    }

    TEST_CASE("a transaction is aborted when its read is answered in a later term")
    {
        // Guards against a stale read in a transaction, and against committing the writes of such a
        // transaction.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        SUBCASE("read-only")
        {
            CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN READ").failure);
            CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
            simulation.promote("replica-1");
        }
        SUBCASE("with a write")
        {
            CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
            CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
            replyOnce(simulation, "READ 9", progressAt(2, 90), SessionPhase::InTransaction);
        }
        const auto reply = simulation.run(caller, "c/3", "READ 9");
        CHECK(errorOf(reply) == StatementError::Aborted);
        CHECK(reply.phase == SessionPhase::FailedTransaction);
        CHECK_FALSE(simulation.run(caller, "c/4", "ROLLBACK").failure);
        simulation.advanceTime(100ms);
        CHECK_FALSE(simulation.committed("c/2"));
    }

    TEST_CASE("a transaction opened with a position continues whatever term answers")
    {
        // Guards against aborting transactions at replicas in every failover.
        PoolSimulation simulation { boundedStaleness };
        const auto reader = simulation.connect();
        CHECK_FALSE(simulation.run(reader, "r/1", "READ 1").failure);
        readUntilServedByReplica(simulation, reader);
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN READ").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "READ 1").failure);
        REQUIRE(simulation.executed().back().upstream != formerPrimary);
        simulation.promote("replica-1");
        CHECK_FALSE(simulation.run(caller, "c/3", "READ 1").failure);
        CHECK_FALSE(simulation.run(caller, "c/4", "COMMIT").failure);
    }
}

TEST_SUITE("commits that depend on a view of the primary")
{
    TEST_CASE("a write answered in a later term succeeds only once a view of that term is valid")
    {
        // Guards against acknowledging a write under a view that the reply itself shows to be out of date.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        replyOnce(simulation, "WRITE 1 x", progressAt(3, 101));
        simulation.submit(caller, "c/1", "WRITE 1 x");
        CHECK(simulation.takeReplies(caller).empty());
        SUBCASE("that view arrives")
        {
            simulation.advanceTime(200ms);
            simulation.setPrimary("primary", 3);
            CHECK_FALSE(simulation.takeReply(caller).failure);
        }
        SUBCASE("another view arrives")
        {
            simulation.setPrimary("replica-1", 4);
            CHECK(errorOf(simulation.takeReply(caller)) == StatementError::InDoubt);
        }
        SUBCASE("no view arrives")
        {
            simulation.advanceTime(900ms);
            CHECK(errorOf(simulation.takeReply(caller)) == StatementError::InDoubt);
        }
    }

    TEST_CASE("a commit answered in a later term is held like a write")
    {
        // Guards against acknowledging a commit under a view that its reply shows to be out of date. Without
        // a valid view the commit is in doubt, not aborted.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "BEGIN").failure);
        CHECK_FALSE(simulation.run(caller, "c/2", "WRITE 1 x").failure);
        replyOnce(simulation, "COMMIT", progressAt(3, 101));
        simulation.submit(caller, "c/3", "COMMIT");
        CHECK(simulation.takeReplies(caller).empty());
        simulation.advanceTime(900ms);
        const auto reply = simulation.takeReply(caller);
        CHECK(errorOf(reply) == StatementError::InDoubt);
        CHECK(reply.phase == SessionPhase::Idle);
    }

    TEST_CASE("a write of an earlier term is in doubt although its upstream leads again")
    {
        // Guards against acknowledging a write that two promotions in between may have cut from the log.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.setPrimary("replica-1", 2);
        simulation.setPrimary("primary", 3);
        simulation.holdUpstreamActions = false;
        simulation.deliverHeldActions();
        simulation.advanceTime(20ms);
        CHECK(errorOf(simulation.takeReply(caller)) == StatementError::InDoubt);
    }

    TEST_CASE("a write is in doubt at once when no view can confirm it any more")
    {
        // Guards against keeping a caller waiting for a view that cannot arrive.
        PoolSimulation simulation { {} };
        const auto writer = simulation.connect();
        const auto other = simulation.connect();
        const auto submitBoth = [&](const std::string& second) {
            simulation.holdUpstreamActions = true;
            simulation.submit(writer, "w/" + second, "WRITE 1 x");
            simulation.submit(other, "o/" + second, second);
            simulation.holdUpstreamActions = false;
        };
        submitBoth("READ 1");
        simulation.deliverHeldActions();
        CHECK_FALSE(simulation.takeReply(writer).failure);
        CHECK_FALSE(simulation.takeReply(other).failure);
        simulation.keepRenewingView = false;
        const auto replyWith = [&simulation](const std::string& text, const Reply& reply) {
            simulation.interceptStatement
                = [text, reply, before = simulation.interceptStatement](
                      const ModelConnection& connection, const UpstreamStatement& statement) {
                      const auto* callerStatement = std::get_if<RelayStatement>(&statement);
                      if (callerStatement != nullptr && callerStatement->text == text)
                          return std::optional { reply };
                      return before ? before(connection, statement) : std::nullopt;
                  };
        };
        SUBCASE("a term later than its own was seen")
        {
            submitBoth("READ 2");
            replyWith("WRITE 1 x", { .proof = "proof", .progress = progressAt(3, 101) });
            replyWith("READ 2", { .proof = "proof", .progress = progressAt(4, 101) });
        }
        SUBCASE("its upstream refused to act as the primary")
        {
            submitBoth("WRITE 2 y");
            simulation.now += 1100ms;
            replyWith("WRITE 2 y", { .failure = StatementFailure { StatementError::ReadOnly, "no" } });
        }
        simulation.deliverHeldActions();
        simulation.advanceTime(20ms);
        CHECK(errorOf(simulation.takeReply(writer)) == StatementError::InDoubt);
    }

    TEST_CASE("a write whose reply has no position waits for a valid view like any other")
    {
        // Guards against a success without a valid view when there is no position to compare.
        PoolSimulation simulation { {} };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/0", "READ 1").failure);
        simulation.keepRenewingView = false;
        simulation.holdUpstreamActions = true;
        simulation.submit(caller, "c/1", "WRITE 1 x");
        simulation.now += 1100ms;
        simulation.holdUpstreamActions = false;
        replyOnce(simulation, "WRITE 1 x", std::nullopt);
        simulation.deliverHeldActions();
        CHECK(simulation.takeReplies(caller).empty());
        SUBCASE("the view is renewed")
        {
            simulation.renewView();
            CHECK_FALSE(simulation.takeReply(caller).failure);
        }
        SUBCASE("another upstream leads")
        {
            simulation.setPrimary("replica-1", 2);
            CHECK(errorOf(simulation.takeReply(caller)) == StatementError::InDoubt);
        }
    }
}

TEST_SUITE("terms reported by siblings")
{
    TEST_CASE("an owner does not read at its view's primary for a session with a later term")
    {
        // Guards against a session that misses its own write at an owner whose view is out of date.
        PoolSimulation simulation { { .freshness = ReadOwnWritesRoute { 2500ms } } };
        const auto first = simulation.connect();
        CHECK_FALSE(simulation.run(first, "f/1", "READ 1").failure);
        ForwardedStatement work { .remoteSession = CallerId { 77 },
            .query = { .id = "g/1", .text = "READ 1", .statement = ReadItem {} },
            .team = TeamName { "a" },
            .route = simulation.routes->routes.at("beds"),
            .requiredProgress = progressAt(2, 101) };
        simulation.engine.forwardedStatementReceived(work, simulation.now);
        simulation.advanceTime(100ms);
        CHECK(simulation.executionCount("g/1") == 0);
    }

    TEST_CASE("an owner's reply from a later term contradicts the view of the forwarding VM")
    {
        // Guards against a VM that runs statements itself under a view that the owner has shown to be out of
        // date.
        PoolSimulation simulation { { .forwardToOwner = true } };
        const auto caller = simulation.connect();
        simulation.promote("replica-1");
        simulation.engine.setLeader(ServiceName { "register" },
            { .phase = LeaderView::Phase::Settled,
                .primary = UpstreamName { "replica-1" },
                .term = Term { 2 },
                .expiresAt = simulation.now + 1s },
            simulation.now);
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.failForwarding
            = [](const ForwardStatement&) { return std::optional { ForwardFailure::NotAccepted }; };
        simulation.keepRenewingView = false;
        simulation.submit(caller, "c/2", "READ 1");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
        CHECK(simulation.entryEngine->connections() == 0);
    }
}

TEST_SUITE("positions recorded under a view")
{
    TEST_CASE("positions are not used when a later term was seen while the view was valid")
    {
        // Guards against bounded staleness reads at positions of a former primary, which cover no commit of
        // the next one.
        PoolSimulation simulation { boundedStaleness };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.promote("replica-1");
        readUntilLaterTermSeen(simulation, caller);
        const auto before = simulation.executed().size();
        simulation.submit(caller, "c/2", "READ 1");
        checkRefusedWithRetryAdvice(takeReplyAfterWait(simulation, caller));
        CHECK(simulation.executed().size() == before);
    }

    TEST_CASE("positions still serve reads at replicas when a later term was seen after the view ended")
    {
        // Guards against refusing reads during every failover from the first reply of the next term on.
        PoolSimulation simulation { boundedStaleness };
        const auto caller = simulation.connect();
        CHECK_FALSE(simulation.run(caller, "c/1", "READ 1").failure);
        simulation.setViewChanging();
        simulation.promote("replica-1");
        for (int index = 0; index < 4; ++index) {
            CHECK_FALSE(simulation.run(caller, "c/r" + std::to_string(index), "READ 1").failure);
            CHECK(simulation.executed().back().after);
        }
    }
}
