#include <cyclamendrift/membership/owner_cache.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamendrift {

namespace {

bool comesBefore(const OwnerCandidate& left, const OwnerCandidate& right)
{
    return std::pair { left.vm, left.zone } < std::pair { right.vm, right.zone };
}

std::vector<OwnerCandidate> without(
    std::span<const OwnerCandidate> all, std::span<const OwnerCandidate> excluded)
{
    std::vector<OwnerCandidate> rest;
    std::set_difference(
        all.begin(), all.end(), excluded.begin(), excluded.end(), std::back_inserter(rest), comesBefore);
    return rest;
}

} // namespace

bool OwnerCache::mayChange(const std::string& subject, std::span<const OwnerCandidate> owners,
    std::span<const OwnerCandidate> added, std::span<const OwnerCandidate> removed)
{
    for (const auto& home : owners) {
        const auto isHome = [&home](const OwnerCandidate& gone) { return gone.vm == home.vm; };
        if (std::any_of(removed.begin(), removed.end(), isHome))
            return true;
    }
    // A newcomer matters when it outranks any of the homes.
    for (const auto& home : owners) {
        const auto weight = rendezvousWeight(home.vm, subject);
        for (const auto& newcomer : added) {
            if (rendezvousWeight(newcomer.vm, subject) >= weight)
                return true;
        }
    }
    return owners.empty();
}

void OwnerCache::setCandidates(std::vector<OwnerCandidate> next)
{
    std::sort(next.begin(), next.end(), comesBefore);
    const std::scoped_lock lock { this->mutex };
    const auto added = without(next, this->candidates);
    const auto removed = without(this->candidates, next);
    // With few VMs a newcomer may be the first of another availability zone, which the weights do not show.
    constexpr std::size_t fewVms = 64;
    if (next.size() < fewVms || this->candidates.size() < fewVms)
        this->known.clear();
    else
        std::erase_if(this->known,
            [&](const auto& entry) { return mayChange(entry.first, entry.second, added, removed); });
    this->candidates = std::move(next);
}

std::vector<OwnerCandidate> OwnerCache::owners(const std::string& subject, std::size_t count)
{
    const std::scoped_lock lock { this->mutex };
    const auto match = this->known.find(subject);
    if (match != this->known.end())
        return match->second;
    return this->known.emplace(subject, selectOwners(this->candidates, subject, count)).first->second;
}

} // namespace cyclamendrift
