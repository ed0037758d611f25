#include "control_state.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <leadership.pb.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

namespace cyclamendrift {

SiblingList siblingsFrom(const StoreListing& listing)
{
    SiblingList next;
    for (const auto& entry : listing.entries) {
        wire::VmRecord record;
        if (!record.ParseFromString(entry.value) || record.name().empty()) {
            logEvent(LogLevel::Error, "vm_record_unreadable", { { "key", entry.key } });
            continue;
        }
        next[VmName { record.name() }] = siblingFrom(record);
    }
    return next;
}

SiblingInfo siblingFrom(const wire::VmRecord& record)
{
    SiblingInfo sibling;
    sibling.address = { .vm = VmName { record.name() },
        .host = record.sibling_host(),
        .port = static_cast<std::uint16_t>(record.sibling_port()) };
    sibling.capacity = { .zone = ZoneName { record.availability_zone() }, .cores = record.cores() };
    for (const auto& team : record.demand())
        sibling.demand[TeamName { team.team() }] = team.operations_per_second();
    sibling.operationsPerSecond = record.operations_per_second();
    sibling.zonePlacement
        = { .zonesFarApart = record.zones_far_apart(), .placedByZone = record.placed_by_zone() };
    return sibling;
}

void writeSibling(const SiblingInfo& sibling, wire::VmRecord& record)
{
    record.set_name(sibling.address.vm.string());
    record.set_availability_zone(sibling.capacity.zone.string());
    record.set_sibling_host(sibling.address.host);
    record.set_sibling_port(sibling.address.port);
    record.set_cores(sibling.capacity.cores);
}

asio::awaitable<void> SessionControl::State::keepLease(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    // Only VMs that hold or may acquire a coordinator lease need this lease. Renewals by all VMs would be a
    // large part of the calls to the store.
    Instant neededUntil = Instant::min();
    while (!self->stopped) {
        auto pause = settings.leaseRenewal;
        const auto askedAt = bootNow();
        if (self->needsLease(askedAt))
            neededUntil = askedAt + 2 * settings.leaseDuration;
        if (askedAt >= neededUntil) {
            self->lease = LeaseId::None;
            self->leaseUntil = Instant::min();
            co_await self->sleep(self->forwardsOnly ? settings.idleInterval : settings.tickInterval);
            continue;
        }
        try {
            if (self->lease == LeaseId::None) {
                self->lease = co_await self->store.grantLease(settings.leaseDuration);
                logEvent(LogLevel::Info, "lease_granted",
                    { { "lease", std::to_string(static_cast<std::uint64_t>(self->lease)) } });
            } else {
                co_await self->store.keepAlive(self->lease);
            }
            self->leaseUntil = askedAt + settings.leaseDuration - settings.leaseMargin;
            self->leaseSource.succeeded();
        } catch (const StoreError& error) {
            if (error.kind() == StoreError::Kind::LeaseGone) {
                logEvent(LogLevel::Warn, "lease_lapsed");
                self->lease = LeaseId::None;
                self->leaseUntil = Instant::min();
                for (auto& [service, coordinator] : self->coordinators)
                    coordinator.onVmLeaseExpired(bootNow());
                pause = settings.minBackoff;
            } else {
                pause = self->backoffAfter(self->leaseSource, error);
            }
        }
        co_await self->sleep(pause);
    }
}

bool SessionControl::State::needsLease(Instant now) const
{
    return std::any_of(this->coordinators.begin(), this->coordinators.end(),
        [now](const auto& item) { return item.second.needsLease(now); });
}

asio::awaitable<void> SessionControl::State::keepRecord(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    Instant renewAt = Instant::min();
    if (self->isFirstStart)
        co_await self->sleep(firstStartDelay(self->options.cores, settings.firstRecordSpread / 2,
            settings.firstRecordSpread / 2, self->random));
    while (!self->stopped) {
        // Siblings cannot reach this VM before its record is written, so the first attempts are more
        // frequent.
        auto pause = self->publishedUnder != LeaseId::None && self->siblingsOpen ? settings.recordInterval
                                                                                 : settings.leaseRenewal;
        try {
            if (self->earlierRecord.lease != LeaseId::None) {
                co_await self->adoptEarlierRecord();
                renewAt = bootNow() + settings.recordLeaseRenewal;
            }
            if (self->recordLease == LeaseId::None) {
                self->recordLease = co_await self->store.grantLease(settings.recordLeaseDuration);
                renewAt = bootNow() + settings.recordLeaseRenewal;
            } else if (bootNow() >= renewAt) {
                co_await self->store.keepAlive(self->recordLease);
                renewAt = bootNow() + settings.recordLeaseRenewal;
            }
            co_await self->publishOwnRecord();
            self->recordSource.succeeded();
        } catch (const StoreError& error) {
            pause = self->backoffAfter(self->recordSource, error);
            if (error.kind() == StoreError::Kind::LeaseGone) {
                self->recordLease = LeaseId::None;
                pause = settings.minBackoff;
            }
        }
        co_await self->sleep(pause);
    }
}

asio::awaitable<void> SessionControl::State::publishOwnRecord()
{
    // The list is read first, because it may contain the demand that an earlier process of this VM measured.
    if (this->vms.confirmedAt() == Instant::min() && !this->isFirstStart)
        co_return;
    const auto load = this->currentLoad();
    const bool told = this->publishedUnder == this->recordLease;
    const bool demandDiffers = this->holders.includesAllVms()
        && DemandMeter::differsSignificantly(this->publishedDemand, load.demand);
    const bool placementDiffers = this->publishedPlacement != this->zonePlacement.record();
    if (told && !demandDiffers && !placementDiffers && load.operationsPerSecond == this->publishedLoad)
        co_return;
    co_await this->writeOwnRecord(load);
    // The first attempt conflicts with the record of an earlier process, or with a write of this one whose
    // answer was lost.
    if (this->publishedUnder != this->recordLease)
        co_await this->writeOwnRecord(load);
}

SessionControl::State::RecordedLoad SessionControl::State::currentLoad() const
{
    const auto& rates = this->demand.rates();
    if (this->holders.includesAllVms())
        return { .demand = rates };
    // In a large fleet shares do not depend on demand, and records that change with it would be most of the
    // traffic to the store and to siblings.
    LoadMeasurement measured { .vms = this->siblings.size(),
        .services = this->routes ? this->routes->connectionCaps.size() : 0 };
    for (const auto& [team, rate] : rates)
        measured.operationsPerSecond += rate;
    return { .operationsPerSecond = loadToPublish(this->publishedLoad, measured) };
}

asio::awaitable<void> SessionControl::State::adoptEarlierRecord()
{
    const auto earlier = std::exchange(this->earlierRecord, {});
    if (earlier.lease == LeaseId::None)
        co_return;
    try {
        co_await this->store.keepAlive(earlier.lease);
    } catch (const StoreError& error) {
        // The lease has expired or its state is unknown; a new lease and record replace it.
        logEvent(LogLevel::Info, "earlier_record_left", { { "reason", error.what() } });
        co_return;
    }
    this->recordLease = earlier.lease;
    this->ownRecordRevision = earlier.revision;
    wire::VmRecord record;
    if (record.ParseFromString(earlier.value))
        this->zonePlacement.adoptEarlier(siblingFrom(record).zonePlacement);
    if (earlier.value != this->ownRecord({}))
        co_return;
    this->publishedUnder = earlier.lease;
    this->publishedPlacement = this->zonePlacement.record();
}

SiblingInfo SessionControl::State::ownSibling() const
{
    SiblingInfo own;
    own.address
        = { .vm = this->options.vm, .host = this->options.siblingHost, .port = this->options.siblingPort };
    own.capacity = { .zone = this->options.zone, .cores = this->options.cores };
    return own;
}

std::string SessionControl::State::ownRecord(const RecordedLoad& load) const
{
    wire::VmRecord record;
    writeSibling(this->ownSibling(), record);
    record.set_operations_per_second(load.operationsPerSecond);
    record.set_zones_far_apart(this->zonePlacement.record().zonesFarApart);
    record.set_placed_by_zone(this->zonePlacement.record().placedByZone);
    for (const auto& [team, rate] : load.demand) {
        auto& entry = *record.add_demand();
        entry.set_team(team.string());
        entry.set_operations_per_second(rate);
    }
    return record.SerializeAsString();
}

asio::awaitable<void> SessionControl::State::writeOwnRecord(const RecordedLoad& load)
{
    const auto lease = this->recordLease;
    const auto placement = this->zonePlacement.record();
    SwapOptions swap { .key = store_key::vmPrefix + this->options.vm.string(),
        .expectedRevision = this->ownRecordRevision,
        .value = this->ownRecord(load),
        .lease = lease };
    const auto outcome = co_await this->store.compareAndSwap(std::move(swap));
    if (const auto* swapped = std::get_if<Swapped>(&outcome)) {
        this->ownRecordRevision = swapped->revision;
        this->publishedUnder = lease;
        this->publishedDemand = load.demand;
        this->publishedLoad = load.operationsPerSecond;
        this->publishedPlacement = placement;
        co_return;
    }
    const auto& current = std::get<SwapConflict>(outcome).current;
    this->ownRecordRevision = current ? current->revision : 0;
}

void SessionControl::State::openSiblings(const std::string& secret)
{
    if (std::exchange(this->siblingsOpen, true))
        return;
    this->options.traffic.openSiblings(secret);
    this->siblingClient.open(secret);
}

asio::awaitable<void> SessionControl::State::followVms(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    while (!self->stopped) {
        auto pause = settings.vmListInterval;
        if (self->mayReadList(self->vms.confirmedAt(), settings.maxVmListAge, self->vmsWithheldAt)) {
            try {
                auto [listing, provenAt] = co_await self->readProven(store_key::vmPrefix);
                self->vmSource.succeeded();
                if (self->vms.takeReading(std::move(listing), provenAt) == SharedListing::Change::Entries)
                    self->applyVms();
            } catch (const StoreError& error) {
                pause = std::max(pause, self->backoffAfter(self->vmSource, error));
            }
        }
        if (self->missingVms.hasPending())
            self->applyVms();
        // A share grows only some time after the list of VMs from which it is computed.
        self->divideLimits();
        co_await self->sleep(pause);
    }
}

void SessionControl::State::retainMissingVms(SiblingList& next)
{
    std::vector<VmName> known;
    std::set<VmName> listed;
    for (const auto& [vm, sibling] : this->siblings)
        known.push_back(vm);
    for (const auto& [vm, sibling] : next)
        listed.insert(vm);
    for (const auto& vm : this->missingVms.retain(known, listed, bootNow()))
        next.emplace(vm, this->siblings.at(vm));
}

void SessionControl::State::applyVms()
{
    auto next = siblingsFrom(this->vms.current());
    this->retainMissingVms(next);
    if (next.size() != this->siblings.size())
        logEvent(LogLevel::Info, "vms_changed", { { "vms", std::to_string(next.size()) } });
    this->siblings = std::move(next);
    const auto capacities = capacitiesOf(this->siblings);
    this->chooseReaders(capacities);
    this->updateTracked(bootNow());
    const auto own = this->siblings.find(this->options.vm);
    const bool listed = own != this->siblings.end();
    if (listed && this->publishedUnder == LeaseId::None) {
        this->demand.begin(own->second.demand);
        this->zonePlacement.adoptEarlier(own->second.zonePlacement);
    }
    this->place.rank = listed ? static_cast<std::size_t>(std::distance(this->siblings.begin(), own))
                              : this->siblings.size();
    this->place.vms = this->siblings.size() + (listed ? 0 : 1);
    this->updateZonePlacement();
    this->publishPlace(capacities);
    this->divideLimits();
}

void SessionControl::State::publishPlace(const std::map<VmName, VmCapacity>& capacities)
{
    this->updateOwnerCount();
    this->holders = limitHoldersAmong(capacities, this->ownerPlan.byZone);
    this->place.owners = ServiceOwners::areUseful(capacities.size())
        ? std::make_shared<ServiceOwners>(this->options.vm, capacities, this->ownerPlan)
        : nullptr;
    this->reportOwners();
    this->options.traffic.setPlace(this->place);
    this->options.traffic.setSiblings(this->siblings, this->ownerPlan.byZone);
}

void SessionControl::State::updateOwnerCount()
{
    const auto services = this->routes ? this->routes->connectionCaps.size() : 0;
    double load = 0;
    for (const auto& [vm, sibling] : this->siblings)
        load += sibling.load();
    this->ownerPlan.services = services;
    this->ownerPlan.ownersByLoad
        = this->ownerCount.update(services == 0 ? 0 : load / static_cast<double>(services));
}

void SessionControl::State::reportOwners()
{
    auto current = this->place.owners ? this->place.owners->candidateVms() : std::set<VmName> {};
    std::vector<VmName> added;
    std::vector<VmName> removed;
    std::set_difference(current.begin(), current.end(), this->reportedCandidates.begin(),
        this->reportedCandidates.end(), std::back_inserter(added));
    std::set_difference(this->reportedCandidates.begin(), this->reportedCandidates.end(), current.begin(),
        current.end(), std::back_inserter(removed));
    if (added.empty() && removed.empty())
        return;
    this->log.write("owners_changed",
        { { "vms", std::to_string(current.size()) }, { "added", std::to_string(added.size()) },
            { "removed", std::to_string(removed.size()) },
            { "by_load", std::to_string(this->ownerPlan.ownersByLoad) } },
        bootNow());
    this->reportedCandidates = std::move(current);
}

void SessionControl::State::applyMeasuredZones(const SiblingExchange::MeasuredZones& measured)
{
    if (!measured.difference)
        return;
    this->zonePlacement.measured(measured.farApart);
    const auto before = std::exchange(this->zoneDifference, measured.difference);
    if (before || !this->ownerPlan.byZone)
        return;
    // A VM that starts knows the mode before the distance.
    this->place.zoneRoundTrip = *measured.difference;
    this->options.traffic.setPlace(this->place);
}

void SessionControl::State::updateZonePlacement()
{
    std::vector<ZonePlacementRecord> listed;
    listed.reserve(this->siblings.size());
    for (const auto& [vm, sibling] : this->siblings)
        listed.push_back(sibling.zonePlacement);
    const bool byZone = this->zonePlacement.update(listed);
    const bool before = std::exchange(this->ownerPlan.byZone, byZone);
    if (before != byZone)
        this->onZonePlacementChanged(this->zoneDifference);
}

void SessionControl::State::onZonePlacementChanged(const std::optional<Duration>& difference)
{
    if (difference)
        this->place.zoneRoundTrip = *difference;
    logEvent(LogLevel::Info, "placement_by_zone",
        { { "now", this->ownerPlan.byZone ? "yes" : "no" },
            { "difference_ms", difference ? millisecondsText(*difference) : std::string { "unknown" } } });
}

void SessionControl::State::chooseReaders(const std::map<VmName, VmCapacity>& capacities)
{
    const auto readers = 1 + capacities.size() / this->options.settings.vmsPerReader;
    auto order = rankByCores(capacities);
    this->tracked.setVms(order);
    this->readerSelector.setOrder(std::move(order), readers);
    this->storeThrottle.setFleetSize(capacities.size());
}

void SessionControl::State::divideLimits()
{
    if (!this->routes)
        return;
    const auto now = bootNow();
    if (this->holders.includesAllVms()) {
        std::map<VmName, DemandByTeam> listed;
        for (const auto& [vm, sibling] : this->siblings)
            listed[vm] = sibling.demand;
        this->shares.updateByDemand(this->routes->limits, this->options.vm, listed, now);
    } else {
        this->shares.updateByHolders(this->routes->limits, this->options.vm, this->holders, now);
    }
    this->publishedShares = this->shares.current();
    this->options.traffic.setShares(this->publishedShares);
}

} // namespace cyclamendrift
