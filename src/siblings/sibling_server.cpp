#include "message_key.h"
#include "server_connection.h"

#include <cyclamendrift/siblings/sibling_server.h>

#include <asio/dispatch.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <chrono>
#include <set>
#include <utility>

namespace cyclamendrift {

using asio::ip::tcp;

namespace {

/// Pause after a failed accept, for example without free file descriptors. Retrying at once would fail again
/// and keep a whole core busy.
constexpr auto acceptBackoff = std::chrono::milliseconds { 100 };

} // namespace

struct SiblingServer::State : std::enable_shared_from_this<State> {
    State(const asio::any_io_executor& executor, Options options)
        : handlerExecutor(executor)
        , strand(asio::make_strand(executor))
        , acceptor(strand, tcp::endpoint { asio::ip::make_address(options.host), options.port })
        , acceptBackoffTimer(strand)
        , port(acceptor.local_endpoint().port())
        , options(std::move(options))
        , secretKey(MessageKey::fromSecret(this->options.secret))
    {
    }

    void accept()
    {
        this->acceptor.async_accept(asio::any_io_executor { asio::make_strand(this->handlerExecutor) },
            [self = this->shared_from_this()](const std::error_code& error, tcp::socket socket) {
                if (!self->acceptor.is_open())
                    return;
                if (error) {
                    self->scheduleAcceptRetry();
                    return;
                }
                self->serve(std::move(socket));
                self->accept();
            });
    }

    void scheduleAcceptRetry()
    {
        this->acceptBackoffTimer.expires_after(acceptBackoff);
        this->acceptBackoffTimer.async_wait([self = this->shared_from_this()](const std::error_code&) {
            if (self->acceptor.is_open())
                self->accept();
        });
    }

    void serve(tcp::socket socket)
    {
        if (this->connections.size() >= this->options.maxConnections)
            return;
        const auto connectionId = ++this->lastConnectionId;
        const auto connectionExecutor = socket.get_executor();
        ServerConnection::Options connectionOptions;
        connectionOptions.connection.side = Http2Connection::Side::Server;
        connectionOptions.connection.maxConcurrentStreams = this->options.maxConcurrentStreams;
        connectionOptions.connection.pingInterval = this->options.pingInterval;
        connectionOptions.connection.pingTimeout = this->options.pingTimeout;
        connectionOptions.secretKey = this->secretKey;
        connectionOptions.maxMessageBytes = this->options.maxMessageBytes;
        connectionOptions.acceptsBinary = this->options.binaryEncoding;
        connectionOptions.handlerExecutor = this->handlerExecutor;
        connectionOptions.handler = this->options.handler;
        connectionOptions.onClosed = [weak = this->weak_from_this(), connectionId] {
            if (const auto self = weak.lock())
                asio::post(self->strand, [self, connectionId] { self->connections.erase(connectionId); });
        };
        auto connection = std::make_shared<ServerConnection>(std::move(socket), std::move(connectionOptions));
        this->connections[connectionId] = { connection, connectionExecutor };
        asio::post(connectionExecutor, [connection] { connection->serve(); });
    }

    void drain()
    {
        std::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& [connectionId, entry] : this->connections)
            asio::post(entry.executor, [connection = entry.connection] { connection->drain(); });
    }

    void close()
    {
        std::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& [connectionId, entry] : this->connections)
            asio::post(entry.executor, [connection = entry.connection] { connection->close(); });
    }

    struct ConnectionEntry {
        std::shared_ptr<ServerConnection> connection;
        asio::any_io_executor executor;
    };

    asio::any_io_executor handlerExecutor;
    asio::any_io_executor strand;
    tcp::acceptor acceptor;
    asio::steady_timer acceptBackoffTimer;
    std::uint16_t port = 0;
    Options options;
    MessageKey secretKey;
    std::map<std::uint64_t, ConnectionEntry> connections;
    std::uint64_t lastConnectionId = 0;
};

SiblingServer::SiblingServer(const asio::any_io_executor& executor, Options options)
    : state(std::make_shared<State>(executor, std::move(options)))
{
    asio::post(this->state->strand, [state = this->state] { state->accept(); });
}

SiblingServer::~SiblingServer()
{
    asio::post(this->state->strand, [state = this->state] { state->close(); });
}

std::uint16_t SiblingServer::port() const noexcept { return this->state->port; }

void SiblingServer::drain()
{
    asio::post(this->state->strand, [state = this->state] { state->drain(); });
}

} // namespace cyclamendrift
