#include <cyclamendrift/membership/store_call_throttle.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Calls of the whole fleet per second; the pause of each VM follows from it, within these bounds.
constexpr double maxFleetCallsPerSecond = 80;
constexpr Duration minPause = std::chrono::milliseconds { 400 };
constexpr Duration maxPause = std::chrono::milliseconds { 2500 };
// A VM that the store has answered within this time relies on that and not on its siblings' reports.
constexpr Duration recentAnswerPeriod = std::chrono::milliseconds { 2000 };

} // namespace

Duration StoreCallThrottle::fairPause() const noexcept
{
    const std::chrono::duration<double> pause { static_cast<double>(this->vms) / maxFleetCallsPerSecond };
    return std::chrono::duration_cast<Duration>(pause);
}

bool StoreCallThrottle::allowCall(Instant now)
{
    if (this->answeredAt != Instant::min() && now < this->answeredAt + recentAnswerPeriod)
        return true;
    if (now < this->nextCallAt)
        return false;
    this->nextCallAt = now + std::clamp(this->fairPause(), minPause, maxPause);
    return true;
}

} // namespace cyclamendrift
