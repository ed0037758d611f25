#include "group_world.h"

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

GroupWorld::GroupWorld(Options options)
    : options(std::move(options))
    , random(this->options.seed)
    , slots(this->options.slots)
    , proxies(this->options.homes + this->options.observers)
    , sessions(this->options.sessions)
{
    for (auto& slot : this->slots)
        slot.lag = this->options.replicaLag;
    this->slots[0].primary = true;
    this->reigns.push_back({ .term = Term { 1 }, .slot = 0 });
    for (std::size_t index = 0; index < this->options.homes; ++index)
        this->startProxy(index);
    this->writeLoop();
    this->readLoop();
}

void GroupWorld::runFor(Duration duration)
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

void GroupWorld::cut(Node one, Node other)
{
    this->cuts.insert({ std::min(one, other), std::max(one, other) });
}

void GroupWorld::heal(Node one, Node other)
{
    this->cuts.erase({ std::min(one, other), std::max(one, other) });
    this->replicateAll();
}

void GroupWorld::isolate(std::size_t index)
{
    for (std::size_t other = 0; other < this->slots.size(); ++other) {
        if (other != index)
            this->cut(slot(index), slot(other));
    }
}

void GroupWorld::kill(std::size_t slotIndex) { this->slots[slotIndex].alive = false; }

void GroupWorld::revive(std::size_t slotIndex)
{
    this->slots[slotIndex].alive = true;
    this->replicateAll();
}

void GroupWorld::pause(std::size_t proxyIndex, Duration duration)
{
    this->proxies[proxyIndex].pausedUntil = this->clock + duration;
}

void GroupWorld::pauseBeforeNextOrder(std::size_t proxyIndex, Duration duration)
{
    this->proxies[proxyIndex].pauseAtOrder = duration;
}

void GroupWorld::killProxy(std::size_t proxyIndex)
{
    this->proxies[proxyIndex].alive = false;
    // Their connections break, so these sessions know that they must not wait.
    for (auto& session : this->sessions) {
        if (session.home != proxyIndex)
            continue;
        session.busy = false;
        ++session.operation;
    }
}

void GroupWorld::restartProxy(std::size_t proxyIndex)
{
    auto& proxy = this->proxies[proxyIndex];
    if (proxy.alive)
        return;
    proxy.alive = true;
    proxy.pausedUntil = {};
    proxy.pauseAtOrder = {};
    ++proxy.life;
    if (proxyIndex < this->options.homes)
        this->startProxy(proxyIndex);
}

void GroupWorld::setLeaving(std::vector<std::size_t> slotIndices)
{
    this->leaving = std::move(slotIndices);
    std::vector<SlotName> names;
    for (const auto index : this->leaving)
        names.push_back(slotName(index));
    for (std::size_t index = 0; index < this->options.homes; ++index) {
        if (this->proxies[index].alive)
            this->give(index, LeavingChanged { names });
    }
}

void GroupWorld::healEverything()
{
    this->cuts.clear();
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

const GroupView& GroupWorld::viewOf(std::size_t proxyIndex) const
{
    return this->proxies[proxyIndex].coordinator->view();
}

std::optional<GroupRecord> GroupWorld::record() const
{
    if (!this->stored)
        return std::nullopt;
    return this->stored->record;
}

std::size_t GroupWorld::primaryIndex() const { return this->reigns.back().slot; }

bool GroupWorld::acknowledgedSince(Instant instant) const
{
    return std::any_of(this->acks.begin(), this->acks.end(),
        [&](const Acknowledged& acknowledged) { return acknowledged.sentAt >= instant; });
}

// The network

void GroupWorld::at(Instant when, Task task)
{
    this->tasks.push(
        { .at = std::max(when, this->clock), .order = ++this->lastOrder, .task = std::move(task) });
}

bool GroupWorld::linked(Node one, Node other) const
{
    return !this->cuts.contains({ std::min(one, other), std::max(one, other) });
}

Duration GroupWorld::delay()
{
    std::uniform_int_distribution<int> micros { 900, 1200 };
    return std::chrono::microseconds { micros(this->random) };
}

/// Runs a task in a proxy, after its pause if it is paused; never in a later life of it.
void GroupWorld::atProxy(std::size_t index, Task task)
{
    const auto life = this->proxies[index].life;
    const auto when = std::max(this->clock, this->proxies[index].pausedUntil);
    this->at(when, [this, index, life, task = std::move(task)] {
        const auto& proxy = this->proxies[index];
        if (!proxy.alive || proxy.life != life)
            return;
        if (proxy.pausedUntil > this->clock)
            this->atProxy(index, task);
        else
            task();
    });
}

void GroupWorld::fromProxy(std::size_t index, bool isOrder, Task task)
{
    auto& proxy = this->proxies[index];
    if (isOrder && proxy.pauseAtOrder > Duration::zero()) {
        proxy.pausedUntil = this->clock + proxy.pauseAtOrder;
        proxy.pauseAtOrder = {};
    }
    if (proxy.pausedUntil <= this->clock)
        task();
    else
        this->atProxy(index, std::move(task));
}

void GroupWorld::callSlot(std::size_t proxyIndex, std::size_t slotIndex, bool isOrder,
    std::function<bool(ModelSlot&)> operation,
    std::function<void(std::optional<StatusSample>, bool done)> answer)
{
    const auto askedAt = this->clock;
    const auto settled = std::make_shared<bool>(false);
    const auto settle = [this, proxyIndex, settled, answer = std::move(answer)](
                            std::optional<StatusSample> sample, bool done) {
        this->atProxy(proxyIndex, [this, settled, answer, sample, done]() mutable {
            if (std::exchange(*settled, true))
                return;
            if (sample)
                sample->receivedAt = this->clock;
            answer(sample, done);
        });
    };
    const auto arrive = [this, proxyIndex, slotIndex, askedAt, settle, operation = std::move(operation)] {
        auto& target = this->slots[slotIndex];
        if (!target.alive || !this->linked(proxy(proxyIndex), slot(slotIndex)))
            return;
        const bool done = operation(target);
        const StatusSample sample {
            .slot = slotName(slotIndex), .status = target.status(), .askedAt = askedAt, .receivedAt = {}
        };
        this->at(this->clock + this->delay(), [this, proxyIndex, slotIndex, settle, sample, done] {
            if (this->slots[slotIndex].alive && this->linked(proxy(proxyIndex), slot(slotIndex)))
                settle(sample, done);
        });
    };
    this->fromProxy(proxyIndex, isOrder, [this, settle, arrive] {
        this->at(this->clock + this->delay(), arrive);
        this->at(this->clock + callTimeout, [settle] { settle(std::nullopt, false); });
    });
}

/// A store that loses answers may also take up a call late, after its caller has given up.
void GroupWorld::callStore(
    std::size_t proxyIndex, bool isOrder, Task effect, std::function<void(bool answered)> answer)
{
    this->fromProxy(proxyIndex, isOrder, [this, proxyIndex, effect, answer] {
        const auto settled = std::make_shared<bool>(false);
        const auto settle = [this, proxyIndex, settled, answer](bool answered) {
            this->atProxy(proxyIndex, [settled, answer, answered] {
                if (!std::exchange(*settled, true))
                    answer(answered);
            });
        };
        const bool loses = this->storeLosesAnswers && this->random() % 2 == 0;
        const auto late = loses && this->random() % 4 == 0 ? Duration { 900ms } : Duration {};
        this->at(this->clock + this->delay() + late, [this, proxyIndex, effect, settle, loses] {
            if (!this->storeUp || !this->linked(proxy(proxyIndex), store()))
                return;
            effect();
            this->at(this->clock + this->delay(), [this, proxyIndex, settle, loses] {
                if (!loses && this->linked(proxy(proxyIndex), store()))
                    settle(true);
            });
        });
        this->at(this->clock + storeTimeout, [settle] { settle(false); });
    });
}

void GroupWorld::replicate(std::size_t index)
{
    auto& replica = this->slots[index];
    const auto& source = this->slots[replica.following];
    if (replica.following == index || !replica.mayPullFrom(source)
        || !this->linked(slot(index), slot(replica.following)))
        return;
    if (const auto next = replica.pullFrom(source, this->clock))
        this->at(*next, [this, index] { this->replicate(index); });
}

void GroupWorld::replicateAll()
{
    for (std::size_t index = 0; index < this->slots.size(); ++index)
        this->at(this->clock + this->slots[index].lag, [this, index] { this->replicate(index); });
}

// The proxies

void GroupWorld::startProxy(std::size_t index)
{
    auto& proxy = this->proxies[index];
    std::vector<SlotName> names;
    for (std::size_t slot = 0; slot < this->slots.size(); ++slot)
        names.push_back(slotName(slot));
    proxy.acknowledgements = {};
    proxy.waiting.clear();
    proxy.held.clear();
    proxy.polling = false;
    proxy.tracker = std::make_unique<ReplicaTracker>(
        ReplicaTracker::Options { .maxCatchUpWait = this->options.maxCatchUpWait });
    proxy.coordinator = std::make_unique<FailoverCoordinator>(FailoverCoordinator::Options {
        .vm = VmName { "vm" + std::to_string(index) + '.' + std::to_string(proxy.life) },
        .slots = names,
        .rank = index,
        .settings = this->options.settings,
        .startedAt = this->clock,
        .seed = this->random() });
    this->tick(index);
}

void GroupWorld::tick(std::size_t index)
{
    this->perform(index, this->proxies[index].coordinator->tick(this->clock));
    this->settle(index);
    this->at(this->clock + tickInterval, [this, index, life = this->proxies[index].life] {
        if (this->proxies[index].life == life)
            this->atProxy(index, [this, index] { this->tick(index); });
    });
}

void GroupWorld::give(std::size_t index, const FailoverEvent& event)
{
    this->perform(index, this->proxies[index].coordinator->handle(event, this->clock));
    if (this->random() % 100 >= this->options.duplicatesInHundred)
        return;
    this->at(this->clock + std::chrono::milliseconds { this->random() % 600 }, [this, index, event] {
        this->atProxy(index, [this, index, event] {
            this->perform(index, this->proxies[index].coordinator->handle(event, this->clock));
        });
    });
}

void GroupWorld::perform(std::size_t index, const FailoverActions& actions)
{
    struct Performer {
        GroupWorld& world;
        std::size_t index;

        void operator()(const ProbeSlot& action) const
        {
            this->world.order(
                this->index, action.slot, [](ModelSlot&) { return true; }, false);
        }
        void operator()(const FenceSlot& action) const
        {
            this->world.order(
                this->index, action.slot,
                [term = action.term](ModelSlot& slot) {
                    slot.fence(term);
                    return true;
                },
                true);
        }
        void operator()(const PromoteSlot& action) const
        {
            auto& world = this->world;
            const auto slotIndex = world.indexOf(action.slot);
            world.order(
                this->index, action.slot,
                [&world, slotIndex, term = action.term](ModelSlot& slot) {
                    const bool before = slot.primary;
                    const bool done = slot.promote(term, world.clock);
                    if (done && !before)
                        world.notePromotion(slotIndex, term);
                    return done;
                },
                true);
        }
        void operator()(const FollowPrimary& action) const
        {
            auto& world = this->world;
            const auto primary = world.indexOf(action.primary);
            world.order(
                this->index, action.slot,
                [&world, primary, term = action.term](ModelSlot& slot) {
                    const bool done = slot.follow(term, primary);
                    world.replicateAll();
                    return done;
                },
                true);
        }
        void operator()(const AskSiblings& action) const { this->world.performAsk(this->index, action.slot); }
        void operator()(const ReadRecord&) const { this->world.performRead(this->index); }
        void operator()(const SwapRecord& action) const { this->world.performSwap(this->index, action); }
        void operator()(const PublishView& action) const
        {
            this->world.performPublish(this->index, action.view);
        }
    };
    for (const auto& action : actions)
        std::visit(Performer { *this, index }, action);
}

void GroupWorld::order(
    std::size_t index, const SlotName& name, std::function<bool(ModelSlot&)> what, bool isOrder)
{
    this->callSlot(index, this->indexOf(name), isOrder, std::move(what),
        [this, index, name](const std::optional<StatusSample>& sample, bool done) {
            if (!sample) {
                this->give(index, SlotSilent { name });
                return;
            }
            this->observe(index, *sample);
            if (done)
                this->give(index, SlotAnswered { *sample });
            else
                this->give(index, SlotRefused { name });
        });
}

void GroupWorld::performAsk(std::size_t index, const SlotName& name)
{
    const auto answer = std::make_shared<SiblingsAnswered>(
        SiblingsAnswered { .slot = name, .askedAt = this->clock, .asked = this->proxies.size() - 1 });
    const auto given = std::make_shared<bool>(false);
    const auto finish = [this, index, answer, given] {
        this->atProxy(index, [this, index, answer, given] {
            if (!std::exchange(*given, true))
                this->give(index, *answer);
        });
    };
    for (std::size_t other = 0; other < this->proxies.size(); ++other) {
        if (other == index || !this->proxies[other].alive || !this->linked(proxy(index), proxy(other)))
            continue;
        this->at(this->clock + this->delay(), [this, index, other, name, answer, finish] {
            this->atProxy(other, [this, index, other, name, answer, finish] {
                this->callSlot(
                    other, this->indexOf(name), false, [](ModelSlot&) { return true; },
                    [this, index, other, answer, finish](const std::optional<StatusSample>& sample, bool) {
                        if (!this->linked(proxy(index), proxy(other)))
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

void GroupWorld::performRead(std::size_t index)
{
    const auto read = std::make_shared<std::optional<RevisedRecord>>();
    this->callStore(
        index, false, [this, read] { *read = this->stored; },
        [this, index, read](bool answered) {
            if (answered)
                this->give(index, RecordRead { *read });
            else
                this->give(index, RecordUnavailable {});
        });
}

void GroupWorld::performSwap(std::size_t index, const SwapRecord& swap)
{
    if (!swap.record.isSettled())
        this->times.claimed = this->clock;
    else if (this->stored && swap.record.servingTerm != this->stored->record.servingTerm)
        this->times.chosen = this->clock;
    struct Result {
        bool swapped = false;
        std::optional<RevisedRecord> current;
    };
    const auto result = std::make_shared<Result>();
    const auto effect = [this, swap, result] {
        const auto revision = this->stored ? this->stored->revision : 0;
        result->swapped = revision == swap.expectedRevision;
        if (result->swapped) {
            this->stored = RevisedRecord { .record = GroupRecord::decode(swap.record.encode()),
                .revision = revision + 1 };
        }
        result->current = this->stored;
    };
    this->callStore(index, true, effect, [this, index, result, id = swap.record.changeId](bool answered) {
        if (!answered)
            this->give(index, RecordSwapUnanswered { id });
        else if (result->swapped)
            this->give(index, RecordSwapped { id, result->current->revision });
        else
            this->give(index, RecordConflict { id, result->current });
    });
}

void GroupWorld::performPublish(std::size_t index, const GroupView& view)
{
    auto& proxy = this->proxies[index];
    proxy.acknowledgements.setView(view);
    proxy.tracker->setView(view);
    this->settle(index);
    if (view.phase != GroupView::Phase::Serving)
        return;
    if (!this->times.serving || this->times.chosen > this->times.serving)
        this->times.serving = this->clock;
    for (auto& task : std::exchange(proxy.held, {}))
        this->atProxy(index, std::move(task));
}

void GroupWorld::observe(std::size_t index, const StatusSample& sample)
{
    this->proxies[index].acknowledgements.observe(sample);
    this->proxies[index].tracker->observe(sample);
    this->settle(index);
}

void GroupWorld::settle(std::size_t index)
{
    auto& proxy = this->proxies[index];
    const auto settled = proxy.acknowledgements.take(this->clock);
    for (const auto ticket : settled.confirmed) {
        if (auto node = proxy.waiting.extract(ticket))
            node.mapped().onConfirmed();
    }
    for (const auto ticket : settled.givenUp) {
        if (auto node = proxy.waiting.extract(ticket))
            node.mapped().onGivenUp();
    }
}

std::size_t GroupWorld::indexOf(const SlotName& name) const
{
    for (std::size_t index = 0; index < this->slots.size(); ++index) {
        if (slotName(index) == name)
            return index;
    }
    return 0;
}
