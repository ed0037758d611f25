#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/limits/limit_shard_home.h>
#include <cyclamendrift/limits/tokens.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace cyclamendrift {

/// A shard of a team's limit as a proxy that asks it sees it.
struct ShardRef {
    std::uint32_t index = 0;
    /// Changes with the owner.
    std::uint64_t epoch = 0;
};

/// End of one grant, for the shard that made it.
struct Settlement {
    std::uint64_t grant = 0;
    Tokens unspent;
};

/// A message to the owner of a shard: settle these grants, then grant up to `want`.
struct ShardRequest {
    ShardRef shard;
    Tokens want;
    std::vector<Settlement> settlements;
};

/// What the owner of a shard answered.
struct ShardAnswer {
    ShardRef shard;
    LimitGrant grant;
    /// When this proxy asked, on its own clock.
    Instant askedAt;
};

/// A request that waits for its admission.
enum class AdmissionTicket : std::uint64_t {};

/// The end of one wait.
struct AdmissionResult {
    AdmissionTicket ticket {};
    bool admitted = false;
    /// When coming back may help, if it was not admitted.
    Duration retryAfter {};
    /// True when no owner of a shard answered: the limit is not known to be used up.
    bool noOwner = false;
};

/// One team's limit at a proxy that lets requests in: spends grants, asks the owners of the shards for more
/// ahead of need, returns what it does not use. Knows nothing of sockets; its owner sends what `asks` returns
/// and reports the answers.
///
///     if (!client.tryAcquire(now))
///         ticket = client.wait(now, deadline);
///     for (const auto& ask : client.asks(now)) send(ask);
///     client.onAnswer(answer, now);
///     for (const auto& verdict : client.verdicts(now)) resume(verdict);
class LimitClient {
public:
    struct Options {
        /// Longest that a request waits for a grant.
        Duration maxWait = std::chrono::milliseconds { 250 };
        /// A batch is meant to last this long at the demand seen.
        Duration targetBatchTime = std::chrono::milliseconds { 200 };
        /// Grants go back after this time without demand.
        Duration idleTimeout = std::chrono::milliseconds { 300 };
        /// Pause after a refusal or failure of an owner, at least.
        Duration minRetryPause = std::chrono::milliseconds { 20 };
        /// Pause after an owner did not answer.
        Duration noAnswerPause = std::chrono::milliseconds { 500 };
    };

    explicit LimitClient(Options options) noexcept
        : options(options)
    {
    }

    /// Puts the team's rule and the places of its shards in force. Grants of former owners stay good.
    void setShards(const LimitRule& wholeRule, std::span<const ShardRef> shardRefs);

    /// Takes one request out of the grants at hand; false when they do not suffice or others wait.
    [[nodiscard]] bool tryAcquire(Instant now);

    /// Lets a request wait that tryAcquire did not admit.
    [[nodiscard]] AdmissionTicket wait(Instant now, Instant deadline);

    /// True when `asks` has something to send.
    [[nodiscard]] bool hasRequests(Instant now) const;

    /// The messages to send now, at most one to each shard at a time.
    [[nodiscard]] std::vector<ShardRequest> createRequests(Instant now);

    /// An owner answered.
    void onAnswer(const ShardAnswer& answer, Instant now);

    /// An owner did not answer, or was none.
    void onFailure(const ShardRef& shard, Instant now);

    /// The requests whose wait is over.
    [[nodiscard]] std::vector<AdmissionResult> results(Instant now);

    /// Gives up every grant, with the messages that return them; for a planned stop.
    [[nodiscard]] std::vector<ShardRequest> returnAllGrants(Instant now);

    /// True while a request waits.
    [[nodiscard]] bool hasWaiters() const noexcept { return !this->waiters.empty(); }

    /// Tokens at hand.
    [[nodiscard]] Tokens availableTokens(Instant now) const;

private:
    struct Shard {
        ShardRef place;
        /// What was asked for and not answered yet.
        std::optional<Tokens> requested;
        Instant requestAllowedAt;
        bool failed = false;
        std::vector<Settlement> settlements;
    };

    struct Batch {
        ShardRef shard;
        std::uint64_t grant = 0;
        Tokens remaining;
        Instant expiresAt;
    };

    struct Waiter {
        AdmissionTicket ticket {};
        Instant since;
        Instant until;
    };

    [[nodiscard]] Shard* find(const ShardRef& place);
    [[nodiscard]] bool spendOne(Instant now);
    void settle(const Batch& batch);
    void removeExpiredBatches(Instant now);
    void recordDemand(Instant now);
    [[nodiscard]] Tokens targetTokens(Instant now) const;
    [[nodiscard]] Tokens missingTokens(Instant now) const;
    [[nodiscard]] Instant earliestRequestTime() const;
    [[nodiscard]] bool isIdle(Instant now) const noexcept;

    Options options;
    LimitRule rule;
    std::vector<Shard> shards;
    std::deque<Batch> batches;
    std::deque<Waiter> waiters;
    std::uint64_t lastTicket = 0;
    std::size_t nextShard = 0;
    /// Requests per second seen here lately, decaying.
    double demand = 0;
    Instant demandAt;
};

} // namespace cyclamendrift
