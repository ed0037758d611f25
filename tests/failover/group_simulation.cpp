#include "group_simulation.h"

#include <algorithm>
#include <utility>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Duration callTimeout = 300ms;
constexpr Duration storeTimeout = 500ms;
constexpr Duration tickInterval = 50ms;

SlotName slotName(std::size_t index) { return SlotName { "slot" + std::to_string(index) }; }

} // namespace

GroupSimulation::GroupSimulation(Options options)
    : options(std::move(options))
    , random(this->options.seed)
    , slots(this->options.slots)
    , proxies(this->options.homes + this->options.observers)
    , sessions(this->options.sessions)
{
    for (auto& slot : this->slots)
        slot.lag = this->options.replicaLag;
    this->slots[0].primary = true;
    this->primaryTerms.push_back({ .term = Term { 1 }, .slot = 0 });
    for (std::size_t index = 0; index < this->options.homes; ++index)
        this->startProxy(index);
    this->writeLoop();
    this->readLoop();
}

void GroupSimulation::runFor(Duration duration)
{
    const auto end = this->clock + duration;
    while (!this->tasks.empty() && this->tasks.top().at <= end) {
        auto next = this->tasks.top();
        this->tasks.pop();
        this->clock = next.at;
        next.task();
    }
    this->clock = end;
}

// Faults

void GroupSimulation::cut(Endpoint one, Endpoint other)
{
    this->cutLinks.insert({ std::min(one, other), std::max(one, other) });
}

void GroupSimulation::heal(Endpoint one, Endpoint other)
{
    this->cutLinks.erase({ std::min(one, other), std::max(one, other) });
    this->replicateAll();
}

void GroupSimulation::isolate(std::size_t index)
{
    for (std::size_t other = 0; other < this->slots.size(); ++other) {
        if (other != index)
            this->cut(slot(index), slot(other));
    }
}

void GroupSimulation::kill(std::size_t slotIndex) { this->slots[slotIndex].alive = false; }

void GroupSimulation::revive(std::size_t slotIndex)
{
    this->slots[slotIndex].alive = true;
    this->replicateAll();
}

void GroupSimulation::pause(std::size_t proxyIndex, Duration duration)
{
    this->proxies[proxyIndex].pausedUntil = this->clock + duration;
}

void GroupSimulation::pauseBeforeNextOrder(std::size_t proxyIndex, Duration duration)
{
    this->proxies[proxyIndex].pauseAtOrder = duration;
}

void GroupSimulation::killProxy(std::size_t proxyIndex)
{
    this->proxies[proxyIndex].alive = false;
    // The connections of these sessions are closed, so they stop waiting at once.
    for (auto& session : this->sessions) {
        if (session.home != proxyIndex)
            continue;
        session.busy = false;
        ++session.operation;
    }
}

void GroupSimulation::restartProxy(std::size_t proxyIndex)
{
    auto& proxy = this->proxies[proxyIndex];
    if (proxy.alive)
        return;
    proxy.alive = true;
    proxy.pausedUntil = {};
    proxy.pauseAtOrder = {};
    ++proxy.incarnation;
    if (proxyIndex < this->options.homes)
        this->startProxy(proxyIndex);
}

void GroupSimulation::setLeaving(std::vector<std::size_t> slotIndices)
{
    this->leaving = std::move(slotIndices);
    std::vector<SlotName> names;
    for (const auto index : this->leaving)
        names.push_back(slotName(index));
    for (std::size_t index = 0; index < this->options.homes; ++index) {
        if (this->proxies[index].alive)
            this->deliver(index, LeavingSlotsChanged { names });
    }
}

void GroupSimulation::healEverything()
{
    this->cutLinks.clear();
    this->storeUp = true;
    this->storeLosesAnswers = false;
    for (std::size_t index = 0; index < this->slots.size(); ++index) {
        this->slots[index].alive = true;
        this->slots[index].lag = this->options.replicaLag;
    }
    for (std::size_t index = 0; index < this->proxies.size(); ++index) {
        this->proxies[index].pausedUntil = {};
        this->proxies[index].pauseAtOrder = {};
        this->restartProxy(index);
    }
    this->setLeaving({});
    this->replicateAll();
}

const GroupView& GroupSimulation::viewOf(std::size_t proxyIndex) const
{
    return this->proxies[proxyIndex].coordinator->view();
}

std::optional<GroupRecord> GroupSimulation::record() const
{
    if (!this->storedRecord)
        return std::nullopt;
    return this->storedRecord->record;
}

std::size_t GroupSimulation::primaryIndex() const { return this->primaryTerms.back().slot; }

bool GroupSimulation::acknowledgedSince(Instant instant) const
{
    return std::any_of(this->acknowledgedWrites.begin(), this->acknowledgedWrites.end(),
        [&](const AcknowledgedWrite& acknowledged) { return acknowledged.sentAt >= instant; });
}

// Network

void GroupSimulation::at(Instant when, Task task)
{
    this->tasks.push(
        { .at = std::max(when, this->clock), .order = ++this->lastOrder, .task = std::move(task) });
}

bool GroupSimulation::isLinked(Endpoint one, Endpoint other) const
{
    return !this->cutLinks.contains({ std::min(one, other), std::max(one, other) });
}

Duration GroupSimulation::networkLatency()
{
    std::uniform_int_distribution<int> micros { 900, 1200 };
    return std::chrono::microseconds { micros(this->random) };
}

/// Runs a task in a proxy, after its pause if it is paused. The task is dropped if the proxy is killed or
/// restarted.
void GroupSimulation::runOnProxy(std::size_t index, Task task)
{
    const auto incarnation = this->proxies[index].incarnation;
    const auto when = std::max(this->clock, this->proxies[index].pausedUntil);
    this->at(when, [this, index, incarnation, task = std::move(task)] {
        const auto& proxy = this->proxies[index];
        if (!proxy.alive || proxy.incarnation != incarnation)
            return;
        if (proxy.pausedUntil > this->clock)
            this->runOnProxy(index, task);
        else
            task();
    });
}

void GroupSimulation::sendFromProxy(std::size_t index, bool isOrder, Task task)
{
    auto& proxy = this->proxies[index];
    if (isOrder && proxy.pauseAtOrder > Duration::zero()) {
        proxy.pausedUntil = this->clock + proxy.pauseAtOrder;
        proxy.pauseAtOrder = {};
    }
    if (proxy.pausedUntil <= this->clock)
        task();
    else
        this->runOnProxy(index, std::move(task));
}

void GroupSimulation::callSlot(std::size_t proxyIndex, std::size_t slotIndex, bool isOrder,
    std::function<bool(SimulatedSlot&)> operation,
    std::function<void(std::optional<StatusSample>, bool done)> answer)
{
    const auto askedAt = this->clock;
    const auto settled = std::make_shared<bool>(false);
    const auto settle = [this, proxyIndex, settled, answer = std::move(answer)](
                            std::optional<StatusSample> sample, bool done) {
        this->runOnProxy(proxyIndex, [this, settled, answer, sample, done]() mutable {
            if (std::exchange(*settled, true))
                return;
            if (sample)
                sample->receivedAt = this->clock;
            answer(sample, done);
        });
    };
    const auto arrive = [this, proxyIndex, slotIndex, askedAt, settle, operation = std::move(operation)] {
        auto& target = this->slots[slotIndex];
        if (!target.alive || !this->isLinked(proxy(proxyIndex), slot(slotIndex)))
            return;
        const bool done = operation(target);
        const StatusSample sample {
            .slot = slotName(slotIndex), .status = target.status(), .askedAt = askedAt, .receivedAt = {}
        };
        this->at(this->clock + this->networkLatency(), [this, proxyIndex, slotIndex, settle, sample, done] {
            if (this->slots[slotIndex].alive && this->isLinked(proxy(proxyIndex), slot(slotIndex)))
                settle(sample, done);
        });
    };
    this->sendFromProxy(proxyIndex, isOrder, [this, settle, arrive] {
        this->at(this->clock + this->networkLatency(), arrive);
        this->at(this->clock + callTimeout, [settle] { settle(std::nullopt, false); });
    });
}

/// A store that loses answers may also carry out a call late, after its caller has given up.
void GroupSimulation::callStore(
    std::size_t proxyIndex, bool isOrder, Task effect, std::function<void(bool answered)> answer)
{
    this->sendFromProxy(proxyIndex, isOrder, [this, proxyIndex, effect, answer] {
        const auto settled = std::make_shared<bool>(false);
        const auto settle = [this, proxyIndex, settled, answer](bool answered) {
            this->runOnProxy(proxyIndex, [settled, answer, answered] {
                if (!std::exchange(*settled, true))
                    answer(answered);
            });
        };
        const bool losesAnswer = this->storeLosesAnswers && this->random() % 2 == 0;
        const auto extraDelay = losesAnswer && this->random() % 4 == 0 ? Duration { 900ms } : Duration {};
        this->at(this->clock + this->networkLatency() + extraDelay,
            [this, proxyIndex, effect, settle, losesAnswer] {
                if (!this->storeUp || !this->isLinked(proxy(proxyIndex), store()))
                    return;
                effect();
                this->at(this->clock + this->networkLatency(), [this, proxyIndex, settle, losesAnswer] {
                    if (!losesAnswer && this->isLinked(proxy(proxyIndex), store()))
                        settle(true);
                });
            });
        this->at(this->clock + storeTimeout, [settle] { settle(false); });
    });
}

void GroupSimulation::replicate(std::size_t index)
{
    auto& replica = this->slots[index];
    const auto& source = this->slots[replica.following];
    if (replica.following == index || !replica.canReplicateFrom(source)
        || !this->isLinked(slot(index), slot(replica.following)))
        return;
    if (const auto next = replica.replicateFrom(source, this->clock))
        this->at(*next, [this, index] { this->replicate(index); });
}

void GroupSimulation::replicateAll()
{
    for (std::size_t index = 0; index < this->slots.size(); ++index)
        this->at(this->clock + this->slots[index].lag, [this, index] { this->replicate(index); });
}

// Proxies

void GroupSimulation::startProxy(std::size_t index)
{
    auto& proxy = this->proxies[index];
    std::vector<SlotName> names;
    for (std::size_t slot = 0; slot < this->slots.size(); ++slot)
        names.push_back(slotName(slot));
    proxy.acknowledgements = {};
    proxy.pendingConfirmations.clear();
    proxy.heldTasks.clear();
    proxy.polling = false;
    proxy.tracker = std::make_unique<ReplicaTracker>(
        ReplicaTracker::Options { .maxCatchUpWait = this->options.maxCatchUpWait });
    proxy.coordinator = std::make_unique<FailoverCoordinator>(FailoverCoordinator::Options {
        .vm = VmName { "vm" + std::to_string(index) + '.' + std::to_string(proxy.incarnation) },
        .slots = names,
        .rank = index,
        .settings = this->options.settings,
        .startedAt = this->clock,
        .seed = this->random() });
    this->tick(index);
}

void GroupSimulation::tick(std::size_t index)
{
    this->perform(index, this->proxies[index].coordinator->tick(this->clock));
    this->settle(index);
    this->at(this->clock + tickInterval, [this, index, incarnation = this->proxies[index].incarnation] {
        if (this->proxies[index].incarnation == incarnation)
            this->runOnProxy(index, [this, index] { this->tick(index); });
    });
}

void GroupSimulation::deliver(std::size_t index, const FailoverEvent& event)
{
    this->perform(index, this->proxies[index].coordinator->handle(event, this->clock));
    if (this->random() % 100 >= this->options.duplicatePercentage)
        return;
    this->at(this->clock + std::chrono::milliseconds { this->random() % 600 }, [this, index, event] {
        this->runOnProxy(index, [this, index, event] {
            this->perform(index, this->proxies[index].coordinator->handle(event, this->clock));
        });
    });
}

void GroupSimulation::perform(std::size_t index, const FailoverActions& actions)
{
    struct Performer {
        GroupSimulation& simulation;
        std::size_t index;

        void operator()(const ProbeSlot& action) const
        {
            this->simulation.order(
                this->index, action.slot, [](SimulatedSlot&) { return true; }, false);
        }
        void operator()(const FenceSlot& action) const
        {
            this->simulation.order(
                this->index, action.slot,
                [term = action.term](SimulatedSlot& slot) {
                    slot.fence(term);
                    return true;
                },
                true);
        }
        void operator()(const PromoteSlot& action) const
        {
            auto& simulation = this->simulation;
            const auto slotIndex = simulation.indexOf(action.slot);
            simulation.order(
                this->index, action.slot,
                [&simulation, slotIndex, term = action.term](SimulatedSlot& slot) {
                    const bool before = slot.primary;
                    const bool done = slot.promote(term, simulation.clock);
                    if (done && !before)
                        simulation.recordPromotion(slotIndex, term);
                    return done;
                },
                true);
        }
        void operator()(const FollowPrimary& action) const
        {
            auto& simulation = this->simulation;
            const auto primary = simulation.indexOf(action.primary);
            simulation.order(
                this->index, action.slot,
                [&simulation, primary, term = action.term](SimulatedSlot& slot) {
                    const bool done = slot.follow(term, primary);
                    simulation.replicateAll();
                    return done;
                },
                true);
        }
        void operator()(const AskSiblings& action) const
        {
            this->simulation.askSiblings(this->index, action.slot);
        }
        void operator()(const ReadRecord&) const { this->simulation.readRecord(this->index); }
        void operator()(const SwapRecord& action) const { this->simulation.swapRecord(this->index, action); }
        void operator()(const PublishView& action) const
        {
            this->simulation.publishView(this->index, action.view);
        }
    };
    for (const auto& action : actions)
        std::visit(Performer { *this, index }, action);
}

void GroupSimulation::order(
    std::size_t index, const SlotName& name, std::function<bool(SimulatedSlot&)> what, bool isOrder)
{
    this->callSlot(index, this->indexOf(name), isOrder, std::move(what),
        [this, index, name](const std::optional<StatusSample>& sample, bool done) {
            if (!sample) {
                this->deliver(index, SlotUnreachable { name });
                return;
            }
            this->observe(index, *sample);
            if (done)
                this->deliver(index, SlotAnswered { *sample });
            else
                this->deliver(index, SlotRefused { name });
        });
}

void GroupSimulation::askSiblings(std::size_t index, const SlotName& name)
{
    const auto answer = std::make_shared<SiblingsAnswered>(
        SiblingsAnswered { .slot = name, .askedAt = this->clock, .asked = this->proxies.size() - 1 });
    const auto given = std::make_shared<bool>(false);
    const auto finish = [this, index, answer, given] {
        this->runOnProxy(index, [this, index, answer, given] {
            if (!std::exchange(*given, true))
                this->deliver(index, *answer);
        });
    };
    for (std::size_t other = 0; other < this->proxies.size(); ++other) {
        if (other == index || !this->proxies[other].alive || !this->isLinked(proxy(index), proxy(other)))
            continue;
        this->at(this->clock + this->networkLatency(), [this, index, other, name, answer, finish] {
            this->runOnProxy(other, [this, index, other, name, answer, finish] {
                this->callSlot(
                    other, this->indexOf(name), false, [](SimulatedSlot&) { return true; },
                    [this, index, other, answer, finish](const std::optional<StatusSample>& sample, bool) {
                        if (!this->isLinked(proxy(index), proxy(other)))
                            return;
                        SlotOpinion opinion { .vm = VmName { std::to_string(other) },
                            .reachable = sample.has_value() };
                        if (sample)
                            opinion.status = sample->status;
                        answer->opinions.push_back(opinion);
                        if (answer->opinions.size() == answer->asked)
                            finish();
                    });
            });
        });
    }
    this->at(this->clock + callTimeout + 50ms, finish);
}

void GroupSimulation::readRecord(std::size_t index)
{
    const auto read = std::make_shared<std::optional<VersionedRecord>>();
    this->callStore(
        index, false, [this, read] { *read = this->storedRecord; },
        [this, index, read](bool answered) {
            if (answered)
                this->deliver(index, RecordRead { *read });
            else
                this->deliver(index, RecordReadFailed {});
        });
}

void GroupSimulation::swapRecord(std::size_t index, const SwapRecord& swap)
{
    if (!swap.record.isSettled())
        this->failoverTimeline.claimed = this->clock;
    else if (this->storedRecord && swap.record.servingTerm != this->storedRecord->record.servingTerm)
        this->failoverTimeline.selected = this->clock;
    struct Result {
        bool swapped = false;
        std::optional<VersionedRecord> current;
    };
    const auto result = std::make_shared<Result>();
    const auto effect = [this, swap, result] {
        const auto revision = this->storedRecord ? this->storedRecord->revision : 0;
        result->swapped = revision == swap.expectedRevision;
        if (result->swapped) {
            this->storedRecord = VersionedRecord { .record = GroupRecord::decode(swap.record.encode()),
                .revision = revision + 1 };
        }
        result->current = this->storedRecord;
    };
    this->callStore(index, true, effect, [this, index, result, id = swap.record.changeId](bool answered) {
        if (!answered)
            this->deliver(index, RecordSwapUnanswered { id });
        else if (result->swapped)
            this->deliver(index, RecordSwapped { id, result->current->revision });
        else
            this->deliver(index, RecordConflict { id, result->current });
    });
}

void GroupSimulation::publishView(std::size_t index, const GroupView& view)
{
    auto& proxy = this->proxies[index];
    proxy.acknowledgements.setView(view);
    proxy.tracker->setView(view);
    this->settle(index);
    if (view.phase != GroupView::Phase::Serving)
        return;
    if (!this->failoverTimeline.serving || this->failoverTimeline.selected > this->failoverTimeline.serving)
        this->failoverTimeline.serving = this->clock;
    for (auto& task : std::exchange(proxy.heldTasks, {}))
        this->runOnProxy(index, std::move(task));
}

void GroupSimulation::observe(std::size_t index, const StatusSample& sample)
{
    this->proxies[index].acknowledgements.observe(sample);
    this->proxies[index].tracker->observe(sample);
    this->settle(index);
}

void GroupSimulation::settle(std::size_t index)
{
    auto& proxy = this->proxies[index];
    const auto settled = proxy.acknowledgements.take(this->clock);
    for (const auto ticket : settled.confirmed) {
        if (auto node = proxy.pendingConfirmations.extract(ticket))
            node.mapped().onConfirmed();
    }
    for (const auto ticket : settled.unconfirmed) {
        if (auto node = proxy.pendingConfirmations.extract(ticket))
            node.mapped().onGivenUp();
    }
}

std::size_t GroupSimulation::indexOf(const SlotName& name) const
{
    for (std::size_t index = 0; index < this->slots.size(); ++index) {
        if (slotName(index) == name)
            return index;
    }
    return 0;
}
