// The part of FailoverCoordinator that keeps a settled group whole: carry out what the record says, and adapt
// the in-sync set of small groups.
#include <cyclamendrift/failover/failover_coordinator.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// A replica that falls out again within this time after it joined is let in more slowly next time.
constexpr Duration recentRejoinWindow = std::chrono::seconds { 30 };

/// How far behind its primary a replica may be and still be said to keep up, in probe intervals.
constexpr int maxProbeIntervalsBehind = 2;

} // namespace

/// The record decides; carrying it out is the same for every VM and may be done by several, twice or late,
/// because slots refuse what belongs to a lower term.
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

/// A replica that holds up every write leaves the in-sync set by a change of the record. Only after that
/// change is known to have taken place does the view name a smaller set: acknowledging first would lose the
/// commit if this replica were promoted at the same moment.
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

/// Siblings that reach a replica hand on its status, which confirms commits as well as an own probe does. So
/// a proxy that alone cannot reach it drops it only when no sibling answers either.
bool FailoverCoordinator::hasFallenBehind(const SlotMonitor& replica) const
{
    const auto* primary = this->find(this->record().primary);
    const auto bound = this->options.settings.shrinkAfter + this->rankDelay();
    if (primary->timeSinceAnswer(this->now) >= this->options.settings.probeInterval * maxProbeIntervalsBehind)
        return false;
    if (this->isDown(replica))
        return true;
    const auto timeBehind = replica.timeBehind(this->now);
    const bool hasSiblingReport = this->isResponsive(replica) || replica.siblingsAnswer().has_value();
    return timeBehind >= (hasSiblingReport ? bound : bound * 2);
}

/// Growing the set takes a new term of the same primary. Views of the term before then stop being good for
/// new commits by themselves, however old or paused their holder is: a commit of the new term shows it.
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
