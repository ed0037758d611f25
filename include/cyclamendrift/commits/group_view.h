#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>

#include <cstdint>
#include <vector>

namespace cyclamendrift {

/// What one proxy knows of a database group; replaced as a whole, never changed. It needs no expiry: what it
/// says of a term stays true of that term, because the in-sync set of a term only ever shrinks and every
/// change that could make an old view unsafe raises the term.
///
///     if (view.phase == GroupView::Phase::Serving)
///         send(view.primary, write);
struct GroupView {
    enum class Phase : std::uint8_t {
        /// Nothing is known yet; hold work.
        Unknown,
        /// The primary is being replaced; hold what may wait within its deadline.
        FailingOver,
        /// The primary of the term has been seen to act as such.
        Serving,
    };

    Phase phase = Phase::Unknown;
    /// The term that `primary` was chosen in.
    Term term {};
    SlotName primary;
    /// Every slot of the group, the primary included.
    std::vector<SlotName> slots;
    /// Slots that must all hold a commit of this term when the group has fewer than three slots; may be a
    /// superset of what is in force, which only delays acknowledgements.
    std::vector<SlotName> inSync;
    /// Slots on VMs that are leaving; they get no new work.
    std::vector<SlotName> leaving;
    /// Where the log of the primary stood, in the term before, when it was promoted: all up to here is kept.
    Progress base;

    friend bool operator==(const GroupView&, const GroupView&) = default;
};

/// Groups of this size and above acknowledge by majority; smaller ones by their in-sync set.
inline constexpr std::size_t minMajorityGroupSize = 3;

/// Slots that make a majority.
///
///     majorityOf(3); // 2
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t slots) noexcept { return slots / 2 + 1; }

} // namespace cyclamendrift
