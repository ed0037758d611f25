#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>

#include <deque>
#include <optional>

namespace cyclamendrift {

/// Progress of the primary's log over time, taken from its answers to statements. A read on a replica uses it
/// to name the position that the replica must have reached: `progress` covers everything that was
/// acknowledged before `seenAt`.
///
///     history.record({ .progress = reply.progress, .seenAt = sentAt });
///     history.oldestCovering(now - maxStaleness); // the oldest position that is fresh enough
class ProgressHistory {
public:
    struct Observation {
        Progress progress;
        /// When the statement was sent whose answer reported the progress.
        Instant seenAt;
    };

    /// Adds an observation. One of a higher term discards those of lower terms, whose log may have been
    /// truncated.
    void record(const Observation& observation);

    /// The oldest observation that covers every commit acknowledged before `instant`; a lagging replica is
    /// most likely to have reached it. Empty when nothing was observed since `instant`.
    [[nodiscard]] std::optional<Observation> oldestCovering(Instant instant) const;

    /// Lower bound of the time by which a log at `progress` lags behind the primary; zero when no later
    /// progress was observed.
    [[nodiscard]] Duration lagOf(const Progress& progress, Instant now) const;

    /// Discards all observations.
    void clear() noexcept { this->observations.clear(); }

private:
    std::deque<Observation> observations;
};

} // namespace cyclamendrift
