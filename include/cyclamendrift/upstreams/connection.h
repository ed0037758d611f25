#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/statement.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace cyclamendrift {

/// One connection to an upstream through libpq's non-blocking calls. Used by one coroutine at a time, on the
/// executor that it was opened with, which must run one handler at a time (a strand or a context with one
/// thread); every failure is an UpstreamError.
class Connection {
public:
    struct Options {
        std::string host;
        std::uint16_t port = 0;
        std::string user;
        std::string password;
        std::string databaseName;
        /// Closes the connection when it was not used for so long; zero for never.
        Duration idleTimeout {};
        /// As libpq's sslmode, for example "require" or "verify-full".
        std::string sslMode = "prefer";
        /// As libpq's options. A query that was given up on runs on at the database until it notices that the
        /// connection is gone; on PostgreSQL 14 and later "-c client_connection_check_interval=1s" makes it.
        std::string startupOptions;
    };

    /// Opens a connection to an IP address, or throws UpstreamError with ConnectFailed or TooManyConnections.
    ///
    ///     auto connection = co_await Connection::open(executor, options, now + std::chrono::seconds { 1 });
    [[nodiscard]] static asio::awaitable<std::unique_ptr<Connection>> open(
        asio::any_io_executor executor, Options options, Instant deadline);

    virtual ~Connection() = default;

    /// Sends the statements in one pipeline, in order, and returns one whole answer for each. Throws at the
    /// first that fails; after TimedOut or ConnectionLost the connection is closed and not to be used again.
    /// After StatementFailed it can be used on. ConnectFailed says that nothing was sent, because the
    /// connection was closed already or the deadline had passed.
    ///
    ///     auto answers = co_await connection->execute(statements, deadline);
    [[nodiscard]] virtual asio::awaitable<std::vector<RowSet>> execute(
        std::span<const Statement> statements, Instant deadline)
        = 0;

    /// True when it is open, no transaction is open on it and no answer is outstanding.
    [[nodiscard]] virtual bool isClean() const noexcept = 0;

    /// Closes it at once; an execute in progress ends with ConnectionLost.
    virtual void close() noexcept = 0;
};

} // namespace cyclamendrift
