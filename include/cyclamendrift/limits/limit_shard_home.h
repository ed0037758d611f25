#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/limits/tokens.h>

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace cyclamendrift {

/// How long a proxy may spend from a grant, counted on its own clock from when it sent the request.
inline constexpr Duration grantLifetime = std::chrono::seconds { 1 };

/// Tokens that a proxy may spend within the lifetime of grants.
struct LimitGrant {
    /// 0 when nothing was granted.
    std::uint64_t id = 0;
    Tokens amount;
    /// When to ask again, if less was granted than requested.
    Duration retryAfter {};
};

/// State of a shard that its owner releases, for the next owner.
struct ReleasedShard {
    Tokens level;
    Tokens outstanding;
};

/// One shard of a team's token bucket at its owner. The tokens in the bucket and those of grants that are
/// neither settled nor expired never exceed the burst together. So whatever the proxies do with their grants,
/// no window of length w admits more than rate * w + burst from this shard.
///
///     LimitShardHome shard { { .rule = rule, .level = rule.burst, .now = now } };
///     const auto grant = shard.grant(Tokens { 5 * oneRequest.millionths }, now);
///     shard.settle(grant.id, unspent, later);
class LimitShardHome {
public:
    struct Options {
        LimitRule rule;
        /// Tokens that may be granted at once: the whole burst for a new team, none after an owner that did
        /// not release the shard.
        Tokens level;
        /// Tokens of grants of the last owner that may still be spent.
        Tokens outstanding;
        Instant now;
    };

    explicit LimitShardHome(const Options& options);

    /// Changes the rate and burst. The change adds no tokens to the bucket or to grants.
    void setRule(const LimitRule& rule, Instant now);

    /// Grants up to `want` tokens.
    [[nodiscard]] LimitGrant grant(Tokens want, Instant now);

    /// Ends a grant and puts its unspent tokens back into the bucket. Has no effect on a grant that is
    /// unknown, settled or expired.
    void settle(std::uint64_t id, Tokens unspent, Instant now);

    /// Ends granting and returns the state for the next owner.
    [[nodiscard]] ReleasedShard release(Instant now);

    /// Tokens in the bucket now.
    [[nodiscard]] Tokens level(Instant now);

private:
    struct Expiry {
        std::uint64_t id = 0;
        Instant at;
    };

    void advance(Instant now);
    void addOutstanding(Tokens amount, Instant now);

    LimitRule rule;
    Tokens bucket;
    Tokens outstanding;
    Instant refilledAt;
    std::uint64_t lastGrant = 0;
    std::unordered_map<std::uint64_t, Tokens> grants;
    std::deque<Expiry> expiries;
};

} // namespace cyclamendrift
