#include "http2_link.h"

#include <asio/buffer.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <utility>

namespace cyclamendrift {

namespace {

// Calls between siblings are some hundred bytes. A VM keeps some dozens of links, and each holds these
// buffers for as long as it lives: with 64 KB to read into, 140 links took 9 MB.
constexpr std::size_t readSize = std::size_t { 4 } << 10U;
constexpr std::size_t writeSize = std::size_t { 256 } << 10U;
// What a rare large message leaves allocated beyond this is given back.
constexpr std::size_t keptWriteBuffer = std::size_t { 4 } << 10U;
constexpr std::uint32_t streamWindow = 1U << 20U;
constexpr std::int32_t connectionWindow = 16 << 20;
constexpr int ticksPerPingTimeout = 4;

std::string_view viewOf(const std::uint8_t* bytes, std::size_t size)
{
    return { reinterpret_cast<const char*>(bytes), size };
}

std::vector<nghttp2_nv> fieldsOf(std::span<const HeaderField> fields)
{
    std::vector<nghttp2_nv> result;
    result.reserve(fields.size());
    const auto bytes = [](const std::string& text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    for (const auto& field : fields)
        result.push_back({ bytes(field.name), bytes(field.value), field.name.size(), field.value.size(),
            NGHTTP2_NV_FLAG_NONE });
    return result;
}

} // namespace

/// What nghttp2 calls back. An exception must not pass through its C code, so each failure becomes the
/// callback error that ends the connection.
struct Http2Link::Callbacks {
    static Http2Link& link(void* data) { return *static_cast<Http2Link*>(data); }

    template <class Action> static int guarded(Action&& action) noexcept
    {
        try {
            action();
            return 0;
        } catch (...) {
            return NGHTTP2_ERR_CALLBACK_FAILURE;
        }
    }

    static int beginHeaders(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        if (frame->headers.cat == NGHTTP2_HCAT_REQUEST)
            ++link(data).openStreams;
        return 0;
    }

    static int header(nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name,
        std::size_t nameSize, const std::uint8_t* value, std::size_t valueSize, std::uint8_t, void* data)
    {
        return guarded([&] {
            link(data).onHeader(frame->hd.stream_id, viewOf(name, nameSize), viewOf(value, valueSize));
        });
    }

    static int dataChunk(nghttp2_session*, std::uint8_t, StreamId stream, const std::uint8_t* bytes,
        std::size_t size, void* data)
    {
        return guarded([&] { link(data).onData(stream, viewOf(bytes, size)); });
    }

    static int frameReceived(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        const bool carriesMessage = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!carriesMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            return 0;
        return guarded([&] { link(data).onEnd(frame->hd.stream_id); });
    }

    static int frameSent(nghttp2_session*, const nghttp2_frame* frame, void* data)
    {
        const bool carriesMessage = frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
        if (!carriesMessage || (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) == 0)
            return 0;
        return guarded([&] { link(data).onSent(frame->hd.stream_id); });
    }

    static int streamClosed(nghttp2_session*, StreamId stream, std::uint32_t errorCode, void* data)
    {
        auto& self = link(data);
        self.bodies.erase(stream);
        self.openStreams -= std::min<std::size_t>(self.openStreams, 1);
        return guarded([&] { self.onStreamClosed(stream, errorCode); });
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

    static nghttp2_session* makeSession(Http2Link& self, Side side)
    {
        nghttp2_session_callbacks* callbacks = nullptr;
        if (nghttp2_session_callbacks_new(&callbacks) != 0)
            throw std::bad_alloc {};
        nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks, beginHeaders);
        nghttp2_session_callbacks_set_on_header_callback(callbacks, header);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, dataChunk);
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

Http2Link::Http2Link(asio::ip::tcp::socket socket, const Options& options)
    : socket(std::move(socket))
    , timer(this->socket.get_executor())
    , options(options)
    , session(Callbacks::makeSession(*this, options.side))
{
    std::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay { true }, ignored);
}

Http2Link::~Http2Link() { nghttp2_session_del(this->session); }

void Http2Link::start()
{
    const std::array settings {
        nghttp2_settings_entry {
            NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, this->options.maxConcurrentStreams },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, streamWindow },
        nghttp2_settings_entry { NGHTTP2_SETTINGS_ENABLE_PUSH, 0 },
    };
    const auto count = this->options.side == Side::Client ? settings.size() : settings.size() - 1;
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(), count);
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0, connectionWindow);
    asio::co_spawn(this->socket.get_executor(), readAll(this->shared_from_this()), asio::detached);
    this->watch();
    this->flush();
}

void Http2Link::close()
{
    if (this->closed)
        return;
    const auto self = this->shared_from_this();
    this->closed = true;
    std::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
    this->onLinkClosed();
}

void Http2Link::drain()
{
    this->draining = true;
    const auto last = nghttp2_session_get_last_proc_stream_id(this->session);
    nghttp2_submit_goaway(this->session, NGHTTP2_FLAG_NONE, last, NGHTTP2_NO_ERROR, nullptr, 0);
    this->flush();
}

bool Http2Link::takesStreams() const
{
    return !this->closed && nghttp2_session_check_request_allowed(this->session) != 0;
}

StreamId Http2Link::nextStream() const
{
    return static_cast<StreamId>(nghttp2_session_get_next_stream_id(this->session));
}

nghttp2_data_provider Http2Link::keepBody(StreamId stream, std::string body)
{
    auto& kept = this->bodies[stream];
    kept = { .data = std::move(body) };
    nghttp2_data_provider provider {};
    provider.source.ptr = &kept;
    provider.read_callback = Callbacks::readBody;
    return provider;
}

StreamId Http2Link::submitRequest(std::span<const HeaderField> fields, std::string body)
{
    const auto values = fieldsOf(fields);
    const auto expected = this->nextStream();
    const auto provider = this->keepBody(expected, std::move(body));
    const auto stream
        = nghttp2_submit_request(this->session, nullptr, values.data(), values.size(), &provider, nullptr);
    if (stream < 0) {
        this->bodies.erase(expected);
        return stream;
    }
    ++this->openStreams;
    this->idleFor = {};
    return stream;
}

void Http2Link::submitResponse(StreamId stream, std::span<const HeaderField> fields, std::string body)
{
    if (this->closed)
        return;
    const auto values = fieldsOf(fields);
    const auto provider = this->keepBody(stream, std::move(body));
    if (nghttp2_submit_response(this->session, stream, values.data(), values.size(), &provider) != 0)
        this->bodies.erase(stream);
    this->flush();
}

void Http2Link::reset(StreamId stream, std::uint32_t errorCode)
{
    if (this->closed)
        return;
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, stream, errorCode);
    this->flush();
}

asio::awaitable<void> Http2Link::readAll(std::shared_ptr<Http2Link> self)
{
    std::vector<char> buffer(readSize);
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

void Http2Link::receive(std::string_view bytes)
{
    this->pingOutstanding = false;
    this->sincePing = {};
    this->insideSession = true;
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    const auto taken = nghttp2_session_mem_recv(this->session, data, bytes.size());
    this->insideSession = false;
    if (taken < 0) {
        this->close();
        return;
    }
    this->flush();
}

void Http2Link::flush()
{
    // nghttp2 must not be asked for bytes to send from within its own callbacks; who called it flushes then.
    if (this->closed || this->insideSession || this->isWriting)
        return;
    this->write();
}

void Http2Link::write()
{
    this->writing.clear();
    this->insideSession = true;
    ssize_t size = 0;
    while (this->writing.size() < writeSize) {
        const std::uint8_t* bytes = nullptr;
        size = nghttp2_session_mem_send(this->session, &bytes);
        if (size <= 0)
            break;
        this->writing.insert(this->writing.end(), bytes, bytes + size);
    }
    this->insideSession = false;
    const bool wanted
        = nghttp2_session_want_read(this->session) != 0 || nghttp2_session_want_write(this->session) != 0;
    // A draining end leaves closing to the other one: closed with a call unread on it, TCP would throw away
    // the GOAWAY on its way, and the caller could not tell that its call was refused.
    if (size < 0 || (this->writing.empty() && !wanted && !this->draining)) {
        this->close();
        return;
    }
    if (this->writing.empty())
        return;
    this->isWriting = true;
    asio::async_write(this->socket, asio::buffer(this->writing),
        [self = this->shared_from_this()](const std::error_code& error, std::size_t) {
            self->isWriting = false;
            if (self->writing.capacity() > keptWriteBuffer)
                std::vector<std::uint8_t> {}.swap(self->writing);
            if (error)
                self->close();
            self->flush();
        });
}

void Http2Link::watch()
{
    this->timer.expires_after(this->options.pingTimeout / ticksPerPingTimeout);
    this->timer.async_wait([weak = this->weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (!self || error || self->closed)
            return;
        self->checkPing();
        if (!self->closed)
            self->watch();
    });
}

/// A connection that something on the way has lost track of never fails by itself; calls on it would wait for
/// their deadlines, one after the other. A slow answer is no such sign, so the other end's HTTP/2 layer is
/// asked, which answers a PING whatever its handlers do. Time is counted in ticks of this timer and not read
/// off a clock: a process that was itself paused would otherwise blame every sibling on waking up.
void Http2Link::checkPing()
{
    const auto tick = this->options.pingTimeout / ticksPerPingTimeout;
    this->sincePing += tick;
    this->idleFor = this->hasStreams() ? Duration {} : this->idleFor + tick;
    const auto idleTimeout = this->draining ? this->options.pingTimeout : this->options.idleTimeout;
    const bool idle = idleTimeout != Duration {} && this->idleFor >= idleTimeout;
    if (idle || (this->pingOutstanding && this->sincePing > this->options.pingTimeout)) {
        this->close();
        return;
    }
    const bool watched = this->hasStreams() || this->options.side == Side::Server;
    if (this->pingOutstanding || !watched || this->sincePing < this->options.pingInterval)
        return;
    nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
    this->pingOutstanding = true;
    this->sincePing = {};
    this->flush();
}

} // namespace cyclamendrift
