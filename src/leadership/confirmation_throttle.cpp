#include <cyclamendrift/leadership/confirmation_throttle.h>

#include <algorithm>

namespace cyclamendrift {

bool ConfirmationThrottle::allow(const AskStatus& request, Instant now)
{
    if (!request.confirmsView)
        return true;
    if (this->accruedAt != Instant::min() && now > this->accruedAt) {
        const std::chrono::duration<double> elapsed = now - this->accruedAt;
        this->level = std::min(burst, this->level + elapsed.count() * requestsPerSecond);
    }
    this->accruedAt = std::max(this->accruedAt, now);
    if (this->level < 1)
        return false;
    this->level -= 1;
    return true;
}

} // namespace cyclamendrift
