#pragma once

#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/failover/group_record.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Events that a FailoverCoordinator processes.
namespace cyclamendrift {

/// A slot returned its status in answer to a probe, fence, promote or follow call.
struct SlotAnswered {
    StatusSample sample;
};
/// A slot could not be contacted or did not answer in time.
struct SlotUnreachable {
    SlotName slot;
};
/// A slot answered with an error: it is alive but did not carry out the call.
struct SlotRefused {
    SlotName slot;
};
/// Report of one sibling about a slot that it contacted.
struct SlotOpinion {
    VmName vm;
    bool reachable = false;
    /// Status that the slot returned; may be empty for a reachable slot too.
    std::optional<SlotStatus> status;
};
/// Siblings in other availability zones have answered a question about a slot.
struct SiblingsAnswered {
    SlotName slot;
    Instant askedAt;
    /// Number of siblings that were asked; 0 if there are none.
    std::size_t asked = 0;
    /// Reports of the siblings that answered.
    std::vector<SlotOpinion> opinions;
};
/// The group record was read; empty if the store has none.
struct RecordRead {
    std::optional<VersionedRecord> current;
};
/// The group record could not be read.
struct RecordReadFailed { };
/// A compare-and-swap of the record succeeded.
struct RecordSwapped {
    std::string changeId;
    std::uint64_t revision = 0;
};
/// A compare-and-swap was rejected, because the record has another revision than expected.
struct RecordConflict {
    std::string changeId;
    std::optional<VersionedRecord> current;
};
/// A compare-and-swap got no answer: it may have taken effect, or may still take effect later.
struct RecordSwapUnanswered {
    std::string changeId;
};
/// The set of slots on leaving VMs has changed.
struct LeavingSlotsChanged {
    std::vector<SlotName> leaving;
};
/// Any event for a coordinator. Events may arrive in any order, late or more than once.
using FailoverEvent = std::variant<SlotAnswered, SlotUnreachable, SlotRefused, SiblingsAnswered, RecordRead,
    RecordReadFailed, RecordSwapped, RecordConflict, RecordSwapUnanswered, LeavingSlotsChanged>;

} // namespace cyclamendrift
