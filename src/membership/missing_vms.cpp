#include <cyclamendrift/membership/missing_vms.h>

#include <algorithm>
#include <cstddef>

namespace cyclamendrift {

namespace {

// Records are back about a second after the store: a back-off, a new lease and a write.
constexpr Duration retentionTime = std::chrono::milliseconds { 3000 };
// More than this part of the VMs, and more than so many of them, do not leave between two readings.
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
    // A VM that stayed earlier is among the known ones still.
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
