#include "upstream_home.h"

#include <cyclamendrift/connections/connection_budget.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration pruneInterval = std::chrono::minutes { 1 };
/// Outages that last longer than expected are taken to last this much longer still.
constexpr Duration outageStep = std::chrono::seconds { 1 };

} // namespace

std::size_t UpstreamHome::trafficBudget() const
{
    return connectionBudget(this->options.description.connection_cap()).traffic;
}

std::shared_ptr<SlotConnections> UpstreamHome::makeSlot(const api::Slot& slot, bool leaving)
{
    auto target = this->options.credentials;
    target.host = slot.address();
    target.port = static_cast<std::uint16_t>(slot.port());
    target.databaseName = this->options.description.name();
    const auto weak = this->weak_from_this();
    return std::make_shared<SlotConnections>(SlotConnections::Options { .executor = this->options.executor,
        .timers = this->options.timers,
        .name = SlotName { slot.name() },
        .target = std::move(target),
        .connector = this->options.connector,
        .connectTimeout = this->options.connectTimeout,
        .slotControl = this->options.slotControl,
        .pool = { .budget = leaving ? 1 : this->trafficBudget() },
        .onChange =
            [weak] {
                if (const auto self = weak.lock())
                    self->scheduleDispatch();
            },
        .onSample =
            [weak](const StatusSample& sample) {
                if (const auto self = weak.lock())
                    self->takeSample(sample);
            } });
}

bool UpstreamHome::isLeaving(const api::Slot& slot) const
{
    const SlotName name { slot.name() };
    const auto& leaving = this->view.leaving;
    if (std::find(leaving.begin(), leaving.end(), name) != leaving.end())
        return true;
    return this->options.isLeaving
        && this->options.isLeaving(slot.address(), static_cast<std::uint16_t>(slot.port()));
}

void UpstreamHome::updateSlots()
{
    for (const auto& slot : this->options.description.slots()) {
        const SlotName name { slot.name() };
        // A leaving primary is served from until the driver has moved the role away: nobody else can take its
        // writes before that. A leaving replica gets no work, but a group of two may need its confirmations.
        const bool leaving = name != this->view.primary && this->isLeaving(slot);
        const bool known = this->slots.contains(name);
        if (known && !this->drained && leaving == this->leavingSlots.contains(name))
            continue;
        if (known)
            this->removeSlot(name);
        if (this->drained)
            continue;
        this->slots.emplace(name, this->makeSlot(slot, leaving));
        if (leaving)
            this->leavingSlots.insert(name);
    }
}

void UpstreamHome::removeSlot(const SlotName& name)
{
    const auto connections = this->slots.at(name);
    this->slots.erase(name);
    this->leavingSlots.erase(name);
    connections->retire();
    this->tracker.failed(name);
    this->laneOf(name).reroute();
}

Lane& UpstreamHome::laneOf(const SlotName& slot)
{
    auto& lane = this->replicaLanes[slot];
    if (!lane)
        lane = this->makeLane();
    return *lane;
}

void UpstreamHome::scheduleDispatch()
{
    if (this->dispatchScheduled)
        return;
    this->dispatchScheduled = true;
    asio::post(this->options.executor, [self = this->shared_from_this()] {
        self->dispatchScheduled = false;
        self->dispatch();
    });
}

void UpstreamHome::dispatch()
{
    for (const auto& [name, slot] : this->slots) {
        const bool primary = this->isServing() && name == this->view.primary;
        const bool leaving = this->leavingSlots.contains(name);
        auto& lane = primary ? *this->primaryLane : this->laneOf(name);
        if (!leaving)
            lane.serve(*slot);
        slot->update(lane.waiting());
        if (primary || (!leaving && !slot->isOutOfReach()))
            continue;
        this->tracker.failed(name);
        lane.reroute();
    }
}

void UpstreamHome::tick()
{
    this->updateSlots();
    this->updateAvailability();
    this->primaryLane->expire();
    for (const auto& [name, lane] : this->replicaLanes)
        lane->expire();
    this->confirmations->settle();
    this->endTransactions(this->transactions.expire(this->now()));
    this->dispatch();
    const bool pruneDue = this->now() >= this->nextPrune && this->ledgerTerm == this->view.term;
    if (pruneDue && this->isServing() && !this->pruning) {
        this->nextPrune = this->now() + pruneInterval;
        asio::co_spawn(this->options.executor, this->pruneLedger(), asio::detached);
    }
    this->publishStatus();
}

void UpstreamHome::updateAvailability()
{
    if (this->isServing()) {
        this->outageSince.reset();
        this->primaryLane->queue().setAvailableFrom(Instant {}, RefusalReason::Overloaded);
        return;
    }
    const auto since = this->outageSince.value_or(this->now());
    this->outageSince = since;
    const auto expected = std::max(since + this->options.expectedOutage, this->now() + outageStep);
    this->primaryLane->queue().setAvailableFrom(expected, RefusalReason::NoPrimary);
}

void UpstreamHome::setView(const std::shared_ptr<const GroupView>& next)
{
    asio::post(this->options.executor, [self = this->shared_from_this(), next] { self->applyView(*next); });
}

void UpstreamHome::applyView(const GroupView& next)
{
    if (next.term < this->view.term)
        return;
    const auto former = this->view.primary;
    this->view = next;
    this->tracker.setView(next);
    this->confirmations->setView(next);
    if (!former.empty() && former != next.primary && this->slots.contains(former)) {
        // What still runs at the former primary can no longer be acknowledged; waiting for its answers would
        // keep callers from hearing so, and its connections from being used for reads.
        const auto abandoned = this->slots.at(former);
        this->slots.erase(former);
        this->leavingSlots.erase(former);
        abandoned->abandon();
    }
    this->updateSlots();
    this->updateAvailability();
    for (const auto& [name, lane] : this->replicaLanes)
        lane->reroute();
    this->scheduleDispatch();
    this->publishStatus();
}

void UpstreamHome::observe(const StatusSample& sample)
{
    asio::post(
        this->options.executor, [self = this->shared_from_this(), sample] { self->takeSample(sample); });
}

void UpstreamHome::takeSample(const StatusSample& sample)
{
    this->tracker.observe(sample);
    this->confirmations->observe(sample);
}

} // namespace cyclamendrift
