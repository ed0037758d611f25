#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <map>
#include <set>
#include <span>
#include <vector>

namespace cyclamendrift {

/// Keeps VMs on the list for a time although their records are missing. A VM that leaves or fails does so
/// alone or with a few others. When many records are missing at once, their leases have expired while the
/// store was unavailable, and they are listed again one by one. Applied at once, each step would move service
/// owners, limit holders and store readers of the whole fleet.
class MissingVms {
public:
    /// Returns the VMs of `known` that stay on the list although their records are not in `listed`.
    [[nodiscard]] std::vector<VmName> retain(
        std::span<const VmName> known, const std::set<VmName>& listed, Instant now);

    /// True while a VM is kept that will be removed unless its record is listed again.
    [[nodiscard]] bool hasPending() const noexcept { return !this->missingSince.empty(); }

private:
    std::map<VmName, Instant> missingSince;
};

} // namespace cyclamendrift
