#include <cyclamendrift/leadership/leader_coordinator.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const VmName self { "vm-0" };
const UpstreamName former { "primary" };
const UpstreamName first { "replica-1" };
const UpstreamName second { "replica-2" };

UpstreamDirectory directory(const UpstreamName& leaving = {})
{
    UpstreamDirectory entries;
    for (const auto& name : { former, first, second })
        entries.push_back({ .name = name, .draining = name == leaving });
    return entries;
}

/// A holder of the duty whose store, upstreams and platform are the test.
class Holder {
public:
    Holder()
        : coordinator({ .vm = self })
    {
        this->coordinator.onDirectory(directory(), this->now);
    }

    /// The store holds this record at the next revision, and the duty is this VM's, or another's.
    void read(LeadershipRecord record, const VmName& dutyHolder = self)
    {
        this->stored = std::move(record);
        ++this->revision;
        this->readAgain(dutyHolder);
    }
    void readAgain(const VmName& dutyHolder = self)
    {
        this->coordinator.onSnapshot(
            { .record = this->stored,
                .recordRevision = this->revision,
                .coordinatorLease = CoordinatorLease { .holder = dutyHolder, .token = 1, .revision = 1 },
                .askedAt = this->now },
            this->now);
    }
    /// Lets 50 ms pass. Replicas are paused as asked and the store carries writes out, unless it is away.
    void tick()
    {
        this->now += 50ms;
        this->coordinator.setVmLeaseExpiry(this->now + 10s);
        for (const auto& action : this->coordinator.tick(this->now))
            this->perform(action);
    }
    void pass(Duration time)
    {
        for (const auto end = this->now + time; this->now < end;)
            this->tick();
    }
    /// An upstream answers a question that was sent now.
    void hear(const UpstreamName& upstream, const UpstreamStatus& status)
    {
        this->coordinator.onStatus(upstream, status, this->now, this->now);
    }

    LeaderCoordinator coordinator;
    Instant now { 1000s };
    bool storeAway = false;
    /// Upstreams that do not answer.
    std::vector<UpstreamName> silent;
    LeadershipRecord stored;
    std::vector<WriteLeadershipRecord> writes;
    std::vector<UpstreamName> promoted;

private:
    void perform(const LeadershipAction& action)
    {
        if (const auto* pause = std::get_if<PauseReplica>(&action))
            this->answerPaused(pause->upstream);
        if (const auto* ask = std::get_if<AskStatus>(&action))
            this->answerPaused(ask->upstream);
        if (const auto* change = std::get_if<PromoteUpstream>(&action))
            this->promoted.push_back(change->upstream);
        if (const auto* change = std::get_if<WriteLeadershipRecord>(&action)) {
            this->writes.push_back(*change);
            if (this->storeAway || change->expectedRevision != this->revision)
                return;
            this->stored = change->record;
            this->coordinator.onRecordWritten(this->stored, ++this->revision, this->now);
        }
    }
    void answerPaused(const UpstreamName& upstream)
    {
        const bool answers
            = std::find(this->silent.begin(), this->silent.end(), upstream) == this->silent.end();
        if (answers && upstream != former)
            this->hear(upstream, { .term = Term { 1 }, .pausedBelowTerm = Term { 2 } });
    }

    std::uint64_t revision = 1;
};

LeadershipRecord settledRecord()
{
    return { .term = Term { 1 },
        .primary = former,
        .claimedTerm = Term { 1 },
        .author = self,
        .changeId = "settled" };
}

LeadershipRecord claimOf(std::string changeId, const UpstreamName& chosen = {})
{
    return { .term = Term { 1 },
        .primary = former,
        .claimedTerm = Term { 2 },
        .author = VmName { "vm-1" },
        .changeId = std::move(changeId),
        .chosen = chosen };
}

constexpr UpstreamStatus leadsTerm2 { .isPrimary = true, .term = Term { 2 } };

} // namespace

TEST_SUITE("steps of a replacement")
{
    TEST_CASE("the choice is written before the promotion is sent, and while views end")
    {
        // Guards against a failover that waits for the store when it could promote.
        Holder holder;
        holder.read(claimOf("theirs"));
        holder.pass(800ms);
        CHECK(holder.stored.chosen == first);
        CHECK(holder.promoted.empty());
        holder.pass(500ms);
        CHECK(holder.promoted == std::vector { first });
    }

    TEST_CASE("nothing is promoted while a change of the choice may still take effect")
    {
        // Guards against a late write that names another upstream than the one that is being promoted.
        Holder holder;
        holder.read(claimOf("theirs"));
        holder.pass(800ms);
        REQUIRE(holder.stored.chosen == first);
        holder.storeAway = true;
        holder.coordinator.onDirectory(directory(first), holder.now);
        holder.tick();
        REQUIRE(holder.writes.back().record.chosen == second);
        holder.coordinator.onDirectory(directory(), holder.now);
        holder.pass(1s);
        CHECK(holder.promoted.empty());
        holder.storeAway = false;
        holder.pass(500ms);
        CHECK(holder.promoted == std::vector { first });
    }

    TEST_CASE("a successor goes on with the choice that it finds")
    {
        // Guards against a promotion beside the one that the former holder may have sent.
        Holder holder;
        holder.read(claimOf("theirs", second));
        holder.pass(2s);
        REQUIRE_FALSE(holder.promoted.empty());
        CHECK(std::count(holder.promoted.begin(), holder.promoted.end(), second)
            == static_cast<std::ptrdiff_t>(holder.promoted.size()));
    }

    TEST_CASE("a successor promotes another than the choice that it finds only when that has settled")
    {
        // Guards against a successor that gives up on the former choice as soon as it does not answer.
        Holder holder;
        holder.silent = { second };
        holder.read(claimOf("theirs", second));
        holder.pass(4s);
        CHECK(holder.promoted.empty());
        holder.pass(1s);
        REQUIRE_FALSE(holder.promoted.empty());
        CHECK(holder.promoted.front() == first);
    }

    TEST_CASE("a refusal lets another replica be promoted at once, unless an earlier promotion was accepted")
    {
        // Guards against a refusal that is taken to speak of all promotions of that upstream.
        for (const bool repeated : { false, true }) {
            CAPTURE(repeated);
            Holder holder;
            holder.read(claimOf("theirs"));
            holder.pass(1300ms);
            REQUIRE(holder.promoted == std::vector { first });
            if (repeated)
                holder.pass(500ms);
            holder.coordinator.onPromotionRefused(first);
            holder.pass(500ms);
            CHECK((holder.promoted.back() == second) == !repeated);
        }
    }

    TEST_CASE("a leader whom nobody promoted counts from when it was first heard of")
    {
        // Guards against views that all replicas kept up, one of them until it became the leader.
        Holder holder;
        holder.silent = { first, second };
        holder.read(claimOf("theirs"));
        holder.pass(5s);
        holder.hear(first, leadsTerm2);
        holder.pass(1s);
        CHECK_FALSE(holder.stored.isSettled());
        holder.pass(200ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == first);
    }

    TEST_CASE("a claim that has stood while another VM held the duty counts")
    {
        // Guards against a successor that waits for views which it has seen end.
        Holder holder;
        holder.silent = { first };
        holder.read(claimOf("theirs"), VmName { "vm-1" });
        holder.hear(first, leadsTerm2);
        holder.pass(2200ms);
        holder.readAgain();
        holder.pass(400ms);
        CHECK(holder.stored.isSettled());
    }

    TEST_CASE("a claim that another VM may have withdrawn in between counts anew")
    {
        // Guards against views that were taken between two claims of the same term.
        Holder holder;
        holder.silent = { first };
        holder.read(claimOf("theirs"), VmName { "vm-1" });
        holder.hear(first, leadsTerm2);
        holder.pass(2200ms);
        holder.read(claimOf("theirs again"));
        holder.pass(1900ms);
        CHECK_FALSE(holder.stored.isSettled());
        holder.pass(300ms);
        CHECK(holder.stored.isSettled());
    }

    TEST_CASE("the primary in the claimed term is written down without a wait")
    {
        // Guards against a group that waits for views to end though they name the primary that leads.
        Holder holder;
        holder.read(claimOf("theirs"));
        holder.hear(former, leadsTerm2);
        holder.pass(400ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == former);
    }

    TEST_CASE("the choice of the holder before is written down without a wait when it leads")
    {
        // Guards against a slow failover after the holder died as it promoted.
        Holder holder;
        holder.read(claimOf("theirs", second));
        holder.hear(second, leadsTerm2);
        holder.pass(400ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == second);
    }

    TEST_CASE("an answer to a write that is older than what was read is passed over")
    {
        // Guards against a holder that goes by a choice which has been changed since.
        Holder holder;
        holder.read(settledRecord());
        const auto later = claimOf("theirs", second);
        holder.read(later);
        holder.coordinator.onRecordWritten(settledRecord(), 2, holder.now);
        CHECK(holder.coordinator.view().phase == LeaderView::Phase::Changing);
    }
}
