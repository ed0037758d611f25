#include "server_link.h"

#include "sibling_protocol.h"

#include <asio/co_spawn.hpp>
#include <asio/post.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <exception>
#include <optional>
#include <utility>

namespace cyclamendrift {

namespace protocol = sibling_protocol;

namespace {

/// A connection that has proved nothing for so long only takes up room.
constexpr auto greetingTimeout = std::chrono::seconds { 5 };
constexpr auto longestTimeout = std::chrono::hours { 1 };
/// Messages that arrive on one connection at the same time, as a multiple of the longest one.
constexpr std::size_t bufferedMessages = 4;

std::optional<Duration> parseTimeout(const std::string& text)
{
    std::uint64_t microseconds = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, microseconds);
    if (error != std::errc {} || rest != end)
        return std::nullopt;
    const auto longest = std::chrono::duration_cast<std::chrono::microseconds>(longestTimeout);
    const auto bounded = std::min(microseconds, static_cast<std::uint64_t>(longest.count()));
    return std::chrono::microseconds { bounded };
}

std::string refusalOf(Outcome outcome, const std::string& message)
{
    return protocol::encodeRefusal(
        RequestError { { .outcome = outcome, .reason = RefusalReason::Internal, .message = message } });
}

} // namespace

ServerLink::ServerLink(asio::ip::tcp::socket socket, Options options)
    : Http2Link(std::move(socket), options.link)
    , options(std::move(options))
    , greetingTimer(this->executor())
{
}

void ServerLink::serve()
{
    this->greetingTimer.expires_after(greetingTimeout);
    this->greetingTimer.async_wait([weak = this->weak_from_this()](const std::error_code& error) {
        const auto self = std::static_pointer_cast<ServerLink>(weak.lock());
        if (self && !error && !self->authenticated)
            self->close();
    });
    this->start();
}

void ServerLink::onHeader(StreamId stream, std::string_view name, std::string_view value)
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
    else if (name == protocol::codeField)
        message.code = value;
}

void ServerLink::onData(StreamId stream, std::string_view data)
{
    const auto found = this->incoming.find(stream);
    if (found == this->incoming.end())
        return;
    const bool messageFull = found->second.body.size() + data.size() > this->options.maxMessageBytes;
    const bool linkFull
        = this->bufferedBytes + data.size() > bufferedMessages * this->options.maxMessageBytes;
    if (messageFull || linkFull) {
        // No handler has seen it, which is what this code tells the other end.
        this->onStreamClosed(stream, NGHTTP2_REFUSED_STREAM);
        this->reset(stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    this->bufferedBytes += data.size();
    found->second.body += data;
}

void ServerLink::onEnd(StreamId stream)
{
    const auto found = this->incoming.find(stream);
    if (found == this->incoming.end())
        return;
    auto message = std::exchange(found->second, {});
    this->bufferedBytes -= message.body.size();
    if (message.path == protocol::helloPath)
        this->greet(stream, message);
    else if (this->isAuthentic(stream, message))
        this->dispatch(stream, std::move(message));
    else
        this->refuseUnauthenticated(stream);
}

void ServerLink::onStreamClosed(StreamId stream, std::uint32_t)
{
    const auto found = this->incoming.find(stream);
    if (found == this->incoming.end())
        return;
    this->bufferedBytes -= found->second.body.size();
    this->incoming.erase(found);
}

void ServerLink::onLinkClosed()
{
    this->greetingTimer.cancel();
    this->options.onClosed();
}

/// A second greeting would change the key under calls that are open; it is refused.
void ServerLink::greet(StreamId stream, const Incoming& hello)
{
    if (this->greeted || hello.nonce.empty()) {
        this->refuseUnauthenticated(stream);
        return;
    }
    this->greeted = true;
    const auto nonce = makeNonce();
    const auto code = this->options.secretKey.codeOf({ protocol::helloLabel, hello.nonce, nonce });
    this->connectionKey = this->options.secretKey.derive(hello.nonce, nonce);
    const std::vector<HeaderField> fields { { ":status", "200" },
        { std::string { protocol::nonceField }, nonce }, { std::string { protocol::codeField }, code } };
    this->submitResponse(stream, fields, {});
}

bool ServerLink::isAuthentic(StreamId stream, const Incoming& message) const
{
    return this->greeted
        && this->connectionKey.verify(message.code,
            { protocol::callLabel, std::to_string(stream), message.from, message.path, message.timeout,
                message.traceparent, message.body });
}

void ServerLink::refuseUnauthenticated(StreamId stream)
{
    const std::vector<HeaderField> fields { { ":status", "401" } };
    this->submitResponse(stream, fields, {});
}

void ServerLink::dispatch(StreamId stream, Incoming message)
{
    this->authenticated = true;
    const auto timeout = parseTimeout(message.timeout);
    if (!timeout || message.path.size() < 2) {
        this->answer(stream,
            { std::string { protocol::refusedResult },
                refusalOf(Outcome::NotRun, "the sibling's call is malformed") });
        return;
    }
    IncomingSiblingCall call;
    call.from = VmName { std::move(message.from) };
    call.method = message.path.substr(1);
    call.body = std::move(message.body);
    call.deadline = std::chrono::steady_clock::now() + *timeout;
    call.traceparent = std::move(message.traceparent);
    const auto self = std::static_pointer_cast<ServerLink>(this->shared_from_this());
    asio::co_spawn(this->options.handlerExecutor,
        run(this->options.handler, std::move(call), this->options.maxMessageBytes),
        [self, stream](const std::exception_ptr& error, Reply reply) {
            if (error)
                reply = { std::string { protocol::refusedResult },
                    refusalOf(Outcome::Unknown, "the handler failed") };
            asio::post(self->executor(), [self, stream, reply = std::move(reply)]() mutable {
                if (self->incoming.contains(stream))
                    self->answer(stream, std::move(reply));
            });
        });
}

asio::awaitable<ServerLink::Reply> ServerLink::run(
    SiblingServer::Handler handler, IncomingSiblingCall call, std::size_t maxBytes)
{
    Reply reply;
    try {
        reply.body = co_await handler(std::move(call));
        reply.result = protocol::answeredResult;
        if (reply.body.size() > maxBytes)
            reply = { std::string { protocol::refusedResult },
                refusalOf(Outcome::Unknown, "the answer is too long") };
    } catch (const RequestError& error) {
        reply = { std::string { protocol::refusedResult }, protocol::encodeRefusal(error) };
    } catch (const std::exception& error) {
        reply = { std::string { protocol::refusedResult }, refusalOf(Outcome::Unknown, error.what()) };
    }
    co_return reply;
}

void ServerLink::answer(StreamId stream, Reply reply)
{
    const auto code = this->connectionKey.codeOf(
        { protocol::answerLabel, std::to_string(stream), reply.result, reply.body });
    const std::vector<HeaderField> fields { { ":status", "200" },
        { "content-length", std::to_string(reply.body.size()) },
        { std::string { protocol::resultField }, std::move(reply.result) },
        { std::string { protocol::codeField }, code } };
    this->submitResponse(stream, fields, std::move(reply.body));
}

} // namespace cyclamendrift
