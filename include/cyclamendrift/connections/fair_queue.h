#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/core/statement.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

/// Scarce connections: who waits for them, how many there are and which of them still work.
namespace cyclamendrift {

/// Number of a request in the queue, given by the queue's owner and never used twice.
enum class QueueTicket : std::uint64_t {};

/// A request that waits for a connection.
struct QueuedRequest {
    QueueTicket ticket {};
    TeamName team;
    /// Share of the connections relative to other teams; 0 stands for 1.
    std::uint32_t weight = 1;
    Priority priority = Priority::Normal;
    Instant deadline;
    /// Connection time that pop() charged the team with; finished() corrects it.
    Duration chargedTime {};
};

/// The request waits; it will be popped, evicted or expire.
struct Queued {
    /// A request of the team with the longest queue that was put out to make room; it has not run.
    std::optional<QueuedRequest> evicted;
};

/// The request would not be served in time, so it was not taken.
struct QueueRefusal {
    RefusalReason reason = RefusalReason::Overloaded;
    /// When the same request would be taken if nothing else arrived.
    Duration retryAfter {};
};

/// What became of a request that asked for a place in the queue.
using Admission = std::variant<Queued, QueueRefusal>;

/// Shares connections between teams in proportion to their weights, by connection time used (start-time fair
/// queueing), and refuses at once what it cannot serve before its deadline. High priority goes first within a
/// team, and before other teams' requests while its team is not too far ahead of them.
///
///     FairQueue queue { { .connections = 9 } };
///     auto admission = queue.push({ .ticket = QueueTicket { 1 }, .team = team, .deadline = soon }, now);
///     if (auto next = queue.pop())
///         run(*next);
class FairQueue {
public:
    struct Options {
        /// Connections that work off the queue.
        std::size_t connections = 1;
        std::size_t maxQueued = 4096;
        std::size_t maxQueuedPerTeam = 1024;
        /// Connection time per unit of weight that a team's high priority may be ahead of the other teams.
        Duration priorityLead = std::chrono::milliseconds { 50 };
        /// Time that one request holds a connection, before any has been measured.
        Duration expectedHold = std::chrono::milliseconds { 5 };
    };

    explicit FairQueue(Options options);

    /// Asks for a place; a refusal is final and comes at once.
    [[nodiscard]] Admission push(QueuedRequest request, Instant now);

    /// The request to serve next, if one waits. Call expire() first: a request past its deadline is not kept
    /// back here.
    [[nodiscard]] std::optional<QueuedRequest> pop();

    /// Removes and returns the requests whose deadline has passed; they have not run.
    [[nodiscard]] std::vector<QueuedRequest> expire(Instant now);

    /// Removes and returns everything, in the order in which it would have been served.
    [[nodiscard]] std::vector<QueuedRequest> clear(Instant now);

    /// Accounts for the time that a popped request held its connection.
    void finished(const QueuedRequest& request, Duration held);

    /// Sets how many connections work off the queue.
    void setConnections(std::size_t connections) noexcept;

    /// Says when service is expected to be possible (again); until then requests with an earlier deadline are
    /// refused with `reason`.
    void setAvailableFrom(Instant instant, RefusalReason reason) noexcept;

    /// Time until a request of this team and priority would get a connection, by the current rate.
    [[nodiscard]] Duration expectedWait(const QueuedRequest& request, Instant now) const;

    /// Requests that wait.
    [[nodiscard]] std::size_t size() const noexcept { return this->queued; }

private:
    struct Team {
        std::deque<QueuedRequest> high;
        std::deque<QueuedRequest> normal;
        double weight = 1;
        /// Connection time used per unit of weight, on the scale of all teams.
        double virtualTime = 0;
        double expectedHold = 0;

        [[nodiscard]] std::size_t size() const noexcept { return this->high.size() + this->normal.size(); }
    };
    using Teams = std::map<TeamName, Team>;

    [[nodiscard]] Team& activateTeam(const QueuedRequest& request);
    [[nodiscard]] double backlogSeconds(const QueuedRequest& request) const;
    [[nodiscard]] std::optional<QueuedRequest> makeRoomFor(const QueuedRequest& request);
    [[nodiscard]] std::optional<QueuedRequest> evictFromLongestQueue(const QueuedRequest& request);
    [[nodiscard]] Teams::iterator selectNext();
    [[nodiscard]] Teams::iterator selectHighPriority(const Team& leastServed);
    [[nodiscard]] QueuedRequest popFrom(Team& team);
    void dropIdleTeams();

    Options options;
    Teams teams;
    std::size_t queued = 0;
    double expectedHold;
    /// Virtual time of the team served last; a team that was idle starts from here and not from its past.
    double virtualNow = 0;
    Instant availableFrom {};
    RefusalReason unavailableReason = RefusalReason::Overloaded;
};

} // namespace cyclamendrift
