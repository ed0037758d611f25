#include <cyclamendrift/leadership/tracked_services.h>

#include <cyclamendrift/core/stable_hash.h>
#include <cyclamendrift/membership/owner_selection.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace cyclamendrift {

namespace {

// Up to this number of services a VM tracks all of them; a tracked service takes some kilobytes and a few
// microseconds of processor time a second.
constexpr std::size_t maxServicesTrackedByAll = 64;
// Each VM that holds coordinator leases renews a lease of its own twice a second, so only one VM in
// `vmsPerCandidate` is a candidate. They are not selected by strength, because the strongest VMs own services
// already, and a failure would then hit both roles at once.
constexpr std::size_t vmsPerCandidate = 24;
constexpr std::size_t minCandidates = 16;
// Candidates that track a service although they run none of its statements. With three of them, a service
// without callers keeps a coordinator when two fail at once.
constexpr std::size_t coordinatorsPerService = 3;
// VMs that run statements of a service whose candidates have all failed are spread over this many ranks.
constexpr std::size_t ranksOfOtherVms = 16;
// Longer than the interval at which the traffic thread reports that a service is still used.
constexpr Duration useRetention = std::chrono::seconds { 30 };

} // namespace

TrackedServices::TrackedServices(VmName self)
    : self(std::move(self))
{
}

void TrackedServices::setVms(std::span<const VmName> vms)
{
    std::vector<VmName> ranked { vms.begin(), vms.end() };
    rankByRendezvous(ranked, "coordinators");
    this->candidateCount = std::min(ranked.size(), std::max(ranked.size() / vmsPerCandidate, minCandidates));
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(this->candidateCount);
    const auto own = std::find(ranked.begin(), end, this->self);
    this->candidateIndex.reset();
    if (own != end)
        this->candidateIndex = static_cast<std::size_t>(std::distance(ranked.begin(), own));
}

void TrackedServices::recordUse(const ServiceName& service, Instant now) { this->usedAt[service] = now; }

bool TrackedServices::includesAll() const noexcept
{
    return this->confirmsForSiblings || this->serviceCount <= maxServicesTrackedByAll;
}

bool TrackedServices::includes(const ServiceName& service, Instant now) const
{
    return this->includesAll() || this->isUsed(service, now)
        || (this->candidateIndex && this->rankFor(service) < coordinatorsPerService);
}

bool TrackedServices::mayIncludeAny() const noexcept
{
    return this->includesAll() || this->candidateIndex || !this->usedAt.empty();
}

bool TrackedServices::isUsed(const ServiceName& service, Instant now) const
{
    if (this->serviceCount <= maxServicesTrackedByAll)
        return true;
    const auto match = this->usedAt.find(service);
    return match != this->usedAt.end() && now < match->second + useRetention;
}

std::size_t TrackedServices::rankFor(const ServiceName& service) const
{
    if (this->candidateIndex)
        return (*this->candidateIndex + stableHash(service.view()) % this->candidateCount)
            % this->candidateCount;
    return this->candidateCount + rendezvousWeight(this->self, service.view()) % ranksOfOtherVms;
}

void TrackedServices::discardUnused(Instant now)
{
    std::erase_if(this->usedAt, [now](const auto& item) { return now >= item.second + useRetention; });
}

} // namespace cyclamendrift
