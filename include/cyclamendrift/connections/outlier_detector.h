#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <map>

namespace cyclamendrift {

/// Notices a slot that answers reads much more slowly than the others, so that reads go round it.
///
///     detector.answered(slot, elapsed, now);
///     if (!detector.isOutlier(slot, now))
///         readFrom(slot);
class OutlierDetector {
public:
    struct Options {
        /// Slower than the fastest slot by this factor, and by minDifference, is an outlier.
        double factor = 4;
        Duration minDifference = std::chrono::milliseconds { 20 };
        /// A slot is tried again after this long, as nothing is measured while it gets no reads.
        Duration retryAfter = std::chrono::seconds { 2 };
    };

    explicit OutlierDetector(Options options) noexcept;

    /// Counts one answer; a failure counts with the time that it took.
    void answered(const SlotName& slot, Duration elapsed, Instant now);

    /// True while reads should go elsewhere.
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
