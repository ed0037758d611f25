#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/failover/group_record.h>

#include <cstdint>
#include <variant>
#include <vector>

/// What a FailoverCoordinator wants done.
namespace cyclamendrift {

/// Ask a slot for its status.
struct ProbeSlot {
    SlotName slot;
};
/// Make a slot refuse every lower term.
struct FenceSlot {
    SlotName slot;
    Term term {};
};
/// Make a slot primary of a term.
struct PromoteSlot {
    SlotName slot;
    Term term {};
};
/// Make a slot a replica in a term.
struct FollowPrimary {
    SlotName slot;
    Term term {};
    SlotName primary;
};
/// Ask siblings in other availability zones whether they reach a slot.
struct AskSiblings {
    SlotName slot;
};
/// Read the record.
struct ReadRecord { };
/// Change the record if it stands at a revision; 0 when it must not exist.
struct SwapRecord {
    std::uint64_t expectedRevision = 0;
    GroupRecord record;
};
/// Hand a new view to whoever serves the database.
struct PublishView {
    GroupView view;
};
/// Anything that a coordinator wants done.
using FailoverAction = std::variant<ProbeSlot, FenceSlot, PromoteSlot, FollowPrimary, AskSiblings, ReadRecord,
    SwapRecord, PublishView>;
/// Actions in the order in which to begin them; none waits for another.
using FailoverActions = std::vector<FailoverAction>;

} // namespace cyclamendrift
