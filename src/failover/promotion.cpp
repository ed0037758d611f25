// FailoverCoordinator: replacing a primary by claiming a term, fencing the slots and selecting the new
// primary.
#include <cyclamendrift/failover/failover_coordinator.h>

#include <cyclamendrift/failover/primary_selection.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

void FailoverCoordinator::replacePrimaryIfNeeded()
{
    auto* primary = this->find(this->record().primary);
    if (primary == nullptr || this->pendingSwap)
        return;
    if (primary->timeSinceAnswer(this->now) >= this->options.settings.suspectAfter)
        this->askSiblingsAbout(*primary);
    auto avoided = this->leaving;
    if (this->mustReplace(*primary)) {
        if (this->enoughSlotsReachable({}))
            this->claimTerm(Purpose::ReplacePrimary, std::move(avoided), {});
        return;
    }
    if (!this->isStalled(*primary) && !this->canReplaceLeaving(*primary))
        return;
    avoided.push_back(primary->name());
    if (this->enoughSlotsReachable(avoided))
        this->claimTerm(Purpose::ReplacePrimary, std::move(avoided), {});
}

bool FailoverCoordinator::mustReplace(const SlotMonitor& primary) const
{
    return this->isDown(primary) || this->hasSteppedDown(primary);
}

/// True if the primary answers but does not act as primary of the serving term, although it has been told to:
/// it was restarted, or fenced by a promoter whose claim is no longer in the record.
bool FailoverCoordinator::hasSteppedDown(const SlotMonitor& primary) const
{
    const auto maxWait = this->options.settings.takeoverAfter + this->rankDelay();
    return primary.notActingSince && this->isResponsive(primary)
        && this->now - *primary.notActingSince >= maxWait;
}

/// True if the primary accepts writes that no replica receives, for instance because the network between
/// primary and replicas has failed while the proxies reach all of them. No commit can then be acknowledged,
/// although a replica could serve. A group of two removes the replica from the in-sync set instead.
bool FailoverCoordinator::isStalled(const SlotMonitor& primary) const
{
    const auto maxWait = this->options.settings.stallAfter + this->rankDelay();
    if (!this->usesMajority() || primary.timeSinceAnyAnswer(this->now) >= this->options.settings.suspectAfter)
        return false;
    return std::all_of(this->slots.begin(), this->slots.end(), [&](const SlotMonitor& slot) {
        return slot.name() == primary.name()
            || (slot.timeBehind(this->now) >= maxWait && slot.timeSinceProgress(this->now) >= maxWait);
    });
}

bool FailoverCoordinator::canReplaceLeaving(const SlotMonitor& primary) const
{
    if (!this->isLeaving(primary.name()) || this->now - this->adoptedAt < this->rankDelay())
        return false;
    return std::any_of(this->slots.begin(), this->slots.end(), [this](const SlotMonitor& slot) {
        return !this->isLeaving(slot.name()) && slot.caughtUpSince.has_value() && this->isResponsive(slot);
    });
}

/// A promoter that fails during a promotion leaves the term claimed and the group without a primary. Any home
/// proxy that sees the record unchanged for too long claims a higher term; late calls of the first promoter
/// then have no effect.
void FailoverCoordinator::takeOverPromotionIfStalled()
{
    const auto maxWait = this->options.settings.takeoverAfter + this->rankDelay();
    if (this->now - this->adoptedAt >= maxWait && this->enoughSlotsReachable({}))
        this->claimTerm(Purpose::ReplacePrimary, this->leaving, {});
}

/// A term is claimed only if the slots that are needed to complete the promotion can be reached: the claim
/// itself does not interrupt service, but the fences that follow would stop a primary that still serves.
bool FailoverCoordinator::enoughSlotsReachable(const std::vector<SlotName>& avoided) const
{
    PrimarySelectionInput input { .record = this->record(), .slots = this->options.slots };
    for (const auto& slot : this->slots) {
        const bool isAvoided = std::find(avoided.begin(), avoided.end(), slot.name()) != avoided.end();
        if (!isAvoided && this->isResponsive(slot))
            input.fenced.emplace(slot.name(), slot.status().progress);
    }
    return selectPrimary(input).has_value();
}

void FailoverCoordinator::claimTerm(
    Purpose purpose, std::vector<SlotName> avoided, std::vector<SlotName> joining)
{
    auto record = this->record();
    record.term = Term { static_cast<std::uint64_t>(this->highestTermSeen()) + 1 };
    this->attempt = Attempt {
        .term = record.term, .purpose = purpose, .avoided = std::move(avoided), .joining = std::move(joining)
    };
    this->swap(std::move(record));
}

void FailoverCoordinator::fenceRemainingSlots()
{
    for (auto& slot : this->slots) {
        if (this->ownAttempt().fenced.contains(slot.name()) || this->now < slot.nextOrderAt)
            continue;
        slot.nextOrderAt = this->now + this->options.settings.retryInterval;
        this->actions.emplace_back(FenceSlot { .slot = slot.name(), .term = this->ownAttempt().term });
    }
}

void FailoverCoordinator::recordFence(const StatusSample& sample)
{
    const auto& status = sample.status;
    if (this->current && std::max(status.fenced, status.progress.term) > this->record().term)
        this->recordMayBeOutdated = true;
    if (this->attempt && this->attempt->claimed && status.fenced == this->attempt->term)
        this->attempt->fenced.insert_or_assign(sample.slot, status.progress);
}

void FailoverCoordinator::selectPrimaryIfSafe()
{
    auto& own = this->ownAttempt();
    const auto selected = selectPrimary({ .record = this->record(),
        .slots = this->options.slots,
        .fenced = own.fenced,
        .avoided = own.avoided });
    if (!selected)
        return;
    const auto since = own.enoughFencedAt.value_or(this->now);
    own.enoughFencedAt = since;
    const bool gracePeriodOver = this->now - since >= this->options.settings.fenceGracePeriod;
    if (gracePeriodOver || !this->othersMayStillAnswer())
        this->writeSelection(*selected);
}

/// Another slot may have a more advanced log, with commits whose callers are still waiting for an answer.
bool FailoverCoordinator::othersMayStillAnswer()
{
    return std::any_of(this->slots.begin(), this->slots.end(), [this](const SlotMonitor& slot) {
        return !this->ownAttempt().fenced.contains(slot.name()) && this->isResponsive(slot);
    });
}

void FailoverCoordinator::writeSelection(const SlotName& selected)
{
    auto record = this->record();
    const auto& own = this->ownAttempt();
    const bool keepsPrimary = record.primary == selected;
    record.servingTerm = own.term;
    record.primary = selected;
    record.base = own.fenced.at(selected);
    record.inSync = { selected };
    const bool addsReplica = own.purpose == Purpose::AddReplica && keepsPrimary;
    for (const auto& slot : this->options.slots) {
        const auto& joining = own.joining;
        const bool isJoining
            = addsReplica && std::find(joining.begin(), joining.end(), slot) != joining.end();
        if (slot != selected && (this->usesMajority() || (isJoining && own.fenced.contains(slot))))
            record.inSync.push_back(slot);
    }
    this->swap(std::move(record));
}

} // namespace cyclamendrift
