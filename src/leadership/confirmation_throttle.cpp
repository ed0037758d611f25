#include <cyclamendrift/leadership/confirmation_throttle.h>

namespace cyclamendrift {

ConfirmationThrottle::ConfirmationThrottle()
{
    this->bucket.setRule({ .ratePerSecond = requestsPerSecond, .burst = burst }, Instant {});
}

bool ConfirmationThrottle::allow(const AskStatus& request, Instant now)
{
    return !request.confirmsView || this->bucket.tryAcquire(now);
}

} // namespace cyclamendrift
