#pragma once

#include <chrono>

/// Points in time and lengths of time, as decision logic is handed them.
namespace cyclamendrift {

/// A length of time.
using Duration = std::chrono::nanoseconds;

/// A point on a clock that never goes back. Decision logic takes it as an argument and never reads a clock.
using Instant = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace cyclamendrift
