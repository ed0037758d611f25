#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>

#include <deque>
#include <optional>

namespace cyclamendrift {

/// How far the primary's log had come at known times, taken from the answers it gives anyway. It lets a read
/// on a replica name the position that it needs: everything acknowledged before `seenAt` is covered by
/// `progress`.
///
///     history.note({ .progress = reply.progress, .seenAt = sentAt });
///     history.covering(now - maxStaleness); // the oldest position that is fresh enough
class ProgressHistory {
public:
    struct Observation {
        Progress progress;
        /// When the statement was sent whose answer told the position.
        Instant seenAt;
    };

    /// Takes an observation in. One of a higher term drops those of lower terms, whose log may have been cut.
    void record(const Observation& observation);

    /// The oldest position that covers every commit acknowledged before `instant`; it is the one that a
    /// lagging replica most likely has. Empty when nothing was observed since.
    [[nodiscard]] std::optional<Observation> oldestCovering(Instant instant) const;

    /// How far a log that has come to `progress` is behind the primary at least; zero when nothing beyond it
    /// was seen.
    [[nodiscard]] Duration lagOf(const Progress& progress, Instant now) const;

    /// Drops everything.
    void clear() noexcept { this->observations.clear(); }

private:
    std::deque<Observation> observations;
};

} // namespace cyclamendrift
