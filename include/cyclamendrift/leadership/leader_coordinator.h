#pragma once

#include <cyclamendrift/leadership/leadership_events.h>
#include <cyclamendrift/leadership/pending_promotions.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// Times that a LeaderCoordinator goes by.
struct LeadershipSettings {
    /// How long a VM may act on a view after the moment it was taken. A promoter waits it out before a new
    /// primary leads, so it is part of every failover's gap; it must cover two reads of the store and one
    /// slow answer.
    Duration viewLifetime = std::chrono::milliseconds { 1000 };
    /// Added by the promoter for differences between clocks' rates, for statements on their way, and to ask
    /// paused replicas once more.
    Duration viewMargin = std::chrono::milliseconds { 100 };
    /// A VM that reads the store itself asks replicas to renew a view that is older than this: an interval of
    /// reading and a slow answer.
    Duration ownSnapshotMaxAge = std::chrono::milliseconds { 400 };
    /// The same where siblings read the store: two intervals of reading and a round trip.
    Duration siblingSnapshotMaxAge = std::chrono::milliseconds { 680 };
    /// The same for a VM that siblings are to tell what replicas vouch for: questions take slots of the
    /// upstreams, so few VMs ask while siblings can be reached.
    Duration siblingConfirmationMaxAge = std::chrono::milliseconds { 850 };
    /// Between two questions to the same upstream.
    Duration askInterval = std::chrono::milliseconds { 150 };
    /// From a replica's confirmation to the next question to it while the store is silent; one that has not
    /// confirmed is asked again after `askInterval`.
    Duration confirmationInterval = std::chrono::milliseconds { 200 };
    /// For so long after the store was asked last, the word of one replica prolongs a view; from then on all
    /// of them must give theirs, so that pausing any one of them ends it. A promoter that could not pause
    /// them all waits it out.
    Duration singleReplicaPeriod = std::chrono::milliseconds { 1000 };
    /// A replica that left the directory without having announced its end counts for so long as one that is
    /// out of reach: other VMs may list it still, or again. Covers the age of a listing and the time for
    /// which missing entries are kept.
    Duration missingReplicaRetention = std::chrono::seconds { 10 };
    /// Between two tries to bring an upstream behind the primary that leads now.
    Duration reconcileInterval = std::chrono::milliseconds { 400 };
    /// The duty's holder asks a primary that no traffic has reached for so long.
    Duration primaryIdleTime = std::chrono::milliseconds { 500 };
    /// A primary that has answered nothing for so long, though asked, is replaced.
    Duration primaryTimeout = std::chrono::milliseconds { 700 };
    /// Replicas' logs are compared over this time: one that grows shows that the primary lives.
    Duration logGrowthWindow = std::chrono::milliseconds { 200 };
    /// In a planned change, how long replicas may take to receive what the old primary has.
    Duration catchUpTimeout = std::chrono::milliseconds { 800 };
    /// Between two tries of a promotion that has not shown an effect.
    Duration promotionRetryInterval = std::chrono::milliseconds { 500 };
    /// A replica that does not lead after this is given up. Another one is promoted as soon as no promotion
    /// of the former may still take effect.
    Duration promotionTimeout = std::chrono::milliseconds { 2500 };
    /// After so long a promotion that was sent has taken effect or never will; it covers the time limit of
    /// that call and the change itself.
    Duration promotionSettleTime = std::chrono::milliseconds { 4000 };
    /// A VM that gave up the duty does not take it again for so long.
    Duration leaseReacquireDelay = std::chrono::seconds { 4 };
    /// Between two tries to take a free duty or to write the record.
    Duration storeRetryInterval = std::chrono::milliseconds { 300 };
    /// Each VM waits for its rank times this before it takes a free duty, so that two seldom try at once.
    Duration rankDelay = std::chrono::milliseconds { 60 };
};

/// Keeps a primary for one group, as seen from one VM. Every VM runs one for each group: it says whom to send
/// writes to and until when that holds. The VM that holds the group's duty also replaces a primary that died
/// or leaves.
///
/// Safety: a new primary leads only after every view of the old one has ended. A view is of a record in the
/// store, where a promoter claims the next term first, and replicas prolong it, which the promoter pauses
/// first; from both steps on it waits for the lifetime of views. Replicas prolong only a view that still
/// holds: one of them for `singleReplicaPeriod` after the store was read, all of them from then on, so that
/// pausing the one that is promoted is enough. A view that has ended comes back by the store, or by a
/// sibling's view of the same record that holds.
///
/// One promotion at a time: the record names the replica that is to lead before the platform is asked to
/// promote it, so whoever takes the duty over goes on with it. Another one is chosen, or written down as the
/// primary, only when no promotion of the former one can take effect any more.
///
///     coordinator.onSnapshot(snapshot, now);
///     for (const auto& action : coordinator.tick(now)) begin(action);
class LeaderCoordinator {
public:
    struct Options {
        VmName vm;
        LeadershipSettings settings;
        /// Makes change ids unique to this process.
        std::uint64_t seed = 0;
    };

    explicit LeaderCoordinator(Options options);

    /// This VM's place among all, which orders their tries.
    void setRank(std::size_t rank) noexcept { this->rank = rank; }
    /// Until when this VM's own lease is sure to hold; its duties lapse with it.
    void setVmLeaseExpiry(Instant until) noexcept { this->vmLeaseExpiresAt = until; }
    /// This VM's lease has lapsed, and with it every duty that it held, whatever was read before.
    void onVmLeaseExpired(Instant now);

    /// This VM is one of those that ask replicas for their siblings as well.
    void setConfirmsForSiblings(bool vouches) noexcept { this->confirmsForSiblings = vouches; }

    /// The store was read.
    void onSnapshot(const LeadershipSnapshot& snapshot, Instant now);
    /// The upstreams of the group that are there.
    void onDirectory(UpstreamDirectory members, Instant now);
    /// Traffic got an answer from an upstream, or has been failing to since some time.
    void onTraffic(const UpstreamName& upstream, Instant lastAnswer, std::optional<Instant> failingSince,
        bool contradictsView);
    /// An upstream answered a question, pause, resume or demotion that was sent at `askedAt`.
    void onStatus(const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now);
    /// A sibling has a view of the record with that revision that holds, and was vouched for at that instant.
    /// The promoter has waited that view out as well, so one of this VM may come back by it.
    void onSiblingView(std::uint64_t recordRevision, Instant viewConfirmedAt);
    /// An upstream did not answer, or refused.
    void onStatusFailed(const UpstreamName& upstream, Instant now);
    /// The record was changed as asked.
    void onRecordWritten(const LeadershipRecord& record, std::uint64_t revision, Instant now);
    /// The platform answered that the upstream that was named is not running.
    void onPromotionRefused(const UpstreamName& upstream);

    /// To be called every 50 ms or so.
    [[nodiscard]] std::vector<LeadershipAction> tick(Instant now);

    /// Whom to send writes to, and until when.
    [[nodiscard]] LeaderView view() const;
    /// When a view that holds was vouched for last, by the store or replicas; empty when none holds.
    [[nodiscard]] std::optional<Instant> viewConfirmedAt(Instant now) const;
    /// The revision of the record that the view is of.
    [[nodiscard]] std::uint64_t recordRevision() const noexcept
    {
        return this->latestSnapshot.recordRevision;
    }

    /// How often views were kept up by replicas, and how often one ended before it was renewed.
    struct Counters {
        std::uint64_t replicaConfirmations = 0;
        std::uint64_t viewsExpired = 0;
    };
    [[nodiscard]] const Counters& counters() const noexcept { return this->counts; }

    /// This VM needs its lease: it holds the duty, or it is its turn to take it.
    [[nodiscard]] bool needsLease(Instant now) const;

    /// The store should be read soon: what it says is doubted, or everybody waits for a new primary.
    [[nodiscard]] bool needsSnapshot() const noexcept;

private:
    struct Member {
        UpstreamEntry entry;
        std::optional<UpstreamStatus> status;
        Instant statusAt = Instant::min();
        /// When it was first heard to lead the term that it leads.
        Instant leadsSince = Instant::min();
        Instant lastAnswer = Instant::min();
        Instant lastAskedAt = Instant::min();
        /// When it was asked last and confirmed that it follows the record's primary.
        Instant confirmedAt = Instant::min();
        /// Since when statements of callers, and this VM's own questions, have been failing.
        std::optional<Instant> trafficFailingSince;
        std::optional<Instant> queriesFailingSince;

        [[nodiscard]] bool isFailing() const noexcept
        {
            return (this->trafficFailingSince && *this->trafficFailingSince > this->lastAnswer)
                || (this->queriesFailingSince && *this->queriesFailingSince > this->lastAnswer);
        }
    };
    /// A replica that was paused for the replacement.
    struct Pause {
        Progress received;
        /// When its answer came that told so first; the replica was paused before.
        Instant since;
        /// When it was asked last and still said so; the replica was paused after.
        Instant lastSeen;
    };
    /// How far a replacement of the primary has come.
    struct Replacement {
        Term term {};
        bool planned = false;
        /// The change that writes the claim is not known to have taken effect yet.
        bool claimPending = true;
        /// The upstream that this VM has tried to write down as the primary.
        UpstreamName attemptedPrimary;
        /// When the record was seen to hold the claim.
        Instant claimedAt;
        /// Who was chosen before this VM took the claim over.
        UpstreamName inheritedChoice;
        std::map<UpstreamName, Pause> paused;
        std::optional<Progress> demotedProgress;
        /// The replica that this VM promotes, and since when.
        UpstreamName promoted;
        Instant promotedSince;
        Instant lastPromotionAt = Instant::min();
        std::vector<UpstreamName> refused;
    };
    /// An upstream that says it leads.
    struct Leader {
        UpstreamName name;
        Term term {};
        /// When this VM heard of it first.
        Instant since;
    };
    /// A replica that may be promoted.
    struct Candidate {
        UpstreamName name;
        Progress received;
    };
    /// A first look at the replicas' logs while the primary is silent.
    struct LogBaseline {
        Instant since;
        std::map<UpstreamName, Progress> received;
    };

    [[nodiscard]] bool holdsCoordinatorLease(Instant now) const noexcept;
    [[nodiscard]] bool isTurnToAcquireLease(Instant now) const;
    void acquireLeaseIfFree(Instant now);
    void renewFromReplicas(Instant now);
    [[nodiscard]] bool isPrimary(const UpstreamName& name) const;
    /// True while a replica may be there that the directory does not list.
    [[nodiscard]] bool hasMissingReplica(Instant now) const;
    /// Up to when every replica has confirmed that it follows the record's primary.
    [[nodiscard]] Instant allReplicasConfirmedAt(Instant now) const;
    /// A replica confirmed, when it was asked at that instant, that it follows the record's primary.
    void recordConfirmation(Member& replica, Instant askedAt, Instant now);
    /// Forgets what replicas confirmed, as it was another record.
    void clearConfirmations() noexcept;
    void adoptInitialPrimary(Instant now);
    void monitorPrimary(Instant now);
    [[nodiscard]] bool isPrimaryUnresponsive(Instant now);
    [[nodiscard]] bool isReplicaLogGrowing(Instant now);
    void claimNextTerm(bool planned, std::string_view reason, Instant now);
    void continueReplacement(Instant now);
    [[nodiscard]] bool hasPrimaryReturned(Instant now);
    void cancelReplacement(Instant now);
    void onClaimWritten(const LeadershipRecord& record, Instant now);
    void demoteOldPrimary(Instant now);
    void pauseReplicas(Instant now);
    void recordPause(
        const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now);
    /// True when every replica is paused and has been for the lifetime of a view.
    [[nodiscard]] bool areAllPausedForViewLifetime(Instant now) const;
    /// When every view of the old primary has ended, as far as is known now.
    [[nodiscard]] Instant oldViewsExpireAt(Instant now) const;
    /// True once the replica is known to have been paused for as long as a view lives.
    [[nodiscard]] bool isPausedForViewLifetime(const Pause& pause) const noexcept;
    /// True when every upstream but the old primary is paused.
    [[nodiscard]] bool areAllReplicasPaused() const;
    /// Who leads the highest term, if that is `least` or above.
    [[nodiscard]] std::optional<Leader> newestLeader(Term minTerm) const;
    /// The replicas that may be promoted as far as this VM knows.
    [[nodiscard]] std::vector<Candidate> findCandidates(Instant now);
    /// The one that has received most, unless a promotion of another may still take effect.
    [[nodiscard]] std::optional<Candidate> selectCandidate(Instant now);
    /// Writes the choice down and, when every view of the old primary has ended, begins to promote it.
    void startPromotion(Instant now);
    void sendPromotion(Instant now);
    /// Who leads shows by asking, whichever promotion took effect.
    void askAllMembers(Instant now);
    void abandonPromotion();
    void completeReplacement(const Leader& leader, Instant now);
    /// Deals with an upstream that leads a newer term than the record has; false when there is none.
    [[nodiscard]] bool replaceByNewerLeader(Instant now);
    /// When every view of the old primary has ended, whatever made that upstream lead.
    [[nodiscard]] Instant oldViewsExpireAtUnder(const Leader& leader) const;
    /// Notes since when the record holds the claim, before `next` takes the place of what is known.
    void updateClaimStart(const std::optional<LeadershipRecord>& next, Instant now);
    void reconcileUpstreams(Instant now);
    void writeRecord(LeadershipRecord record, Instant now);
    /// True when no change that this VM has sent may still take effect.
    [[nodiscard]] bool hasNoPendingWrite() const noexcept;
    /// Writes that `leader` leads in `term` and nobody claims the next one.
    void writeLeader(const UpstreamName& leader, Term term, Instant now);
    /// True when the member was last asked or told something `interval` ago or longer, which counts as asking
    /// it now.
    [[nodiscard]] static bool markAskedIfDue(Member& member, Duration interval, Instant now);
    void askStatus(Member& member, Instant now);
    void publishViewIfChanged(Instant now);
    /// Notes when the view ends, comes back, or is vouched for by somebody else.
    void logValidityChange(Instant now);
    /// True when the view is to be renewed by asking replicas.
    [[nodiscard]] bool needsReplicaConfirmation(Instant now) const noexcept;
    /// A replica's word counts only where the view would have ended without it.
    [[nodiscard]] ViewSource viewSource(Instant now) const noexcept;
    void logEvent(std::string_view event, std::vector<std::pair<std::string, std::string>> fields);
    /// The record as it is known; throws LeadershipError when none was read.
    [[nodiscard]] const LeadershipRecord& record() const;
    /// The token and revision of the duty; throws LeadershipError when this VM knows of no holder.
    [[nodiscard]] const CoordinatorLease& coordinatorLease() const;
    [[nodiscard]] Member* find(const UpstreamName& name);

    Options options;
    std::size_t rank = 0;
    Instant vmLeaseExpiresAt = Instant::min();
    LeadershipSnapshot latestSnapshot;
    bool hasSnapshot = false;
    bool recordMayBeStale = false;
    std::vector<Member> members;
    /// When upstreams left the directory that had not announced their end.
    std::map<UpstreamName, Instant> missingSince;
    /// What vouched for a view before this instant was wrong.
    Instant viewDisprovedAt = Instant::min();
    /// Answers to statements of callers contradict the view.
    bool trafficContradictsView = false;
    /// Up to when replicas have vouched for the view, to this VM or to a sibling.
    Instant replicasConfirmedAt = Instant::min();
    /// The replica that did last; empty when a sibling told.
    UpstreamName confirmedBy;
    /// Up to when siblings have told that replicas did.
    Instant siblingConfirmedAt = Instant::min();
    bool confirmsForSiblings = true;
    std::unique_ptr<Replacement> replacement;
    /// Since when the record is known to have held a claim without a break.
    std::optional<Instant> claimHeldSince;
    PendingPromotions pendingPromotions;
    std::unique_ptr<LogBaseline> logBaseline;
    std::optional<Instant> leaseFreeSince;
    /// What was read before this instant says nothing of who holds the duty.
    Instant leaseKnownFrom = Instant::min();
    Instant noAcquireBefore = Instant::min();
    Instant lastAcquireAt = Instant::min();
    Instant lastWriteAt = Instant::min();
    std::uint64_t changeCount = 0;
    std::string lastChangeId;
    /// The revision that the last change expects.
    std::uint64_t lastExpectedRevision = 0;
    LeaderView publishedView;
    Instant lastPublishedAt = Instant::min();
    /// What was noted last of the view: whether it held, and who vouched for it.
    bool wasLoggedAsValid = false;
    ViewSource loggedSource = ViewSource::Store;
    Counters counts;
    std::vector<LeadershipAction> actions;
};

} // namespace cyclamendrift
