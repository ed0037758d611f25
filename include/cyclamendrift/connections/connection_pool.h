#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace cyclamendrift {

/// Identifies a connection within its pool; never reused.
enum class ConnectionId : std::uint64_t {};

/// Open a connection with this id; report opened() or openFailed().
struct OpenConnection {
    ConnectionId id {};
};
/// Close this connection at once; the pool has already removed it.
struct CloseConnection {
    ConnectionId id {};
};
/// Query the status on this idle connection, with a deadline far beyond Options::suspectAfter; report
/// answered() or lost().
struct ProbeConnection {
    ConnectionId id {};
};
/// An operation that the pool asks its owner to carry out.
using PoolAction = std::variant<OpenConnection, CloseConnection, ProbeConnection>;

/// Why opening a connection failed.
enum class OpenFailure : std::uint8_t { Unreachable, CapReached };

/// State of a connection at its release.
enum class ReleaseState : std::uint8_t {
    /// Open, without an open transaction or an outstanding answer.
    Clean,
    /// Any other state; the connection is closed and not reused.
    Dirty,
};

/// Pool of the connections from one home proxy to one slot. Opens connections within a budget, lends each to
/// one user at a time, closes connections that no longer answer and backs off while the slot refuses new
/// ones. Does no I/O: the owner carries out the actions from update() and reports their results.
///
///     for (const auto& action : pool.update(now, waiting))
///         act(action);
///     if (auto id = pool.acquire(now))
///         use(*id);
class ConnectionPool {
public:
    struct Options {
        /// Most connections, those being opened included.
        std::size_t budget = 1;
        /// Connections kept open without demand, so that a first request does not wait for one to open.
        std::size_t minConnections = 2;
        std::size_t maxOpening = 4;
        /// Time since its last answer after which an idle connection is probed.
        Duration probeAfter = std::chrono::seconds { 1 };
        /// Time without an answer after which a connection is suspected to be dead.
        Duration suspectAfter = std::chrono::milliseconds { 1500 };
        /// Interval between closing two connections while all are suspect.
        Duration suspectCloseInterval = std::chrono::milliseconds { 250 };
        Duration openTimeout = std::chrono::seconds { 2 };
        Duration initialBackOff = std::chrono::milliseconds { 50 };
        Duration maxBackOff = std::chrono::seconds { 2 };
    };

    explicit ConnectionPool(Options options) noexcept;

    /// Returns the actions to carry out, given the number of waiting requests; call after each report and
    /// periodically.
    [[nodiscard]] std::vector<PoolAction> update(Instant now, std::size_t waiting);

    /// Borrows the idle connection with the most recent answer; empty if none is idle.
    [[nodiscard]] std::optional<ConnectionId> acquire(Instant now);

    /// True if the connection answered so recently that it needs no check before a write.
    [[nodiscard]] bool hasRecentAnswer(ConnectionId id, Instant now) const;

    /// Reports that the user of a connection sent a request on it.
    void sent(ConnectionId id, Instant now);

    /// Reports an answer on a connection that is in use or probed; a probed one becomes idle.
    void answered(ConnectionId id, Instant now);

    /// Returns a connection to the pool; the next update() closes a dirty one.
    void release(ConnectionId id, ReleaseState state, Instant now);

    /// Reports that a connection was closed by the peer or has failed.
    void lost(ConnectionId id);

    /// Reports that OpenConnection succeeded.
    void opened(ConnectionId id, Instant now);

    /// Reports that OpenConnection failed.
    void openFailed(ConnectionId id, OpenFailure failure, Instant now);

    /// Closes all idle connections and opens no more; those in use are closed at their release.
    void retire();

    /// Reports an answer of the slot on a connection outside the pool.
    void slotAnswered(Instant now) noexcept;

    /// Connections that count against the slot's cap, those being opened included.
    [[nodiscard]] std::size_t size() const noexcept { return this->connections.size(); }
    [[nodiscard]] std::size_t idle() const noexcept;
    [[nodiscard]] std::size_t inUse() const noexcept;
    /// True while no connection is opened because the last attempt failed.
    [[nodiscard]] bool isBackingOff(Instant now) const noexcept { return now < this->nextOpenAt; }

private:
    static constexpr Instant noExchange = Instant::max();
    enum class Phase : std::uint8_t { Opening, Idle, Probing, InUse };
    struct Entry {
        Phase phase = Phase::Opening;
        Instant phaseSince;
        Instant lastAnswerAt;
        /// When the unanswered request was sent; noExchange if there is none.
        Instant sentAt = noExchange;
    };

    void closeDeadProbes(Instant now, std::vector<PoolAction>& actions);
    void closeOldestSuspect(Instant now, std::vector<PoolAction>& actions);
    void probeIdle(Instant now, std::vector<PoolAction>& actions);
    void openMissing(Instant now, std::size_t waiting, std::vector<PoolAction>& actions);
    [[nodiscard]] bool isSuspect(const Entry& entry, Instant now) const noexcept;

    Options options;
    std::map<ConnectionId, Entry> connections;
    std::vector<ConnectionId> toClose;
    std::uint64_t lastId = 0;
    std::size_t consecutiveOpenFailures = 0;
    Instant nextOpenAt {};
    Instant lastSlotAnswerAt {};
    Instant lastSuspectClose {};
    bool retired = false;
};

} // namespace cyclamendrift
