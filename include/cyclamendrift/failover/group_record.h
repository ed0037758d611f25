#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>

#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// What the store keeps of a group; changed by compare-and-swap only.
///
///     const auto record = GroupRecord::decode(entry.value);
///     record.isSettled(); // false while a promotion is under way
struct GroupRecord {
    /// The highest term that a promoter has claimed.
    Term term {};
    /// The term in which `primary` was chosen.
    Term servingTerm {};
    SlotName primary;
    /// Slots that must all hold a commit of the serving term, in groups of fewer than three slots. It only
    /// shrinks within a term.
    std::vector<SlotName> inSync;
    /// Where the log of `primary` stood when it was chosen.
    Progress base;
    /// VM that wrote the record.
    VmName promoter;
    /// Unique to each change, so that a change whose answer was lost is recognised.
    std::string changeId;

    /// True when no promotion is under way.
    [[nodiscard]] bool isSettled() const noexcept { return this->term == this->servingTerm; }

    /// The record as the store keeps it.
    [[nodiscard]] std::string encode() const;
    /// The record that the store kept; throws FailoverError.
    [[nodiscard]] static GroupRecord decode(std::string_view value);

    friend bool operator==(const GroupRecord&, const GroupRecord&) = default;
};

/// A record with the revision of the store at which it stood.
struct VersionedRecord {
    GroupRecord record;
    std::uint64_t revision = 0;
};

} // namespace cyclamendrift
