#include <cyclamendrift/membership/list_read_throttle.h>

#include <cyclamendrift/core/random_duration.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Shared by all VMs that are no store readers. The bytes are a twelfth of a link of 1,000 Mbit/s, which the
// store needs for its other callers.
constexpr double maxFleetCallsPerSecond = 200;
constexpr double maxFleetBytesPerSecond = 1e7;
// The first reading is delayed by up to this fraction of the interval.
constexpr int firstDelayDivisor = 8;

} // namespace

void ListReadThrottle::setLoad(const Load& load) noexcept
{
    const auto vms = static_cast<double>(load.vms);
    const std::chrono::duration<double> forCalls { vms / maxFleetCallsPerSecond };
    const std::chrono::duration<double> forBytes { vms * static_cast<double>(load.listBytes)
        / maxFleetBytesPerSecond };
    this->interval = std::chrono::duration_cast<Duration>(std::max(forCalls, forBytes));
}

bool ListReadThrottle::allowRead(Instant now, RandomSource& random)
{
    if (this->nextReadAt == Instant::min())
        this->nextReadAt = now + randomDuration(this->interval / firstDelayDivisor, random);
    if (now < this->nextReadAt)
        return false;
    this->nextReadAt = now + jittered(this->interval, random);
    return true;
}

} // namespace cyclamendrift
