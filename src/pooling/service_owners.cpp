#include <cyclamendrift/pooling/service_owners.h>

#include <cyclamendrift/membership/owner_selection.h>

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

// Owners are selected among the strongest VMs that together have this fraction of all cores, and among at
// least minCandidates of them. A forwarded statement costs an owner about as much as the VM that forwards it,
// and VMs need spare capacity for bursts.
constexpr double candidateCoreFraction = 0.25;
constexpr std::size_t minCandidates = std::size_t { 2 } * maxOwners;

std::map<VmName, VmCapacity> selectCandidates(const std::map<VmName, VmCapacity>& listed)
{
    double all = 0;
    for (const auto& [vm, strength] : listed)
        all += strength.cores;
    std::map<VmName, VmCapacity> selected;
    double cores = 0;
    for (const auto& vm : rankByCores(listed)) {
        if (selected.size() >= minCandidates && cores >= candidateCoreFraction * all)
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

std::size_t ownerCountFor(std::uint32_t connectionCap)
{
    return std::clamp(connectionCap / connectionsPerOwner, minOwners, maxOwners);
}

} // namespace

ServiceOwners::ServiceOwners(VmName self, const std::map<VmName, VmCapacity>& listed)
    : selfName(std::move(self))
    , candidates(selectCandidates(listed))
{
}

bool ServiceOwners::areUseful(std::size_t vms) noexcept { return vms > minOwners; }

ServiceOwners::Selection& ServiceOwners::selectionFor(const ServiceName& service, std::uint32_t connectionCap)
{
    auto& selection = this->selections[service];
    if (selection.owners.empty() || selection.connectionCap != connectionCap) {
        selection = { .connectionCap = connectionCap, .owners = this->selectOwners(service, connectionCap) };
        selection.share = this->computeShare(selection.owners, connectionCap);
    }
    return selection;
}

const std::vector<VmName>& ServiceOwners::ownersOf(const ServiceName& service, std::uint32_t connectionCap)
{
    return this->selectionFor(service, connectionCap).owners;
}

std::vector<VmName> ServiceOwners::selectOwners(const ServiceName& service, std::uint32_t connectionCap) const
{
    const auto subject = "homes/" + service.string();
    std::vector<std::pair<double, VmName>> ranked;
    ranked.reserve(this->candidates.size());
    for (const auto& [vm, strength] : this->candidates)
        ranked.emplace_back(weightOf(vm, strength, subject), vm);
    const auto count = std::min(ranked.size(), ownerCountFor(connectionCap));
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
        [](const auto& left, const auto& right) { return left > right; });
    std::vector<VmName> owners;
    owners.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
        owners.push_back(std::move(ranked[index].second));
    return owners;
}

const std::vector<VmName>& ServiceOwners::rankedOwners(
    const ServiceName& service, const TeamName& team, std::uint32_t connectionCap)
{
    auto& selection = this->selectionFor(service, connectionCap);
    auto& ranking = selection.rankings[team];
    if (!ranking.empty())
        return ranking;
    ranking = selection.owners;
    rankByRendezvous(ranking, "home/" + service.string() + '/' + team.string());
    return ranking;
}

std::vector<VmName> ServiceOwners::candidatesBeside(const VmName& vm) const
{
    std::vector<VmName> found;
    const auto match = this->candidates.find(vm);
    if (match == this->candidates.end())
        return found;
    for (const auto& [candidate, capacity] : this->candidates) {
        if (candidate != vm && candidate != this->selfName && capacity.zone == match->second.zone)
            found.push_back(candidate);
    }
    return found;
}

std::size_t ServiceOwners::connectionShareOf(const ServiceName& service, std::uint32_t connectionCap)
{
    return this->selectionFor(service, connectionCap).share;
}

std::size_t ServiceOwners::computeShare(const std::vector<VmName>& owners, std::uint32_t connectionCap) const
{
    if (std::find(owners.begin(), owners.end(), this->selfName) == owners.end())
        return 1;
    const auto usable = connectionCap - connectionCap / reservedDivisor;
    return std::max<std::size_t>(usable / owners.size(), 1);
}

} // namespace cyclamendrift
