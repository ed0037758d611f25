#include <cyclamendrift/connections/retry_budget.h>

#include <cyclamendrift/core/random_duration.h>

#include <algorithm>

namespace cyclamendrift {

RetryBudget::RetryBudget(Options options) noexcept
    : options(options)
    , tokens(options.maxTokens)
{
}

void RetryBudget::requested() noexcept
{
    this->tokens = std::min(this->tokens + this->options.retriesPerRequest, this->options.maxTokens);
}

std::optional<Duration> RetryBudget::retry(std::size_t attempt, RandomSource& random)
{
    if (attempt >= this->options.maxRetriesPerRequest || this->tokens < 1)
        return std::nullopt;
    this->tokens -= 1;
    constexpr std::size_t maxDoublings = 20;
    const Duration doubled = this->options.initialDelay * (1LL << std::min(attempt, maxDoublings));
    const auto limit = std::min(doubled, this->options.maxDelay);
    return randomDuration(limit, random);
}

} // namespace cyclamendrift
