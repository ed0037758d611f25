#include <cyclamendrift/limits/tokens.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

__extension__ using Int128 = __int128;

constexpr Int128 nanosecondsPerSecond = 1000000000;
/// With more shards less of the limit is lost with one owner, but a request needs more messages when each
/// shard holds only a fraction of a token.
constexpr std::uint32_t maxShards = 8;
/// With fewer requests per shard, a short burst would need grants from many shards.
constexpr std::uint32_t minBurstPerShard = 3;

Tokens shareOf(Tokens whole, std::uint32_t index, std::uint32_t count) noexcept
{
    const auto share = whole.millionths / count;
    const auto remainder = whole.millionths % count;
    return { share + (index < remainder ? 1 : 0) };
}

} // namespace

Tokens accrued(Tokens ratePerSecond, Duration elapsed) noexcept
{
    const auto product = static_cast<Int128>(ratePerSecond.millionths) * elapsed.count();
    return { static_cast<std::int64_t>(product / nanosecondsPerSecond) };
}

Duration timeToAccrue(Tokens ratePerSecond, Tokens amount) noexcept
{
    if (amount.millionths <= 0)
        return Duration::zero();
    const Int128 rate = std::max<std::int64_t>(ratePerSecond.millionths, 1);
    const auto needed = static_cast<Int128>(amount.millionths) * nanosecondsPerSecond;
    const auto time = (needed + rate - 1) / rate;
    constexpr Int128 maxDuration = Duration::max().count() / 4;
    return Duration { static_cast<Duration::rep>(std::min(time, maxDuration)) };
}

LimitRule shardOf(const LimitRule& whole, std::uint32_t index, std::uint32_t count) noexcept
{
    return { .ratePerSecond = shareOf(whole.ratePerSecond, index, count),
        .burst = shareOf(whole.burst, index, count) };
}

std::uint32_t shardCountFor(std::uint32_t burst) noexcept
{
    return std::clamp(burst / minBurstPerShard, std::uint32_t { 1 }, maxShards);
}

} // namespace cyclamendrift
