#pragma once

#include <cyclamendrift/leadership/leadership_events.h>
#include <cyclamendrift/leadership/pending_promotions.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// Time limits and intervals of a LeaderCoordinator.
struct LeadershipSettings {
    /// How long a view is valid after it was read or last confirmed. The coordinator waits this long before
    /// it promotes a new primary, so it is part of every failover's duration. It must cover two reads of the
    /// store and one slow answer.
    Duration viewLifetime = std::chrono::milliseconds { 1000 };
    /// Added to `viewLifetime` by the coordinator for differences between clock rates, for statements in
    /// transit, and for asking paused replicas once more.
    Duration viewMargin = std::chrono::milliseconds { 100 };
    /// A VM that reads the store itself asks replicas to confirm a view that is older than this: one read
    /// interval and a slow answer.
    Duration ownSnapshotMaxAge = std::chrono::milliseconds { 400 };
    /// The same where siblings read the store: two read intervals and a round trip.
    Duration siblingSnapshotMaxAge = std::chrono::milliseconds { 680 };
    /// The same for a VM that relies on its siblings for replicas' confirmations. Status requests occupy the
    /// upstreams' concurrency, so only a few VMs ask while siblings can be reached.
    Duration siblingConfirmationMaxAge = std::chrono::milliseconds { 850 };
    /// Both are extended to the age that a snapshot normally reaches, but not beyond the lifetime of a view
    /// less this time, in which a replica can still confirm it.
    Duration confirmationTime = std::chrono::milliseconds { 250 };
    /// Between two status requests to the same upstream.
    Duration askInterval = std::chrono::milliseconds { 150 };
    /// From a replica's confirmation to the next request to it while the store cannot be read; a replica that
    /// has not confirmed is asked again after `askInterval`.
    Duration confirmationInterval = std::chrono::milliseconds { 200 };
    /// For this long after the last read of the store, the confirmation of one replica extends a view. From
    /// then on all replicas must confirm, so that pausing any one of them lets the view expire. A coordinator
    /// that could not pause all replicas waits for this time.
    Duration singleReplicaPeriod = std::chrono::milliseconds { 1000 };
    /// A replica that disappeared from the directory without having been marked as draining counts as
    /// unreachable for this long, because other VMs may still list it, or list it again. Covers the age of a
    /// listing and the time for which missing entries are kept.
    Duration missingReplicaRetention = std::chrono::seconds { 10 };
    /// Between two attempts to make an upstream follow the current primary.
    Duration reconcileInterval = std::chrono::milliseconds { 400 };
    /// The coordinator asks a primary for its status when no traffic has reached it for this long.
    Duration primaryIdleTime = std::chrono::milliseconds { 500 };
    /// A primary that has been asked and has answered nothing for this long is replaced.
    Duration primaryTimeout = std::chrono::milliseconds { 700 };
    /// Replicas' logs are compared for twice this time before a silent primary is replaced: a log that grows
    /// shows that the primary is running.
    Duration logGrowthWindow = std::chrono::milliseconds { 200 };
    /// In a planned change, how long replicas may take to receive what the old primary has written.
    Duration catchUpTimeout = std::chrono::milliseconds { 800 };
    /// The same when the change is due to an evacuation. The old primary does not shut down, so replicas can
    /// still receive from it.
    Duration evacuationCatchUpTimeout = std::chrono::milliseconds { 3000 };
    /// Between two attempts of a promotion that has shown no effect.
    Duration promotionRetryInterval = std::chrono::milliseconds { 500 };
    /// A promoted replica that does not lead after this time is abandoned. Another one is promoted as soon as
    /// no promotion of the first one can take effect any more.
    Duration promotionTimeout = std::chrono::milliseconds { 2500 };
    /// By this time a promotion that was sent has taken effect or never will; covers the time limit of that
    /// call and the change itself.
    Duration promotionSettleTime = std::chrono::milliseconds { 4000 };
    /// An accepted promotion has taken effect by this time, or was of the upstream that already leads.
    Duration promotionEffectTime = std::chrono::milliseconds { 2000 };
    /// A VM that released the coordinator lease does not acquire it again for this long.
    Duration leaseReacquireDelay = std::chrono::seconds { 4 };
    /// Between two attempts to acquire the coordinator lease or to write the record.
    Duration storeRetryInterval = std::chrono::milliseconds { 300 };
    /// Each VM waits for its rank times this before it acquires a free coordinator lease, so that two VMs
    /// seldom try at once.
    Duration rankDelay = std::chrono::milliseconds { 60 };
};

/// Tracks which upstream leads a group, as seen from one VM, and replaces the primary when it fails or
/// leaves. Every VM runs one per group; its view tells which upstream receives writes and until when. Only
/// the group's coordinator, the VM that holds the coordinator lease, replaces the primary. Does no I/O: takes
/// events and returns actions. Not thread-safe.
///
/// Safety: a new primary leads only after every view of the old one has expired. The coordinator first claims
/// the next term in the store, so that no later read renews a view of the old primary, and pauses the
/// replicas, so that they no longer confirm one. It waits for `viewLifetime` after both steps. Replicas
/// extend only a view that is still valid: one replica suffices for `singleReplicaPeriod` after the store was
/// read, all of them are needed from then on, so that pausing the replica to be promoted is enough. An
/// expired view becomes valid again only by a read of the store, or by a sibling's valid view of the same
/// record.
///
/// At most one promotion at a time: the record names the replica that is to lead before the platform is asked
/// to promote it, so the next coordinator continues with the same replica. Another replica is chosen, or
/// written as the primary, only when no promotion of the first one can take effect any more. That none can
/// does not mean that none has: once the record names a replica, the old primary becomes the primary again
/// only by a promotion of its own.
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

    /// Rank of this VM among all VMs; determines the order in which they try to acquire the coordinator
    /// lease.
    void setRank(std::size_t rank) noexcept { this->rank = rank; }
    /// Until when this VM's own lease is certain to be valid. Its coordinator leases expire with it.
    void setVmLeaseExpiry(Instant until) noexcept { this->vmLeaseExpiresAt = until; }
    /// This VM's lease has expired, and with it every coordinator lease that it held, whatever was read
    /// before.
    void onVmLeaseExpired(Instant now);

    /// Whether this VM asks replicas on behalf of its siblings too.
    void setConfirmsForSiblings(bool confirms) noexcept { this->confirmsForSiblings = confirms; }

    /// The store was read. A snapshot older than the latest one is ignored.
    void onSnapshot(const LeadershipSnapshot& snapshot, Instant now);
    /// The directory now lists these upstreams of the group.
    void onDirectory(UpstreamDirectory members, Instant now);
    /// Operators evacuate these availability zones: a primary there is replaced by a planned change, and no
    /// replica there is promoted.
    void setEvacuatedZones(std::set<ZoneName> zones) { this->evacuatedZones = std::move(zones); }
    /// Reports the traffic to an upstream: when it last answered, since when statements have been failing,
    /// and whether an answer contradicts the view.
    void onTraffic(const UpstreamName& upstream, Instant lastAnswer, std::optional<Instant> failingSince,
        bool contradictsView);
    /// An upstream answered a status request, pause, resume or demotion that was sent at `askedAt`.
    void onStatus(const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now);
    /// A sibling has a valid view of the record at that revision, last confirmed at that instant. The
    /// coordinator waits for that view to expire as well, so it may make an expired view of this VM valid
    /// again.
    void onSiblingView(std::uint64_t recordRevision, Instant viewConfirmedAt);
    /// An upstream did not answer a request, or refused it.
    void onStatusFailed(const UpstreamName& upstream, Instant now);
    /// The store accepted a change of the record that this VM had requested.
    void onRecordWritten(const LeadershipRecord& record, std::uint64_t revision, Instant now);
    /// The platform accepted a promotion that was sent at `sentAt`.
    void onPromotionAccepted(const UpstreamName& upstream, Instant sentAt, Instant now);
    /// The platform refused a promotion because the upstream is not running.
    void onPromotionRefused(const UpstreamName& upstream);

    /// Returns the actions to perform. To be called about every 50 ms.
    [[nodiscard]] std::vector<LeadershipAction> tick(Instant now);

    /// Which upstream receives writes, and until when.
    [[nodiscard]] LeaderView view() const;
    /// When the view was last confirmed by the store or by replicas; empty when it is not valid.
    [[nodiscard]] std::optional<Instant> viewConfirmedAt(Instant now) const;
    /// When replicas or siblings last confirmed the view; Instant::min() when they have not.
    [[nodiscard]] Instant replicasConfirmedView() const noexcept { return this->replicasConfirmedAt; }
    /// The revision of the record that the view was read from.
    [[nodiscard]] std::uint64_t recordRevision() const noexcept
    {
        return this->latestSnapshot.recordRevision;
    }

    /// How often replicas extended a view, and how often a view expired before it was renewed.
    struct Counters {
        std::uint64_t replicaConfirmations = 0;
        std::uint64_t viewsExpired = 0;
    };
    [[nodiscard]] const Counters& counters() const noexcept { return this->counts; }

    /// True when this VM needs its own lease: it holds the coordinator lease, or it is its turn to acquire
    /// it.
    [[nodiscard]] bool needsLease(Instant now) const;

    /// True when the store should be read soon: the record may be stale, or the primary is being replaced.
    [[nodiscard]] bool needsSnapshot() const noexcept;

private:
    struct Member {
        UpstreamEntry entry;
        std::optional<UpstreamStatus> status;
        Instant statusAt = Instant::min();
        /// When it was first reported to lead its current term.
        Instant leadsSince = Instant::min();
        Instant lastAnswer = Instant::min();
        Instant lastAskedAt = Instant::min();
        /// Send time of the last request with which it confirmed that it follows the record's primary.
        Instant confirmedAt = Instant::min();
        /// Since when callers' statements, and this VM's own status requests, have been failing.
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
        /// When the first answer arrived that reported the pause; the replica had been paused before.
        Instant since;
        /// Send time of the last request whose answer still reported the pause; the replica was still paused
        /// after it.
        Instant lastSeen;
    };
    struct AcceptedPromotion {
        UpstreamName upstream;
        /// When the platform first accepted it.
        Instant at;
    };
    /// State of a replacement of the primary.
    struct Replacement {
        Term term {};
        bool planned = false;
        /// The write of the claim is not known to have taken effect yet.
        bool claimPending = true;
        /// The upstream that this VM has tried to write into the record as the primary.
        UpstreamName attemptedPrimary;
        /// When the record was seen to contain the claim.
        Instant claimedAt;
        /// The replica that was chosen before this VM took over the claim.
        UpstreamName inheritedChoice;
        std::map<UpstreamName, Pause> paused;
        std::optional<Progress> demotedProgress;
        /// The upstream that this VM promotes, and since when.
        UpstreamName promoted;
        Instant promotedSince;
        Instant lastPromotionAt = Instant::min();
        /// The latest promotion that the platform accepted, if no other upstream was chosen since.
        std::optional<AcceptedPromotion> accepted;
        std::vector<UpstreamName> refused;
    };
    /// An upstream that reports that it leads.
    struct Leader {
        UpstreamName name;
        Term term {};
        /// When this VM first received that report.
        Instant since;
    };
    /// An upstream that may be promoted.
    struct Candidate {
        UpstreamName name;
        Progress received;
    };
    /// The replicas' log positions when the primary was first found unresponsive.
    struct LogBaseline {
        Instant since;
        std::map<UpstreamName, Progress> received;
    };

    [[nodiscard]] bool holdsCoordinatorLease(Instant now) const noexcept;
    [[nodiscard]] bool isTurnToAcquireLease(Instant now) const;
    void acquireLeaseIfFree(Instant now);
    void renewFromReplicas(Instant now);
    [[nodiscard]] bool isPrimary(const UpstreamName& name) const;
    [[nodiscard]] bool isInEvacuatedZone(const UpstreamEntry& entry) const;
    /// True when the upstream neither shuts down nor is in an evacuated availability zone.
    [[nodiscard]] bool mayLead(const UpstreamEntry& entry) const;
    /// True when an upstream other than the primary may lead.
    [[nodiscard]] bool hasSuccessor() const;
    /// True while a replica may exist that the directory does not list.
    [[nodiscard]] bool hasMissingReplica(Instant now) const;
    /// The instant up to which every replica has confirmed that it follows the record's primary.
    [[nodiscard]] Instant allReplicasConfirmedAt(Instant now) const;
    /// Records that a replica confirmed, in answer to a request sent at `askedAt`, that it follows the
    /// record's primary.
    void recordConfirmation(Member& replica, Instant askedAt, Instant now);
    /// Discards all confirmations; they were of another record.
    void clearConfirmations() noexcept;
    void adoptInitialPrimary(Instant now);
    void monitorPrimary(Instant now);
    [[nodiscard]] bool isPrimaryUnresponsive(Instant now);
    [[nodiscard]] bool isReplicaLogGrowing(Instant now);
    void claimNextTerm(bool planned, std::string_view reason, Instant now);
    void continueReplacement(Instant now);
    /// The old primary if it has reported since the claim that it is a primary; null otherwise. It may not
    /// know that another upstream was promoted.
    [[nodiscard]] const Member* findReturnedPrimary(Instant now);
    /// Adds the returned primary to the upstreams that may be promoted. It has everything that was
    /// acknowledged, and views of it do no harm once it leads.
    void addReturnedPrimary(std::vector<Candidate>& candidates, Instant now);
    /// True when nothing was promoted under this claim, or the returned primary last.
    [[nodiscard]] bool isStillPrimary(const Member& returned, Instant now) const;
    void cancelReplacement(Instant now);
    void onClaimWritten(const LeadershipRecord& record, Instant now);
    void demoteOldPrimary(Instant now);
    void pauseReplicas(Instant now);
    void recordPause(
        const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now);
    /// True when every replica is paused and has been for `viewLifetime`.
    [[nodiscard]] bool areAllPausedForViewLifetime(Instant now) const;
    /// When every view of the old primary has expired, as far as is known now.
    [[nodiscard]] Instant oldViewsExpireAt(Instant now) const;
    /// True when the replica is known to have been paused for `viewLifetime`.
    [[nodiscard]] bool isPausedForViewLifetime(const Pause& pause) const noexcept;
    /// True when every upstream except the old primary is paused.
    [[nodiscard]] bool areAllReplicasPaused() const;
    /// The upstream that leads the highest term, if that is `minTerm` or above.
    [[nodiscard]] std::optional<Leader> newestLeader(Term minTerm) const;
    /// True for a listed upstream that may lead and whose promotion was not given up.
    [[nodiscard]] bool isEligible(const UpstreamName& name);
    /// The upstreams that may be promoted, as far as this VM knows.
    [[nodiscard]] std::vector<Candidate> findCandidates(Instant now);
    /// The candidate that has received most of the log, among those for which no promotion of another
    /// upstream can still take effect.
    [[nodiscard]] std::optional<Candidate> selectCandidate(Instant now);
    /// Writes the chosen upstream into the record and, when every view of the old primary has expired, starts
    /// its promotion.
    void startPromotion(Instant now);
    void sendPromotion(Instant now);
    /// Asks every upstream for its status, which shows the leader whichever promotion took effect.
    void askAllMembers(Instant now);
    void abandonPromotion();
    void completeReplacement(const Leader& leader, Instant now);
    /// Starts the change to an upstream that leads a newer term than the record's; returns false when there
    /// is none.
    [[nodiscard]] bool replaceByNewerLeader(Instant now);
    /// When every view of the old primary has expired, given that this upstream leads for whatever reason.
    [[nodiscard]] Instant oldViewsExpireAtForLeader(const Leader& leader) const;
    /// Updates since when the record has contained the claim; to be called before `next` replaces the latest
    /// snapshot's record.
    void updateClaimStart(const std::optional<LeadershipRecord>& next, Instant now);
    void reconcileUpstreams(Instant now);
    void writeRecord(LeadershipRecord record, Instant now);
    /// True when no change that this VM has sent can still take effect.
    [[nodiscard]] bool hasNoPendingWrite() const noexcept;
    /// Writes a record that says that `leader` leads `term`, without a claim on the next term.
    void writeLeader(const UpstreamName& leader, Term term, Instant now);
    /// Returns true and sets the time of the last request to now if `interval` has passed since that request.
    [[nodiscard]] static bool markAskedIfDue(Member& member, Duration interval, Instant now);
    void askStatus(Member& member, Instant now);
    void publishViewIfChanged(Instant now);
    /// Logs when the view expires, becomes valid again, or is confirmed by another source.
    void logValidityChange(Instant now);
    /// True when replicas should be asked to confirm the view.
    [[nodiscard]] bool needsReplicaConfirmation(Instant now) const noexcept;
    /// What the view's validity currently relies on. Replicas and siblings count only where the view would
    /// have expired without their confirmation.
    [[nodiscard]] ViewSource viewSource(Instant now) const noexcept;
    void logEvent(std::string_view event, std::vector<std::pair<std::string, std::string>> fields);
    /// The latest record; throws LeadershipError when none was read.
    [[nodiscard]] const LeadershipRecord& record() const;
    /// The current coordinator lease; throws LeadershipError when no VM is known to hold it.
    [[nodiscard]] const CoordinatorLease& coordinatorLease() const;
    [[nodiscard]] Member* find(const UpstreamName& name);

    Options options;
    std::size_t rank = 0;
    Instant vmLeaseExpiresAt = Instant::min();
    LeadershipSnapshot latestSnapshot;
    bool hasSnapshot = false;
    bool recordMayBeStale = false;
    std::vector<Member> members;
    std::set<ZoneName> evacuatedZones;
    /// When upstreams disappeared from the directory that had not been marked as draining.
    std::map<UpstreamName, Instant> missingSince;
    /// Confirmations from before this instant were wrong.
    Instant viewDisprovedAt = Instant::min();
    /// Answers to callers' statements contradict the view.
    bool trafficContradictsView = false;
    /// The instant up to which replicas have confirmed the view, to this VM or to a sibling.
    Instant replicasConfirmedAt = Instant::min();
    /// The replica that confirmed last; empty when a sibling reported the confirmation.
    UpstreamName confirmedBy;
    /// The instant up to which siblings have reported replicas' confirmations.
    Instant siblingConfirmedAt = Instant::min();
    bool confirmsForSiblings = true;
    std::unique_ptr<Replacement> replacement;
    /// Since when the record is known to have contained a claim without interruption.
    std::optional<Instant> claimHeldSince;
    PendingPromotions pendingPromotions;
    std::unique_ptr<LogBaseline> logBaseline;
    std::optional<Instant> leaseFreeSince;
    /// Reads of the store from before this instant do not tell who holds the coordinator lease.
    Instant leaseKnownFrom = Instant::min();
    Instant mayAcquireFrom = Instant::min();
    Instant lastAcquireAt = Instant::min();
    Instant lastWriteAt = Instant::min();
    std::uint64_t changeCount = 0;
    std::string lastChangeId;
    /// The record revision that the last change expects.
    std::uint64_t lastExpectedRevision = 0;
    LeaderView publishedView;
    Instant lastPublishedAt = Instant::min();
    /// What was logged last about the view: whether it was valid, and its source.
    bool wasLoggedAsValid = false;
    ViewSource loggedSource = ViewSource::Store;
    Counters counts;
    std::vector<LeadershipAction> actions;
};

} // namespace cyclamendrift
