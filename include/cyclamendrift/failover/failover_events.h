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

/// What a FailoverCoordinator is told.
namespace cyclamendrift {

/// A slot gave its status, as the answer to a probe, fence, promotion or follow.
struct SlotAnswered {
    StatusSample sample;
};
/// A slot could not be asked or did not answer in time.
struct SlotUnreachable {
    SlotName slot;
};
/// A slot answered with an error, so it lives but did not do what it was told.
struct SlotRefused {
    SlotName slot;
};
/// What one sibling found when it asked a slot.
struct SlotOpinion {
    VmName vm;
    bool reachable = false;
    /// Empty when it is reachable but gave no status.
    std::optional<SlotStatus> status;
};
/// Siblings in other availability zones were asked about a slot.
struct SiblingsAnswered {
    SlotName slot;
    Instant askedAt;
    /// How many were asked; 0 when there are none.
    std::size_t asked = 0;
    /// Those that answered.
    std::vector<SlotOpinion> opinions;
};
/// The record was read; empty when there is none.
struct RecordRead {
    std::optional<VersionedRecord> current;
};
/// The record could not be read.
struct RecordReadFailed { };
/// A swap took place.
struct RecordSwapped {
    std::string changeId;
    std::uint64_t revision = 0;
};
/// A swap did not take place, because the record stood elsewhere.
struct RecordConflict {
    std::string changeId;
    std::optional<VersionedRecord> current;
};
/// No answer to a swap came: it may have taken place, or may still.
struct RecordSwapUnanswered {
    std::string changeId;
};
/// The slots that are on leaving VMs now.
struct LeavingSlotsChanged {
    std::vector<SlotName> leaving;
};
/// Everything that a coordinator is told, in any order, late or twice.
using FailoverEvent = std::variant<SlotAnswered, SlotUnreachable, SlotRefused, SiblingsAnswered, RecordRead,
    RecordReadFailed, RecordSwapped, RecordConflict, RecordSwapUnanswered, LeavingSlotsChanged>;

} // namespace cyclamendrift
