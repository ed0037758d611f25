#include <cyclamendrift/membership/home_cache.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamendrift {

namespace {

bool comesBefore(const HomeCandidate& left, const HomeCandidate& right)
{
    return std::pair { left.vm, left.zone } < std::pair { right.vm, right.zone };
}

std::vector<HomeCandidate> without(
    std::span<const HomeCandidate> all, std::span<const HomeCandidate> excluded)
{
    std::vector<HomeCandidate> rest;
    std::set_difference(
        all.begin(), all.end(), excluded.begin(), excluded.end(), std::back_inserter(rest), comesBefore);
    return rest;
}

} // namespace

bool HomeCache::mayChange(const std::string& subject, std::span<const HomeCandidate> homes,
    std::span<const HomeCandidate> added, std::span<const HomeCandidate> removed)
{
    for (const auto& home : homes) {
        const auto isHome = [&home](const HomeCandidate& gone) { return gone.vm == home.vm; };
        if (std::any_of(removed.begin(), removed.end(), isHome))
            return true;
    }
    // A newcomer matters when it outranks any of the homes.
    for (const auto& home : homes) {
        const auto weight = rendezvousWeight(home.vm, subject);
        for (const auto& newcomer : added) {
            if (rendezvousWeight(newcomer.vm, subject) >= weight)
                return true;
        }
    }
    return homes.empty();
}

void HomeCache::setCandidates(std::vector<HomeCandidate> next)
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

std::vector<HomeCandidate> HomeCache::homes(const std::string& subject, std::size_t count)
{
    const std::scoped_lock lock { this->mutex };
    const auto match = this->known.find(subject);
    if (match != this->known.end())
        return match->second;
    return this->known.emplace(subject, chooseHomes(this->candidates, subject, count)).first->second;
}

} // namespace cyclamendrift
