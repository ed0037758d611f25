#include "client_connection.h"
#include "message_key.h"
#include "sibling_protocol.h"

#include <cyclamendrift/siblings/sibling_client.h>
#include <cyclamendrift/siblings/sibling_error.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <exception>
#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamendrift {

namespace protocol = sibling_protocol;
using asio::ip::tcp;

namespace {

using ConnectionPointer = std::shared_ptr<ClientConnection>;

[[noreturn]] void throwSiblingError(SiblingError::Kind kind, const std::string& message)
{
    throw SiblingError { kind, message };
}

/// Key of the connection for a call. A VM that returns at another address gets a new connection.
struct PeerKey {
    std::string vm;
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const PeerKey&, const PeerKey&) = default;
};

/// Connection attempt shared by all calls that wait for the connection.
struct ConnectAttempt {
    bool done = false;
    ConnectionPointer connection;
    std::exception_ptr failure;
    std::vector<std::shared_ptr<asio::steady_timer>> waiters;

    void finish()
    {
        this->done = true;
        for (const auto& timer : this->waiters)
            timer->cancel();
    }
};

struct Peer {
    ConnectionPointer connection;
    std::shared_ptr<ConnectAttempt> attempt;
};

asio::awaitable<tcp::socket> connectSocket(
    asio::any_io_executor executor, std::string host, std::uint16_t port, Instant deadline)
{
    std::error_code error;
    const tcp::endpoint endpoint { asio::ip::make_address(host, error), port };
    if (error)
        throwSiblingError(SiblingError::Kind::Unreachable, "sibling host is not an IP address: " + host);
    auto socket = std::make_shared<tcp::socket>(executor);
    asio::steady_timer timer { executor, deadline };
    timer.async_wait([socket](const std::error_code& cancelled) {
        std::error_code ignored;
        if (!cancelled)
            socket->close(ignored);
    });
    co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error || !socket->is_open())
        throwSiblingError(SiblingError::Kind::Unreachable,
            "could not connect to sibling at " + host + ':' + std::to_string(port));
    co_return std::move(*socket);
}

} // namespace

struct SiblingClient::State : std::enable_shared_from_this<State> {
    State(const asio::any_io_executor& executor, Options options)
        : strand(asio::make_strand(executor))
        , options(std::move(options))
        , secretKey(MessageKey::fromSecret(this->options.secret))
    {
    }

    static asio::awaitable<std::string> call(
        std::shared_ptr<State> self, SiblingAddress address, SiblingCall call);
    static asio::awaitable<ConnectionPointer> connectionTo(
        std::shared_ptr<State> self, SiblingAddress address, Instant deadline);
    static asio::awaitable<void> connect(
        std::shared_ptr<State> self, PeerKey key, std::shared_ptr<ConnectAttempt> attempt);
    static asio::awaitable<ConnectionPointer> open(std::shared_ptr<State> self, PeerKey key);

    [[nodiscard]] ClientConnection::Message makeMessage(
        const ClientConnection& connection, SiblingCall& call) const;
    void removeClosedPeer(const PeerKey& key);
    void closeAll();

    asio::any_io_executor strand;
    Options options;
    MessageKey secretKey;
    std::map<PeerKey, Peer> peers;
    bool stopped = false;
};

ClientConnection::Message SiblingClient::State::makeMessage(
    const ClientConnection& connection, SiblingCall& call) const
{
    const auto remaining = call.deadline - std::chrono::steady_clock::now();
    const auto timeout = std::min<std::chrono::microseconds>(
        std::chrono::duration_cast<std::chrono::microseconds>(remaining), protocol::maxCallTimeout);
    if (timeout <= timeout.zero())
        throwSiblingError(SiblingError::Kind::Unreachable, "the deadline passed before the call was sent");
    if (call.body.size() > this->options.maxMessageBytes)
        throwSiblingError(SiblingError::Kind::Unreachable, "the call exceeds the maximum message size");
    const auto timeoutText = std::to_string(timeout.count());
    const auto streamId = std::to_string(connection.upcomingStreamId());
    const auto path = '/' + call.method;
    const auto macInput = { protocol::callLabel, std::string_view { streamId }, this->options.self.view(),
        std::string_view { path }, std::string_view { timeoutText }, std::string_view { call.traceparent },
        std::string_view { call.body } };
    ClientConnection::Message message;
    message.fields.push_back({ std::string { protocol::fromField }, this->options.self.string() });
    if (!call.traceparent.empty())
        message.fields.push_back({ std::string { protocol::traceField }, call.traceparent, true });
    if (!connection.acceptsBinary()) {
        message.path = path;
        message.fields.push_back({ std::string { protocol::timeoutField }, timeoutText, true });
        message.fields.push_back(
            { std::string { protocol::macField }, connection.key().computeMac(macInput), true });
        message.body = std::move(call.body);
        return message;
    }
    const auto mac = connection.key().computeBinaryMac(macInput);
    message.path = std::string { protocol::binaryPath };
    message.fields.push_back({ std::string { protocol::methodField }, call.method });
    message.body = std::move(call.body);
    message.body += protocol::encodeTimeout(static_cast<std::uint32_t>(timeout.count()));
    message.body += mac;
    return message;
}

asio::awaitable<std::string> SiblingClient::State::call(
    std::shared_ptr<State> self, SiblingAddress address, SiblingCall call)
{
    const auto connection = co_await connectionTo(self, std::move(address), call.deadline);
    auto message = self->makeMessage(*connection, call);
    const auto answer = co_await connection->exchange(std::move(message), call.deadline);
    if (answer->status == "401")
        throwSiblingError(
            SiblingError::Kind::NotAuthenticated, "the sibling rejected the call's authentication code");
    if (connection->acceptsBinary())
        answer->mac = protocol::takeMac(answer->body);
    if (answer->body.size() > self->options.maxMessageBytes)
        throwSiblingError(
            SiblingError::Kind::BadAnswer, "the sibling's answer exceeds the maximum message size");
    const auto streamId = std::to_string(answer->id);
    const auto macInput = { protocol::answerLabel, std::string_view { streamId },
        std::string_view { answer->result }, std::string_view { answer->body } };
    const bool authentic = connection->acceptsBinary() ? connection->key().verifyBinary(answer->mac, macInput)
                                                       : connection->key().verify(answer->mac, macInput);
    if (!authentic)
        throwSiblingError(SiblingError::Kind::BadAnswer, "the answer's authentication code is wrong");
    if (answer->result == protocol::refusedResult)
        throw protocol::decodeRefusal(answer->body);
    if (answer->result != protocol::answeredResult)
        throwSiblingError(SiblingError::Kind::BadAnswer, "the sibling's answer has an unknown result");
    co_return std::move(answer->body);
}

asio::awaitable<ConnectionPointer> SiblingClient::State::connectionTo(
    std::shared_ptr<State> self, SiblingAddress address, Instant deadline)
{
    const PeerKey key { .vm = address.vm.string(), .host = address.host, .port = address.port };
    if (self->stopped)
        throwSiblingError(SiblingError::Kind::Unreachable, "the sibling client is closed");
    auto& peer = self->peers[key];
    if (peer.connection && peer.connection->canOpenStream())
        co_return peer.connection;
    // co_spawn runs an attempt that fails without suspending to its end, which removes the peer: `peer` may
    // dangle afterwards.
    auto attempt = peer.attempt;
    if (!attempt) {
        attempt = std::make_shared<ConnectAttempt>();
        peer.attempt = attempt;
        asio::co_spawn(self->strand, connect(self, key, attempt), asio::detached);
    }
    const auto timer = std::make_shared<asio::steady_timer>(self->strand, deadline);
    std::error_code ignored;
    if (!attempt->done) {
        attempt->waiters.push_back(timer);
        co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        std::erase(attempt->waiters, timer);
    }
    if (!attempt->done)
        throwSiblingError(
            SiblingError::Kind::Unreachable, "no connection to the sibling before the deadline");
    if (attempt->failure)
        std::rethrow_exception(attempt->failure);
    co_return attempt->connection;
}

asio::awaitable<void> SiblingClient::State::connect(
    std::shared_ptr<State> self, PeerKey key, std::shared_ptr<ConnectAttempt> attempt)
{
    try {
        attempt->connection = co_await open(self, key);
    } catch (const SiblingError&) {
        attempt->failure = std::current_exception();
    } catch (const std::exception& error) {
        attempt->failure
            = std::make_exception_ptr(SiblingError { SiblingError::Kind::Unreachable, error.what() });
    }
    auto& peer = self->peers[key];
    peer.attempt = nullptr;
    peer.connection = attempt->connection;
    if (attempt->failure)
        self->removeClosedPeer(key);
    attempt->finish();
    if (self->stopped)
        self->closeAll();
}

asio::awaitable<ConnectionPointer> SiblingClient::State::open(std::shared_ptr<State> self, PeerKey key)
{
    const auto deadline = std::chrono::steady_clock::now() + self->options.connectTimeout;
    auto socket = co_await connectSocket(self->strand, key.host, key.port, deadline);
    ClientConnection::Options connectionOptions;
    connectionOptions.connection.side = Http2Connection::Side::Client;
    connectionOptions.connection.pingInterval = self->options.pingInterval;
    connectionOptions.connection.pingTimeout = self->options.pingTimeout;
    connectionOptions.connection.idleTimeout = self->options.idleTimeout;
    if (self->options.onWireBytes)
        connectionOptions.connection.onWireBytes
            = [counter = self->options.onWireBytes, vm = VmName { key.vm }](
                  std::size_t size) { counter(vm, size); };
    connectionOptions.maxMessageBytes = self->options.maxMessageBytes;
    connectionOptions.maxConcurrentCalls = self->options.maxConcurrentCalls;
    connectionOptions.offersBinary = self->options.binaryEncoding;
    connectionOptions.onClosed = [weak = self->weak_from_this(), key] {
        if (const auto state = weak.lock())
            state->removeClosedPeer(key);
    };
    auto connection = std::make_shared<ClientConnection>(std::move(socket), std::move(connectionOptions));
    connection->start();
    std::exception_ptr failure;
    try {
        co_await connection->authenticate(self->secretKey, deadline);
    } catch (const SiblingError& error) {
        // Only the hello was sent, so none of the waiting calls can have run.
        const bool connectionLost = error.kind() == SiblingError::Kind::OutcomeUnknown;
        const auto kind = connectionLost ? SiblingError::Kind::Unreachable : error.kind();
        failure = std::make_exception_ptr(SiblingError { kind, error.what() });
    }
    if (failure) {
        connection->close();
        std::rethrow_exception(failure);
    }
    co_return connection;
}

/// Removes a peer without an open connection; entries of siblings that left would otherwise accumulate.
void SiblingClient::State::removeClosedPeer(const PeerKey& key)
{
    const auto found = this->peers.find(key);
    if (found == this->peers.end() || found->second.attempt)
        return;
    if (!found->second.connection || found->second.connection->isClosed())
        this->peers.erase(found);
}

void SiblingClient::State::closeAll()
{
    this->stopped = true;
    const auto open = this->peers;
    for (const auto& [key, peer] : open) {
        if (peer.connection)
            peer.connection->close();
    }
}

SiblingClient::SiblingClient(const asio::any_io_executor& executor, Options options)
    : state(std::make_shared<State>(executor, std::move(options)))
{
}

SiblingClient::~SiblingClient()
{
    asio::post(this->state->strand, [state = this->state] { state->closeAll(); });
}

asio::awaitable<std::string> SiblingClient::call(SiblingAddress address, SiblingCall call)
{
    const auto state = this->state;
    co_return co_await asio::co_spawn(
        state->strand, State::call(state, std::move(address), std::move(call)), asio::use_awaitable);
}

} // namespace cyclamendrift
