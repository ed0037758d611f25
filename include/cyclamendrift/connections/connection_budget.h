#pragma once

#include <cstddef>

namespace cyclamendrift {

/// Connections that one home proxy may hold to one slot, so that all homes together stay within its cap.
///
///     connectionBudget(20); // { .traffic = 9, .control = 1 }
struct ConnectionBudget {
    std::size_t traffic = 1;
    std::size_t control = 1;

    /// Both together.
    [[nodiscard]] constexpr std::size_t total() const noexcept { return this->traffic + this->control; }
};

/// Homes of a database that may hold connections at the same time: the serving one and its standby, which
/// cannot tell a dead home from one that it merely cannot reach.
inline constexpr std::size_t homesPerDatabase = 2;

/// The budget of one home under a cap over the whole fleet; at least one connection of each sort.
[[nodiscard]] constexpr ConnectionBudget connectionBudget(std::size_t cap) noexcept
{
    const ConnectionBudget least;
    if (cap <= homesPerDatabase * least.total())
        return least;
    return { .traffic = (cap - homesPerDatabase * least.control) / homesPerDatabase };
}

} // namespace cyclamendrift
