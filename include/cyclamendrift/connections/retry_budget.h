#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>

#include <cstddef>
#include <optional>

namespace cyclamendrift {

/// Token bucket that limits retries to a share of the requests, so that retries cannot multiply the load on
/// an upstream that fails because of overload.
///
///     budget.requested();
///     if (auto delay = budget.retry(attempt, random))
///         co_await sleep(*delay);
class RetryBudget {
public:
    struct Options {
        /// Tokens that each request adds; a retry uses one token.
        double retriesPerRequest = 0.1;
        /// Capacity of the bucket, in tokens.
        double maxTokens = 10;
        std::size_t maxRetriesPerRequest = 2;
        Duration initialDelay = std::chrono::milliseconds { 10 };
        Duration maxDelay = std::chrono::milliseconds { 500 };
    };

    explicit RetryBudget(Options options) noexcept;

    /// Counts a new request; not to be called for retries.
    void requested() noexcept;

    /// Uses one token and returns the delay before the retry, with full jitter; empty if no retry is allowed.
    /// `attempt` is the number of retries that the request has had.
    [[nodiscard]] std::optional<Duration> retry(std::size_t attempt, RandomSource& random);

    /// True if there is a token for a retry.
    [[nodiscard]] bool available() const noexcept { return this->tokens >= 1; }

private:
    Options options;
    double tokens;
};

} // namespace cyclamendrift
