#include <cyclamendrift/failover/failover_coordinator.h>

#include <cyclamendrift/failover/failover_error.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// A read of the record whose answer never came back to the coordinator is given up after this long.
constexpr Duration readLostAfter = std::chrono::seconds { 3 };

} // namespace

FailoverCoordinator::FailoverCoordinator(Options options)
    : options(std::move(options))
    , random(this->options.seed)
    , now(this->options.startedAt)
    , rejoinAfter(this->options.settings.rejoinAfter)
{
    for (const auto& name : this->options.slots)
        this->slots.emplace_back(name, this->now);
    this->published.slots = this->options.slots;
}

FailoverActions FailoverCoordinator::handle(const FailoverEvent& event, Instant now)
{
    this->now = std::max(this->now, now);
    std::visit([this](const auto& each) { this->on(each); }, event);
    return this->finish();
}

FailoverActions FailoverCoordinator::tick(Instant now)
{
    this->now = std::max(this->now, now);
    this->probe();
    return this->finish();
}

FailoverActions FailoverCoordinator::finish()
{
    this->readRecordIfDue();
    this->act();
    this->publish();
    return std::exchange(this->actions, {});
}

void FailoverCoordinator::act()
{
    if (this->pendingSwap)
        return;
    if (!this->current) {
        this->bootstrap();
        return;
    }
    if (this->attempt && this->attempt->claimed) {
        this->fenceRemaining();
        this->chooseIfSure();
        return;
    }
    if (!this->current->record.isSettled()) {
        this->considerTakeover();
        return;
    }
    this->carryOutRecord();
    this->considerPromotion();
    this->considerShrink();
    this->considerRejoin();
}

// The record

void FailoverCoordinator::on(const RecordRead& event)
{
    this->readingRecord = false;
    this->doubted = false;
    this->resolveSwap(event);
    if (event.current)
        this->adopt(*event.current);
    else if (!this->current)
        this->absent = true;
}

/// An answer of the store can be lost after the change took effect; the change id in the record tells. When
/// the record has not moved, the lost call may still arrive, so the very same change is sent again: both
/// expect the same revision, and only one can take effect.
void FailoverCoordinator::resolveSwap(const RecordRead& event)
{
    if (!this->pendingSwap)
        return;
    const auto& swap = this->pendingSwap->swap;
    const auto revision = event.current ? event.current->revision : 0;
    if (event.current && event.current->record.changeId == swap.record.changeId) {
        this->adoptOwn(swap.record, revision);
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

void FailoverCoordinator::on(const RecordUnavailable&) { this->readingRecord = false; }

void FailoverCoordinator::on(const RecordSwapped& event)
{
    if (this->pendingSwap && this->pendingSwap->swap.record.changeId == event.changeId)
        this->adoptOwn(this->pendingSwap->swap.record, event.revision);
}

void FailoverCoordinator::on(const RecordConflict& event)
{
    if (!this->pendingSwap || this->pendingSwap->swap.record.changeId != event.changeId)
        return;
    if (event.current && event.current->record.changeId == event.changeId) {
        this->adoptOwn(event.current->record, event.current->revision);
        return;
    }
    this->pendingSwap.reset();
    this->attempt.reset();
    if (event.current) {
        this->adopt(*event.current);
        return;
    }
    this->current.reset();
    this->absent = true;
}

void FailoverCoordinator::on(const RecordSwapUnanswered& event)
{
    if (this->pendingSwap && this->pendingSwap->swap.record.changeId == event.changeId)
        this->pendingSwap->unanswered = true;
}

void FailoverCoordinator::adopt(const RevisedRecord& revised)
{
    // Reads overtake one another; an older one would bring back a term that is over.
    if (this->current && revised.revision <= this->current->revision)
        return;
    const bool newTerm = !this->current || this->current->record.servingTerm != revised.record.servingTerm;
    this->current = revised;
    this->absent = false;
    this->adoptedAt = this->now;
    const bool attemptOver = this->attempt
        && (revised.record.term != this->attempt->term || revised.record.isSettled()
            || revised.record.promoter != this->options.vm);
    if (attemptOver)
        this->attempt.reset();
    for (auto& slot : this->slots) {
        slot.nextOrder = this->now;
        if (!newTerm)
            continue;
        slot.forgetGoal();
        slot.amissSince.reset();
        slot.keepsUpSince.reset();
    }
}

void FailoverCoordinator::adoptOwn(GroupRecord record, std::uint64_t revision)
{
    this->pendingSwap.reset();
    const auto term = record.term;
    this->adopt({ .record = std::move(record), .revision = revision });
    if (this->attempt && this->attempt->term == term)
        this->attempt->claimed = true;
}

Duration FailoverCoordinator::recordInterval() const noexcept
{
    const bool unknown = !this->current || !this->current->record.isSettled();
    const bool unanswered = this->pendingSwap && this->pendingSwap->unanswered;
    if (unknown || unanswered || this->doubted)
        return this->options.settings.retryInterval;
    return this->options.settings.recordInterval;
}

void FailoverCoordinator::readRecordIfDue()
{
    const auto since = this->lastRead ? this->now - *this->lastRead : Duration::max();
    if (since < (this->readingRecord ? readLostAfter : this->recordInterval()))
        return;
    this->readingRecord = true;
    this->lastRead = this->now;
    this->actions.emplace_back(ReadRecord {});
}

void FailoverCoordinator::swap(GroupRecord record)
{
    record.promoter = this->options.vm;
    record.changeId = this->newChangeId();
    const auto revision = this->current ? this->current->revision : 0;
    SwapRecord swap { .expectedRevision = revision, .record = std::move(record) };
    this->pendingSwap = PendingSwap { .swap = swap };
    this->actions.emplace_back(std::move(swap));
}

std::string FailoverCoordinator::newChangeId()
{
    return this->options.vm.string() + '/' + std::to_string(this->random());
}

/// Without a record nothing was ever acknowledged under one, but the slots may hold data all the same. So the
/// first record is made only when every slot can be seen.
void FailoverCoordinator::bootstrap()
{
    if (!this->absent || this->now - this->options.startedAt < this->rankDelay())
        return;
    const bool allSeen = std::all_of(this->slots.begin(), this->slots.end(),
        [this](const SlotWatch& slot) { return this->answersNow(slot); });
    if (!allSeen || this->slots.empty())
        return;
    const auto best = std::max_element(
        this->slots.begin(), this->slots.end(), [](const SlotWatch& left, const SlotWatch& right) {
            const auto& one = left.status();
            const auto& other = right.status();
            return std::pair { one.progress, one.primary } < std::pair { other.progress, other.primary };
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

// The slots

void FailoverCoordinator::on(const SlotAnswered& event)
{
    auto* slot = this->find(event.sample.slot);
    if (slot == nullptr)
        return;
    slot->answered(event.sample);
    this->noteFence(event.sample);
    this->expectOfReplicas(event.sample);
    this->noteKeepingUp(*slot);
}

void FailoverCoordinator::on(const SlotSilent&)
{
    // Silence is measured from the last answer; a single failure may be an old connection that something in
    // between has forgotten, and the next probe goes over a new one.
}

void FailoverCoordinator::on(const SlotRefused& event)
{
    if (auto* slot = this->find(event.slot))
        slot->refused(this->now);
}

void FailoverCoordinator::on(const SiblingsAnswered& event)
{
    auto* slot = this->find(event.slot);
    if (slot == nullptr)
        return;
    slot->judged(event);
    for (const auto& opinion : event.opinions) {
        if (!opinion.status)
            continue;
        const StatusSample sample {
            .slot = event.slot, .status = *opinion.status, .askedAt = event.askedAt, .receivedAt = this->now
        };
        slot->relayed(sample);
        this->expectOfReplicas(sample);
    }
}

void FailoverCoordinator::on(const LeavingChanged& event) { this->leaving = event.leaving; }

void FailoverCoordinator::probe()
{
    for (auto& slot : this->slots) {
        if (this->now < slot.nextProbe)
            continue;
        slot.nextProbe = this->now + this->options.settings.probeInterval;
        this->actions.emplace_back(ProbeSlot { slot.name() });
    }
}

void FailoverCoordinator::askSiblingsAbout(SlotWatch& slot)
{
    if (this->now < slot.nextQuestion)
        return;
    slot.nextQuestion = this->now + this->options.settings.askInterval;
    this->actions.emplace_back(AskSiblings { slot.name() });
}

/// One proxy with a broken network sees every slot silent. So its own view never suffices: siblings in other
/// zones have to fail to reach the slot as well, and one whose siblings do not answer decides nothing.
bool FailoverCoordinator::isGone(const SlotWatch& slot) const
{
    const auto& settings = this->options.settings;
    const auto& judgement = slot.judgement();
    if (slot.silence(this->now) < settings.suspectAfter + this->rankDelay() || !judgement)
        return false;
    if (judgement->asked == 0)
        return true;
    const auto count = static_cast<std::size_t>(judgement->opinions.size());
    const auto reaching = static_cast<std::size_t>(std::count_if(judgement->opinions.begin(),
        judgement->opinions.end(), [](const SlotOpinion& opinion) { return opinion.reachable; }));
    const auto failing = count - reaching;
    constexpr std::size_t agreeing = 2;
    if (reaching == 0 && failing >= std::min(agreeing, judgement->asked))
        return true;
    // Reached by some and not by others: here the home that is to serve the callers cannot, and it is not
    // alone in that.
    return slot.silence(this->now) >= settings.contestedAfter && failing > 0 && failing + 1 >= reaching;
}

const GroupRecord& FailoverCoordinator::record() const
{
    if (!this->current)
        throw FailoverError { "the record of the group is not known" };
    return this->current->record;
}

FailoverCoordinator::Attempt& FailoverCoordinator::ownAttempt()
{
    if (!this->attempt)
        throw FailoverError { "no promotion of this VM is under way" };
    return *this->attempt;
}

// Small questions

SlotWatch* FailoverCoordinator::find(const SlotName& name)
{
    const auto found = std::find_if(
        this->slots.begin(), this->slots.end(), [&](const SlotWatch& slot) { return slot.name() == name; });
    return found == this->slots.end() ? nullptr : &*found;
}

const SlotWatch* FailoverCoordinator::find(const SlotName& name) const
{
    const auto found = std::find_if(
        this->slots.begin(), this->slots.end(), [&](const SlotWatch& slot) { return slot.name() == name; });
    return found == this->slots.end() ? nullptr : &*found;
}

bool FailoverCoordinator::isActing(const SlotWatch& slot) const
{
    if (!slot.latest())
        return false;
    const auto& status = slot.status();
    const auto term = this->record().servingTerm;
    return status.primary && status.progress.term == term && status.fenced <= term;
}

bool FailoverCoordinator::answersNow(const SlotWatch& slot) const noexcept
{
    return slot.latest().has_value() && slot.silence(this->now) < this->options.settings.suspectAfter;
}

bool FailoverCoordinator::isLeaving(const SlotName& name) const
{
    return std::find(this->leaving.begin(), this->leaving.end(), name) != this->leaving.end();
}

bool FailoverCoordinator::usesMajority() const noexcept
{
    return this->options.slots.size() >= majorityGroupSize;
}

Duration FailoverCoordinator::rankDelay() const noexcept
{
    return this->options.settings.rankDelay * static_cast<Duration::rep>(this->options.rank);
}

Term FailoverCoordinator::highestTermSeen() const
{
    Term highest = this->current ? this->current->record.term : Term {};
    for (const auto& slot : this->slots) {
        if (slot.latest())
            highest = std::max({ highest, slot.status().fenced, slot.status().progress.term });
    }
    return highest;
}

void FailoverCoordinator::publish()
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
    if (view == this->published)
        return;
    this->published = view;
    this->actions.emplace_back(PublishView { std::move(view) });
}

} // namespace cyclamendrift
