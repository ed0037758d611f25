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

/// Connections to upstreams: the queue for them, their number and the detection of dead and slow ones.
namespace cyclamendrift {

/// Identifies a queued request; assigned by the queue's owner and never reused.
enum class QueueTicket : std::uint64_t {};

/// A request that waits for a connection.
struct QueuedRequest {
    QueueTicket ticket {};
    TeamName team;
    /// Share of the connections relative to other teams; 0 counts as 1.
    std::uint32_t weight = 1;
    Priority priority = Priority::Normal;
    Instant deadline;
    /// Connection time that pop() charged to the team; finished() corrects it.
    Duration chargedTime {};
};

/// The request was queued; it will be popped, evicted or expire.
struct Queued {
    /// A request that was removed to make room and has not run: the newest normal one of the same team, or
    /// the newest one of the team with the longest queue relative to its weight.
    std::optional<QueuedRequest> evicted;
};

/// The request was not queued, as it would not be served in time or the queue is full.
struct QueueRefusal {
    RefusalReason reason = RefusalReason::Overloaded;
    /// Time after which the same request would be accepted if no other arrived.
    Duration retryAfter {};
};

/// Result of FairQueue::push().
using Admission = std::variant<Queued, QueueRefusal>;

/// Queue that shares connections between teams in proportion to their weights, by connection time used
/// (start-time fair queueing), and refuses requests at once that it cannot serve before their deadline. High
/// priority goes first within a team, and before other teams' requests while its team's lead in connection
/// time is within Options::priorityLead.
///
///     FairQueue queue { { .connections = 9 } };
///     auto admission = queue.push({ .ticket = QueueTicket { 1 }, .team = team, .deadline = soon }, now);
///     if (auto next = queue.pop())
///         run(*next);
class FairQueue {
public:
    struct Options {
        /// Connections that serve the queue.
        std::size_t connections = 1;
        std::size_t maxQueued = 4096;
        std::size_t maxQueuedPerTeam = 1024;
        /// Largest lead of a team's high priority over the other teams, in connection time per unit of
        /// weight.
        Duration priorityLead = std::chrono::milliseconds { 50 };
        /// Initial estimate of the time that one request holds a connection.
        Duration expectedHold = std::chrono::milliseconds { 5 };
    };

    explicit FairQueue(Options options);

    /// Queues a request or refuses it; a refusal is final.
    [[nodiscard]] Admission push(QueuedRequest request, Instant now);

    /// Removes and returns the request to serve next; empty if none waits. Call expire() first, as pop() does
    /// not check deadlines.
    [[nodiscard]] std::optional<QueuedRequest> pop();

    /// Removes and returns the requests whose deadline has passed; none of them has run.
    [[nodiscard]] std::vector<QueuedRequest> expire(Instant now);

    /// Removes and returns all requests: the expired ones, then the others in the order of service.
    [[nodiscard]] std::vector<QueuedRequest> clear(Instant now);

    /// Charges the team of a popped request with the time that it held its connection, and updates the
    /// estimated hold times.
    void finished(const QueuedRequest& request, Duration held);

    /// Sets the number of connections that serve the queue.
    void setConnections(std::size_t connections) noexcept;

    /// Sets the time from which requests can be served; requests that are due earlier are refused with
    /// `reason`.
    void setAvailableFrom(Instant instant, RefusalReason reason) noexcept;

    /// Estimates the time until a request of this team and priority gets a connection, at the current rate of
    /// service.
    [[nodiscard]] Duration expectedWait(const QueuedRequest& request, Instant now) const;

    /// Number of waiting requests.
    [[nodiscard]] std::size_t size() const noexcept { return this->queued; }

private:
    struct Team {
        std::deque<QueuedRequest> high;
        std::deque<QueuedRequest> normal;
        double weight = 1;
        /// Connection time used per unit of weight, in seconds; comparable between teams.
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
    /// Virtual time of the least served team at the last pop(); never decreases. A team that was idle
    /// starts no earlier than here, so that it gains no credit.
    double virtualNow = 0;
    Instant availableFrom {};
    RefusalReason unavailableReason = RefusalReason::Overloaded;
};

} // namespace cyclamendrift
