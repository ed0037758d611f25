#include <cyclamendrift/leadership/reading_time.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Part (1/n) by which one reading that takes less time lowers the expectation.
constexpr int decayDivisor = 4;
// Readings vary by about this fraction (1/n) of their time.
constexpr int varianceDivisor = 2;

} // namespace

void ReadingTime::record(Duration taken)
{
    if (taken < Duration {})
        return;
    // A longer reading counts at once, because an expectation that is too short makes replicas be asked in
    // vain.
    this->recent = std::max(taken, this->recent - (this->recent - taken) / decayDivisor);
}

Duration ReadingTime::expectedMaxAge(Duration interval) const
{
    if (this->recent == Duration {})
        return {};
    return std::max(interval, this->recent) + this->recent + this->recent / varianceDivisor;
}

} // namespace cyclamendrift
