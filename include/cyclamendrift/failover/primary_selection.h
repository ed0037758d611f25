#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/failover/group_record.h>

#include <map>
#include <optional>
#include <vector>

namespace cyclamendrift {

/// What a promoter knows when it selects the next primary.
struct PrimarySelectionInput {
    /// The group record at the time of the claim.
    GroupRecord record;
    /// Every slot of the group.
    std::vector<SlotName> slots;
    /// Slots fenced at the claimed term, with the final progress of their logs.
    std::map<SlotName, Progress> fenced;
    /// Slots to select only if no other slot is as safe: on a leaving VM, or cut off from the group.
    std::vector<SlotName> avoided;
};

/// Selects a slot that holds every acknowledged commit; empty while too few slots are fenced to be certain.
///
///     if (const auto slot = selectPrimary(input))
///         promote(*slot);
[[nodiscard]] std::optional<SlotName> selectPrimary(const PrimarySelectionInput& input);

} // namespace cyclamendrift
