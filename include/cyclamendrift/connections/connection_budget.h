#pragma once

#include <cstddef>

namespace cyclamendrift {

/// Connections that one home proxy may hold to one slot, so that all home proxies together stay within the
/// slot's cap.
///
///     connectionBudget(20); // { .traffic = 9, .control = 1 }
struct ConnectionBudget {
    std::size_t traffic = 1;
    std::size_t control = 1;

    /// Sum of both kinds.
    [[nodiscard]] constexpr std::size_t total() const noexcept { return this->traffic + this->control; }
};

/// Home proxies of a database that may hold connections at the same time: the serving one and its standby,
/// which cannot tell a dead home proxy from an unreachable one.
inline constexpr std::size_t homesPerDatabase = 2;

/// Returns the budget of one home proxy under a slot's cap for the whole fleet; at least one connection of
/// each kind.
[[nodiscard]] constexpr ConnectionBudget connectionBudget(std::size_t cap) noexcept
{
    const ConnectionBudget least;
    if (cap <= homesPerDatabase * least.total())
        return least;
    return { .traffic = (cap - homesPerDatabase * least.control) / homesPerDatabase };
}

} // namespace cyclamendrift
