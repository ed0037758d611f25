#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace cyclamendrift {

/// Number of a connection within its pool, never used twice.
enum class ConnectionId : std::uint64_t {};

/// Start to open a connection under this number; report opened() or openFailed().
struct OpenConnection {
    ConnectionId id {};
};
/// Close this connection at once; it is forgotten already.
struct CloseConnection {
    ConnectionId id {};
};
/// Ask this idle connection for the status, with a deadline far beyond the pool's patience; report
/// answered() or lost().
struct ProbeConnection {
    ConnectionId id {};
};
/// What a pool wants done.
using PoolAction = std::variant<OpenConnection, CloseConnection, ProbeConnection>;

/// Why opening a connection failed.
enum class OpenFailure : std::uint8_t { Unreachable, CapReached };

/// How a connection came back.
enum class ReleaseState : std::uint8_t {
    /// Open, with no transaction and no answer outstanding.
    Clean,
    /// Anything else; it is closed and never used again.
    Dirty,
};

/// Keeps the books of the connections of one home to one slot: opens them within a budget, hands each to one
/// user at a time, closes those that went silent, and backs off from a slot that refuses. Does no I/O: its
/// owner acts on what update() returns and reports what happened.
///
///     for (const auto& action : pool.update(now, waiting))
///         act(action);
///     if (auto id = pool.acquire(now))
///         use(*id);
class ConnectionPool {
public:
    struct Options {
        std::size_t budget = 1;
        /// Connections kept open without demand, so that a first request need not wait for a connect.
        std::size_t minConnections = 2;
        std::size_t maxOpening = 4;
        /// An idle connection is probed when its last answer is this old.
        Duration probeAfter = std::chrono::seconds { 1 };
        /// An exchange without an answer for this long makes its connection suspect.
        Duration suspectAfter = std::chrono::milliseconds { 1500 };
        /// While all connections are suspect, one is closed this often.
        Duration suspectCloseInterval = std::chrono::milliseconds { 250 };
        Duration openTimeout = std::chrono::seconds { 2 };
        Duration initialBackOff = std::chrono::milliseconds { 50 };
        Duration maxBackOff = std::chrono::seconds { 2 };
    };

    explicit ConnectionPool(Options options) noexcept;

    /// What to do now, with this many requests waiting; call after each report and at every nextUpdate().
    [[nodiscard]] std::vector<PoolAction> update(Instant now, std::size_t waiting);

    /// Hands out the idle connection whose last answer is the most recent.
    [[nodiscard]] std::optional<ConnectionId> acquire(Instant now);

    /// True when the connection has answered so recently that it need not be proved before a write.
    [[nodiscard]] bool hasRecentAnswer(ConnectionId id, Instant now) const;

    /// Reports that the user of a connection has sent something.
    void sent(ConnectionId id, Instant now);

    /// Reports an answer on a connection in use or under probe; a probed one becomes idle.
    void answered(ConnectionId id, Instant now);

    /// Takes a connection back. A dirty one is closed by the next update().
    void release(ConnectionId id, ReleaseState state, Instant now);

    /// Reports that a connection is gone.
    void lost(ConnectionId id);

    /// Reports that an OpenConnection succeeded.
    void opened(ConnectionId id, Instant now);

    /// Reports that an OpenConnection failed.
    void openFailed(ConnectionId id, OpenFailure failure, Instant now);

    /// Closes all idle connections and opens no more; those in use are closed when they come back.
    void retire();

    /// Reports an answer of the slot over a connection outside of the pool.
    void slotAnswered(Instant now) noexcept;

    /// Connections that count against the slot's cap, those being opened among them.
    [[nodiscard]] std::size_t size() const noexcept { return this->connections.size(); }
    [[nodiscard]] std::size_t idle() const noexcept;
    [[nodiscard]] std::size_t inUse() const noexcept;
    /// True while the slot refuses connections or cannot be reached.
    [[nodiscard]] bool isBackingOff(Instant now) const noexcept { return now < this->nextOpenAt; }

private:
    static constexpr Instant noExchange = Instant::max();
    enum class Phase : std::uint8_t { Opening, Idle, Probing, InUse };
    struct Entry {
        Phase phase = Phase::Opening;
        Instant phaseSince;
        Instant lastAnswerAt;
        /// When what has no answer yet was sent; noExchange when nothing is outstanding.
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
