#include <cyclamendrift/limits/token_queue.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration slotTime = std::chrono::milliseconds { 250 };
// Urgent operations of a team arrive several times a second when it exceeds its rate. A reserve that ended
// earlier would be given away between two of them.
constexpr Duration shortageTime = std::chrono::seconds { 1 };
// A request that another holder served is withdrawn within this time; covers a round trip to another zone.
constexpr Duration withdrawalTime = std::chrono::milliseconds { 15 };
// The share of the burst that may be held back from less urgent priorities.
constexpr double maxReservedFraction = 0.5;

std::int64_t slotOf(Instant now) { return now.time_since_epoch() / slotTime; }

} // namespace

void TokenQueue::RecentDemand::add(std::uint32_t priority, std::uint32_t wanted, Instant now)
{
    const auto number = slotOf(now);
    auto& slot = this->recent.at(static_cast<std::size_t>(number) % slots);
    if (slot.number != number)
        slot = Slot { .number = number };
    slot.wanted.at(priority) += wanted;
}

double TokenQueue::RecentDemand::moreUrgentThan(std::uint32_t priority, Instant now) const
{
    const auto oldest = slotOf(now) - static_cast<std::int64_t>(slots);
    std::uint64_t sum = 0;
    for (const auto& slot : this->recent) {
        for (std::uint32_t other = 0; slot.number > oldest && other < priority; ++other)
            sum += slot.wanted.at(other);
    }
    return static_cast<double>(sum);
}

std::uint32_t TokenQueue::RecentDemand::leastUrgent(Instant now) const
{
    const auto oldest = slotOf(now) - static_cast<std::int64_t>(slots);
    std::uint32_t least = 0;
    for (const auto& slot : this->recent) {
        for (std::uint32_t other = least; slot.number > oldest && other < tokenPriorities; ++other) {
            if (slot.wanted.at(other) > 0)
                least = other;
        }
    }
    return least;
}

void TokenQueue::add(Waiter waiter, Instant now)
{
    waiter.priority = clampPriority(waiter.priority);
    this->demand.add(waiter.priority, waiter.wanted, now);
    if (this->waiters.size() >= maxWaiters) {
        const auto& last = this->waiters.back().waiter;
        const bool displaces = waiter.priority < last.priority;
        const auto& loser = displaces ? last : waiter;
        this->refused.push_back({ .id = loser.id, .priority = loser.priority });
        if (!displaces)
            return;
        this->waiters.pop_back();
    }
    const auto position = std::upper_bound(this->waiters.begin(), this->waiters.end(), waiter.priority,
        [](std::uint32_t priority, const Entry& other) { return priority < other.waiter.priority; });
    this->waiters.insert(position, { .waiter = waiter, .since = now });
}

void TokenQueue::remove(const WaiterId& id)
{
    std::erase_if(this->waiters, [&id](const Entry& entry) { return entry.waiter.id == id; });
    std::erase_if(this->refused, [&id](const Outcome& outcome) { return outcome.id == id; });
}

std::vector<TokenQueue::Outcome> TokenQueue::serve(TeamShare& share, Instant now)
{
    // A request whose time is over is no longer awaited, unless it ends at this very moment.
    this->expire(now, now);
    while (auto* entry = this->next(share.availableTokens(now), share, now)) {
        if (!share.tryAcquire(now))
            break;
        ++entry->given;
        const bool isLeastUrgent = entry->waiter.priority == this->demand.leastUrgent(now);
        this->givenToOthers = isLeastUrgent ? 0 : this->givenToOthers + 1;
    }
    auto outcomes = std::exchange(this->refused, {});
    std::erase_if(this->waiters, [&outcomes](const Entry& entry) {
        if (entry.given > 0)
            outcomes.push_back(
                { .id = entry.waiter.id, .priority = entry.waiter.priority, .given = entry.given });
        return entry.given > 0;
    });
    if (std::any_of(this->waiters.begin(), this->waiters.end(),
            [now](const Entry& entry) { return entry.since + withdrawalTime <= now; }))
        this->shortUntil = now + shortageTime;
    this->expire(now + Duration { 1 }, now);
    outcomes.insert(outcomes.end(), this->refused.begin(), this->refused.end());
    this->refused.clear();
    return outcomes;
}

std::vector<TokenQueue::Outcome> TokenQueue::clear()
{
    this->expire(Instant::max(), Instant::min());
    return std::exchange(this->refused, {});
}

Instant TokenQueue::nextEvent(TeamShare& share, Instant now) const
{
    if (!this->refused.empty())
        return now;
    if (this->waiters.empty())
        return Instant::max();
    const auto first = std::min_element(this->waiters.begin(), this->waiters.end(),
        [](const Entry& left, const Entry& right) { return left.waiter.until < right.waiter.until; });
    const auto least = this->demand.leastUrgent(now);
    const bool takesExempt = this->isLeastUrgentDue()
        && std::any_of(this->waiters.begin(), this->waiters.end(),
            [least](const Entry& entry) { return entry.waiter.priority == least; });
    const auto reserved
        = takesExempt ? 0 : this->reservedFor(share, this->waiters.front().waiter.priority, now);
    const auto missing = 1 + reserved - share.availableTokens(now);
    if (share.rate() <= 0)
        return first->waiter.until;
    const std::chrono::duration<double> wait { std::clamp(missing / share.rate(), 0.0, 1.0) };
    // Rounded up: a moment earlier the token would not be complete.
    return std::min(first->waiter.until, now + std::chrono::ceil<std::chrono::microseconds>(wait));
}

TokenQueue::CountByPriority TokenQueue::ownWaiters() const
{
    CountByPriority counts {};
    for (const auto& entry : this->waiters) {
        if (!entry.waiter.id.sibling)
            ++counts.at(entry.waiter.priority);
    }
    return counts;
}

Instant TokenQueue::lastOwnEnd(std::uint32_t priority) const
{
    auto last = Instant::min();
    for (const auto& entry : this->waiters) {
        if (!entry.waiter.id.sibling && entry.waiter.priority == priority)
            last = std::max(last, entry.waiter.until);
    }
    return last;
}

double TokenQueue::reservedFor(const TeamShare& share, std::uint32_t priority, Instant now) const
{
    if (priority == 0 || now >= this->shortUntil)
        return 0;
    // A full bucket must always have a token for anyone: what accrues beyond the burst would be lost.
    const auto limit = std::max(0.0, std::min(share.burst() * maxReservedFraction, share.burst() - 1));
    return std::min(limit, this->demand.moreUrgentThan(priority, now));
}

TokenQueue::Entry* TokenQueue::next(double available, const TeamShare& share, Instant now)
{
    const auto isOpen = [](const Entry& entry) { return entry.given < entry.waiter.wanted; };
    const auto first = std::find_if(this->waiters.begin(), this->waiters.end(), isOpen);
    if (first == this->waiters.end() || available < 1)
        return nullptr;
    if (this->isLeastUrgentDue()) {
        const auto least = this->demand.leastUrgent(now);
        const auto exempt = std::find_if(first, this->waiters.end(),
            [&](const Entry& entry) { return isOpen(entry) && entry.waiter.priority == least; });
        if (exempt != this->waiters.end())
            return &*exempt;
    }
    // The reserve against less urgent requests is at least as large, so none of those may have the token.
    return available - this->reservedFor(share, first->waiter.priority, now) >= 1 ? &*first : nullptr;
}

void TokenQueue::expire(Instant before, Instant now)
{
    std::erase_if(this->waiters, [this, before, now](const Entry& entry) {
        const bool over = entry.waiter.until < before;
        // A request that waited here waited at the other holders, too. One that was answered at once may have
        // got its tokens there.
        if (over && entry.waiter.until > entry.since)
            this->shortUntil = std::max(this->shortUntil, now + shortageTime);
        if (over)
            this->refused.push_back({ .id = entry.waiter.id, .priority = entry.waiter.priority });
        return over;
    });
}

} // namespace cyclamendrift
