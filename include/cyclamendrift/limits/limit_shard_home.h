#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/limits/tokens.h>

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace cyclamendrift {

/// How long a proxy may spend from a grant, counted on its own clock from when it asked.
inline constexpr Duration grantLifetime = std::chrono::seconds { 1 };

/// An amount that a proxy may spend within the lifetime of grants.
struct LimitGrant {
    /// 0 when nothing was granted.
    std::uint64_t id = 0;
    Tokens amount;
    /// When to ask again, if less was granted than was wanted.
    Duration retryAfter {};
};

/// What a shard still holds when its owner gives it back.
struct ReleasedShard {
    Tokens level;
    Tokens outstanding;
};

/// One shard of a team's token bucket at its owner. What lies in the bucket and what is granted, unsettled
/// and unlapsed never exceed the burst together; so whatever the proxies do with their grants, no window of
/// length w sees more than rate * w + burst of this shard.
///
///     LimitShardHome shard { { .rule = rule, .level = rule.burst, .now = now } };
///     const auto grant = shard.grant(Tokens { 5 * oneRequest.millionths }, now);
///     shard.settle(grant.id, unspent, later);
class LimitShardHome {
public:
    struct Options {
        LimitRule rule;
        /// What may be handed out at once: the whole burst for a team that is new, nothing after an owner who
        /// did not give the shard back.
        Tokens level;
        /// Grants of the last owner that may still be spent.
        Tokens outstanding;
        Instant now;
    };

    explicit LimitShardHome(const Options& options);

    /// Puts another rate and burst in force. Nothing that was accrued or granted grows by it.
    void setRule(const LimitRule& rule, Instant now);

    /// Hands out up to `want`.
    [[nodiscard]] LimitGrant grant(Tokens want, Instant now);

    /// Ends a grant. What was not spent goes back into the bucket; a grant that is unknown, settled or lapsed
    /// changes nothing.
    void settle(std::uint64_t id, Tokens unspent, Instant now);

    /// What is left for the next owner; nothing more may be granted.
    [[nodiscard]] ReleasedShard release(Instant now);

    /// What lies in the bucket now.
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
