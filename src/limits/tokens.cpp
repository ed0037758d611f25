#include <cyclamendrift/limits/tokens.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

__extension__ using Wide = __int128;

constexpr Wide nanosecondsPerSecond = 1000000000;
/// More shards lose less with one owner, and cost a request more messages when each holds only a part of a
/// token.
constexpr std::uint32_t maxShards = 8;
/// Less than this in a shard and a short burst would have to be gathered from everywhere.
constexpr std::uint32_t minBurstOfShard = 3;

Tokens partOf(Tokens whole, std::uint32_t index, std::uint32_t count) noexcept
{
    const auto part = whole.millionths / count;
    const auto remainder = whole.millionths % count;
    return { part + (index < remainder ? 1 : 0) };
}

} // namespace

Tokens accrued(Tokens ratePerSecond, Duration elapsed) noexcept
{
    const auto product = static_cast<Wide>(ratePerSecond.millionths) * elapsed.count();
    return { static_cast<std::int64_t>(product / nanosecondsPerSecond) };
}

Duration timeToAccrue(Tokens ratePerSecond, Tokens amount) noexcept
{
    if (amount.millionths <= 0)
        return Duration::zero();
    const Wide rate = std::max<std::int64_t>(ratePerSecond.millionths, 1);
    const auto needed = static_cast<Wide>(amount.millionths) * nanosecondsPerSecond;
    const auto time = (needed + rate - 1) / rate;
    constexpr Wide longest = Duration::max().count() / 4;
    return Duration { static_cast<Duration::rep>(std::min(time, longest)) };
}

LimitRule shardOf(const LimitRule& whole, std::uint32_t index, std::uint32_t count) noexcept
{
    return { .ratePerSecond = partOf(whole.ratePerSecond, index, count),
        .burst = partOf(whole.burst, index, count) };
}

std::uint32_t shardCountFor(std::uint32_t burst) noexcept
{
    return std::clamp(burst / minBurstOfShard, std::uint32_t { 1 }, maxShards);
}

} // namespace cyclamendrift
