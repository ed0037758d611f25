#include <cyclamendrift/limits/donor_selector.h>

#include <algorithm>

namespace cyclamendrift {

std::vector<VmName> DonorSelector::select(const TeamName& team, const VmName& self,
    const std::map<VmName, DemandByTeam>& listed, std::size_t count, Instant now) const
{
    std::vector<std::pair<double, VmName>> candidates;
    for (const auto& [vm, demand] : listed) {
        if (vm == self)
            continue;
        const auto rate = demand.find(team);
        candidates.emplace_back(rate == demand.end() ? 0 : rate->second, vm);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<VmName> ordered;
    ordered.reserve(candidates.size());
    for (auto& [rate, vm] : candidates)
        ordered.push_back(std::move(vm));
    return this->select(team, ordered, count, now);
}

std::vector<VmName> DonorSelector::select(
    const TeamName& team, const std::vector<VmName>& candidates, std::size_t count, Instant now) const
{
    std::vector<VmName> selected;
    for (const auto& vm : candidates) {
        const bool isSkipped = this->skippedDonors.contains({ team, vm }, now);
        if (selected.size() < count && !isSkipped && !this->unresponsiveDonors.contains(vm, now))
            selected.push_back(vm);
    }
    return selected;
}

void DonorSelector::recordShortfall(const TeamName& team, const VmName& vm, Instant now)
{
    this->skippedDonors.add({ team, vm }, now + shortfallPause);
}

} // namespace cyclamendrift
