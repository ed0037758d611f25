#include <cyclamendrift/connections/outlier_detector.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

constexpr double latencySmoothing = 0.2;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

OutlierDetector::OutlierDetector(Options options) noexcept
    : options(options)
{
}

void OutlierDetector::answered(const SlotName& slot, Duration elapsed, Instant now)
{
    const double actual = seconds(elapsed);
    const auto [entry, isNew] = this->latencies.try_emplace(slot, Latency { actual, now });
    auto& latency = entry->second;
    // After a pause the mean restarts from the new sample, so that old latencies do not keep a recovered slot
    // excluded.
    const bool stale = isNew || now - latency.measuredAt >= this->options.retryAfter;
    latency.mean = stale ? actual : latency.mean + latencySmoothing * (actual - latency.mean);
    latency.measuredAt = now;
}

bool OutlierDetector::isOutlier(const SlotName& slot, Instant now) const
{
    const auto own = this->latencies.find(slot);
    if (own == this->latencies.end() || now - own->second.measuredAt >= this->options.retryAfter)
        return false;
    const auto fastest = std::min_element(this->latencies.begin(), this->latencies.end(),
        [](const auto& left, const auto& right) { return left.second.mean < right.second.mean; });
    const double limit = std::max(fastest->second.mean * this->options.factor,
        fastest->second.mean + seconds(this->options.minDifference));
    return own->second.mean > limit;
}

} // namespace cyclamendrift
