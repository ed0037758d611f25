#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <limits>

namespace cyclamendrift {

/// How many statements one VM keeps at an upstream at a time. An upstream works on a few statements and
/// queues the rest first come, first served; what waits there is late for everybody and in no order of
/// priority. When its replicas lag, a primary gets all the reads at once: with 26 statements queued before
/// two slots each takes 180 ms instead of 14. So less is sent as answers slow down, and what is left waits
/// here, where the urgent goes first and what would be late is refused at once.
///
///     if (running < limit.current())
///         send(statement);
///     limit.onAnswer(elapsed);
class ConcurrencyLimit {
public:
    /// Whole statements that may be there now, at least one.
    [[nodiscard]] std::size_t current() const noexcept { return static_cast<std::size_t>(this->limit); }

    /// A statement was answered after this time.
    void onAnswer(Duration elapsed);

    /// The upstream refused a statement because it was full.
    void onCapacityRefusal(Instant now);

private:
    double limit = 6;
    /// What a statement takes with nothing in its way, and what it takes now, in milliseconds.
    double unloadedLatencyMs = 0;
    double recentLatencyMs = 0;
    Instant lastRefusalDecrease = Instant::min();
};

} // namespace cyclamendrift
