#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

LeaderCoordinator::LeaderCoordinator(Options options)
    : options(std::move(options))
    , pendingPromotions(this->options.settings.promotionSettleTime)
{
}

const LeadershipRecord& LeaderCoordinator::record() const
{
    if (!this->latestSnapshot.record)
        throw LeadershipError { "no leadership record has been read" };
    return *this->latestSnapshot.record;
}

const CoordinatorLease& LeaderCoordinator::coordinatorLease() const
{
    if (!this->latestSnapshot.coordinatorLease)
        throw LeadershipError { "no VM is known to hold the coordinator lease" };
    return *this->latestSnapshot.coordinatorLease;
}

bool LeaderCoordinator::isPrimary(const UpstreamName& name) const
{
    return this->latestSnapshot.record && this->latestSnapshot.record->primary == name;
}

bool LeaderCoordinator::isInEvacuatedZone(const UpstreamEntry& entry) const
{
    return this->evacuatedZones.contains(entry.zone);
}

bool LeaderCoordinator::mayLead(const UpstreamEntry& entry) const
{
    return !entry.draining && !this->isInEvacuatedZone(entry);
}

bool LeaderCoordinator::hasSuccessor() const
{
    return std::any_of(this->members.begin(), this->members.end(), [this](const Member& member) {
        return !this->isPrimary(member.entry.name) && this->mayLead(member.entry);
    });
}

LeaderCoordinator::Member* LeaderCoordinator::find(const UpstreamName& name)
{
    const auto match = std::find_if(this->members.begin(), this->members.end(),
        [&name](const Member& member) { return member.entry.name == name; });
    return match == this->members.end() ? nullptr : &*match;
}

bool LeaderCoordinator::holdsCoordinatorLease(Instant now) const noexcept
{
    return this->latestSnapshot.coordinatorLease
        && this->latestSnapshot.coordinatorLease->holder == this->options.vm && now < this->vmLeaseExpiresAt;
}

void LeaderCoordinator::onSnapshot(const LeadershipSnapshot& snapshot, Instant now)
{
    // A read that was in flight while this VM wrote the record may still return the previous one.
    const bool older = snapshot.askedAt < this->latestSnapshot.askedAt
        || snapshot.recordRevision < this->latestSnapshot.recordRevision;
    if (this->hasSnapshot && older)
        return;
    const bool sameRecord = this->hasSnapshot && this->latestSnapshot.record == snapshot.record;
    this->updateClaimStart(snapshot.record, now);
    this->latestSnapshot = snapshot;
    if (snapshot.askedAt < this->leaseKnownFrom)
        this->latestSnapshot.coordinatorLease.reset();
    this->hasSnapshot = true;
    this->recordMayBeStale = false;
    if (!sameRecord) {
        this->clearConfirmations();
        if (const auto& record = snapshot.record)
            this->logEvent("leadership_read",
                { { "primary", record->primary.string() }, { "term", textOf(record->term) },
                    { "claimed_term", textOf(record->claimedTerm) }, { "author", record->author.string() } });
    }
    if (!this->latestSnapshot.coordinatorLease
        || this->latestSnapshot.coordinatorLease->holder != this->options.vm) {
        this->replacement.reset();
        this->logBaseline.reset();
    }
    if (snapshot.record)
        this->onClaimWritten(*snapshot.record, now);
    // The answer to the write that completed the replacement may have been lost.
    const bool settled = snapshot.record && snapshot.record->isSettled();
    if (this->replacement && settled && !this->replacement->claimPending)
        this->replacement.reset();
    if (snapshot.coordinatorLease || snapshot.askedAt < this->leaseKnownFrom)
        this->leaseFreeSince.reset();
    else if (!this->leaseFreeSince)
        this->leaseFreeSince = now;
}

void LeaderCoordinator::onVmLeaseExpired(Instant now)
{
    this->leaseKnownFrom = now;
    this->latestSnapshot.coordinatorLease.reset();
    this->leaseFreeSince.reset();
    this->replacement.reset();
    this->logBaseline.reset();
}

void LeaderCoordinator::onDirectory(UpstreamDirectory entries, Instant now)
{
    std::erase_if(this->members, [&](const Member& member) {
        const bool listed = std::any_of(entries.begin(), entries.end(),
            [&member](const UpstreamEntry& entry) { return entry.name == member.entry.name; });
        if (!listed && !member.entry.draining)
            this->missingSince.emplace(member.entry.name, now);
        return !listed;
    });
    for (auto& entry : entries) {
        this->missingSince.erase(entry.name);
        if (auto* member = this->find(entry.name))
            member->entry = std::move(entry);
        else
            this->members.push_back({ .entry = std::move(entry) });
    }
    std::erase_if(this->missingSince, [&](const auto& item) {
        return now >= item.second + this->options.settings.missingReplicaRetention;
    });
}

void LeaderCoordinator::onTraffic(const UpstreamName& upstream, Instant lastAnswer,
    std::optional<Instant> failingSince, bool contradictsView)
{
    auto* member = this->find(upstream);
    if (member == nullptr)
        return;
    member->lastAnswer = std::max(member->lastAnswer, lastAnswer);
    member->trafficFailingSince = failingSince;
    // The flag applies to the whole group, whichever upstream the call names.
    this->trafficContradictsView = contradictsView;
    if (contradictsView)
        this->recordMayBeStale = true;
}

void LeaderCoordinator::onStatus(
    const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now)
{
    auto* member = this->find(upstream);
    if (member == nullptr)
        return;
    member->lastAnswer = std::max(member->lastAnswer, now);
    member->queriesFailingSince.reset();
    if (askedAt < member->statusAt)
        return;
    const bool ledBefore = member->status && member->status->isPrimary && member->status->term == status.term;
    if (status.isPrimary && !ledBefore)
        member->leadsSince = now;
    member->status = status;
    member->statusAt = askedAt;
    const auto& record = this->latestSnapshot.record;
    if (!record)
        return;
    // A newer primary leads, whatever the store or another replica reported before.
    if (status.term > record->term) {
        this->recordMayBeStale = true;
        this->viewDisprovedAt = now;
    }
    // A promotion ends the pause of every replica, and a lagging replica answers as before until it learns of
    // the new term. By then every old view has expired, so only a view that is still valid may be extended.
    const bool confirms = !status.isPrimary && status.term == record->term
        && status.pausedBelowTerm <= record->term && upstream != record->primary && this->view().isValid(now);
    if (confirms)
        this->recordConfirmation(*member, askedAt, now);
    if (this->replacement && !status.isPrimary)
        this->recordPause(upstream, status, askedAt, now);
    if (this->replacement && this->replacement->planned && upstream == record->primary && !status.isPrimary)
        this->replacement->demotedProgress = status.received;
}

void LeaderCoordinator::onStatusFailed(const UpstreamName& upstream, Instant now)
{
    auto* member = this->find(upstream);
    if (member == nullptr)
        return;
    // Traffic may have received an answer since the last status request that failed.
    const auto& since = member->queriesFailingSince;
    if (!since || *since <= member->lastAnswer)
        member->queriesFailingSince = now;
}

void LeaderCoordinator::onRecordWritten(const LeadershipRecord& record, std::uint64_t revision, Instant now)
{
    // A read of a later record may overtake the answer to this write.
    if (revision < this->latestSnapshot.recordRevision)
        return;
    this->updateClaimStart(record, now);
    this->latestSnapshot.record = record;
    this->latestSnapshot.recordRevision = revision;
    this->clearConfirmations();
    if (record.isSettled()) {
        this->replacement.reset();
        // The swap took place at an unknown moment after it was sent, so it does not renew the view; the next
        // snapshot does.
        this->recordMayBeStale = true;
    }
    this->onClaimWritten(record, now);
    this->publishViewIfChanged(now);
}

void LeaderCoordinator::onPromotionAccepted(const UpstreamName& upstream, Instant sentAt, Instant now)
{
    if (!this->replacement)
        return;
    auto& current = *this->replacement;
    const bool isCurrent = current.promoted == upstream && sentAt >= current.promotedSince;
    if (isCurrent && !current.accepted)
        current.accepted = AcceptedPromotion { .upstream = upstream, .at = now };
}

void LeaderCoordinator::onPromotionRefused(const UpstreamName& upstream)
{
    this->pendingPromotions.recordOutcome(upstream);
    if (this->replacement && this->replacement->promoted == upstream)
        this->abandonPromotion();
}

bool LeaderCoordinator::needsSnapshot() const noexcept
{
    return this->recordMayBeStale
        || (this->latestSnapshot.record && !this->latestSnapshot.record->isSettled());
}

std::vector<LeadershipAction> LeaderCoordinator::tick(Instant now)
{
    if (this->hasSnapshot) {
        this->acquireLeaseIfFree(now);
        this->renewFromReplicas(now);
        if (this->holdsCoordinatorLease(now)) {
            if (!this->latestSnapshot.record)
                this->adoptInitialPrimary(now);
            else if (this->latestSnapshot.record->isSettled())
                this->monitorPrimary(now);
            else
                this->continueReplacement(now);
            this->reconcileUpstreams(now);
        }
    }
    this->publishViewIfChanged(now);
    return std::exchange(this->actions, {});
}

bool LeaderCoordinator::needsLease(Instant now) const
{
    const bool isHolder = this->latestSnapshot.coordinatorLease
        && this->latestSnapshot.coordinatorLease->holder == this->options.vm;
    return isHolder || this->isTurnToAcquireLease(now);
}

bool LeaderCoordinator::isTurnToAcquireLease(Instant now) const
{
    if (this->latestSnapshot.coordinatorLease || !this->leaseFreeSince || now < this->mayAcquireFrom)
        return false;
    return now >= *this->leaseFreeSince + this->options.settings.rankDelay * static_cast<int>(this->rank);
}

void LeaderCoordinator::acquireLeaseIfFree(Instant now)
{
    if (!this->isTurnToAcquireLease(now) || now >= this->vmLeaseExpiresAt
        || now < this->lastAcquireAt + this->options.settings.storeRetryInterval)
        return;
    this->lastAcquireAt = now;
    this->actions.emplace_back(AcquireCoordinatorLease {});
}

void LeaderCoordinator::askStatus(Member& member, Instant now)
{
    if (markAskedIfDue(member, this->options.settings.askInterval, now))
        this->actions.emplace_back(AskStatus { .upstream = member.entry.name });
}

bool LeaderCoordinator::markAskedIfDue(Member& member, Duration interval, Instant now)
{
    if (now < member.lastAskedAt + interval)
        return false;
    member.lastAskedAt = now;
    return true;
}

void LeaderCoordinator::adoptInitialPrimary(Instant now)
{
    for (auto& member : this->members) {
        if (member.status && member.status->isPrimary
            && member.statusAt + this->options.settings.viewLifetime > now) {
            this->writeLeader(member.entry.name, member.status->term, now);
            return;
        }
        if (member.entry.claimsPrimary)
            this->askStatus(member, now);
    }
}

void LeaderCoordinator::writeRecord(LeadershipRecord record, Instant now)
{
    if (now < this->lastWriteAt + this->options.settings.storeRetryInterval)
        return;
    this->lastWriteAt = now;
    record.author = this->options.vm;
    record.changeId = this->options.vm.string() + '/' + std::to_string(this->options.seed) + '/'
        + std::to_string(++this->changeCount);
    this->lastChangeId = record.changeId;
    this->lastExpectedRevision = this->latestSnapshot.recordRevision;
    this->actions.emplace_back(WriteLeadershipRecord { .record = std::move(record),
        .expectedRevision = this->latestSnapshot.recordRevision,
        .leaseRevision = this->coordinatorLease().revision });
}

bool LeaderCoordinator::hasNoPendingWrite() const noexcept
{
    return this->latestSnapshot.recordRevision > this->lastExpectedRevision;
}

void LeaderCoordinator::writeLeader(const UpstreamName& leader, Term term, Instant now)
{
    this->writeRecord({ .term = term, .primary = leader, .claimedTerm = term }, now);
}

void LeaderCoordinator::monitorPrimary(Instant now)
{
    const auto& record = this->record();
    auto* primary = this->find(record.primary);
    if (this->replaceByNewerLeader(now))
        return;
    if (primary == nullptr)
        return this->claimNextTerm(false, "the primary is not listed in the directory", now);
    if (primary->entry.draining)
        return this->claimNextTerm(true, "the primary is draining", now);
    // Without a successor the primary stays, so that it can serve again when the evacuation is withdrawn.
    if (this->isInEvacuatedZone(primary->entry) && this->hasSuccessor())
        return this->claimNextTerm(true, "the primary's availability zone is evacuated", now);
    const bool steppedDown
        = primary->status && !primary->status->isPrimary && primary->status->term <= record.term;
    if (steppedDown && primary->statusAt > this->latestSnapshot.askedAt - this->options.settings.viewLifetime)
        return this->claimNextTerm(false, "the primary reports that it is a replica", now);
    if (!this->isPrimaryUnresponsive(now)) {
        // The primary counts as running, so a claim that was never written is dropped.
        this->replacement.reset();
        this->logBaseline.reset();
        return;
    }
    if (this->isReplicaLogGrowing(now)) {
        // Replicas receive what the primary writes, so it serves other VMs and only this VM is cut off from
        // it.
        this->logEvent("duty_yielded",
            { { "primary", record.primary.string() }, { "reason", "replicas still receive its log" } });
        this->mayAcquireFrom = now + this->options.settings.leaseReacquireDelay;
        this->logBaseline.reset();
        this->actions.emplace_back(ReleaseCoordinatorLease { this->coordinatorLease().revision });
        this->latestSnapshot.coordinatorLease.reset();
        return;
    }
    const bool compared
        = this->logBaseline && now >= this->logBaseline->since + this->options.settings.logGrowthWindow * 2;
    if (compared && now >= primary->lastAnswer + this->options.settings.primaryTimeout)
        this->claimNextTerm(false, "the primary does not answer", now);
}

bool LeaderCoordinator::isPrimaryUnresponsive(Instant now)
{
    auto& primary = *this->find(this->record().primary);
    const bool quiet = now >= primary.lastAnswer + this->options.settings.primaryIdleTime;
    const bool failing = primary.isFailing();
    if (quiet || failing)
        this->askStatus(primary, now);
    return failing && now >= primary.lastAnswer + this->options.settings.askInterval * 2;
}

bool LeaderCoordinator::isReplicaLogGrowing(Instant now)
{
    if (!this->logBaseline)
        this->logBaseline = std::make_unique<LogBaseline>(LogBaseline { .since = now });
    bool grows = false;
    for (auto& member : this->members) {
        if (member.entry.name == this->latestSnapshot.record->primary)
            continue;
        this->askStatus(member, now);
        if (!member.status || member.statusAt < this->logBaseline->since)
            continue;
        const auto first
            = this->logBaseline->received.try_emplace(member.entry.name, member.status->received).first;
        grows = grows || member.status->received > first->second;
    }
    return grows;
}

void LeaderCoordinator::logEvent(
    std::string_view event, std::vector<std::pair<std::string, std::string>> fields)
{
    this->actions.emplace_back(
        LogLeadershipEvent { .event = std::string { event }, .fields = std::move(fields) });
}

} // namespace cyclamendrift
