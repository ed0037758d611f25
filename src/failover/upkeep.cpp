// The part of FailoverCoordinator that keeps a settled group whole: carry out what the record says, and adapt
// the in-sync set of small groups.
#include <cyclamendrift/failover/failover_coordinator.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// A replica that falls out again within this time after it joined is let in more slowly next time.
constexpr Duration soonAfterRejoin = std::chrono::seconds { 30 };

/// How far behind its primary a replica may be and still be said to keep up, in probe intervals.
constexpr int probesBehind = 2;

} // namespace

/// The record decides; carrying it out is the same for every VM and may be done by several, twice or late,
/// because slots refuse what belongs to a lower term.
void FailoverCoordinator::carryOutRecord()
{
    auto* primary = this->find(this->record().primary);
    if (primary == nullptr || !this->answersNow(*primary))
        return;
    if (this->isActing(*primary)) {
        primary->amissSince.reset();
        this->bringBehind(*primary);
        return;
    }
    if (!primary->amissSince)
        primary->amissSince = this->now;
    this->promoteChosen(*primary);
}

void FailoverCoordinator::promoteChosen(SlotWatch& primary)
{
    const auto& record = this->record();
    const auto& status = primary.status();
    const bool ours = record.promoter == this->options.vm
        || this->now - this->adoptedAt >= this->options.settings.suspectAfter;
    if (!ours || this->now < primary.nextOrder || status.fenced > record.term)
        return;
    primary.nextOrder = this->now + this->options.settings.retryInterval;
    if (status.fenced < record.term)
        this->actions.emplace_back(FenceSlot { .slot = primary.name(), .term = record.term });
    else
        this->actions.emplace_back(PromoteSlot { .slot = primary.name(), .term = record.term });
}

void FailoverCoordinator::bringBehind(const SlotWatch& primary)
{
    const auto term = this->record().term;
    for (auto& slot : this->slots) {
        if (slot.name() == primary.name() || !this->answersNow(slot) || this->now < slot.nextOrder)
            continue;
        const auto& status = slot.status();
        const bool elsewhere = status.primary || status.progress.term < term;
        if (!elsewhere || status.fenced > term)
            continue;
        slot.nextOrder = this->now + this->options.settings.suspectAfter;
        this->actions.emplace_back(
            FollowPrimary { .slot = slot.name(), .term = term, .primary = primary.name() });
    }
}

void FailoverCoordinator::expectOfReplicas(const StatusSample& sample)
{
    if (!this->current || sample.slot != this->record().primary)
        return;
    const auto* primary = this->find(sample.slot);
    if (primary == nullptr || !this->isActing(*primary))
        return;
    for (auto& slot : this->slots) {
        if (slot.name() != sample.slot)
            slot.expect(sample.status.progress, this->now);
    }
}

void FailoverCoordinator::noteKeepingUp(SlotWatch& slot)
{
    if (!this->current || slot.name() == this->record().primary)
        return;
    const auto& status = slot.status();
    const auto term = this->record().servingTerm;
    const bool follows = !status.primary && status.progress.term == term && status.fenced <= term;
    const bool keepsUp
        = follows && slot.behind(this->now) <= this->options.settings.probeInterval * probesBehind;
    if (!keepsUp)
        slot.keepsUpSince.reset();
    else if (!slot.keepsUpSince)
        slot.keepsUpSince = this->now;
}

bool FailoverCoordinator::isServing() const
{
    const auto* primary = this->find(this->record().primary);
    return primary != nullptr && this->isActing(*primary) && this->answersNow(*primary);
}

/// A replica that holds up every write leaves the in-sync set by a change of the record. Only after that
/// change is known to have taken place does the view name a smaller set: acknowledging first would lose the
/// commit if this replica were promoted at the same moment.
void FailoverCoordinator::considerShrink()
{
    if (this->usesMajority() || this->pendingSwap || !this->isServing())
        return;
    auto record = this->record();
    for (auto& slot : this->slots) {
        const bool member
            = std::find(record.inSync.begin(), record.inSync.end(), slot.name()) != record.inSync.end();
        if (!member || slot.name() == record.primary)
            continue;
        if (slot.silence(this->now) >= this->options.settings.suspectAfter)
            this->askSiblingsAbout(slot);
        if (this->hasFallenOut(slot))
            std::erase(record.inSync, slot.name());
    }
    if (record.inSync.size() == this->record().inSync.size())
        return;
    const bool soon = this->lastRejoin && this->now - *this->lastRejoin < soonAfterRejoin;
    const auto& settings = this->options.settings;
    this->rejoinAfter
        = soon ? std::min(this->rejoinAfter * 2, settings.rejoinAfterAtMost) : settings.rejoinAfter;
    this->swap(std::move(record));
}

/// Siblings that reach a replica hand on its status, which confirms commits as well as an own probe does. So
/// a proxy that alone cannot reach it drops it only when no sibling answers either.
bool FailoverCoordinator::hasFallenOut(const SlotWatch& replica) const
{
    const auto* primary = this->find(this->record().primary);
    const auto bound = this->options.settings.shrinkAfter + this->rankDelay();
    if (primary->silence(this->now) >= this->options.settings.probeInterval * probesBehind)
        return false;
    if (this->isGone(replica))
        return true;
    const auto behind = replica.behind(this->now);
    const bool heard = this->answersNow(replica) || replica.judgement().has_value();
    return behind >= (heard ? bound : bound * 2);
}

/// Growing the set takes a new term of the same primary. Views of the term before then stop being good for
/// new commits by themselves, however old or paused their holder is: a commit of the new term shows it.
void FailoverCoordinator::considerRejoin()
{
    if (this->usesMajority() || this->pendingSwap || !this->isServing())
        return;
    std::vector<SlotName> joining;
    const auto& inSync = this->record().inSync;
    for (const auto& slot : this->slots) {
        const bool member = std::find(inSync.begin(), inSync.end(), slot.name()) != inSync.end();
        const bool ready = slot.keepsUpSince && this->answersNow(slot)
            && this->now - *slot.keepsUpSince >= this->rejoinAfter + this->rankDelay();
        if (!member && ready && !this->isLeaving(slot.name()))
            joining.push_back(slot.name());
    }
    if (joining.empty())
        return;
    this->lastRejoin = this->now;
    this->claim(Purpose::AddReplica, this->leaving, std::move(joining));
}

} // namespace cyclamendrift
