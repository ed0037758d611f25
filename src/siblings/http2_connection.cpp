#include "http2_connection.h"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>
#include <utility>

namespace cyclamendrift {

namespace {

// Calls between siblings have a few hundred bytes. A VM has dozens of connections, and each keeps its buffers
// while it is open: 140 connections with read buffers of 64 KB took 9 MB.
constexpr std::size_t readBufferBytes = std::size_t { 4 } << 10U;
constexpr std::size_t writeBatchBytes = std::size_t { 256 } << 10U;
// A buffer that grew beyond this for a rare large message is released after the write.
constexpr std::size_t maxIdleWriteBufferBytes = std::size_t { 4 } << 10U;
constexpr std::uint32_t streamWindowBytes = 1U << 20U;
constexpr std::int32_t connectionWindowBytes = 16 << 20;
constexpr int checksPerPingTimeout = 4;

std::string_view viewOf(const std::uint8_t* bytes, std::size_t size)
{
    return { reinterpret_cast<const char*>(bytes), size };
}

} // namespace

/// Callbacks for nghttp2. Exceptions must not propagate through its C code, so each one is turned into the
/// callback error that ends the connection.
struct Http2Connection::Callbacks {
    static Http2Connection& connection(void* data) { return *static_cast<Http2Connection*>(data); }

    template <class Action> static int runNoexcept(Action&& action) noexcept
    {
        try {
            action();
            return 0;
        } catch (...) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
    }

    static int headersBegun(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            ++connection(data).openStreams;
        return 0;
    }

    static int headerReceived(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t, void* data)
    {
        return runNoexcept([&] {
            connection(data).onHeader(frame->hd.stream_id, viewOf(name, nameSize), viewOf(value, valueSize));
        });
    }

    static int dataReceived(nghttp2_session*, std::uint8_t, StreamId stream, const std::uint8_t* bytes,
        std::size_t size, void* data)
    {
        return runNoexcept([&] { connection(data).onData(stream, viewOf(bytes, size)); });
    }

    static int frameReceived(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        const bool isMessageFrame = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!isMessageFrame || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            return 0;
        return runNoexcept([&] { connection(data).onEnd(frame->hd.stream_id); });
    }

    static int frameSent(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        const bool isMessageFrame = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!isMessageFrame || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            return 0;
        return runNoexcept([&] { connection(data).onSent(frame->hd.stream_id); });
    }

    static int streamClosed(nghttp2_session*, StreamId stream, std::uint32_t errorCode, void* data)
    {
        auto& self = connection(data);
        self.bodies.erase(stream);
        self.openStreams -= std::min<std::size_t>(self.openStreams, 1);
        return runNoexcept([&] { self.onStreamClosed(stream, errorCode); });
    }

    static ssize_t readBody(nghttp2_session*, StreamId, std::uint8_t* buffer, std::size_t size,
        std::uint32_t* flags, nghttp2_data_source* source, void*)
    {
        auto& body = *static_cast<OutgoingBody*>(source->ptr);
        const auto count = std::min(size, body.data.size() - body.offset);
        std::copy_n(body.data.data() + body.offset, count, buffer);
        body.offset += count;
        if (body.offset == body.data.size())
            *flags |= NGHTTP2_DATA_FLAG_EOF;
        return static_cast<ssize_t>(count);
    }

    static nghttp2_session* makeSession(Http2Connection& self, Side side)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        if (nghttp2_session_callbacks_new(&callbacks) != 0)
            throw std::bad_alloc {};
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, headersBegun);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, headerReceived);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, dataReceived);
        nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, frameReceived);
        nghttp2_session_callbacks_set_on_frame_send_callback(callbacks, frameSent);
        nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, streamClosed);
        nghttp2_session* session = nullptr;
        const int error = side == Side::Client ? nghttp2_session_client_new(&session, callbacks, &self)
                                               : nghttp2_session_server_new(&session, callbacks, &self);
        nghttp2_session_callbacks_del(callbacks);
        if (error != 0)
            throw std::bad_alloc {};
        return session;
    }
};

Http2Connection::Http2Connection(asio::ip::tcp::socket socket, const Options& options)
    : socket(std::move(socket))
    , timer(this->socket.get_executor())
    , options(options)
    , session(Callbacks::makeSession(*this, options.side))
{
    std::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
}

Http2Connection::~Http2Connection() { nghttp2_session_del(this->session); }

void Http2Connection::start()
{
    const std::array settings {
        nghttp2_settings_entry {
            NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, this->options.maxConcurrentStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindowBytes },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    };
    const auto count = this->options.side == Side::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, connectionWindowBytes);
    asio::co_spawn(this->socket.get_executor(), readLoop(this->shared_from_this()), asio::detached);
    this->scheduleLivenessCheck();
    this->flush();
}

void Http2Connection::close()
{
    if (this->closed)
        return;
    const auto self = this->shared_from_this();
    this->closed = true;
    std::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->onConnectionClosed();
}

void Http2Connection::drain()
{
    this->draining = true;
    const auto last = nghttp2_session_get_last_proc_stream_id(this->session);
    nghttp2_submit_goaway(this->session, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    this->flush();
}

bool Http2Connection::canOpenStream() const
{
    return !this->closed && nghttp2_session_check_request_allowed(this->session) != 0;
}

StreamId Http2Connection::nextStreamId() const
{
    return static_cast<StreamId>(nghttp2_session_get_next_stream_id(this->session));
}

nghttp2_data_provider Http2Connection::storeBody(StreamId stream, std::string body)
{
    auto& stored = this->bodies[stream];
    stored = { .data = std::move(body) };
    nghttp2_data_provider provider {};
    provider.source.ptr = &stored;
    provider.read_callback = Callbacks::readBody;
    return provider;
}

/// The first value of a variable field is put into the compression table all the same, because that also
/// puts the field's name there.
std::vector<nghttp2_nv> Http2Connection::fieldsOf(std::span<const HeaderField> fields)
{
    std::vector<nghttp2_nv> result;
    result.reserve(fields.size());
    const auto bytes = [](const std::string& text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    for (const auto& field : fields) {
        const bool nameInTable = field.variable && !this->namesInTable.insert(field.name).second;
        const auto flags = nameInTable ? NGHTTP2_NV_FLAG_NO_INDEX : NGHTTP2_NV_FLAG_NONE;
        result.push_back({ bytes(field.name), bytes(field.value), field.name.size(), field.value.size(),
            static_cast<std::uint8_t>(flags) });
    }
    return result;
}

void Http2Connection::countWireBytes(std::size_t size) const
{
    if (this->options.onWireBytes)
        this->options.onWireBytes(size);
}

StreamId Http2Connection::submitRequest(std::span<const HeaderField> fields, std::string body)
{
    const auto values = this->fieldsOf(fields);
    const auto expected = this->nextStreamId();
    // Without a provider the HEADERS frame ends the message, which saves an empty DATA frame.
    std::optional<nghttp2_data_provider> provider;
    if (!body.empty())
        provider = this->storeBody(expected, std::move(body));
    const auto stream = nghttp2_submit_request(
        this->session, nullptr, values.data(), values.size(), provider ? &*provider : nullptr, nullptr);
    if (stream < 0) {
        this->bodies.erase(expected);
        return stream;
    }
    ++this->openStreams;
    this->idleTime = {};
    return stream;
}

void Http2Connection::submitResponse(StreamId stream, std::span<const HeaderField> fields, std::string body)
{
    if (this->closed)
        return;
    const auto values = this->fieldsOf(fields);
    std::optional<nghttp2_data_provider> provider;
    if (!body.empty())
        provider = this->storeBody(stream, std::move(body));
    if (nghttp2_submit_response(
            this->session, stream, values.data(), values.size(), provider ? &*provider : nullptr)
        != 0)
        this->bodies.erase(stream);
    this->flush();
}

void Http2Connection::resetStream(StreamId stream, std::uint32_t errorCode)
{
    if (this->closed)
        return;
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, stream, errorCode);
    this->flush();
}

asio::awaitable<void> Http2Connection::readLoop(std::shared_ptr<Http2Connection> self)
{
    std::vector<char> buffer(readBufferBytes);
    while (!self->closed) {
        std::error_code error;
        const auto size = co_await self->socket.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (error)
            break;
        self->receive({ buffer.data(), size });
    }
    self->close();
}

void Http2Connection::receive(std::string_view bytes)
{
    this->pingOutstanding = false;
    this->timeSinceActivity = {};
    this->countWireBytes(bytes.size());
    this->insideNghttp2 = true;
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const auto consumed = nghttp2_session_mem_recv(this->session, data, bytes.size());
    this->insideNghttp2 = false;
    if (consumed < 0) {
        this->close();
        return;
    }
    this->flush();
}

void Http2Connection::flush()
{
    // nghttp2 must not be asked for output from within its callbacks; the function that called nghttp2
    // flushes afterwards.
    if (this->closed || this->insideNghttp2 || this->writeInProgress)
        return;
    this->write();
}

void Http2Connection::write()
{
    this->writeBuffer.clear();
    this->insideNghttp2 = true;
    ssize_t size = 0;
    while (this->writeBuffer.size() < writeBatchBytes) {
        const std::uint8_t* bytes = nullptr;
        size = nghttp2_session_mem_send(this->session, &bytes);
        if (size <= 0)
            break;
        this->writeBuffer.insert(this->writeBuffer.end(), bytes, bytes + size);
    }
    this->insideNghttp2 = false;
    const bool sessionActive
        = nghttp2_session_want_read(this->session) != 0 || nghttp2_session_want_write(this->session) != 0;
    // A draining end lets the other end close the connection. If it closed the socket with unread input, TCP
    // would discard the GOAWAY in transit and the caller could not tell that its call was refused.
    if (size < 0 || (this->writeBuffer.empty() && !sessionActive && !this->draining)) {
        this->close();
        return;
    }
    if (this->writeBuffer.empty())
        return;
    this->writeInProgress = true;
    asio::async_write(this->socket, asio::buffer(this->writeBuffer),
        [self = this->shared_from_this()](const std::error_code& error, std::size_t size) {
            self->writeInProgress = false;
            self->countWireBytes(size);
            if (self->writeBuffer.capacity() > maxIdleWriteBufferBytes)
                std::vector<std::uint8_t> {}.swap(self->writeBuffer);
            if (error)
                self->close();
            self->flush();
        });
}

void Http2Connection::scheduleLivenessCheck()
{
    this->timer.expires_after(this->options.pingTimeout / checksPerPingTimeout);
    this->timer.async_wait([weak = this->weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (!self || error || self->closed)
            return;
        self->checkLiveness();
        if (!self->closed)
            self->scheduleLivenessCheck();
    });
}

/// A connection whose state was dropped by a device in between reports no error, so each call on it would
/// wait for its own deadline. A slow answer does not show this, therefore the check sends a PING, which the
/// other end's HTTP/2 layer answers regardless of its handlers. Time is counted in intervals of this timer
/// instead of read from a clock: otherwise a process that was paused would close the connections to all
/// siblings when it resumes.
void Http2Connection::checkLiveness()
{
    const auto checkInterval = this->options.pingTimeout / checksPerPingTimeout;
    this->timeSinceActivity += checkInterval;
    this->idleTime = this->hasOpenStreams() ? Duration {} : this->idleTime + checkInterval;
    const auto idleTimeout = this->draining ? this->options.pingTimeout : this->options.idleTimeout;
    const bool idle = idleTimeout != Duration {} && this->idleTime >= idleTimeout;
    if (idle || (this->pingOutstanding && this->timeSinceActivity > this->options.pingTimeout)) {
        this->close();
        return;
    }
    const bool needsLivenessCheck = this->hasOpenStreams() || this->options.side == Side::Server;
    if (this->pingOutstanding || !needsLivenessCheck || this->timeSinceActivity < this->options.pingInterval)
        return;
    nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
    this->pingOutstanding = true;
    this->timeSinceActivity = {};
    this->flush();
}

} // namespace cyclamendrift
