#include <cyclamendrift/runtime/boot_clock.h>

#include <ctime>

namespace cyclamendrift {

Instant bootNow() noexcept
{
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant { std::chrono::seconds { time.tv_sec } + std::chrono::nanoseconds { time.tv_nsec } };
}

} // namespace cyclamendrift
