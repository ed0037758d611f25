#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/pooling/forwarded_statement.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cyclamendrift {

/// Position of a waiting statement: by priority, then by arrival, then in the order of insertion.
struct WaitingPosition {
    std::uint32_t priority = 0;
    Instant arrivedAt;
    std::uint64_t number = 0;
    CallerId caller {};

    friend auto operator<=>(const WaitingPosition&, const WaitingPosition&) = default;
};

/// What a statement demands of an upstream, apart from the writes of its own session.
struct UpstreamDemand {
    /// Staleness that it tolerates at a replica; zero when only the primary may run it.
    Duration staleness {};

    friend auto operator<=>(const UpstreamDemand&, const UpstreamDemand&) = default;
};

/// A statement as it was added to WaitingStatements.
struct WaitingStatement {
    WaitingPosition position;
    UpstreamDemand demand;
    TeamName team;
    /// When it is refused unless an upstream has been found.
    Instant deadline;
};

/// The statements of one service that wait for a connection, indexed by position, team and deadline. A few
/// different demands are expected: one for each freshness that the routes of the service ask for.
class WaitingStatements {
public:
    [[nodiscard]] WaitingStatement add(WaitingStatement statement);
    void remove(const WaitingStatement& statement);

    [[nodiscard]] bool empty() const noexcept { return this->deadlines.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return this->deadlines.size(); }
    /// The statements by demand, in the order of their positions.
    using Queue = std::map<WaitingPosition, WaitingStatement>;
    [[nodiscard]] const std::map<UpstreamDemand, Queue>& byDemand() const noexcept { return this->queues; }
    /// The first statement after a position among the queues that `isOpen` accepts; null when there is none.
    template <class IsOpen>
    [[nodiscard]] const WaitingStatement* next(
        const std::optional<WaitingPosition>& after, const IsOpen& isOpen) const
    {
        const WaitingStatement* first = nullptr;
        for (const auto& [demand, queue] : this->queues) {
            if (!isOpen(demand))
                continue;
            const auto candidate = after ? queue.upper_bound(*after) : queue.begin();
            if (candidate != queue.end() && (first == nullptr || candidate->first < first->position))
                first = &candidate->second;
        }
        return first;
    }
    /// Number of statements with this demand that are at least as urgent as `priority`.
    [[nodiscard]] std::size_t count(const UpstreamDemand& demand, std::uint32_t priority) const;
    /// Number of statements with the same demand and priority that come after this one, up to `maximum`.
    [[nodiscard]] std::size_t countBehind(const WaitingStatement& statement, std::size_t maximum) const;
    /// The first statement of a team after a position; null when there is none.
    [[nodiscard]] const WaitingStatement* nextOf(
        const TeamName& team, const std::optional<WaitingPosition>& after) const;
    /// The statement with the earliest deadline; null when there is none.
    [[nodiscard]] const WaitingStatement* mostOverdue() const;

private:
    std::map<UpstreamDemand, Queue> queues;
    std::map<std::pair<TeamName, WaitingPosition>, const WaitingStatement*> teams;
    std::map<std::pair<Instant, std::uint64_t>, const WaitingStatement*> deadlines;
    std::map<std::pair<UpstreamDemand, std::uint32_t>, std::size_t> counts;
    std::uint64_t lastNumber = 0;
};

} // namespace cyclamendrift
