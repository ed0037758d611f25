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

/// Identifies a shard of a team's limit under its present owner.
struct ShardRef {
    std::uint32_t index = 0;
    /// Changes with the owner.
    std::uint64_t epoch = 0;
};

/// Ends a grant and returns its unspent tokens to the shard that made it.
struct Settlement {
    std::uint64_t grant = 0;
    Tokens unspent;
};

/// A request to the owner of a shard: settle these grants, then grant up to `want`.
struct ShardRequest {
    ShardRef shard;
    Tokens want;
    std::vector<Settlement> settlements;
};

/// A shard owner's answer to a request.
struct ShardAnswer {
    ShardRef shard;
    LimitGrant grant;
    /// When this proxy sent the request, on its own clock.
    Instant askedAt;
};

/// Identifies a request that waits for admission.
enum class AdmissionTicket : std::uint64_t {};

/// The outcome of one wait for admission.
struct AdmissionResult {
    AdmissionTicket ticket {};
    bool admitted = false;
    /// When to try again, if it was not admitted.
    Duration retryAfter {};
    /// True when no shard owner answered, so that it is not known whether the limit is used up.
    bool noOwner = false;
};

/// Admits requests under one team's limit at a proxy: spends grants, requests more from the shard owners
/// ahead of need and returns tokens that it does not use. Does no I/O: the caller sends the requests and
/// reports the answers. Not thread-safe.
///
///     if (!client.tryAcquire(now))
///         ticket = client.wait(now, deadline);
///     for (const auto& request : client.createRequests(now)) send(request);
///     client.onAnswer(answer, now);
///     for (const auto& result : client.results(now)) resume(result);
class LimitClient {
public:
    struct Options {
        /// Longest time that a request waits for a grant.
        Duration maxWait = std::chrono::milliseconds { 250 };
        /// Tokens for this much of the recent demand are requested ahead of need.
        Duration targetBatchTime = std::chrono::milliseconds { 200 };
        /// Grants are returned after this time without demand.
        Duration idleTimeout = std::chrono::milliseconds { 300 };
        /// Least pause after an owner granted less than requested, and least retry time of a refused request.
        Duration minRetryPause = std::chrono::milliseconds { 20 };
        /// Time until the next request after an owner did not answer.
        Duration noAnswerPause = std::chrono::milliseconds { 500 };
    };

    explicit LimitClient(Options options) noexcept
        : options(options)
    {
    }

    /// Sets the team's rule and its shards. Grants of former owners stay valid.
    void setShards(const LimitRule& wholeRule, std::span<const ShardRef> shardRefs);

    /// Admits one request from the available tokens; false when they do not suffice or other requests wait.
    [[nodiscard]] bool tryAcquire(Instant now);

    /// Queues a request that tryAcquire did not admit, until the deadline or the longest wait.
    [[nodiscard]] AdmissionTicket wait(Instant now, Instant deadline);

    /// True when tokens are missing and a shard can be asked, or grants of an idle team are to be returned.
    [[nodiscard]] bool hasRequests(Instant now) const;

    /// Creates the requests to send now. Each shard has at most one request for tokens in flight.
    [[nodiscard]] std::vector<ShardRequest> createRequests(Instant now);

    /// Takes the granted tokens of an owner that answered.
    void onAnswer(const ShardAnswer& answer, Instant now);

    /// Delays the next request to a shard whose owner did not answer or does not own it.
    void onFailure(const ShardRef& shard, Instant now);

    /// Removes the requests whose wait is over and returns their results.
    [[nodiscard]] std::vector<AdmissionResult> results(Instant now);

    /// Drops all grants and creates the requests that return them, for a planned stop or an idle team.
    [[nodiscard]] std::vector<ShardRequest> returnAllGrants(Instant now);

    /// True while a request waits for admission.
    [[nodiscard]] bool hasWaiters() const noexcept { return !this->waiters.empty(); }

    /// Unspent tokens of grants that have not expired.
    [[nodiscard]] Tokens availableTokens(Instant now) const;

private:
    struct Shard {
        ShardRef place;
        /// Tokens of the request in flight.
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
    /// Recent demand in requests per second, an exponentially decaying mean.
    double demand = 0;
    Instant demandAt;
};

} // namespace cyclamendrift
