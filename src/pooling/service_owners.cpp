#include <cyclamendrift/pooling/service_owners.h>

#include <cyclamendrift/membership/owner_selection.h>
#include <cyclamendrift/pooling/owner_load.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <string>
#include <utility>

namespace cyclamendrift {

namespace {

// Twelve connections let an owner keep one open for most of its teams and leave some for transactions. With
// fewer owners, the failure of one affects more callers; with more owners, connections run short again.
constexpr std::uint32_t connectionsPerOwner = 12;
constexpr std::uint32_t minOwners = 3;
constexpr std::uint32_t maxOwners = 8;
// One in eight connections is reserved for VMs that cannot reach any owner and for status queries.
constexpr std::uint32_t reservedDivisor = 8;

// With two owners in a zone, one that fails leaves another one there.
constexpr std::size_t minZoneOwners = 2;
constexpr std::size_t maxZoneOwners = 4;
// The same under a load that requires more owners than the connection cap.
constexpr std::size_t maxZoneOwnersUnderLoad = 8;
// Part of an upstream's usable connections for the owners in its own zone, which forward nearly everything
// that it runs.
constexpr double ownZoneFraction = 0.75;

// Owners are selected among the strongest VMs that together have this fraction of all cores, and among at
// least minCandidates of them. A forwarded statement costs an owner about as much as the VM that forwards it,
// and VMs need spare capacity for bursts.
constexpr double candidateCoreFraction = 0.25;
constexpr std::size_t minCandidates = std::size_t { 2 } * maxOwners;

/// How many candidates there are at least, and the cores that they have together at least.
struct CandidateNeed {
    std::size_t vms = minCandidates;
    double cores = 0;
};

std::map<VmName, VmCapacity> selectCandidates(
    const std::map<VmName, VmCapacity>& listed, const CandidateNeed& need)
{
    double all = 0;
    for (const auto& [vm, strength] : listed)
        all += strength.cores;
    const auto wanted = std::max(candidateCoreFraction * all, need.cores);
    std::map<VmName, VmCapacity> selected;
    double cores = 0;
    for (const auto& vm : rankByCores(listed)) {
        if (selected.size() >= need.vms && cores >= wanted)
            break;
        cores += listed.at(vm).cores;
        selected.emplace(vm, listed.at(vm));
    }
    return selected;
}

/// Rendezvous weight in proportion to a VM's strength: a VM with four times the cores is selected four times
/// as often.
double weightOf(const VmName& vm, const VmCapacity& strength, const std::string& subject)
{
    constexpr auto range = static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    const auto drawn = (static_cast<double>(rendezvousWeight(vm, subject)) + 1) / (range + 2);
    return -strength.cores / std::log(drawn);
}

/// The `count` candidates with the highest weights for a service, the highest first.
std::vector<VmName> selectOwnersAmong(
    const std::map<VmName, VmCapacity>& candidates, const ServiceName& service, std::size_t count)
{
    const auto subject = "homes/" + service.string();
    std::vector<std::pair<double, VmName>> ranked;
    ranked.reserve(candidates.size());
    for (const auto& [vm, strength] : candidates)
        ranked.emplace_back(weightOf(vm, strength, subject), vm);
    count = std::min(ranked.size(), count);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
        [](const auto& left, const auto& right) { return left > right; });
    std::vector<VmName> owners;
    owners.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        owners.push_back(std::move(ranked[index].second));
    return owners;
}

/// Fills in the order in which a team's statements prefer the owners, unless that was done before.
void rankForTeam(std::vector<VmName>& ranking, const std::vector<VmName>& owners, const ServiceName& service,
    const TeamName& team)
{
    if (!ranking.empty())
        return;
    ranking = owners;
    rankByRendezvous(ranking, "home/" + service.string() + '/' + team.string());
}

std::size_t ownersByConnections(std::uint32_t connectionCap)
{
    return std::clamp(connectionCap / connectionsPerOwner, minOwners, maxOwners);
}

std::uint32_t usableConnections(std::uint32_t connectionCap)
{
    return connectionCap - connectionCap / reservedDivisor;
}

} // namespace

ServiceOwners::ServiceOwners(VmName self, const std::map<VmName, VmCapacity>& listed, const OwnerPlan& plan)
    : selfName(std::move(self))
    , plan(plan)
{
    const auto cores = coresPerOwner * static_cast<double>(plan.ownersByLoad * plan.services);
    this->candidates = selectCandidates(listed, { .cores = cores });
    std::map<ZoneName, std::map<VmName, VmCapacity>> byZone;
    for (const auto& [vm, capacity] : listed) {
        this->zonesOfVms.emplace(vm, capacity.zone);
        byZone[capacity.zone].emplace(vm, capacity);
    }
    if (!plan.byZone)
        return;
    for (const auto& [zone, vms] : byZone)
        this->zoneCandidates.emplace(zone,
            selectCandidates(
                vms, { .vms = maxZoneOwners, .cores = cores / static_cast<double>(byZone.size()) }));
}

bool ServiceOwners::areUseful(std::size_t vms) noexcept { return vms > minOwners; }

std::set<VmName> ServiceOwners::candidateVms() const
{
    std::set<VmName> found;
    if (!this->plan.byZone) {
        for (const auto& [vm, capacity] : this->candidates)
            found.insert(vm);
    }
    for (const auto& [zone, vms] : this->zoneCandidates) {
        for (const auto& [vm, capacity] : vms)
            found.insert(vm);
    }
    return found;
}

std::vector<ZoneName> ServiceOwners::zones() const
{
    std::vector<ZoneName> found;
    found.reserve(this->zoneCandidates.size());
    for (const auto& [zone, vms] : this->zoneCandidates)
        found.push_back(zone);
    return found;
}

const ZoneName* ServiceOwners::zoneOf(const VmName& vm) const
{
    const auto match = this->zonesOfVms.find(vm);
    return match == this->zonesOfVms.end() ? nullptr : &match->second;
}

std::size_t ServiceOwners::ownerCountFor(std::uint32_t connectionCap) const
{
    return std::max(ownersByConnections(connectionCap), this->plan.ownersByLoad);
}

std::size_t ServiceOwners::zoneOwnerCountFor(std::uint32_t connectionCap) const
{
    const auto all = this->ownerCountFor(connectionCap);
    const auto zones = std::max<std::size_t>(this->zoneCandidates.size(), 1);
    const bool loaded = all > ownersByConnections(connectionCap);
    return std::clamp(
        (all + zones - 1) / zones, minZoneOwners, loaded ? maxZoneOwnersUnderLoad : maxZoneOwners);
}

ServiceOwners::Selection& ServiceOwners::selectionFor(const ServiceName& service, std::uint32_t connectionCap)
{
    auto& selection = this->selections[service];
    if (selection.owners.empty() || selection.connectionCap != connectionCap) {
        selection = { .connectionCap = connectionCap };
        if (this->plan.byZone) {
            for (const auto& [zone, vms] : this->zoneCandidates) {
                auto owners = selectOwnersAmong(vms, service, this->zoneOwnerCountFor(connectionCap));
                selection.owners.insert(selection.owners.end(), owners.begin(), owners.end());
                selection.zoneOwners.emplace(zone, std::move(owners));
            }
        } else {
            selection.owners
                = selectOwnersAmong(this->candidates, service, this->ownerCountFor(connectionCap));
            selection.share = this->computeShare(selection.owners, connectionCap);
        }
    }
    return selection;
}

const std::vector<VmName>& ServiceOwners::ownersOf(const ServiceName& service, std::uint32_t connectionCap)
{
    return this->selectionFor(service, connectionCap).owners;
}

const std::vector<VmName>& ServiceOwners::rankedOwnersIn(
    const ZoneName& zone, const ServiceName& service, const TeamName& team, std::uint32_t connectionCap)
{
    auto& selection = this->selectionFor(service, connectionCap);
    auto& ranking = selection.zoneRankings[{ zone, team }];
    if (const auto owners = selection.zoneOwners.find(zone); owners != selection.zoneOwners.end())
        rankForTeam(ranking, owners->second, service, team);
    return ranking;
}

std::vector<VmName> ServiceOwners::holdersAt(
    const ZoneName& upstreamZone, const ServiceName& service, std::uint32_t connectionCap)
{
    const auto& selection = this->selectionFor(service, connectionCap);
    const auto local = selection.zoneOwners.find(upstreamZone);
    if (local == selection.zoneOwners.end())
        return selection.owners;
    auto holders = local->second;
    for (const auto& [zone, owners] : selection.zoneOwners) {
        if (zone != upstreamZone)
            holders.insert(holders.end(), owners.begin(), owners.end());
    }
    return holders;
}

const std::vector<VmName>& ServiceOwners::rankedOwners(
    const ServiceName& service, const TeamName& team, std::uint32_t connectionCap)
{
    auto& selection = this->selectionFor(service, connectionCap);
    auto& ranking = selection.rankings[team];
    rankForTeam(ranking, selection.owners, service, team);
    return ranking;
}

std::vector<VmName> ServiceOwners::candidatesBeside(const VmName& vm) const
{
    std::vector<VmName> found;
    const auto* zone = this->zoneOf(vm);
    if (zone == nullptr)
        return found;
    const auto inZone = this->zoneCandidates.find(*zone);
    const auto& among = inZone == this->zoneCandidates.end() ? this->candidates : inZone->second;
    if (!among.contains(vm))
        return found;
    for (const auto& [candidate, capacity] : among) {
        if (candidate != vm && candidate != this->selfName && capacity.zone == *zone)
            found.push_back(candidate);
    }
    return found;
}

std::size_t ServiceOwners::connectionShareOf(
    const ServiceName& service, std::uint32_t connectionCap, const ZoneName& upstreamZone)
{
    const auto& selection = this->selectionFor(service, connectionCap);
    return this->plan.byZone ? this->zoneShareOf(selection, connectionCap, upstreamZone) : selection.share;
}

std::size_t ServiceOwners::zoneShareOf(
    const Selection& selection, std::uint32_t connectionCap, const ZoneName& upstreamZone) const
{
    const auto isIn = [this](const std::vector<VmName>& owners) {
        return std::find(owners.begin(), owners.end(), this->selfName) != owners.end();
    };
    if (!isIn(selection.owners))
        return 1;
    const auto usable = usableConnections(connectionCap);
    const auto local = selection.zoneOwners.find(upstreamZone);
    const auto near = local == selection.zoneOwners.end() ? 0 : local->second.size();
    const auto far = selection.owners.size() - near;
    if (near == 0 || far == 0)
        return std::max<std::size_t>(usable / selection.owners.size(), 1);
    const auto forNear = static_cast<std::size_t>(ownZoneFraction * usable);
    const auto share = isIn(local->second) ? forNear / near : (usable - forNear) / far;
    return std::max<std::size_t>(share, 1);
}

std::size_t ServiceOwners::computeShare(const std::vector<VmName>& owners, std::uint32_t connectionCap) const
{
    if (std::find(owners.begin(), owners.end(), this->selfName) == owners.end())
        return 1;
    return std::max<std::size_t>(usableConnections(connectionCap) / owners.size(), 1);
}

} // namespace cyclamendrift
