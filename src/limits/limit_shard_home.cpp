#include <cyclamendrift/limits/limit_shard_home.h>

#include <cyclamendrift/core/clock_drift.h>

#include <algorithm>

namespace cyclamendrift {

LimitShardHome::LimitShardHome(const Options& options)
    : rule(options.rule)
    , bucket(std::min(options.level, options.rule.burst))
    , refilledAt(options.now)
{
    if (options.outstanding.millionths > 0)
        this->addOutstanding(options.outstanding, options.now);
}

void LimitShardHome::addOutstanding(Tokens amount, Instant now)
{
    const auto id = ++this->lastGrant;
    this->grants.emplace(id, amount);
    this->outstanding += amount;
    // The proxy counts the lifetime on its own clock, which may run slower than this one. Without an
    // allowance for drift the bucket would refill while the proxy still spends, and both together would
    // exceed the burst.
    this->expiries.push_back({ .id = id, .at = now + coveringDrift(grantLifetime) });
}

void LimitShardHome::advance(Instant now)
{
    const auto gain = accrued(this->rule.ratePerSecond, now - this->refilledAt);
    // Without a gain the refill time stays, or frequent calls would round every gain down to zero.
    if (gain.millionths > 0) {
        // The bucket and the grants that can still be spent share the burst. The room is computed before
        // expired grants are removed: tokens that accrued while a grant was valid had no room beside it.
        const auto room = this->rule.burst - this->outstanding - this->bucket;
        this->bucket += std::clamp(gain, Tokens {}, std::max(room, Tokens {}));
        this->refilledAt = now;
    }
    while (!this->expiries.empty() && this->expiries.front().at <= now) {
        const auto grant = this->grants.find(this->expiries.front().id);
        if (grant != this->grants.end()) {
            this->outstanding -= grant->second;
            this->grants.erase(grant);
        }
        this->expiries.pop_front();
    }
}

void LimitShardHome::setRule(const LimitRule& changed, Instant now)
{
    this->advance(now);
    this->rule = changed;
    // A smaller burst takes effect at once. A larger one fills only with time, or each change back and forth
    // would grant another burst.
    const auto room = std::max(changed.burst - this->outstanding, Tokens {});
    this->bucket = std::min(this->bucket, room);
}

LimitGrant LimitShardHome::grant(Tokens want, Instant now)
{
    this->advance(now);
    LimitGrant granted;
    granted.amount = std::clamp(want, Tokens {}, this->bucket);
    if (granted.amount < want)
        granted.retryAfter
            = timeToAccrue(this->rule.ratePerSecond, std::min(want, oneRequest) - granted.amount);
    if (granted.amount.millionths <= 0)
        return granted;
    this->bucket -= granted.amount;
    this->addOutstanding(granted.amount, now);
    granted.id = this->lastGrant;
    return granted;
}

void LimitShardHome::settle(std::uint64_t id, Tokens unspent, Instant now)
{
    this->advance(now);
    const auto grant = this->grants.find(id);
    if (grant == this->grants.end())
        return;
    const auto returned = std::clamp(unspent, Tokens {}, grant->second);
    this->outstanding -= grant->second;
    this->grants.erase(grant);
    this->bucket
        = std::min(this->bucket + returned, std::max(this->rule.burst - this->outstanding, Tokens {}));
}

ReleasedShard LimitShardHome::release(Instant now)
{
    this->advance(now);
    const ReleasedShard left { .level = this->bucket, .outstanding = this->outstanding };
    this->bucket = Tokens {};
    this->rule = LimitRule {};
    return left;
}

Tokens LimitShardHome::level(Instant now)
{
    this->advance(now);
    return this->bucket;
}

} // namespace cyclamendrift
