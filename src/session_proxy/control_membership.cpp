#include "control_state.h"

#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <leadership.pb.h>

#include <algorithm>

namespace cyclamendrift {

asio::awaitable<void> SessionControl::State::keepLease(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    while (!self->stopped) {
        auto pause = settings.leaseRenewal;
        const auto askedAt = bootNow();
        try {
            if (!self->lease) {
                self->lease = co_await self->options.store.grantLease(settings.leaseTime);
                logEvent(LogLevel::Info, "lease_granted",
                    { { "lease", std::to_string(static_cast<std::uint64_t>(*self->lease)) } });
            } else {
                co_await self->options.store.keepAlive(*self->lease);
            }
            ++self->storeCalls["lease"];
            self->leaseUntil = askedAt + settings.leaseTime - settings.leaseMargin;
            self->leaseSource.succeeded();
            co_await self->tellOwnRecord();
        } catch (const StoreError& error) {
            if (error.kind() == StoreError::Kind::LeaseGone) {
                logEvent(LogLevel::Warn, "lease_lapsed");
                self->lease.reset();
                self->leaseUntil = Instant::min();
                pause = settings.firstBackoff;
            } else {
                pause = self->leaseSource.failed(error.what());
            }
        }
        co_await self->sleep(pause);
    }
}

asio::awaitable<void> SessionControl::State::tellOwnRecord()
{
    const bool known = this->recordLease == this->lease;
    if (known && !DemandMeter::differs(this->toldDemand, this->demand.rates()))
        co_return;
    const auto told = this->demand.rates();
    wire::VmRecord record;
    record.set_name(this->options.vm.string());
    record.set_availability_zone(this->options.zone.string());
    for (const auto& [team, rate] : told) {
        auto& entry = *record.add_demand();
        entry.set_team(team.string());
        entry.set_operations_per_second(rate);
    }
    const auto key = store_key::vmPrefix + this->options.vm.string();
    const auto lease = *this->lease;
    SwapOptions swap { .key = key,
        .expectedRevision = this->ownRecordRevision,
        .value = record.SerializeAsString(),
        .lease = lease };
    const auto outcome = co_await this->options.store.compareAndSwap(std::move(swap));
    ++this->storeCalls["vm_record"];
    if (const auto* swapped = std::get_if<Swapped>(&outcome)) {
        this->ownRecordRevision = swapped->revision;
        this->recordLease = lease;
        this->toldDemand = told;
        co_return;
    }
    // The record of an earlier process of this VM, or a write of this one whose answer was lost: next time.
    const auto& current = std::get<SwapConflict>(outcome).current;
    this->ownRecordRevision = current ? current->revision : 0;
}

asio::awaitable<void> SessionControl::State::followVms(std::shared_ptr<State> self)
{
    while (!self->stopped) {
        auto pause = self->options.settings.vmListInterval;
        try {
            const auto listing = co_await self->options.store.listing(store_key::vmPrefix, ReadFreshness::Linearizable);
            ++self->storeCalls["vms"];
            self->vmSource.succeeded();
            self->takeVms(listing);
        } catch (const StoreError& error) {
            pause = std::max(pause, self->vmSource.failed(error.what()));
        }
        co_await self->sleep(pause);
    }
}

void SessionControl::State::takeVms(const StoreListing& listing)
{
    std::map<VmName, DemandByTeam> next;
    for (const auto& entry : listing.entries) {
        wire::VmRecord record;
        if (!record.ParseFromString(entry.value) || record.name().empty()) {
            logEvent(LogLevel::Error, "vm_record_unreadable", { { "key", entry.key } });
            continue;
        }
        auto& demandOfVm = next[VmName { record.name() }];
        for (const auto& team : record.demand())
            demandOfVm[TeamName { team.team() }] = team.operations_per_second();
    }
    if (next.size() != this->listedVms.size())
        logEvent(LogLevel::Info, "vms_changed", { { "vms", std::to_string(next.size()) } });
    this->listedVms = std::move(next);
    const auto own = this->listedVms.find(this->options.vm);
    const bool listed = own != this->listedVms.end();
    this->place.rank
        = listed ? static_cast<std::size_t>(std::distance(this->listedVms.begin(), own)) : this->listedVms.size();
    this->place.vms = this->listedVms.size() + (listed ? 0 : 1);
    this->options.traffic.setPlace(this->place);
    this->divideLimits();
}

void SessionControl::State::divideLimits()
{
    if (!this->routes)
        return;
    const auto now = bootNow();
    this->shares.update(this->routes->limits, this->options.vm, this->listedVms, now);
    this->options.traffic.setShares(this->shares.current(now));
}

} // namespace cyclamendrift
