#pragma once

#include <cyclamendrift/core/instant.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/steady_timer.hpp>

#include <libpq-fe.h>

#include <cstdint>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Directions of a socket in which to wait for room or data.
enum class Readiness : std::uint8_t { Read, Write, ReadOrWrite };

/// How a wait on a socket ended.
enum class WaitResult : std::uint8_t { Ready, DeadlinePassed, Closed };

struct PqDeleter {
    void operator()(PGconn* connection) const noexcept { PQfinish(connection); }
};

struct PqResultDeleter {
    void operator()(PGresult* result) const noexcept { PQclear(result); }
};

using PqResult = std::unique_ptr<PGresult, PqResultDeleter>;

/// A libpq connection with its socket on Asio. Handlers that are still queued share it, so that it outlives
/// them.
class PqLink : public std::enable_shared_from_this<PqLink> {
public:
    PqLink(const asio::any_io_executor& executor, PGconn* connection);

    [[nodiscard]] PGconn* get() const noexcept { return this->connection.get(); }
    [[nodiscard]] bool isClosed() const noexcept { return this->closed; }

    /// Follows libpq to the socket that it uses now.
    void attach();

    /// Waits until the socket is ready or the deadline has passed or the link was closed.
    [[nodiscard]] asio::awaitable<WaitResult> wait(Readiness readiness, Instant deadline);

    /// Keeps an eye on an idle link: closes it when the other end does, or at the deadline.
    void watchIdle(Instant deadline);

    /// Ends the watch begun by watchIdle().
    void endIdle() noexcept;

    void close() noexcept;

private:
    void waitForRead();
    void waitForWrite();
    void readWhileIdle();

    asio::posix::stream_descriptor descriptor;
    asio::steady_timer timer;
    std::unique_ptr<PGconn, PqDeleter> connection;
    /// Counts the sockets that were followed.
    unsigned attachment = 0;
    bool readPending = false;
    bool writePending = false;
    bool ready = false;
    bool idle = false;
    bool closed = false;
};

} // namespace cyclamendrift
