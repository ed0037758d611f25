#pragma once

#include <cyclamendrift/core/instant.h>

namespace cyclamendrift {

/// How much faster or slower than true time a clock may run for the bounds to hold, as a fraction.
inline constexpr double maxClockDrift = 0.01;

/// A length of time that, waited out on this process's clock, covers `duration` on any other's.
///
///     coveringDrift(std::chrono::seconds { 1 }); // a little over 1.03 s
[[nodiscard]] constexpr Duration coveringDrift(Duration duration) noexcept
{
    constexpr double factor = (1 + maxClockDrift) / (1 - maxClockDrift) + maxClockDrift;
    return Duration { static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor) };
}

} // namespace cyclamendrift
