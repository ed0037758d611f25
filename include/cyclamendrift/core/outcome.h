#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamendrift {

/// What became of a request that got no success.
enum class Outcome : std::uint8_t {
    /// It had no effect and never will; sending it again is safe.
    NotRun,
    /// It may have taken effect; only the same request id may be sent again.
    Unknown,
    /// It reached the database, which refused it; it had no effect.
    RanAndFailed,
};

/// The outcome in words, as logs and metrics give it.
[[nodiscard]] constexpr std::string_view nameOf(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not run";
    case Outcome::Unknown:
        return "outcome unknown";
    case Outcome::RanAndFailed:
        return "ran and failed";
    }
    return "outcome unknown";
}

} // namespace cyclamendrift
