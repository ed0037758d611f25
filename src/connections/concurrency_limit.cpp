#include <cyclamendrift/connections/concurrency_limit.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

constexpr double minLimit = 1;
constexpr double maxLimit = 8;
// The recent mean follows some ten answers.
constexpr double recentSmoothing = 0.1;
// The unloaded time is a low quantile, about the tenth part: it falls fast and rises slowly, and ten times as
// slowly while answers are slow, so that minutes of load are not taken for the usual.
constexpr double unloadedFallSmoothing = 0.1;
constexpr double unloadedRiseSmoothing = 0.002;
constexpr double unloadedRiseSmoothingUnderLoad = 0.0002;
// Times of statements differ by a factor of three between the quantile and the mean with no load at all; at
// five the mean statement waits about as long as it works.
constexpr double maxSlowdown = 5;
constexpr double decreaseFactor = 0.96;
constexpr double additiveIncrease = 0.1;
constexpr double refusalDecreaseFactor = 0.7;
// Refusals that come together tell of one overload.
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
