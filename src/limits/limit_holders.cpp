#include <cyclamendrift/limits/limit_holders.h>

#include <cyclamendrift/membership/owner_selection.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace cyclamendrift {

namespace {

// Up to this fleet size each VM holds a share of every limit. Teams' rates are about 10 to 200 operations per
// second with the same burst, so a share comes to about one operation or more, and most operations need no
// message.
constexpr std::size_t maxVmsThatAllHold = 12;
// With four holders, one that fails makes a quarter of the limit unavailable until its record expires. Teams
// use about 60 % of their limit, so the rest suffices.
constexpr std::size_t holdersPerTeam = 4;
// One VM in `vmsPerCandidate` may be a holder, but at least `minCandidates` VMs. This bounds the connections
// between VMs: for tokens, each VM keeps connections to the candidates only.
constexpr std::size_t vmsPerCandidate = 12;
constexpr std::size_t minCandidates = 6;

} // namespace

std::vector<VmName> rankByCores(const std::map<VmName, VmCapacity>& listed)
{
    std::vector<VmName> order;
    order.reserve(listed.size());
    for (const auto& [vm, capacity] : listed)
        order.push_back(vm);
    std::stable_sort(order.begin(), order.end(), [&listed](const VmName& left, const VmName& right) {
        return listed.at(left).cores > listed.at(right).cores;
    });
    return order;
}

LimitHolders::LimitHolders(std::map<VmName, VmCapacity> listed, Options options)
    : options(options)
    , listed(std::move(listed))
{
    const auto ranked = rankByCores(this->listed);
    const auto candidates
        = std::min(ranked.size(), std::max(this->listed.size() / vmsPerCandidate, minCandidates));
    this->holderCandidates.assign(
        ranked.begin(), std::next(ranked.begin(), static_cast<std::ptrdiff_t>(candidates)));
    if (this->options.spreadOverZones)
        this->addCandidatesOfZones(ranked);
}

void LimitHolders::addCandidatesOfZones(const std::vector<VmName>& ranked)
{
    std::set<ZoneName> zones;
    for (const auto& [vm, capacity] : this->listed)
        zones.insert(capacity.zone);
    const auto perZone = std::max<std::size_t>(minCandidates / std::max<std::size_t>(zones.size(), 1), 1);
    std::map<ZoneName, std::size_t> counts;
    for (const auto& vm : ranked) {
        if (++counts[this->listed.at(vm).zone] <= perZone && !this->mayHold(vm))
            this->holderCandidates.push_back(vm);
    }
}

void LimitHolders::preferDifferentZones(std::vector<VmName>& ranked) const
{
    std::set<ZoneName> zones;
    std::vector<VmName> order;
    std::vector<VmName> others;
    for (const auto& vm : ranked) {
        const bool isFirstOfZone = zones.insert(this->listed.at(vm).zone).second;
        (isFirstOfZone ? order : others).push_back(vm);
    }
    order.insert(order.end(), others.begin(), others.end());
    ranked = std::move(order);
}

bool LimitHolders::includesAllVms() const noexcept { return this->listed.size() <= maxVmsThatAllHold; }

bool LimitHolders::mayHold(const VmName& vm) const
{
    return std::find(this->holderCandidates.begin(), this->holderCandidates.end(), vm)
        != this->holderCandidates.end();
}

std::vector<VmName> LimitHolders::holdersOf(const TeamName& team) const
{
    auto holders = this->holderCandidates;
    rankByRendezvous(holders, "limit/" + team.string());
    if (this->options.spreadOverZones)
        this->preferDifferentZones(holders);
    holders.resize(std::min(holders.size(), holdersPerTeam));
    return holders;
}

std::vector<VmName> LimitHolders::donorsFor(const TeamName& team, const VmName& asker) const
{
    auto donors = this->holdersOf(team);
    std::erase(donors, asker);
    rankByRendezvous(donors, asker.view());
    const auto own = this->listed.find(asker);
    if (own == this->listed.end())
        return donors;
    std::stable_partition(donors.begin(), donors.end(),
        [&](const VmName& donor) { return this->listed.at(donor).zone == own->second.zone; });
    return donors;
}

} // namespace cyclamendrift
