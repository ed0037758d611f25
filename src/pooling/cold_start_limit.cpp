#include <cyclamendrift/pooling/cold_start_limit.h>

#include <algorithm>
#include <cmath>

namespace cyclamendrift {

namespace {

// What all senders use of the rate; the rest is for VMs that became holders while others do not know it yet.
constexpr double usedFraction = 0.75;
// Bounds of the rate, which keep the time between two statements within the range of a Duration.
constexpr double minUsedRate = 1e-6;
constexpr double maxUsedRate = 1e6;
// Every sender may send one statement at any moment, so there are no more senders than statements in a
// second, but at least this many, as one of them may fail.
constexpr std::size_t minSenders = 2;

} // namespace

void ColdStartLimit::setRate(double statementsPerSecond, const HolderRank& holder, Instant coldUntil)
{
    this->interval = Duration::max();
    this->until = coldUntil;
    if (holder.holders == 0)
        return;
    const auto used = std::clamp(statementsPerSecond * usedFraction, minUsedRate, maxUsedRate);
    const auto senders
        = std::min(std::max(static_cast<std::size_t>(std::floor(used)), minSenders), holder.holders);
    if (holder.rank >= senders)
        return;
    const std::chrono::duration<double> between { static_cast<double>(senders) / used };
    this->interval = std::chrono::ceil<Duration>(between);
}

void ColdStartLimit::recordStart(Instant now) noexcept
{
    if (this->isCold(now) && this->interval != Duration::max())
        this->nextAt = now + this->interval;
}

} // namespace cyclamendrift
