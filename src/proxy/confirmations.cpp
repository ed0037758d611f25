#include "confirmations.h"

#include <cyclamendrift/upstreams/slot_control.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamendrift {

Confirmations::Confirmations(Options options)
    : options(std::move(options))
{
}

asio::awaitable<bool> Confirmations::confirm(ConfirmationTracker::Options what)
{
    const auto self = this->shared_from_this();
    const auto ticket = this->acknowledgements.add(what);
    const auto settled = std::make_shared<OneShot<bool>>(this->options.executor);
    this->waiting.emplace(ticket, settled);
    this->settle();
    if (!settled->isSet())
        this->startPollers();
    co_return co_await OneShot<bool>::take(settled);
}

void Confirmations::settle()
{
    const auto settled = this->acknowledgements.take(this->options.timers->now());
    const auto tell = [this](ConfirmationTicket ticket, bool confirmed) {
        const auto entry = this->waiting.find(ticket);
        if (entry == this->waiting.end())
            return;
        const auto target = std::move(entry->second);
        this->waiting.erase(entry);
        target->set(confirmed);
    };
    for (const auto ticket : settled.confirmed)
        tell(ticket, true);
    for (const auto ticket : settled.unconfirmed)
        tell(ticket, false);
}

void Confirmations::observe(const StatusSample& sample)
{
    this->acknowledgements.observe(sample);
    this->settle();
}

void Confirmations::setView(const GroupView& view)
{
    this->view = view;
    this->acknowledgements.setView(view);
    for (auto& [slot, poller] : this->pollers) {
        if (!poller.running)
            poller.connection.reset();
    }
    this->settle();
    if (this->acknowledgements.waiting() > 0)
        this->startPollers();
}

bool Confirmations::isReplica(const SlotName& slot) const
{
    const auto& slots = this->view.slots;
    return slot != this->view.primary && std::find(slots.begin(), slots.end(), slot) != slots.end();
}

void Confirmations::kick() { this->startPollers(); }

void Confirmations::startPollers()
{
    for (const auto& slot : this->view.slots) {
        if (this->stopped || !this->isReplica(slot))
            continue;
        auto& poller = this->pollers[slot];
        poller.wanted = true;
        if (poller.running)
            continue;
        poller.running = true;
        asio::co_spawn(this->options.executor, this->poll(slot), asio::detached);
    }
}

asio::awaitable<void> Confirmations::poll(SlotName slot)
{
    const auto self = this->shared_from_this();
    auto& poller = this->pollers[slot];
    while (!this->stopped && this->isReplica(slot)) {
        poller.wanted = false;
        co_await this->pollOnce(slot);
        if (!poller.wanted && this->acknowledgements.waiting() == 0)
            break;
        co_await sleepFor(this->options.executor, *this->options.timers, this->options.pollInterval);
    }
    poller.running = false;
    if (this->stopped || !this->isReplica(slot))
        poller.connection.reset();
}

asio::awaitable<void> Confirmations::pollOnce(SlotName slot)
{
    auto& poller = this->pollers[slot];
    const auto connections = this->options.connectionsOf(slot);
    const bool outdated = poller.connection && !(connections && poller.connection->belongsTo(*connections));
    if (outdated)
        poller.connection.reset();
    // Without a connection of its own a poll would wait behind the reads, and every write with it.
    const bool stale = poller.connection && !poller.connection->hasRecentAnswer();
    if (connections && (!poller.connection || stale)) {
        // Kept since the last poll it may have gone silent; the pool gives the one that answered last.
        if (auto fresh = connections->acquire())
            poller.connection = std::move(fresh);
    }
    if (!poller.connection)
        co_return;
    const auto askedAt = this->options.timers->now();
    try {
        const std::array statements { connections->slotControl().statusStatement() };
        const auto answers
            = co_await poller.connection->execute(statements, askedAt + this->options.pollTimeout);
        const auto status = SlotControl::parse(answers.at(0));
        this->options.onSample({ slot, status, askedAt, this->options.timers->now() });
    } catch (const UpstreamError&) {
        poller.connection.reset();
    }
}

void Confirmations::stop()
{
    this->stopped = true;
    for (auto& [slot, poller] : this->pollers) {
        if (!poller.running)
            poller.connection.reset();
    }
}

} // namespace cyclamendrift
