#include "control_state.h"

#include <cyclamendrift/runtime/boot_clock.h>

#include <algorithm>
#include <utility>

// Which services have their primary tracked at this VM.
namespace cyclamendrift {

bool SessionControl::State::needsUpstreams(Instant now) const
{
    // Until the configuration is known, neither the services nor this VM's part in them are.
    return this->isReader() || this->tracked.confirms() || (this->routes && this->tracked.mayIncludeAny())
        || this->needsLease(now);
}

void SessionControl::State::recordUse(const ServiceName& service)
{
    const auto now = bootNow();
    const bool wasUsed = this->tracked.isUsed(service, now);
    this->tracked.recordUse(service, now);
    // Without the upstreams, tracking begins as soon as a store reader has sent them.
    if (this->forwardsOnly)
        this->updateTracked(now);
    if (!this->services.contains(service))
        return;
    if (!this->coordinators.contains(service))
        this->track({ service }, now);
    // A view that nobody needed was not published.
    if (!wasUsed)
        this->options.traffic.setLeader(service, this->coordinators.at(service).view());
    this->tick();
}

void SessionControl::State::updateTracked(Instant now)
{
    this->trackedUpdatedAt = now;
    const auto configured = this->routes ? this->routes->connectionCaps.size() : 0;
    this->tracked.setServiceCount(std::max(configured, this->services.size()));
    this->tracked.discardUnused(now);
    this->tracked.setConfirmsForSiblings(
        !this->siblingsOpen || this->readerSelector.isReaderOrStandby(this->options.vm, now));
    if (this->forwardsOnly == this->needsUpstreams(now)) {
        this->forwardsOnly = !this->forwardsOnly;
        if (this->forwardsOnly)
            this->discardUpstreams();
        this->leadershipWanted.cancel();
        if (!this->stopped)
            this->startTimers();
    }
    std::set<ServiceName> added;
    for (const auto& service : this->services) {
        if (!this->coordinators.contains(service) && this->tracked.includes(service, now))
            added.insert(service);
    }
    if (!added.empty())
        this->track(added, now);
    for (auto item = this->coordinators.begin(); item != this->coordinators.end();) {
        if (this->tracked.includes(item->first, now) || item->second.needsLease(now)) {
            this->configure(item->first, item->second);
            ++item;
            continue;
        }
        // Nobody renews the view from now on.
        this->options.traffic.setLeader(item->first, LeaderView {});
        item = this->coordinators.erase(item);
    }
}

void SessionControl::State::configure(const ServiceName& service, LeaderCoordinator& coordinator)
{
    coordinator.setRank(this->tracked.rankFor(service));
    coordinator.setConfirmsForSiblings(this->tracked.confirms());
}

void SessionControl::State::discardUpstreams()
{
    for (const auto& [service, coordinator] : this->coordinators)
        this->options.traffic.setLeader(service, LeaderView {});
    this->coordinators.clear();
    this->directoryListing = {};
    this->leadership = {};
    this->directory.clear();
    this->services.clear();
    this->missingSince.clear();
    this->directoryRead = false;
    this->leadershipRead = false;
    this->options.traffic.setDirectory({});
}

void SessionControl::State::track(const std::set<ServiceName>& added, Instant now)
{
    std::map<ServiceName, UpstreamDirectory> members;
    for (const auto& entry : this->directory) {
        if (added.contains(entry.service))
            members[entry.service].push_back(entry);
    }
    const auto snapshots = this->snapshotsOf(added);
    for (const auto& service : added) {
        auto& coordinator
            = this->coordinators
                  .try_emplace(service,
                      LeaderCoordinator::Options { .vm = this->options.vm, .seed = this->options.process })
                  .first->second;
        this->configure(service, coordinator);
        coordinator.setEvacuatedZones(this->evacuatedZones);
        coordinator.onDirectory(std::move(members[service]), now);
        if (this->leadership.confirmedAt() != Instant::min())
            coordinator.onSnapshot(snapshots.at(service), now);
    }
}

} // namespace cyclamendrift
