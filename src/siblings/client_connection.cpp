#include "client_connection.h"

#include "sibling_protocol.h"

#include <cyclamendrift/siblings/sibling_error.h>

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace cyclamendrift {

namespace protocol = sibling_protocol;

namespace {

[[noreturn]] void throwSiblingError(SiblingError::Kind kind, const std::string& message)
{
    throw SiblingError { kind, message };
}

/// The sibling runs a handler only after it has received the end of the call. Until the end is sent the call
/// cannot have taken effect; after that its outcome is unknown to this process.
[[noreturn]] void throwUnanswered(const ClientStream& stream, const std::string& message)
{
    throwSiblingError(
        stream.endSent ? SiblingError::Kind::OutcomeUnknown : SiblingError::Kind::Unreachable, message);
}

void requireCompleteAnswer(const ClientStream& stream)
{
    if (stream.bodyTooLong)
        throwSiblingError(
            SiblingError::Kind::BadAnswer, "the sibling's answer exceeds the maximum message size");
    if (stream.errorCode == NGHTTP2_REFUSED_STREAM)
        throwSiblingError(SiblingError::Kind::Unreachable, "the sibling refused the stream");
    if (stream.errorCode == NGHTTP2_PROTOCOL_ERROR)
        throwSiblingError(SiblingError::Kind::BadAnswer, "the sibling's answer violates HTTP/2");
    if (!stream.endReceived)
        throwUnanswered(stream, "the connection to the sibling was lost before the answer was complete");
}

} // namespace

ClientConnection::ClientConnection(asio::ip::tcp::socket socket, Options options)
    : Http2Connection(std::move(socket), options.connection)
    , options(std::move(options))
{
}

asio::awaitable<void> ClientConnection::authenticate(MessageKey secretKey, Instant deadline)
{
    const auto self = this->shared_from_this();
    const auto nonce = makeNonce();
    Message hello;
    hello.path = std::string { protocol::helloPath };
    hello.fields.push_back({ std::string { protocol::nonceField }, nonce, true });
    if (this->options.offersBinary)
        hello.fields.push_back(
            { std::string { protocol::encodingField }, std::string { protocol::binaryEncoding } });
    const auto answer = co_await this->exchange(std::move(hello), deadline);
    if (!secretKey.verify(answer->mac, { protocol::helloLabel, nonce, answer->nonce }))
        throwSiblingError(SiblingError::Kind::NotAuthenticated,
            "the other end did not prove that it knows the shared secret");
    this->connectionKey = secretKey.derive(nonce, answer->nonce);
    this->binary = this->options.offersBinary && answer->encoding == protocol::binaryEncoding;
}

asio::awaitable<std::shared_ptr<ClientStream>> ClientConnection::exchange(Message message, Instant deadline)
{
    const auto self = this->shared_from_this();
    const auto stream = this->submit(std::move(message));
    stream->completionTimer.expires_at(deadline);
    this->flush();
    std::error_code ignored;
    if (!stream->closed)
        co_await stream->completionTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!stream->closed) {
        // The reset closes the stream, as the loss of the connection would.
        this->resetStream(stream->id, NGHTTP2_CANCEL);
        throwUnanswered(*stream, "the sibling did not answer before the deadline");
    }
    requireCompleteAnswer(*stream);
    co_return stream;
}

std::shared_ptr<ClientStream> ClientConnection::submit(Message message)
{
    if (!this->canOpenStream() || this->streams.size() >= this->options.maxConcurrentCalls)
        throwSiblingError(
            SiblingError::Kind::Unreachable, "the connection to the sibling accepts no further calls");
    std::vector<HeaderField> fields { { ":method", "POST" }, { ":scheme", "http" },
        { ":authority", "sibling" }, { ":path", std::move(message.path) } };
    fields.insert(fields.end(), message.fields.begin(), message.fields.end());
    auto stream = std::make_shared<ClientStream>(this->executor());
    stream->id = this->submitRequest(fields, std::move(message.body));
    if (stream->id < 0)
        throwSiblingError(
            SiblingError::Kind::Unreachable, "the connection to the sibling cannot open another stream");
    this->streams[stream->id] = stream;
    return stream;
}

std::shared_ptr<ClientStream> ClientConnection::find(StreamId stream) const
{
    const auto found = this->streams.find(stream);
    return found == this->streams.end() ? nullptr : found->second;
}

void ClientConnection::onHeader(StreamId stream, std::string_view name, std::string_view value)
{
    const auto found = this->find(stream);
    if (!found)
        return;
    if (name == ":status")
        found->status = value;
    else if (name == protocol::resultField)
        found->result = value;
    else if (name == protocol::nonceField)
        found->nonce = value;
    else if (name == protocol::macField)
        found->mac = value;
    else if (name == protocol::encodingField)
        found->encoding = value;
}

void ClientConnection::onData(StreamId stream, std::string_view data)
{
    const auto found = this->find(stream);
    if (!found || found->bodyTooLong)
        return;
    found->bodyTooLong
        = found->body.size() + data.size() > this->options.maxMessageBytes + protocol::maxTrailerBytes;
    if (found->bodyTooLong)
        this->resetStream(stream, NGHTTP2_CANCEL);
    else
        found->body += data;
}

void ClientConnection::onEnd(StreamId stream)
{
    if (const auto found = this->find(stream))
        found->endReceived = true;
}

void ClientConnection::onSent(StreamId stream)
{
    if (const auto found = this->find(stream))
        found->endSent = true;
}

void ClientConnection::onStreamClosed(StreamId stream, std::uint32_t errorCode)
{
    const auto found = this->find(stream);
    if (!found)
        return;
    this->streams.erase(stream);
    this->completeStream(*found, errorCode);
}

void ClientConnection::onConnectionClosed()
{
    const auto open = std::exchange(this->streams, {});
    for (const auto& [id, stream] : open)
        this->completeStream(*stream, NGHTTP2_CANCEL);
    if (this->options.onClosed)
        this->options.onClosed();
}

void ClientConnection::completeStream(ClientStream& stream, std::uint32_t errorCode)
{
    stream.closed = true;
    stream.errorCode = errorCode;
    stream.completionTimer.cancel();
}

} // namespace cyclamendrift
