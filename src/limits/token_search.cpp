#include <cyclamendrift/limits/token_search.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

// Covers a round trip to another availability zone and a VM that is busy.
constexpr Duration maxTransit = std::chrono::milliseconds { 25 };
// A first holder that does not answer must leave the operation time to try the others.
constexpr int firstCallDivisor = 3;
constexpr Duration minRoundTrip = std::chrono::milliseconds { 1 };

} // namespace

TokenSearch::TokenSearch(Options options)
    : options(std::move(options))
    , roundTrip(minRoundTrip)
{
}

TokenSearch::Step TokenSearch::begin(Instant now)
{
    this->askedAt = now;
    if (!this->options.first)
        return this->waitAtAll(now);
    const auto transit = std::min(maxTransit, (this->options.until - now) / firstCallDivisor);
    return { .calls
        = { { .vm = *this->options.first, .wanted = this->options.wanted, .transit = transit } } };
}

TokenSearch::Step TokenSearch::answered(const VmName& vm, std::optional<std::uint32_t> given, Instant now)
{
    const auto tokens = given.value_or(0);
    this->waitingAt.erase(vm);
    if (this->ended)
        return { .unused = tokens };
    if (tokens > 0) {
        this->ended = true;
        return { .result = tokens,
            .withdrawn = std::vector<VmName>(this->waitingAt.begin(), this->waitingAt.end()) };
    }
    if (!this->waiting) {
        if (given)
            this->roundTrip = std::max(minRoundTrip, now - this->askedAt);
        else
            std::erase(this->options.donors, vm);
        return this->waitAtAll(now);
    }
    if (!this->waitingAt.empty())
        return {};
    this->ended = true;
    return { .result = 0 };
}

TokenSearch::Step TokenSearch::waitAtAll(Instant now)
{
    this->waiting = true;
    const auto wait = this->options.until - now - this->roundTrip;
    if (wait <= Duration {} || this->options.donors.empty()) {
        this->ended = true;
        return { .result = 0 };
    }
    Step step;
    for (const auto& vm : this->options.donors) {
        this->waitingAt.insert(vm);
        step.calls.push_back(
            { .vm = vm, .wanted = this->options.wanted, .wait = wait, .transit = maxTransit });
    }
    return step;
}

} // namespace cyclamendrift
