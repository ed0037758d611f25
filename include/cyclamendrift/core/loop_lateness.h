#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <optional>

namespace cyclamendrift {

/// Observes by the ticks of a timer whether an event loop runs its handlers in time. Does no I/O.
///
///     if (const auto late = lateness.record(now))
///         log(*late);
class LoopLateness {
public:
    /// Lateness above which a tick counts as late.
    static constexpr Duration tolerance = std::chrono::milliseconds { 100 };

    /// Records a tick that was due `interval` after the previous one. Returns its lateness when it is to be
    /// logged: the tick was late, and none was logged within the last second.
    [[nodiscard]] std::optional<Duration> record(Instant now, Duration interval) noexcept;

    /// The timer was started anew; the next tick is due one interval from now.
    void restarted(Instant now) noexcept { this->lastTick = now; }

    [[nodiscard]] std::uint64_t lateTicks() const noexcept { return this->late; }
    /// Time of the last tick that was in time; Instant::min() before the first one. A message that is handled
    /// later was received after this time, give or take the tolerance, however long the loop stood still
    /// since.
    [[nodiscard]] Instant onTimeAt() const noexcept { return this->lastOnTime; }

private:
    std::uint64_t late = 0;
    Instant lastTick = Instant::min();
    Instant lastOnTime = Instant::min();
    Instant lastLogged = Instant::min();
};

} // namespace cyclamendrift
