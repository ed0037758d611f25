#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>

#include <cstddef>
#include <optional>

namespace cyclamendrift {

/// Bounds retries to a share of the requests that came, so that retries cannot multiply the load on an
/// upstream which is failing because of load.
///
///     budget.requested();
///     if (auto delay = budget.retry(attempt, random))
///         co_await sleep(*delay);
class RetryBudget {
public:
    struct Options {
        /// Retries that each request pays for.
        double retriesPerRequest = 0.1;
        /// Retries that may be saved up.
        double maxTokens = 10;
        std::size_t maxRetriesPerRequest = 2;
        Duration initialDelay = std::chrono::milliseconds { 10 };
        Duration maxDelay = std::chrono::milliseconds { 500 };
    };

    explicit RetryBudget(Options options) noexcept;

    /// Counts a request that came, not a retry of one.
    void requested() noexcept;

    /// Takes one retry and returns the delay before it, with full jitter; empty when there is none to take.
    /// `attempt` counts the retries that this request has had.
    [[nodiscard]] std::optional<Duration> retry(std::size_t attempt, RandomSource& random);

    /// True when there is a retry to take.
    [[nodiscard]] bool available() const noexcept { return this->tokens >= 1; }

private:
    Options options;
    double tokens;
};

} // namespace cyclamendrift
