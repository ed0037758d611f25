#include <cyclamendrift/connections/concurrency_limit.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

constexpr double minLimit = 1;
constexpr double maxLimit = 8;
// The mean covers about the last ten answers.
constexpr double recentSmoothing = 0.1;
// The unloaded latency estimates a low quantile, about the 10th percentile: it falls fast and rises slowly,
// and rises ten times as slowly under load, so that minutes of load do not become the baseline.
constexpr double unloadedFallSmoothing = 0.1;
constexpr double unloadedRiseSmoothing = 0.002;
constexpr double unloadedRiseSmoothingUnderLoad = 0.0002;
// Without load the mean latency is about three times the quantile; at five times a statement waits about as
// long as it runs.
constexpr double maxSlowdown = 5;
constexpr double decreaseFactor = 0.96;
constexpr double additiveIncrease = 0.1;
constexpr double refusalDecreaseFactor = 0.7;
// Refusals within this interval count as one overload.
constexpr Duration minRefusalDecreaseInterval = std::chrono::milliseconds { 50 };

} // namespace

void ConcurrencyLimit::onAnswer(Duration elapsed)
{
    const auto elapsedMs = std::chrono::duration<double, std::milli>(elapsed).count();
    if (this->unloadedLatencyMs == 0)
        this->unloadedLatencyMs = this->recentLatencyMs = elapsedMs;
    this->recentLatencyMs += recentSmoothing * (elapsedMs - this->recentLatencyMs);
    const bool isSlow = this->recentLatencyMs > maxSlowdown * this->unloadedLatencyMs;
    const auto riseSmoothing = isSlow ? unloadedRiseSmoothingUnderLoad : unloadedRiseSmoothing;
    this->unloadedLatencyMs += (elapsedMs < this->unloadedLatencyMs ? unloadedFallSmoothing : riseSmoothing)
        * (elapsedMs - this->unloadedLatencyMs);
    this->limit = isSlow ? this->limit * decreaseFactor : this->limit + additiveIncrease / this->limit;
    this->limit = std::clamp(this->limit, minLimit, maxLimit);
}

void ConcurrencyLimit::onCapacityRefusal(Instant now)
{
    if (this->lastRefusalDecrease != Instant::min()
        && now < this->lastRefusalDecrease + minRefusalDecreaseInterval)
        return;
    this->lastRefusalDecrease = now;
    this->limit = std::max(this->limit * refusalDecreaseFactor, minLimit);
}

} // namespace cyclamendrift
