// The part of FailoverCoordinator that replaces a primary: claim a term, fence, choose.
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

/// It answers, but not as the primary of the term, and orders to become it have not helped: it was restarted,
/// or fenced by a promoter whose claim is no longer in the record.
bool FailoverCoordinator::hasSteppedDown(const SlotMonitor& primary) const
{
    const auto maxWait = this->options.settings.takeoverAfter + this->rankDelay();
    return primary.notActingSince && this->isResponsive(primary)
        && this->now - *primary.notActingSince >= maxWait;
}

/// It takes writes that no replica gets, for instance when the network between primary and replicas is cut
/// but proxies reach all of them. No commit can be acknowledged, while one of the replicas could serve. A
/// group of two drops the replica from its in-sync set instead.
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

/// A promoter that dies half-way leaves the term claimed and the group without a primary. Whoever notices
/// that the record stands still claims a higher term; the first one's late acts then have no effect.
void FailoverCoordinator::takeOverPromotionIfStalled()
{
    const auto maxWait = this->options.settings.takeoverAfter + this->rankDelay();
    if (this->now - this->adoptedAt >= maxWait && this->enoughSlotsReachable({}))
        this->claimTerm(Purpose::ReplacePrimary, this->leaving, {});
}

/// A term is claimed only when the slots needed to finish can be reached: a claim stops nothing by itself,
/// but the fences that follow would stop a primary that still serves.
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

/// One more answer may show a log that is further, with commits whose callers still wait.
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
    const bool samePrimary = record.primary == selected;
    record.servingTerm = own.term;
    record.primary = selected;
    record.base = own.fenced.at(selected);
    record.inSync = { selected };
    const bool addsReplica = own.purpose == Purpose::AddReplica && samePrimary;
    for (const auto& slot : this->options.slots) {
        const auto& joining = own.joining;
        const bool joins = addsReplica && std::find(joining.begin(), joining.end(), slot) != joining.end();
        if (slot != selected && (this->usesMajority() || (joins && own.fenced.contains(slot))))
            record.inSync.push_back(slot);
    }
    this->swap(std::move(record));
}

} // namespace cyclamendrift
