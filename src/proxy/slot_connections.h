#pragma once

#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/connections/connection_pool.h>
#include <cyclamendrift/core/timer_service.h>
#include <cyclamendrift/proxy/database_home_factory.h>
#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/slot_control.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace cyclamendrift {

class SlotConnections;

/// A connection lent to one user. Goes back when it is destroyed, and is closed then unless it is clean.
class PooledConnection {
public:
    PooledConnection(
        std::shared_ptr<SlotConnections> slot, ConnectionId id, std::shared_ptr<Connection> connection);
    ~PooledConnection();
    PooledConnection(const PooledConnection&) = delete;
    PooledConnection& operator=(const PooledConnection&) = delete;

    /// Runs a pipeline; see Connection::execute.
    [[nodiscard]] asio::awaitable<std::vector<RowSet>> execute(
        std::span<const Statement> statements, Instant deadline);

    /// Makes sure of a connection that has been quiet, before anything is sent that must not be lost with it.
    [[nodiscard]] asio::awaitable<void> prove(Instant deadline);

    /// Ends a transaction that a failed statement left behind; closes the connection if that fails.
    [[nodiscard]] asio::awaitable<void> rollBack(Instant deadline);

    /// Closes it at once.
    void discard() noexcept;

    /// True when it has answered a moment ago.
    [[nodiscard]] bool hasRecentAnswer() const;

    [[nodiscard]] const SlotName& slotName() const noexcept;

    [[nodiscard]] bool belongsTo(const SlotConnections& slot) const noexcept
    {
        return this->slot.get() == &slot;
    }

    /// Called when it goes back.
    std::function<void()> onReturn;

private:
    std::shared_ptr<SlotConnections> slot;
    ConnectionId id;
    std::shared_ptr<Connection> connection;
};

/// The connections of a home to one slot: does the I/O that its ConnectionPool asks for.
class SlotConnections : public std::enable_shared_from_this<SlotConnections> {
public:
    struct Options {
        asio::any_io_executor executor;
        std::shared_ptr<TimerService> timers;
        SlotName name;
        Connection::Options target;
        Connector connector;
        Duration connectTimeout {};
        SlotControl::Options slotControl;
        ConnectionPool::Options pool;
        /// Called when a connection may have become free.
        std::function<void()> onChange;
        std::function<void(const StatusSample&)> onSample;
    };

    explicit SlotConnections(Options options);

    /// Opens, probes and closes what the pool asks for, with this many requests waiting.
    void update(std::size_t waiting);

    /// Lends an idle connection, if there is one.
    [[nodiscard]] std::unique_ptr<PooledConnection> acquire();

    /// Closes all connections for good; those in use when they come back.
    void retire();

    /// Closes all connections at once, also those in use.
    void abandon();

    /// True while the slot takes no connections and none is left.
    [[nodiscard]] bool isOutOfReach() const;

    [[nodiscard]] const SlotName& name() const noexcept { return this->options.name; }
    [[nodiscard]] std::size_t size() const noexcept { return this->pool.size(); }
    [[nodiscard]] const SlotControl& slotControl() const noexcept { return this->control; }

private:
    friend class PooledConnection;

    void act(const OpenConnection& action);
    void act(const CloseConnection& action);
    void act(const ProbeConnection& action);
    [[nodiscard]] asio::awaitable<void> open(ConnectionId id);
    [[nodiscard]] asio::awaitable<void> probe(ConnectionId id, std::shared_ptr<Connection> connection);
    void giveBack(ConnectionId id, const Connection& connection);
    void drop(ConnectionId id, Connection& connection);
    [[nodiscard]] Instant now() const noexcept { return this->options.timers->now(); }

    Options options;
    SlotControl control;
    ConnectionPool pool;
    std::map<ConnectionId, std::shared_ptr<Connection>> connections;
    bool retired = false;
};

} // namespace cyclamendrift
