#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/failover/group_record.h>

#include <map>
#include <optional>
#include <vector>

namespace cyclamendrift {

/// What a promoter knows when it chooses.
struct PrimarySelectionInput {
    /// The record as it stood when the term was claimed.
    GroupRecord record;
    std::vector<SlotName> slots;
    /// Slots fenced at the claimed term, with where their logs stand now for good.
    std::map<SlotName, Progress> fenced;
    /// Slots to avoid when another is as safe: on a VM that is leaving, or cut off from the group.
    std::vector<SlotName> avoided;
};

/// The slot to promote, which holds every acknowledged commit; empty while too few are fenced to be sure.
///
///     if (const auto slot = selectPrimary(choice))
///         promote(*slot);
[[nodiscard]] std::optional<SlotName> selectPrimary(const PrimarySelectionInput& input);

} // namespace cyclamendrift
