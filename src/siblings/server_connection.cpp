#include "server_connection.h"

#include "sibling_protocol.h"

#include <asio/co_spawn.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <exception>
#include <optional>
#include <string_view>
#include <utility>

namespace cyclamendrift {

namespace protocol = sibling_protocol;

namespace {

/// Unauthenticated connections are closed after this time so that they do not hold resources.
constexpr auto authenticationTimeout = std::chrono::seconds { 5 };
/// Bound on the bytes of incomplete messages on one connection, in messages of the maximum size.
constexpr std::size_t maxBufferedMessages = 4;

std::optional<Duration> parseTimeout(const std::string& text)
{
    std::uint64_t microseconds = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, microseconds);
    if (error != std::errc {} || rest != end)
        return std::nullopt;
    const auto maxMicroseconds
        = std::chrono::duration_cast<std::chrono::microseconds>(protocol::maxCallTimeout);
    const auto bounded = std::min(microseconds, static_cast<std::uint64_t>(maxMicroseconds.count()));
    return std::chrono::microseconds { bounded };
}

std::string encodedRefusal(Outcome outcome, const std::string& message)
{
    return protocol::encodeRefusal(
        RequestError { { .outcome = outcome, .reason = RefusalReason::Internal, .message = message } });
}

} // namespace

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, Options options)
    : Http2Connection(std::move(socket), options.connection)
    , options(std::move(options))
    , authenticationTimer(this->executor())
{
}

void ServerConnection::serve()
{
    this->authenticationTimer.expires_after(authenticationTimeout);
    this->authenticationTimer.async_wait([weak = this->weak_from_this()](const std::error_code& error) {
        const auto self = std::static_pointer_cast<ServerConnection>(weak.lock());
        if (self && !error && !self->authenticated)
            self->close();
    });
    this->start();
}

void ServerConnection::onHeader(StreamId stream, std::string_view name, std::string_view value)
{
    auto& message = this->incoming[stream];
    if (name == ":path")
        message.path = value;
    else if (name == protocol::fromField)
        message.from = value;
    else if (name == protocol::timeoutField)
        message.timeout = value;
    else if (name == protocol::traceField)
        message.traceparent = value;
    else if (name == protocol::nonceField)
        message.nonce = value;
    else if (name == protocol::macField)
        message.mac = value;
    else if (name == protocol::methodField)
        message.method = value;
    else if (name == protocol::encodingField)
        message.encoding = value;
}

void ServerConnection::onData(StreamId stream, std::string_view data)
{
    const auto found = this->incoming.find(stream);
    if (found == this->incoming.end())
        return;
    const bool messageTooLong
        = found->second.body.size() + data.size() > this->options.maxMessageBytes + protocol::maxTrailerBytes;
    const bool bufferFull
        = this->bufferedBytes + data.size() > maxBufferedMessages * this->options.maxMessageBytes;
    if (messageTooLong || bufferFull) {
        // REFUSED_STREAM tells the other end that no handler has seen the call.
        this->onStreamClosed(stream, NGHTTP2_REFUSED_STREAM);
        this->resetStream(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    this->bufferedBytes += data.size();
    found->second.body += data;
}

void ServerConnection::onEnd(StreamId stream)
{
    const auto found = this->incoming.find(stream);
    if (found == this->incoming.end())
        return;
    auto message = std::exchange(found->second, {});
    this->bufferedBytes -= message.body.size();
    if (message.path == protocol::helloPath) {
        this->answerHello(stream, message);
        return;
    }
    found->second.binary = this->options.acceptsBinary && message.path == protocol::binaryPath;
    message.binary = found->second.binary;
    const bool complete = !message.binary || unwrapBinary(message);
    if (message.body.size() > this->options.maxMessageBytes) {
        this->onStreamClosed(stream, NGHTTP2_REFUSED_STREAM);
        this->resetStream(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    if (complete && this->isAuthentic(stream, message))
        this->dispatch(stream, std::move(message));
    else
        this->rejectUnauthenticated(stream);
}

void ServerConnection::onStreamClosed(StreamId stream, std::uint32_t)
{
    const auto found = this->incoming.find(stream);
    if (found == this->incoming.end())
        return;
    this->bufferedBytes -= found->second.body.size();
    this->incoming.erase(found);
}

void ServerConnection::onConnectionClosed()
{
    this->authenticationTimer.cancel();
    this->options.onClosed();
}

/// A second hello is refused because it would change the key while calls are open.
void ServerConnection::answerHello(StreamId stream, const IncomingMessage& hello)
{
    if (this->helloReceived || hello.nonce.empty()) {
        this->rejectUnauthenticated(stream);
        return;
    }
    this->helloReceived = true;
    const auto nonce = makeNonce();
    const auto mac = this->options.secretKey.computeMac({ protocol::helloLabel, hello.nonce, nonce });
    this->connectionKey = this->options.secretKey.derive(hello.nonce, nonce);
    std::vector<HeaderField> fields { { ":status", "200" },
        { std::string { protocol::nonceField }, nonce, true },
        { std::string { protocol::macField }, mac, true } };
    if (this->options.acceptsBinary && hello.encoding == protocol::binaryEncoding)
        fields.push_back(
            { std::string { protocol::encodingField }, std::string { protocol::binaryEncoding } });
    this->submitResponse(stream, fields, {});
}

bool ServerConnection::unwrapBinary(IncomingMessage& message)
{
    message.path = '/' + message.method;
    message.mac = protocol::takeMac(message.body);
    const auto timeout = protocol::takeTimeout(message.body);
    if (timeout)
        message.timeout = std::to_string(*timeout);
    return timeout.has_value();
}

bool ServerConnection::isAuthentic(StreamId stream, const IncomingMessage& message) const
{
    if (!this->helloReceived)
        return false;
    const auto streamId = std::to_string(stream);
    const auto macInput
        = { protocol::callLabel, std::string_view { streamId }, std::string_view { message.from },
              std::string_view { message.path }, std::string_view { message.timeout },
              std::string_view { message.traceparent }, std::string_view { message.body } };
    return message.binary ? this->connectionKey.verifyBinary(message.mac, macInput)
                          : this->connectionKey.verify(message.mac, macInput);
}

void ServerConnection::rejectUnauthenticated(StreamId stream)
{
    const std::vector<HeaderField> fields { { ":status", "401" } };
    this->submitResponse(stream, fields, {});
}

void ServerConnection::dispatch(StreamId stream, IncomingMessage message)
{
    this->authenticated = true;
    const auto timeout = parseTimeout(message.timeout);
    if (!timeout || message.path.size() < 2) {
        this->sendReply(stream,
            { std::string { protocol::refusedResult },
                encodedRefusal(Outcome::NotRun, "the sibling's call is malformed") });
        return;
    }
    IncomingSiblingCall call;
    call.from = VmName { std::move(message.from) };
    call.method = message.path.substr(1);
    call.body = std::move(message.body);
    call.deadline = std::chrono::steady_clock::now() + *timeout;
    call.traceparent = std::move(message.traceparent);
    const auto self = std::static_pointer_cast<ServerConnection>(this->shared_from_this());
    asio::co_spawn(this->options.handlerExecutor,
        runHandler(this->options.handler, std::move(call), this->options.maxMessageBytes),
        [self, stream](const std::exception_ptr& error, Reply reply) {
            if (error)
                reply = { std::string { protocol::refusedResult },
                    encodedRefusal(Outcome::Unknown, "the handler failed") };
            asio::post(self->executor(), [self, stream, reply = std::move(reply)]() mutable {
                if (self->incoming.contains(stream))
                    self->sendReply(stream, std::move(reply));
            });
        });
}

asio::awaitable<ServerConnection::Reply> ServerConnection::runHandler(
    SiblingServer::Handler handler, IncomingSiblingCall call, std::size_t maxBytes)
{
    Reply reply;
    try {
        reply.body = co_await handler(std::move(call));
        reply.result = protocol::answeredResult;
        if (reply.body.size() > maxBytes)
            reply = { std::string { protocol::refusedResult },
                encodedRefusal(Outcome::Unknown, "the answer is too long") };
    } catch (const RequestError& error) {
        reply = { std::string { protocol::refusedResult }, protocol::encodeRefusal(error) };
    } catch (const std::exception& error) {
        reply = { std::string { protocol::refusedResult }, encodedRefusal(Outcome::Unknown, error.what()) };
    }
    co_return reply;
}

void ServerConnection::sendReply(StreamId stream, Reply reply)
{
    const auto streamId = std::to_string(stream);
    const auto macInput = { protocol::answerLabel, std::string_view { streamId },
        std::string_view { reply.result }, std::string_view { reply.body } };
    std::vector<HeaderField> fields { { ":status", "200" },
        { std::string { protocol::resultField }, reply.result } };
    const auto answered = this->incoming.find(stream);
    if (answered != this->incoming.end() && answered->second.binary)
        reply.body += this->connectionKey.computeBinaryMac(macInput);
    else
        fields.push_back(
            { std::string { protocol::macField }, this->connectionKey.computeMac(macInput), true });
    this->submitResponse(stream, fields, std::move(reply.body));
}

} // namespace cyclamendrift
