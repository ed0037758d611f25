#include "control_state.h"

#include <cyclamendrift/runtime/boot_clock.h>

#include <iterator>
#include <utility>

// Which services have their primary tracked at this VM.
namespace cyclamendrift {

bool SessionControl::State::tracksNothing() const noexcept
{
    return this->coordinators.empty() && !this->services.empty();
}

void SessionControl::State::recordUse(const ServiceName& service)
{
    const auto now = bootNow();
    const bool wasUsed = this->followed.isUsed(service, now);
    this->followed.recordUse(service, now);
    if (!this->services.contains(service))
        return;
    if (!this->coordinators.contains(service))
        this->follow({ service }, now);
    if (this->timersAreIdle)
        this->startTimers();
    // A view that nobody needed was not published.
    if (!wasUsed)
        this->options.traffic.setLeader(service, this->coordinators.at(service).view());
    this->tick();
}

void SessionControl::State::updateFollowed(Instant now)
{
    this->followedUpdatedAt = now;
    this->followed.discardUnused(now);
    std::set<ServiceName> added;
    for (const auto& service : this->services) {
        if (!this->coordinators.contains(service) && this->followed.includes(service, now))
            added.insert(service);
    }
    if (!added.empty())
        this->follow(added, now);
    for (auto item = this->coordinators.begin(); item != this->coordinators.end();) {
        if (this->followed.includes(item->first, now) || item->second.needsLease(now)) {
            ++item;
            continue;
        }
        // The view must not outlast the tracking, which ends replies on an expired one.
        this->options.traffic.setLeader(item->first, LeaderView {});
        item = this->coordinators.erase(item);
    }
    if (this->timersAreIdle != this->tracksNothing() && !this->stopped)
        this->startTimers();
}

void SessionControl::State::follow(const std::set<ServiceName>& added, Instant now)
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
        coordinator.setEvacuatedZones(this->evacuatedZones);
        coordinator.onDirectory(std::move(members[service]), now);
        if (this->leadership.confirmedAt() != Instant::min())
            coordinator.onSnapshot(snapshots.at(service), now);
    }
    // Without tracked primaries the records were not requested.
    if (now >= this->leadership.confirmedAt() + this->options.settings.leadershipInterval)
        this->leadershipWanted.cancel();
}

} // namespace cyclamendrift
