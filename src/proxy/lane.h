#pragma once

#include "slot_connections.h"
#include <cyclamendrift/proxy/one_shot.h>

#include <cyclamendrift/connections/fair_queue.h>
#include <cyclamendrift/core/request_error.h>

#include <asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <variant>

namespace cyclamendrift {

/// The queue before some connections, with the coroutines that wait in it.
class Lane : public std::enable_shared_from_this<Lane> {
public:
    struct Options {
        asio::any_io_executor executor;
        std::shared_ptr<TimerService> timers;
        FairQueue::Options queue;
    };

    /// Whose turn it is asked for.
    struct Request {
        TeamName team;
        KeyId key;
        std::uint32_t weight = 1;
        Priority priority = Priority::Normal;
        Instant deadline;
    };

    explicit Lane(Options options);

    /// Waits for a connection. Null when the lane was closed to it, so that it must ask elsewhere; throws
    /// RequestError when it is refused, and has not run then.
    [[nodiscard]] asio::awaitable<std::unique_ptr<PooledConnection>> acquire(Request request);

    /// Hands out idle connections of a slot in turn.
    void serve(SlotConnections& slot);

    /// Refuses those whose deadline has passed.
    void expire();

    /// Sends everybody elsewhere.
    void reroute();

    /// Refuses everybody.
    void refuseAll(const RequestError& refusal);

    /// Refuses those that came with a key.
    void refuseKey(const KeyId& key);

    [[nodiscard]] FairQueue& queue() noexcept { return this->fairQueue; }
    [[nodiscard]] std::size_t waiting() const noexcept { return this->fairQueue.size(); }

private:
    using Turn = std::variant<std::unique_ptr<PooledConnection>, RequestError>;
    struct Waiting {
        KeyId key;
        std::shared_ptr<OneShot<Turn>> turn;
    };

    void give(const QueuedRequest& request, Turn turn);
    [[nodiscard]] std::unique_ptr<PooledConnection> charge(
        std::unique_ptr<PooledConnection> connection, const QueuedRequest& request);

    Options options;
    FairQueue fairQueue;
    std::map<QueueTicket, Waiting> waitingTurns;
    std::uint64_t lastTicket = 0;
};

} // namespace cyclamendrift
