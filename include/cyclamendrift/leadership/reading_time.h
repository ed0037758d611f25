#pragma once

#include <cyclamendrift/core/instant.h>

namespace cyclamendrift {

/// Observes how long readings of the leadership records take, to tell a slow reading from one that is as slow
/// as usual.
///
///     time.record(answeredAt - askedAt);
///     const auto age = time.expectedMaxAge(interval);
class ReadingTime {
public:
    /// Records how long a reading took. Negative durations are ignored.
    void record(Duration taken);

    /// The age that a reading reaches until the next one has arrived, if one begins every `interval`. Zero
    /// before the first reading.
    [[nodiscard]] Duration expectedMaxAge(Duration interval) const;

private:
    Duration recent {};
};

} // namespace cyclamendrift
