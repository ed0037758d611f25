#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/failover/group_record.h>

#include <cstdint>
#include <variant>
#include <vector>

/// Actions that a FailoverCoordinator requests from its caller.
namespace cyclamendrift {

/// Query the status of a slot.
struct ProbeSlot {
    SlotName slot;
};
/// Fence a slot, so that it rejects every term lower than `term`.
struct FenceSlot {
    SlotName slot;
    Term term {};
};
/// Promote a slot to primary of a term.
struct PromoteSlot {
    SlotName slot;
    Term term {};
};
/// Make a slot replicate from the primary of a term.
struct FollowPrimary {
    SlotName slot;
    Term term {};
    SlotName primary;
};
/// Ask siblings in other availability zones whether they can reach a slot.
struct AskSiblings {
    SlotName slot;
};
/// Read the group record from the store.
struct ReadRecord { };
/// Replace the group record by compare-and-swap.
struct SwapRecord {
    /// Store revision that the record must have; 0 if it must not exist yet.
    std::uint64_t expectedRevision = 0;
    GroupRecord record;
};
/// Pass a new view to the parts of the proxy that serve the database.
struct PublishView {
    GroupView view;
};
/// Any action that a coordinator requests.
using FailoverAction = std::variant<ProbeSlot, FenceSlot, PromoteSlot, FollowPrimary, AskSiblings, ReadRecord,
    SwapRecord, PublishView>;
/// Actions in the order in which to start them; none depends on the completion of another.
using FailoverActions = std::vector<FailoverAction>;

} // namespace cyclamendrift
