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
const UpstreamName oldPrimary { "primary" };
const UpstreamName first { "replica-1" };
const UpstreamName second { "replica-2" };

UpstreamDirectory directory(const UpstreamName& leaving = {})
{
    UpstreamDirectory entries;
    for (const auto& name : { oldPrimary, first, second })
        entries.push_back({ .name = name, .draining = name == leaving });
    return entries;
}

/// A coordinator whose store, upstreams and platform are simulated by the test.
class LeaseHolder {
public:
    LeaseHolder()
        : coordinator({ .vm = self })
    {
        this->coordinator.onDirectory(directory(), this->now);
    }

    /// The coordinator reads this record at the next revision, with the coordinator lease held by this VM or
    /// another one.
    void readRecord(LeadershipRecord record, const VmName& leaseHolder = self)
    {
        this->stored = std::move(record);
        ++this->revision;
        this->readSameRecord(leaseHolder);
    }
    void readSameRecord(const VmName& leaseHolder = self)
    {
        this->coordinator.onSnapshot(
            { .record = this->stored,
                .recordRevision = this->revision,
                .coordinatorLease = CoordinatorLease { .holder = leaseHolder, .token = 1, .revision = 1 },
                .askedAt = this->now },
            this->now);
    }
    /// Advances time by 50 ms. Replicas are paused as requested and the store executes writes, unless it is
    /// unreachable.
    void tick()
    {
        this->now += 50ms;
        this->coordinator.setVmLeaseExpiry(this->now + 10s);
        for (const auto& action : this->coordinator.tick(this->now))
            this->performAction(action);
    }
    void advance(Duration time)
    {
        for (const auto end = this->now + time; this->now < end;)
            this->tick();
    }
    /// An upstream answers a status request that was sent now.
    void answerStatus(const UpstreamName& upstream, const UpstreamStatus& status)
    {
        this->coordinator.onStatus(upstream, status, this->now, this->now);
    }

    LeaderCoordinator coordinator;
    Instant now { 1000s };
    bool storeUnreachable = false;
    /// Upstreams that do not answer.
    std::vector<UpstreamName> unresponsive;
    /// What the old primary answers; nothing while it is not set.
    std::optional<UpstreamStatus> oldPrimaryStatus;
    LeadershipRecord stored;
    std::vector<WriteLeadershipRecord> writes;
    std::vector<UpstreamName> promoted;

private:
    void performAction(const LeadershipAction& action)
    {
        if (const auto* pause = std::get_if<PauseReplica>(&action))
            this->answerPaused(pause->upstream);
        if (const auto* ask = std::get_if<AskStatus>(&action))
            this->answerPaused(ask->upstream);
        if (const auto* change = std::get_if<PromoteUpstream>(&action))
            this->promoted.push_back(change->upstream);
        if (const auto* change = std::get_if<WriteLeadershipRecord>(&action)) {
            this->writes.push_back(*change);
            if (this->storeUnreachable || change->expectedRevision != this->revision)
                return;
            this->stored = change->record;
            this->coordinator.onRecordWritten(this->stored, ++this->revision, this->now);
        }
    }
    void answerPaused(const UpstreamName& upstream)
    {
        const bool answers = std::find(this->unresponsive.begin(), this->unresponsive.end(), upstream)
            == this->unresponsive.end();
        if (upstream == oldPrimary) {
            if (this->oldPrimaryStatus)
                this->answerStatus(upstream, *this->oldPrimaryStatus);
        } else if (answers) {
            this->answerStatus(upstream, { .term = Term { 1 }, .pausedBelowTerm = Term { 2 } });
        }
    }

    std::uint64_t revision = 1;
};

LeadershipRecord settledRecord()
{
    return { .term = Term { 1 },
        .primary = oldPrimary,
        .claimedTerm = Term { 1 },
        .author = self,
        .changeId = "settled" };
}

LeadershipRecord claimRecord(std::string changeId, const UpstreamName& chosen = {})
{
    return { .term = Term { 1 },
        .primary = oldPrimary,
        .claimedTerm = Term { 2 },
        .author = VmName { "vm-1" },
        .changeId = std::move(changeId),
        .chosen = chosen };
}

constexpr UpstreamStatus leadsTerm1 { .isPrimary = true, .term = Term { 1 } };
constexpr UpstreamStatus leadsTerm2 { .isPrimary = true, .term = Term { 2 } };

} // namespace

TEST_SUITE("steps of a replacement")
{
    TEST_CASE("the choice is written before the promotion is sent, while views are expiring")
    {
        // Guards against a failover that waits for the store when it could promote.
        LeaseHolder holder;
        holder.readRecord(claimRecord("theirs"));
        holder.advance(800ms);
        CHECK(holder.stored.chosen == first);
        CHECK(holder.promoted.empty());
        holder.advance(500ms);
        CHECK(holder.promoted == std::vector { first });
    }

    TEST_CASE("no replica is promoted while a change of the choice may still take effect")
    {
        // Guards against a late write that names another upstream than the one that is being promoted.
        LeaseHolder holder;
        holder.readRecord(claimRecord("theirs"));
        holder.advance(800ms);
        REQUIRE(holder.stored.chosen == first);
        holder.storeUnreachable = true;
        holder.coordinator.onDirectory(directory(first), holder.now);
        holder.tick();
        REQUIRE(holder.writes.back().record.chosen == second);
        holder.coordinator.onDirectory(directory(), holder.now);
        holder.advance(1s);
        CHECK(holder.promoted.empty());
        holder.storeUnreachable = false;
        holder.advance(500ms);
        CHECK(holder.promoted == std::vector { first });
    }

    TEST_CASE("a new coordinator continues with the choice in the record")
    {
        // Guards against a promotion beside the one that the former coordinator may have sent.
        LeaseHolder holder;
        holder.readRecord(claimRecord("theirs", second));
        holder.advance(2s);
        REQUIRE_FALSE(holder.promoted.empty());
        CHECK(std::count(holder.promoted.begin(), holder.promoted.end(), second)
            == static_cast<std::ptrdiff_t>(holder.promoted.size()));
    }

    TEST_CASE(
        "a new coordinator promotes another replica than the recorded choice only after that has settled")
    {
        // Guards against a new coordinator that drops its predecessor's choice as soon as that replica does
        // not answer.
        LeaseHolder holder;
        holder.unresponsive = { second };
        holder.readRecord(claimRecord("theirs", second));
        holder.advance(4s);
        CHECK(holder.promoted.empty());
        holder.advance(1s);
        REQUIRE_FALSE(holder.promoted.empty());
        CHECK(holder.promoted.front() == first);
    }

    TEST_CASE("after a refusal another replica is promoted at once, unless an earlier promotion was accepted")
    {
        // Guards against applying a refusal to all promotions of that upstream.
        for (const bool repeated : { false, true }) {
            CAPTURE(repeated);
            LeaseHolder holder;
            holder.readRecord(claimRecord("theirs"));
            holder.advance(1300ms);
            REQUIRE(holder.promoted == std::vector { first });
            if (repeated)
                holder.advance(500ms);
            holder.coordinator.onPromotionRefused(first);
            holder.advance(500ms);
            CHECK((holder.promoted.back() == second) == !repeated);
        }
    }

    TEST_CASE("the old primary that is back stays the primary while no promotion can have been sent")
    {
        // Guards against a failover that a primary which was away for a moment does not need.
        LeaseHolder holder;
        holder.oldPrimaryStatus = leadsTerm1;
        holder.readRecord(claimRecord("theirs"));
        holder.advance(600ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == oldPrimary);
        CHECK(holder.promoted.empty());
    }

    TEST_CASE("the old primary that is back is not recorded while a former coordinator's choice may have led")
    {
        // Guards against writes that are acknowledged at the old primary and missing at the one that was
        // promoted.
        LeaseHolder holder;
        holder.unresponsive = { first, second };
        holder.oldPrimaryStatus = leadsTerm1;
        holder.readRecord(claimRecord("theirs", second));
        holder.advance(30s);
        CHECK_FALSE(holder.stored.isSettled());
        REQUIRE_FALSE(holder.promoted.empty());
        CHECK(std::count(holder.promoted.begin(), holder.promoted.end(), oldPrimary)
            == static_cast<std::ptrdiff_t>(holder.promoted.size()));
    }

    TEST_CASE("the old primary that is back is promoted once its predecessor's choice stays silent")
    {
        // Guards against a group that waits for a failed replica while its old primary has everything.
        LeaseHolder holder;
        holder.unresponsive = { second };
        holder.oldPrimaryStatus = leadsTerm1;
        holder.oldPrimaryStatus->received = { .term = Term { 1 }, .position = LogPosition { 7 } };
        holder.readRecord(claimRecord("theirs", second));
        holder.advance(4s);
        CHECK(holder.promoted.empty());
        holder.advance(1s);
        REQUIRE_FALSE(holder.promoted.empty());
        CHECK(holder.promoted.front() == oldPrimary);
        CHECK(holder.stored.chosen == oldPrimary);
        holder.oldPrimaryStatus = UpstreamStatus { .isPrimary = true, .term = Term { 3 } };
        holder.advance(1s);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == oldPrimary);
        CHECK(holder.stored.term == Term { 3 });
    }

    TEST_CASE("the old primary is recorded again when its own promotion was accepted and changed nothing")
    {
        // Guards against a group without a primary although no promotion took effect.
        LeaseHolder holder;
        holder.unresponsive = { first, second };
        holder.oldPrimaryStatus = leadsTerm1;
        holder.readRecord(claimRecord("theirs", second));
        holder.advance(6s);
        REQUIRE_FALSE(holder.promoted.empty());
        holder.coordinator.onPromotionAccepted(oldPrimary, holder.now, holder.now);
        holder.advance(1900ms);
        CHECK_FALSE(holder.stored.isSettled());
        holder.advance(500ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == oldPrimary);
        CHECK(holder.stored.term == Term { 1 });
    }

    TEST_CASE("an accepted promotion of a replica does not make the old primary the primary again")
    {
        // Guards against the acceptance of one promotion that is taken for that of another.
        LeaseHolder holder;
        holder.readRecord(claimRecord("theirs"));
        holder.advance(1300ms);
        REQUIRE(holder.promoted == std::vector { first });
        holder.coordinator.onPromotionAccepted(first, holder.now, holder.now);
        holder.unresponsive = { first, second };
        holder.oldPrimaryStatus = leadsTerm1;
        holder.advance(10s);
        CHECK_FALSE(holder.stored.isSettled());
    }

    TEST_CASE("an unexpected leader is recorded only after the view lifetime since it was first reported")
    {
        // Guards against views that all replicas extended, one of them until it became the leader.
        LeaseHolder holder;
        holder.unresponsive = { first, second };
        holder.readRecord(claimRecord("theirs"));
        holder.advance(5s);
        holder.answerStatus(first, leadsTerm2);
        holder.advance(1s);
        CHECK_FALSE(holder.stored.isSettled());
        holder.advance(200ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == first);
    }

    TEST_CASE("the time that a claim has existed under another coordinator counts")
    {
        // Guards against a new coordinator that waits for views which it has already seen expire.
        LeaseHolder holder;
        holder.unresponsive = { first };
        holder.readRecord(claimRecord("theirs"), VmName { "vm-1" });
        holder.answerStatus(first, leadsTerm2);
        holder.advance(2200ms);
        holder.readSameRecord();
        holder.advance(400ms);
        CHECK(holder.stored.isSettled());
    }

    TEST_CASE("the wait starts again for a claim that another VM may have withdrawn in between")
    {
        // Guards against views that were read between two claims of the same term.
        LeaseHolder holder;
        holder.unresponsive = { first };
        holder.readRecord(claimRecord("theirs"), VmName { "vm-1" });
        holder.answerStatus(first, leadsTerm2);
        holder.advance(2200ms);
        holder.readRecord(claimRecord("theirs again"));
        holder.advance(1900ms);
        CHECK_FALSE(holder.stored.isSettled());
        holder.advance(300ms);
        CHECK(holder.stored.isSettled());
    }

    TEST_CASE("the old primary leading the claimed term is recorded without a wait")
    {
        // Guards against a group that waits for views to expire although they name the primary that leads.
        LeaseHolder holder;
        holder.readRecord(claimRecord("theirs"));
        holder.answerStatus(oldPrimary, leadsTerm2);
        holder.advance(400ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == oldPrimary);
    }

    TEST_CASE("the previous coordinator's choice is recorded without a wait when it leads")
    {
        // Guards against a slow failover after the coordinator failed while it promoted.
        LeaseHolder holder;
        holder.readRecord(claimRecord("theirs", second));
        holder.answerStatus(second, leadsTerm2);
        holder.advance(400ms);
        CHECK(holder.stored.isSettled());
        CHECK(holder.stored.primary == second);
    }

    TEST_CASE("the answer to a write is ignored when a later record was read")
    {
        // Guards against a coordinator that acts on a choice which has been changed since.
        LeaseHolder holder;
        holder.readRecord(settledRecord());
        const auto later = claimRecord("theirs", second);
        holder.readRecord(later);
        holder.coordinator.onRecordWritten(settledRecord(), 2, holder.now);
        CHECK(holder.coordinator.view().phase == LeaderView::Phase::Changing);
    }
}
