#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <map>

namespace cyclamendrift {

/// Detects slots that answer reads much more slowly than the fastest one, so that reads can avoid them.
///
///     detector.answered(slot, elapsed, now);
///     if (!detector.isOutlier(slot, now))
///         readFrom(slot);
class OutlierDetector {
public:
    struct Options {
        /// An outlier's mean latency exceeds that of the fastest slot by this factor and by minDifference.
        double factor = 4;
        Duration minDifference = std::chrono::milliseconds { 20 };
        /// Time after which an outlier gets reads again, as its latency is not sampled without reads.
        Duration retryAfter = std::chrono::seconds { 2 };
    };

    explicit OutlierDetector(Options options) noexcept;

    /// Records the latency of an answer or a failure.
    void answered(const SlotName& slot, Duration elapsed, Instant now);

    /// True while reads should go to other slots.
    [[nodiscard]] bool isOutlier(const SlotName& slot, Instant now) const;

private:
    struct Latency {
        double mean = 0;
        Instant measuredAt;
    };

    Options options;
    std::map<SlotName, Latency> latencies;
};

} // namespace cyclamendrift
