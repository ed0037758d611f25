#include <cyclamendrift/membership/store_call_throttle.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Tries of the whole fleet in a second, and the pause of one VM that follows from it.
constexpr double fleetTriesPerSecond = 80;
constexpr Duration shortestPause = std::chrono::milliseconds { 400 };
constexpr Duration longestPause = std::chrono::milliseconds { 2500 };
// A VM that the store has answered within this time knows better than its siblings.
constexpr Duration answersLately = std::chrono::milliseconds { 2000 };

} // namespace

bool StoreCallThrottle::allowCall(Instant now)
{
    if (this->answeredAt != Instant::min() && now < this->answeredAt + answersLately)
        return true;
    if (now < this->nextTry)
        return false;
    const std::chrono::duration<double> fair { static_cast<double>(this->vms) / fleetTriesPerSecond };
    this->nextTry = now + std::clamp(std::chrono::duration_cast<Duration>(fair), shortestPause, longestPause);
    return true;
}

} // namespace cyclamendrift
