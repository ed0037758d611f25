#include <cyclamendrift/limits/donor_selector.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

std::array<Instant, tokenPriorities> neverSkipped()
{
    std::array<Instant, tokenPriorities> until {};
    until.fill(Instant::min());
    return until;
}

} // namespace

std::vector<VmName> DonorSelector::rankByDemand(
    const TeamName& team, const VmName& self, const std::map<VmName, DemandByTeam>& listed)
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
    return ordered;
}

std::vector<VmName> DonorSelector::select(const TeamName& team, const VmName& self,
    const std::map<VmName, DemandByTeam>& listed, std::size_t count, Instant now) const
{
    return this->select(team, rankByDemand(team, self, listed), count, now);
}

std::vector<VmName> DonorSelector::select(
    const TeamName& team, const std::vector<VmName>& candidates, std::size_t count, Instant now) const
{
    std::vector<VmName> selected;
    for (const auto& vm : candidates) {
        const bool skipped = this->isSkipped(team, vm, 0, now) || this->unresponsiveDonors.contains(vm, now);
        if (selected.size() < count && !skipped)
            selected.push_back(vm);
    }
    return selected;
}

std::vector<VmName> DonorSelector::selectWaiting(
    const TeamName& team, const std::vector<VmName>& candidates, std::uint32_t priority, Instant now) const
{
    std::vector<VmName> selected;
    for (const auto& vm : candidates) {
        const bool refuses
            = this->donorsWithoutQueue.contains(vm) && this->isSkipped(team, vm, priority, now);
        if (!refuses && !this->unresponsiveDonors.contains(vm, now))
            selected.push_back(vm);
    }
    return selected;
}

std::optional<VmName> DonorSelector::selectFirst(
    const TeamName& team, const std::vector<VmName>& candidates, std::uint32_t priority, Instant now) const
{
    const auto match = std::find_if(candidates.begin(), candidates.end(), [&](const VmName& vm) {
        return !this->unresponsiveDonors.contains(vm, now) && !this->isSkipped(team, vm, priority, now);
    });
    return match == candidates.end() ? std::nullopt : std::optional { *match };
}

void DonorSelector::recordShortfall(
    const TeamName& team, const VmName& vm, Instant now, std::uint32_t priority)
{
    // A VM that lacks tokens for a priority keeps none for less urgent ones, but may have kept some for more
    // urgent ones.
    auto& until = this->skippedDonors.try_emplace({ team, vm }, neverSkipped()).first->second;
    for (auto skipped = clampPriority(priority); skipped < tokenPriorities; ++skipped)
        until.at(skipped) = now + shortfallPause;
}

void DonorSelector::recordWaits(const VmName& vm, bool waits)
{
    if (waits)
        this->donorsWithoutQueue.erase(vm);
    else
        this->donorsWithoutQueue.insert(vm);
}

bool DonorSelector::isSkipped(
    const TeamName& team, const VmName& vm, std::uint32_t priority, Instant now) const
{
    const auto match = this->skippedDonors.find({ team, vm });
    return match != this->skippedDonors.end() && now < match->second.at(clampPriority(priority));
}

} // namespace cyclamendrift
