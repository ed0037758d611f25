#include <cyclamendrift/core/loop_lateness.h>

namespace cyclamendrift {

namespace {

constexpr Duration logInterval = std::chrono::seconds { 1 };

} // namespace

std::optional<Duration> LoopLateness::record(Instant now, Duration interval) noexcept
{
    const auto previous = this->lastTick;
    this->lastTick = now;
    if (previous == Instant::min() || now <= previous + interval + tolerance) {
        this->lastOnTime = now;
        return std::nullopt;
    }
    ++this->late;
    if (this->lastLogged != Instant::min() && now < this->lastLogged + logInterval)
        return std::nullopt;
    this->lastLogged = now;
    return now - previous - interval;
}

} // namespace cyclamendrift
