#include <cyclamendrift/limits/donor_choice.h>

#include <algorithm>

namespace cyclamendrift {

std::vector<VmName> DonorChoice::choose(const TeamName& team, const VmName& self,
    const std::map<VmName, DemandByTeam>& listed, std::size_t count, Instant now) const
{
    std::vector<std::pair<double, VmName>> candidates;
    for (const auto& [vm, demand] : listed) {
        const auto passed = this->passedOverUntil.find({ team, vm });
        const bool passedOver = passed != this->passedOverUntil.end() && now < passed->second;
        if (vm == self || passedOver)
            continue;
        const auto rate = demand.find(team);
        candidates.emplace_back(rate == demand.end() ? 0 : rate->second, vm);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
        [](const auto& left, const auto& right) { return left.first > right.first; });
    std::vector<VmName> chosen;
    for (const auto& [rate, vm] : candidates) {
        if (chosen.size() < count)
            chosen.push_back(vm);
    }
    return chosen;
}

void DonorChoice::gaveTooLittle(const TeamName& team, const VmName& vm, Instant now)
{
    this->passedOverUntil[{ team, vm }] = now + pause;
}

} // namespace cyclamendrift
