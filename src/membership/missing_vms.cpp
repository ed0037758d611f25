#include <cyclamendrift/membership/missing_vms.h>

#include <algorithm>
#include <cstddef>

namespace cyclamendrift {

namespace {

// Records are written again about one second after the store is back: a backoff, a new lease and a write.
constexpr Duration retentionTime = std::chrono::milliseconds { 3000 };
// VMs are kept when more than one in `leavingDivisor` and more than `maxLeavingAtOnce` are missing for the
// first time: so many do not leave between two reads of the list.
constexpr std::size_t leavingDivisor = 5;
constexpr std::size_t maxLeavingAtOnce = 3;

} // namespace

std::vector<VmName> MissingVms::retain(
    std::span<const VmName> known, const std::set<VmName>& listed, Instant now)
{
    std::vector<VmName> missing;
    for (const auto& vm : known) {
        if (!listed.contains(vm))
            missing.push_back(vm);
    }
    std::erase_if(this->missingSince, [&listed](const auto& item) { return listed.contains(item.first); });
    // VMs that were kept earlier are still among the known ones.
    const auto newlyMissing = static_cast<std::size_t>(std::count_if(missing.begin(), missing.end(),
        [this](const VmName& vm) { return !this->missingSince.contains(vm); }));
    if (newlyMissing > std::max(known.size() / leavingDivisor, maxLeavingAtOnce)) {
        for (const auto& vm : missing)
            this->missingSince.try_emplace(vm, now);
    }
    std::vector<VmName> retained;
    for (const auto& vm : missing) {
        const auto since = this->missingSince.find(vm);
        if (since == this->missingSince.end())
            continue;
        if (now < since->second + retentionTime)
            retained.push_back(vm);
        else
            this->missingSince.erase(since);
    }
    return retained;
}

} // namespace cyclamendrift
