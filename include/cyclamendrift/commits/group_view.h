#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>

#include <cstdint>
#include <vector>

namespace cyclamendrift {

/// State of a database group as one proxy knows it; replaced as a whole, never modified. It does not expire:
/// what it says about a term stays true for that term, because the in-sync set of a term only shrinks and
/// every change that could make an old view unsafe raises the term.
///
///     if (view.phase == GroupView::Phase::Serving)
///         send(view.primary, write);
struct GroupView {
    enum class Phase : std::uint8_t {
        /// Nothing is known yet; statements are queued.
        Unknown,
        /// The primary is being replaced; statements that may wait until their deadline are queued.
        FailingOver,
        /// The primary of the term has been observed to act as primary.
        Serving,
    };

    Phase phase = Phase::Unknown;
    /// Term for which `primary` was selected.
    Term term {};
    SlotName primary;
    /// All slots of the group, including the primary.
    std::vector<SlotName> slots;
    /// Slots that must all hold a commit of this term when the group has fewer than three slots. It may be a
    /// superset of the recorded in-sync set, which only delays acknowledgements.
    std::vector<SlotName> inSync;
    /// Slots on VMs that are leaving; they receive no new statements.
    std::vector<SlotName> leaving;
    /// Progress of the primary in the previous term at its promotion; all commits up to it are kept.
    Progress base;

    friend bool operator==(const GroupView&, const GroupView&) = default;
};

/// Number of slots from which a group acknowledges by majority; smaller groups use their in-sync set.
inline constexpr std::size_t minMajorityGroupSize = 3;

/// Number of slots that form a majority of a group of `slots`.
///
///     majorityOf(3); // 2
[[nodiscard]] constexpr std::size_t majorityOf(std::size_t slots) noexcept { return slots / 2 + 1; }

} // namespace cyclamendrift
