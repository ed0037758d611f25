#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// State of a database group in the store; changed by compare-and-swap only.
///
///     const auto record = GroupRecord::decode(entry.value);
///     record.isSettled(); // false while a promotion is in progress
struct GroupRecord {
    /// The highest term that a promoter has claimed.
    Term term {};
    /// The term in which `primary` was selected.
    Term servingTerm {};
    SlotName primary;
    /// Slots that must all hold a commit of the serving term before it is acknowledged, in groups of fewer
    /// than three slots. Only shrinks within a term.
    std::vector<SlotName> inSync;
    /// Log progress of `primary` when it was selected.
    Progress base;
    /// VM that wrote this version of the record.
    VmName promoter;
    /// Unique to each change, so that its writer recognises a change whose answer was lost.
    std::string changeId;

    /// True if no term change is in progress.
    [[nodiscard]] bool isSettled() const noexcept { return this->term == this->servingTerm; }

    /// Serializes the record for the store (wire.GroupRecord).
    [[nodiscard]] std::string encode() const;
    /// Parses a record from the store; throws FailoverError if it is malformed.
    [[nodiscard]] static GroupRecord decode(std::string_view value);

    friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

/// A group record and its revision in the store.
struct VersionedRecord {
    GroupRecord record;
    std::uint64_t revision = 0;
};

} // namespace cyclamendrift
