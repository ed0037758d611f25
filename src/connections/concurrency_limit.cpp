#include <cyclamendrift/connections/concurrency_limit.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

constexpr double least = 1;
constexpr double most = 8;
// The recent mean follows some ten answers.
constexpr double recentWeight = 0.1;
// The unloaded time is a low quantile, about the tenth part: it falls fast and rises slowly, and ten times as
// slowly while answers are slow, so that minutes of load are not taken for the usual.
constexpr double fallWeight = 0.1;
constexpr double riseWeight = 0.002;
constexpr double riseWeightUnderLoad = 0.0002;
// Times of statements differ by a factor of three between the quantile and the mean with no load at all; at
// five the mean statement waits about as long as it works.
constexpr double tolerated = 5;
constexpr double decrease = 0.96;
constexpr double increase = 0.1;
constexpr double decreaseWhenFull = 0.7;
// Refusals that come together tell of one overload.
constexpr Duration fullPause = std::chrono::milliseconds { 50 };

} // namespace

void ConcurrencyLimit::onAnswer(Duration elapsed)
{
    const auto taken = std::chrono::duration<double, std::milli>(elapsed).count();
    if (this->unloaded == 0)
        this->unloaded = this->recent = taken;
    this->recent += recentWeight * (taken - this->recent);
    const bool slowed = this->recent > tolerated * this->unloaded;
    const auto rise = slowed ? riseWeightUnderLoad : riseWeight;
    this->unloaded += (taken < this->unloaded ? fallWeight : rise) * (taken - this->unloaded);
    this->limit = slowed ? this->limit * decrease : this->limit + increase / this->limit;
    this->limit = std::clamp(this->limit, least, most);
}

void ConcurrencyLimit::onFull(Instant now)
{
    if (this->loweredAt != Instant::min() && now < this->loweredAt + fullPause)
        return;
    this->loweredAt = now;
    this->limit = std::max(this->limit * decreaseWhenFull, least);
}

} // namespace cyclamendrift
