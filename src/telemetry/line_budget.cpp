#include <cyclamendrift/telemetry/line_budget.h>

#include <utility>

namespace cyclamendrift {

LineBudget::Second& LineBudget::current(std::string_view event, Instant now)
{
    auto match = this->seconds.find(event);
    if (match == this->seconds.end())
        match = this->seconds.emplace(std::string { event }, Second { .since = now }).first;
    auto& second = match->second;
    if (now >= second.since + std::chrono::seconds { 1 }) {
        second.leftOutBefore += second.leftOut;
        second.since = now;
        second.written = 0;
        second.leftOut = 0;
    }
    return second;
}

bool LineBudget::take(std::string_view event, Instant now)
{
    auto& second = this->current(event, now);
    if (second.written >= this->linesPerSecond) {
        ++second.leftOut;
        return false;
    }
    ++second.written;
    return true;
}

std::optional<std::uint64_t> LineBudget::takeLeftOut(std::string_view event, Instant now)
{
    const auto count = std::exchange(this->current(event, now).leftOutBefore, 0);
    return count == 0 ? std::nullopt : std::optional { count };
}

} // namespace cyclamendrift
