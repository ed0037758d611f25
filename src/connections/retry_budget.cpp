#include <cyclamendrift/connections/retry_budget.h>

#include <algorithm>
#include <random>

namespace cyclamendrift {

RetryBudget::RetryBudget(Options options) noexcept
    : options(options)
    , saved(options.maxSaved)
{
}

void RetryBudget::requested() noexcept
{
    this->saved = std::min(this->saved + this->options.retriesPerRequest, this->options.maxSaved);
}

std::optional<Duration> RetryBudget::retry(std::size_t attempt, RandomSource& random)
{
    if (attempt >= this->options.maxRetriesPerRequest || this->saved < 1)
        return std::nullopt;
    this->saved -= 1;
    constexpr std::size_t maxDoublings = 20;
    const Duration doubled = this->options.firstDelay * (1LL << std::min(attempt, maxDoublings));
    const auto limit = std::min(doubled, this->options.maxDelay);
    // Full jitter: requests that failed together would otherwise come back together.
    std::uniform_int_distribution<Duration::rep> delay { 0, limit.count() };
    return Duration { delay(random) };
}

} // namespace cyclamendrift
