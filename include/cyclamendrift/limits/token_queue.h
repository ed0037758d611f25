#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/limits/team_share.h>

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cyclamendrift {

/// Number of priorities that limits distinguish; less urgent ones count as the last.
inline constexpr std::uint32_t tokenPriorities = 16;

/// The priority as limits count it.
[[nodiscard]] constexpr std::uint32_t clampPriority(std::uint32_t priority) noexcept
{
    return priority < tokenPriorities ? priority : tokenPriorities - 1;
}

/// Requests for tokens of one team's share that wait at the VM that holds the share: those of its own callers
/// and those of siblings. Tokens go to the most urgent request first, within a priority in order of arrival.
/// While tokens are short, some are reserved for the priorities that requested them recently.
///
///     queue.add({ .id = { .number = 7 }, .priority = 0, .until = now + 37ms }, now);
///     for (const auto& outcome : queue.serve(share, now)) answer(outcome);
///     wakeAt(queue.nextEvent(share, now));
class TokenQueue {
public:
    /// A request beyond these displaces the least urgent one, or is refused if it is that one.
    static constexpr std::size_t maxWaiters = 512;
    /// One token in this many goes to the least urgent priority, if it waits.
    static constexpr std::uint32_t leastUrgentInterval = 20;

    struct WaiterId {
        /// True for a request of a sibling.
        bool sibling = false;
        std::uint64_t number = 0;

        friend auto operator<=>(const WaiterId&, const WaiterId&) = default;
    };
    struct Waiter {
        WaiterId id;
        std::uint32_t priority = 0;
        std::uint32_t wanted = 1;
        /// A request that ends now is answered by the next serve().
        Instant until;
    };
    /// The end of a request: it got at least one token, or none within its time.
    struct Outcome {
        WaiterId id;
        std::uint32_t priority = 0;
        std::uint32_t given = 0;
    };
    using CountByPriority = std::array<std::uint32_t, tokenPriorities>;

    void add(Waiter waiter, Instant now);
    /// Removes a request without an outcome.
    void remove(const WaiterId& id);
    /// Hands out the share's tokens and returns the requests that have ended.
    [[nodiscard]] std::vector<Outcome> serve(TeamShare& share, Instant now);
    /// Removes all requests and returns them as refused.
    [[nodiscard]] std::vector<Outcome> clear();

    /// When serve() has something to do; Instant::max() when nothing waits.
    [[nodiscard]] Instant nextEvent(TeamShare& share, Instant now) const;
    [[nodiscard]] bool isEmpty() const noexcept { return this->waiters.empty() && this->refused.empty(); }
    /// Waiting requests of this VM's own callers.
    [[nodiscard]] CountByPriority ownWaiters() const;
    /// When the last waiting request of an own caller of that priority ends; Instant::min() if there is none.
    [[nodiscard]] Instant lastOwnEnd(std::uint32_t priority) const;

private:
    /// Tokens requested in each quarter of the last second, by priority.
    class RecentDemand {
    public:
        void add(std::uint32_t priority, std::uint32_t wanted, Instant now);
        [[nodiscard]] double moreUrgentThan(std::uint32_t priority, Instant now) const;
        /// The least urgent priority that was requested.
        [[nodiscard]] std::uint32_t leastUrgent(Instant now) const;

    private:
        static constexpr std::size_t slots = 4;
        struct Slot {
            std::int64_t number = -1;
            CountByPriority wanted {};
        };
        std::array<Slot, slots> recent;
    };
    struct Entry {
        Waiter waiter;
        Instant since;
        std::uint32_t given = 0;
    };

    [[nodiscard]] double reservedFor(const TeamShare& share, std::uint32_t priority, Instant now) const;
    [[nodiscard]] bool isLeastUrgentDue() const noexcept
    {
        return this->givenToOthers + 1 >= leastUrgentInterval;
    }
    /// The request that gets the next token; null when none may have it.
    [[nodiscard]] Entry* next(double available, const TeamShare& share, Instant now);
    void expire(Instant before, Instant now);

    /// Ordered by priority, then arrival.
    std::vector<Entry> waiters;
    std::vector<Outcome> refused;
    RecentDemand demand;
    /// Tokens are counted as short for a while after a request has waited in vain.
    Instant shortUntil = Instant::min();
    /// Tokens given to other priorities since the least urgent one got one.
    std::uint32_t givenToOthers = 0;
};

} // namespace cyclamendrift
