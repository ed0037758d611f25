#include <cyclamendrift/membership/owner_cache.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamendrift {

namespace {

bool precedes(const OwnerCandidate& left, const OwnerCandidate& right)
{
    return std::pair { left.vm, left.zone } < std::pair { right.vm, right.zone };
}

std::vector<OwnerCandidate> exclude(
    std::span<const OwnerCandidate> all, std::span<const OwnerCandidate> excluded)
{
    std::vector<OwnerCandidate> rest;
    std::set_difference(
        all.begin(), all.end(), excluded.begin(), excluded.end(), std::back_inserter(rest), precedes);
    return rest;
}

} // namespace

bool OwnerCache::mayChangeOwners(const std::string& key, std::span<const OwnerCandidate> owners,
    std::span<const OwnerCandidate> added, std::span<const OwnerCandidate> removed)
{
    for (const auto& owner : owners) {
        const auto isOwner = [&owner](const OwnerCandidate& removedVm) { return removedVm.vm == owner.vm; };
        if (std::any_of(removed.begin(), removed.end(), isOwner))
            return true;
    }
    // An added VM matters when its weight reaches that of any owner.
    for (const auto& owner : owners) {
        const auto weight = rendezvousWeight(owner.vm, key);
        for (const auto& addedVm : added) {
            if (rendezvousWeight(addedVm.vm, key) >= weight)
                return true;
        }
    }
    return owners.empty();
}

void OwnerCache::setCandidates(std::vector<OwnerCandidate> next)
{
    std::sort(next.begin(), next.end(), precedes);
    const std::scoped_lock lock { this->mutex };
    const auto added = exclude(next, this->candidates);
    const auto removed = exclude(this->candidates, next);
    // In a small fleet an added VM may be the first one in another availability zone, which the weights do
    // not show.
    constexpr std::size_t smallFleetSize = 64;
    if (next.size() < smallFleetSize || this->candidates.size() < smallFleetSize)
        this->cachedOwners.clear();
    else
        std::erase_if(this->cachedOwners,
            [&](const auto& entry) { return mayChangeOwners(entry.first, entry.second, added, removed); });
    this->candidates = std::move(next);
}

std::vector<OwnerCandidate> OwnerCache::owners(const std::string& key, std::size_t count)
{
    const std::scoped_lock lock { this->mutex };
    const auto match = this->cachedOwners.find(key);
    if (match != this->cachedOwners.end())
        return match->second;
    return this->cachedOwners.emplace(key, selectOwners(this->candidates, key, count)).first->second;
}

} // namespace cyclamendrift
