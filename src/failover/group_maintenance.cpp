// FailoverCoordinator: maintenance of a settled group, which applies the group record to the slots and adapts
// the in-sync set of small groups.
#include <cyclamendrift/failover/failover_coordinator.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// If a replica falls behind again within this time after a rejoin, the rejoin delay is doubled.
constexpr Duration recentRejoinWindow = std::chrono::seconds { 30 };

/// How many probe intervals a replica may lag behind its primary and still count as caught up.
constexpr int maxProbeIntervalsBehind = 2;

} // namespace

/// Brings the slots into the state that the record describes. Several VMs may do so, repeatedly or late,
/// because slots reject calls of a lower term.
void FailoverCoordinator::applyRecord()
{
    auto* primary = this->find(this->record().primary);
    if (primary == nullptr || !this->isResponsive(*primary))
        return;
    if (this->isActingPrimary(*primary)) {
        primary->notActingSince.reset();
        this->redirectReplicas(*primary);
        return;
    }
    if (!primary->notActingSince)
        primary->notActingSince = this->now;
    this->promoteRecordedPrimary(*primary);
}

void FailoverCoordinator::promoteRecordedPrimary(SlotMonitor& primary)
{
    const auto& record = this->record();
    const auto& status = primary.status();
    const bool mayPromote = record.promoter == this->options.vm
        || this->now - this->adoptedAt >= this->options.settings.suspectAfter;
    if (!mayPromote || this->now < primary.nextOrderAt || status.fenced > record.term)
        return;
    primary.nextOrderAt = this->now + this->options.settings.retryInterval;
    if (status.fenced < record.term)
        this->actions.emplace_back(FenceSlot { .slot = primary.name(), .term = record.term });
    else
        this->actions.emplace_back(PromoteSlot { .slot = primary.name(), .term = record.term });
}

void FailoverCoordinator::redirectReplicas(const SlotMonitor& primary)
{
    const auto term = this->record().term;
    for (auto& slot : this->slots) {
        if (slot.name() == primary.name() || !this->isResponsive(slot) || this->now < slot.nextOrderAt)
            continue;
        const auto& status = slot.status();
        const bool mustRedirect = status.primary || status.progress.term < term;
        if (!mustRedirect || status.fenced > term)
            continue;
        slot.nextOrderAt = this->now + this->options.settings.suspectAfter;
        this->actions.emplace_back(
            FollowPrimary { .slot = slot.name(), .term = term, .primary = primary.name() });
    }
}

void FailoverCoordinator::setReplicaTargets(const StatusSample& sample)
{
    if (!this->current || sample.slot != this->record().primary)
        return;
    const auto* primary = this->find(sample.slot);
    if (primary == nullptr || !this->isActingPrimary(*primary))
        return;
    for (auto& slot : this->slots) {
        if (slot.name() != sample.slot)
            slot.setTarget(sample.status.progress, this->now);
    }
}

void FailoverCoordinator::updateCaughtUpSince(SlotMonitor& slot)
{
    if (!this->current || slot.name() == this->record().primary)
        return;
    const auto& status = slot.status();
    const auto term = this->record().servingTerm;
    const bool isFollowing = !status.primary && status.progress.term == term && status.fenced <= term;
    const bool isCaughtUp = isFollowing
        && slot.timeBehind(this->now) <= this->options.settings.probeInterval * maxProbeIntervalsBehind;
    if (!isCaughtUp)
        slot.caughtUpSince.reset();
    else if (!slot.caughtUpSince)
        slot.caughtUpSince = this->now;
}

bool FailoverCoordinator::isServing() const
{
    const auto* primary = this->find(this->record().primary);
    return primary != nullptr && this->isActingPrimary(*primary) && this->isResponsive(*primary);
}

/// Removes a replica that delays every write from the in-sync set in the record. The view contains the
/// smaller set only once that change is known to have taken effect: a commit acknowledged earlier would be
/// lost if the removed replica were promoted at the same time.
void FailoverCoordinator::shrinkInSyncSetIfNeeded()
{
    if (this->usesMajority() || this->pendingSwap || !this->isServing())
        return;
    auto record = this->record();
    for (auto& slot : this->slots) {
        const bool isMember
            = std::find(record.inSync.begin(), record.inSync.end(), slot.name()) != record.inSync.end();
        if (!isMember || slot.name() == record.primary)
            continue;
        if (slot.timeSinceAnswer(this->now) >= this->options.settings.suspectAfter)
            this->askSiblingsAbout(slot);
        if (this->hasFallenBehind(slot))
            std::erase(record.inSync, slot.name());
    }
    if (record.inSync.size() == this->record().inSync.size())
        return;
    const bool rejoinedRecently = this->lastRejoinAt && this->now - *this->lastRejoinAt < recentRejoinWindow;
    const auto& settings = this->options.settings;
    this->rejoinDelay
        = rejoinedRecently ? std::min(this->rejoinDelay * 2, settings.maxRejoinDelay) : settings.rejoinDelay;
    this->swap(std::move(record));
}

/// Siblings that reach a replica report its status, which confirms commits just as this VM's own probe does,
/// so that the replica does not lag. A proxy that alone cannot reach it thus removes it only if no sibling
/// reports on it either, and waits twice as long while there is no answer of siblings at all.
bool FailoverCoordinator::hasFallenBehind(const SlotMonitor& replica) const
{
    const auto* primary = this->find(this->record().primary);
    const auto bound = this->options.settings.shrinkAfter + this->rankDelay();
    if (primary->timeSinceAnswer(this->now) >= this->options.settings.probeInterval * maxProbeIntervalsBehind)
        return false;
    if (this->isDown(replica))
        return true;
    const auto timeBehind = replica.timeBehind(this->now);
    const bool hasRecentAnswer = this->isResponsive(replica) || replica.siblingsAnswer().has_value();
    return timeBehind >= (hasRecentAnswer ? bound : bound * 2);
}

/// Adding a replica to the in-sync set requires a new term of the same primary. Views of the previous term
/// then no longer confirm new commits, however outdated or paused the proxy that holds them is, because those
/// commits carry the new term.
void FailoverCoordinator::rejoinCaughtUpReplicas()
{
    if (this->usesMajority() || this->pendingSwap || !this->isServing())
        return;
    std::vector<SlotName> joining;
    const auto& inSync = this->record().inSync;
    for (const auto& slot : this->slots) {
        const bool isMember = std::find(inSync.begin(), inSync.end(), slot.name()) != inSync.end();
        const bool isReady = slot.caughtUpSince && this->isResponsive(slot)
            && this->now - *slot.caughtUpSince >= this->rejoinDelay + this->rankDelay();
        if (!isMember && isReady && !this->isLeaving(slot.name()))
            joining.push_back(slot.name());
    }
    if (joining.empty())
        return;
    this->lastRejoinAt = this->now;
    this->claimTerm(Purpose::AddReplica, this->leaving, std::move(joining));
}

} // namespace cyclamendrift
