#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <map>
#include <set>
#include <span>
#include <vector>

namespace cyclamendrift {

/// Which VMs stay on the list though their records are gone. A VM that leaves or dies goes alone or with a
/// few others; when many go at once their leases have lapsed while the store was away, and they come back one
/// by one. Followed at once, each step would move homes, holders of limits and readers of the whole fleet.
class MissingVms {
public:
    /// Takes in whom the records name now, and returns those of `known` that stay all the same.
    [[nodiscard]] std::vector<VmName> retain(
        std::span<const VmName> known, const std::set<VmName>& listed, Instant now);

    /// True while a VM stays that will go unless its record comes back.
    [[nodiscard]] bool hasPending() const noexcept { return !this->missingSince.empty(); }

private:
    std::map<VmName, Instant> missingSince;
};

} // namespace cyclamendrift
