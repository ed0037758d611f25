#include <cyclamendrift/failover/failover_coordinator.h>

#include <cyclamendrift/failover/failover_error.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// A read of the record without an answer is repeated after this time.
constexpr Duration recordReadTimeout = std::chrono::seconds { 3 };

} // namespace

FailoverCoordinator::FailoverCoordinator(Options options)
    : options(std::move(options))
    , random(this->options.seed)
    , now(this->options.startedAt)
    , rejoinDelay(this->options.settings.rejoinDelay)
{
    for (const auto& name : this->options.slots)
        this->slots.emplace_back(name, this->now);
    this->publishedView.slots = this->options.slots;
}

FailoverActions FailoverCoordinator::handle(const FailoverEvent& event, Instant now)
{
    this->now = std::max(this->now, now);
    std::visit([this](const auto& each) { this->on(each); }, event);
    return this->decideActions();
}

FailoverActions FailoverCoordinator::tick(Instant now)
{
    this->now = std::max(this->now, now);
    this->probeDueSlots();
    return this->decideActions();
}

FailoverActions FailoverCoordinator::decideActions()
{
    this->readRecordIfDue();
    this->advance();
    this->publishViewIfChanged();
    return std::exchange(this->actions, {});
}

void FailoverCoordinator::advance()
{
    if (this->pendingSwap)
        return;
    if (!this->current) {
        this->bootstrap();
        return;
    }
    if (this->attempt && this->attempt->claimed) {
        this->fenceRemainingSlots();
        this->selectPrimaryIfSafe();
        return;
    }
    if (!this->current->record.isSettled()) {
        this->takeOverPromotionIfStalled();
        return;
    }
    this->applyRecord();
    this->replacePrimaryIfNeeded();
    this->shrinkInSyncSetIfNeeded();
    this->rejoinCaughtUpReplicas();
}

// Group record

void FailoverCoordinator::on(const RecordRead& event)
{
    this->readingRecord = false;
    this->recordMayBeOutdated = false;
    this->resolveSwap(event);
    if (event.current)
        this->adoptRecord(*event.current);
    else if (!this->current)
        this->recordAbsent = true;
}

/// The store's answer can be lost after the change took effect; the change id in the record shows whether it
/// did. If the revision is unchanged, the lost call may still arrive, so the identical change is sent again:
/// both calls expect the same revision, so only one can take effect.
void FailoverCoordinator::resolveSwap(const RecordRead& event)
{
    if (!this->pendingSwap)
        return;
    const auto& swap = this->pendingSwap->swap;
    const auto revision = event.current ? event.current->revision : 0;
    if (event.current && event.current->record.changeId == swap.record.changeId) {
        this->adoptOwnRecord(swap.record, revision);
        return;
    }
    if (!this->pendingSwap->unanswered)
        return;
    if (revision <= swap.expectedRevision) {
        this->pendingSwap->unanswered = false;
        this->actions.emplace_back(swap);
        return;
    }
    this->pendingSwap.reset();
    this->attempt.reset();
}

void FailoverCoordinator::on(const RecordReadFailed&) { this->readingRecord = false; }

void FailoverCoordinator::on(const RecordSwapped& event)
{
    if (this->pendingSwap && this->pendingSwap->swap.record.changeId == event.changeId)
        this->adoptOwnRecord(this->pendingSwap->swap.record, event.revision);
}

void FailoverCoordinator::on(const RecordConflict& event)
{
    if (!this->pendingSwap || this->pendingSwap->swap.record.changeId != event.changeId)
        return;
    if (event.current && event.current->record.changeId == event.changeId) {
        this->adoptOwnRecord(event.current->record, event.current->revision);
        return;
    }
    this->pendingSwap.reset();
    this->attempt.reset();
    if (event.current) {
        this->adoptRecord(*event.current);
        return;
    }
    this->current.reset();
    this->recordAbsent = true;
}

void FailoverCoordinator::on(const RecordSwapUnanswered& event)
{
    if (this->pendingSwap && this->pendingSwap->swap.record.changeId == event.changeId)
        this->pendingSwap->unanswered = true;
}

void FailoverCoordinator::adoptRecord(const VersionedRecord& stored)
{
    // Reads may complete out of order; an older one would restore a term that has ended.
    if (this->current && stored.revision <= this->current->revision)
        return;
    const bool newTerm = !this->current || this->current->record.servingTerm != stored.record.servingTerm;
    this->current = stored;
    this->recordAbsent = false;
    this->adoptedAt = this->now;
    const bool attemptOver = this->attempt
        && (stored.record.term != this->attempt->term || stored.record.isSettled()
            || stored.record.promoter != this->options.vm);
    if (attemptOver)
        this->attempt.reset();
    for (auto& slot : this->slots) {
        slot.nextOrderAt = this->now;
        if (!newTerm)
            continue;
        slot.clearTarget();
        slot.notActingSince.reset();
        slot.caughtUpSince.reset();
    }
}

void FailoverCoordinator::adoptOwnRecord(GroupRecord record, std::uint64_t revision)
{
    this->pendingSwap.reset();
    const auto term = record.term;
    this->adoptRecord({ .record = std::move(record), .revision = revision });
    if (this->attempt && this->attempt->term == term)
        this->attempt->claimed = true;
}

Duration FailoverCoordinator::recordReadInterval() const noexcept
{
    const bool recordUnsettled = !this->current || !this->current->record.isSettled();
    const bool unanswered = this->pendingSwap && this->pendingSwap->unanswered;
    if (recordUnsettled || unanswered || this->recordMayBeOutdated)
        return this->options.settings.retryInterval;
    return this->options.settings.recordReadInterval;
}

void FailoverCoordinator::readRecordIfDue()
{
    const auto since = this->lastReadAt ? this->now - *this->lastReadAt : Duration::max();
    if (since < (this->readingRecord ? recordReadTimeout : this->recordReadInterval()))
        return;
    this->readingRecord = true;
    this->lastReadAt = this->now;
    this->actions.emplace_back(ReadRecord {});
}

void FailoverCoordinator::swap(GroupRecord record)
{
    record.promoter = this->options.vm;
    record.changeId = this->makeChangeId();
    const auto revision = this->current ? this->current->revision : 0;
    SwapRecord swap { .expectedRevision = revision, .record = std::move(record) };
    this->pendingSwap = PendingSwap { .swap = swap };
    this->actions.emplace_back(std::move(swap));
}

std::string FailoverCoordinator::makeChangeId()
{
    return this->options.vm.string() + '/' + std::to_string(this->random());
}

/// Creates the first record. Without a record no commit has been acknowledged under one, but the slots may
/// already contain data, so the record is created only while every slot is responsive.
void FailoverCoordinator::bootstrap()
{
    if (!this->recordAbsent || this->now - this->options.startedAt < this->rankDelay())
        return;
    const bool allResponsive = std::all_of(this->slots.begin(), this->slots.end(),
        [this](const SlotMonitor& slot) { return this->isResponsive(slot); });
    if (!allResponsive || this->slots.empty())
        return;
    const auto best = std::max_element(
        this->slots.begin(), this->slots.end(), [](const SlotMonitor& left, const SlotMonitor& right) {
            const auto& leftStatus = left.status();
            const auto& rightStatus = right.status();
            return std::pair { leftStatus.progress, leftStatus.primary }
            < std::pair { rightStatus.progress, rightStatus.primary };
        });
    const auto& status = best->status();
    GroupRecord record { .primary = best->name(), .inSync = { best->name() } };
    if (status.primary && status.progress.term >= this->highestTermSeen()) {
        record.term = status.progress.term;
        record.servingTerm = record.term;
        for (const auto& slot : this->slots) {
            if (slot.name() != best->name() && slot.status().progress == status.progress)
                record.inSync.push_back(slot.name());
        }
    } else {
        record.term = Term { static_cast<std::uint64_t>(this->highestTermSeen()) + 1 };
        this->attempt = Attempt { .term = record.term };
    }
    this->swap(std::move(record));
}

// Slot status and failure detection

void FailoverCoordinator::on(const SlotAnswered& event)
{
    auto* slot = this->find(event.sample.slot);
    if (slot == nullptr)
        return;
    slot->onAnswered(event.sample);
    this->recordFence(event.sample);
    this->setReplicaTargets(event.sample);
    this->updateCaughtUpSince(*slot);
}

void FailoverCoordinator::on(const SlotUnreachable&)
{
    // Failure detection measures the time since the last answer. A single failure may be due to a stale
    // connection that was dropped between the VMs; the next probe uses a new connection.
}

void FailoverCoordinator::on(const SlotRefused& event)
{
    if (auto* slot = this->find(event.slot))
        slot->onRefused(this->now);
}

void FailoverCoordinator::on(const SiblingsAnswered& event)
{
    auto* slot = this->find(event.slot);
    if (slot == nullptr)
        return;
    slot->onSiblingsAnswered(event);
    for (const auto& opinion : event.opinions) {
        if (!opinion.status)
            continue;
        const StatusSample sample {
            .slot = event.slot, .status = *opinion.status, .askedAt = event.askedAt, .receivedAt = this->now
        };
        slot->onRelayed(sample);
        this->setReplicaTargets(sample);
    }
}

void FailoverCoordinator::on(const LeavingSlotsChanged& event) { this->leaving = event.leaving; }

void FailoverCoordinator::probeDueSlots()
{
    for (auto& slot : this->slots) {
        if (this->now < slot.nextProbeAt)
            continue;
        slot.nextProbeAt = this->now + this->options.settings.probeInterval;
        this->actions.emplace_back(ProbeSlot { slot.name() });
    }
}

void FailoverCoordinator::askSiblingsAbout(SlotMonitor& slot)
{
    if (this->now < slot.nextSiblingQueryAt)
        return;
    slot.nextSiblingQueryAt = this->now + this->options.settings.askInterval;
    this->actions.emplace_back(AskSiblings { slot.name() });
}

/// A proxy whose own network has failed gets no answer from any slot. A slot is therefore considered down
/// only if siblings in other availability zones cannot reach it either; while no sibling answers, nothing is
/// decided. Without any siblings, this VM decides alone.
bool FailoverCoordinator::isDown(const SlotMonitor& slot) const
{
    const auto& settings = this->options.settings;
    const auto& siblingsAnswer = slot.siblingsAnswer();
    if (slot.timeSinceAnswer(this->now) < settings.suspectAfter + this->rankDelay() || !siblingsAnswer)
        return false;
    if (siblingsAnswer->asked == 0)
        return true;
    const auto reportCount = static_cast<std::size_t>(siblingsAnswer->opinions.size());
    const auto reachableCount = static_cast<std::size_t>(std::count_if(siblingsAnswer->opinions.begin(),
        siblingsAnswer->opinions.end(), [](const SlotOpinion& opinion) { return opinion.reachable; }));
    const auto unreachableCount = reportCount - reachableCount;
    constexpr std::size_t minAgreeingSiblings = 2;
    if (reachableCount == 0 && unreachableCount >= std::min(minAgreeingSiblings, siblingsAnswer->asked))
        return true;
    // Some siblings reach the slot and some do not. This home proxy, which has to serve callers, cannot reach
    // it, and at least one sibling cannot either.
    return slot.timeSinceAnswer(this->now) >= settings.contestedAfter && unreachableCount > 0
        && unreachableCount + 1 >= reachableCount;
}

const GroupRecord& FailoverCoordinator::record() const
{
    if (!this->current)
        throw FailoverError { "the group record has not been read yet" };
    return this->current->record;
}

FailoverCoordinator::Attempt& FailoverCoordinator::ownAttempt()
{
    if (!this->attempt)
        throw FailoverError { "this VM has no term change in progress" };
    return *this->attempt;
}

// Queries

SlotMonitor* FailoverCoordinator::find(const SlotName& name)
{
    const auto found = std::find_if(
        this->slots.begin(), this->slots.end(), [&](const SlotMonitor& slot) { return slot.name() == name; });
    return found == this->slots.end() ? nullptr : &*found;
}

const SlotMonitor* FailoverCoordinator::find(const SlotName& name) const
{
    const auto found = std::find_if(
        this->slots.begin(), this->slots.end(), [&](const SlotMonitor& slot) { return slot.name() == name; });
    return found == this->slots.end() ? nullptr : &*found;
}

bool FailoverCoordinator::isActingPrimary(const SlotMonitor& slot) const
{
    if (!slot.latestSample())
        return false;
    const auto& status = slot.status();
    const auto term = this->record().servingTerm;
    return status.primary && status.progress.term == term && status.fenced <= term;
}

bool FailoverCoordinator::isResponsive(const SlotMonitor& slot) const noexcept
{
    return slot.latestSample().has_value()
        && slot.timeSinceAnswer(this->now) < this->options.settings.suspectAfter;
}

bool FailoverCoordinator::isLeaving(const SlotName& name) const
{
    return std::find(this->leaving.begin(), this->leaving.end(), name) != this->leaving.end();
}

bool FailoverCoordinator::usesMajority() const noexcept
{
    return this->options.slots.size() >= minMajorityGroupSize;
}

Duration FailoverCoordinator::rankDelay() const noexcept
{
    return this->options.settings.rankDelay * static_cast<Duration::rep>(this->options.rank);
}

Term FailoverCoordinator::highestTermSeen() const
{
    Term highest = this->current ? this->current->record.term : Term {};
    for (const auto& slot : this->slots) {
        if (slot.latestSample())
            highest = std::max({ highest, slot.status().fenced, slot.status().progress.term });
    }
    return highest;
}

void FailoverCoordinator::publishViewIfChanged()
{
    GroupView view { .slots = this->options.slots, .leaving = this->leaving };
    if (this->current) {
        const auto& record = this->current->record;
        const bool changing = !record.isSettled() || this->attempt.has_value();
        view.phase
            = !changing && this->isServing() ? GroupView::Phase::Serving : GroupView::Phase::FailingOver;
        view.term = record.servingTerm;
        view.primary = record.primary;
        view.inSync = record.inSync;
        view.base = record.base;
    }
    if (view == this->publishedView)
        return;
    this->publishedView = view;
    this->actions.emplace_back(PublishView { std::move(view) });
}

} // namespace cyclamendrift
