#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <limits>

namespace cyclamendrift {

/// Adaptive limit on the statements that one VM runs at an upstream at a time; latency and refusals lower it.
/// An upstream queues excess statements first come, first served, without regard to priority. When the
/// replicas lag, all reads go to the primary: with 26 statements queued at a primary that runs two at a time,
/// each takes 180 ms instead of 14 ms. Excess statements therefore wait at the VM, where high priority goes
/// first and a request that would be late is refused at once.
///
///     if (running < limit.current())
///         send(statement);
///     limit.onAnswer(elapsed);
class ConcurrencyLimit {
public:
    /// Returns the number of statements allowed now, at least one.
    [[nodiscard]] std::size_t current() const noexcept { return static_cast<std::size_t>(this->limit); }

    /// Smoothed time until an answer; zero before the first one.
    [[nodiscard]] Duration recentLatency() const noexcept
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli> { this->recentLatencyMs });
    }

    /// Adjusts the limit to the latency of an answered statement.
    void onAnswer(Duration elapsed);

    /// Lowers the limit after the upstream refused a statement for lack of capacity.
    void onCapacityRefusal(Instant now);

private:
    double limit = 6;
    /// Estimated latency without load, and smoothed current latency.
    double unloadedLatencyMs = 0;
    double recentLatencyMs = 0;
    Instant lastRefusalDecrease = Instant::min();
};

} // namespace cyclamendrift
