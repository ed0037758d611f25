#pragma once

#include <cyclamendrift/core/instant.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <nghttp2/nghttp2.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// HTTP/2 header field.
struct HeaderField {
    std::string name;
    std::string value;
    /// The value differs in each message, so it is kept out of the compression table (HPACK). Otherwise such
    /// values would push the repeated ones out of the table.
    bool variable = false;
};

using StreamId = std::int32_t;

/// HTTP/2 connection between two siblings. Must be used on one strand.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
    enum class Side : std::uint8_t { Client, Server };
    struct Options {
        Side side = Side::Client;
        std::uint32_t maxConcurrentStreams = 0;
        Duration pingInterval {};
        Duration pingTimeout {};
        /// Closes the connection after this time without an open stream; zero disables the limit.
        Duration idleTimeout {};
        /// Receives the number of bytes that were read from or written to the socket; may be empty.
        std::function<void(std::size_t)> onWireBytes;
    };

    virtual ~Http2Connection();
    Http2Connection(const Http2Connection&) = delete;
    Http2Connection& operator=(const Http2Connection&) = delete;

    /// Starts reading and the liveness checks of the other end.
    void start();
    /// Closes the connection at once.
    void close();
    /// Sends GOAWAY so that the other end opens no further streams. The other end closes the connection; this
    /// end does so itself only after pingTimeout without an open stream.
    void drain();
    [[nodiscard]] bool isClosed() const noexcept { return this->closed; }
    [[nodiscard]] bool canOpenStream() const;

protected:
    Http2Connection(asio::ip::tcp::socket socket, const Options& options);

    // Events of the connection. onEnd() means that the other end has sent the whole message of a stream.
    virtual void onHeader(StreamId stream, std::string_view name, std::string_view value) = 0;
    virtual void onData(StreamId stream, std::string_view data) = 0;
    virtual void onEnd(StreamId stream) = 0;
    /// The last frame of an outgoing message was copied to the write buffer.
    virtual void onSent(StreamId stream) = 0;
    virtual void onStreamClosed(StreamId stream, std::uint32_t errorCode) = 0;
    virtual void onConnectionClosed() = 0;

    [[nodiscard]] StreamId nextStreamId() const;
    /// Opens a stream; returns its id or a negative nghttp2 error code.
    StreamId submitRequest(std::span<const HeaderField> fields, std::string body);
    void submitResponse(StreamId stream, std::span<const HeaderField> fields, std::string body);
    void resetStream(StreamId stream, std::uint32_t errorCode);
    /// Writes pending frames to the socket unless a write is in progress.
    void flush();
    [[nodiscard]] asio::any_io_executor executor() { return this->socket.get_executor(); }

private:
    struct OutgoingBody {
        std::string data;
        std::size_t offset = 0;
    };
    struct Callbacks;

    static asio::awaitable<void> readLoop(std::shared_ptr<Http2Connection> self);
    void receive(std::string_view bytes);
    void write();
    void scheduleLivenessCheck();
    void checkLiveness();
    [[nodiscard]] bool hasOpenStreams() const noexcept { return this->openStreams > 0; }
    [[nodiscard]] nghttp2_data_provider storeBody(StreamId stream, std::string body);
    [[nodiscard]] std::vector<nghttp2_nv> fieldsOf(std::span<const HeaderField> fields);
    void countWireBytes(std::size_t size) const;

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    Options options;
    nghttp2_session* session = nullptr;
    std::map<StreamId, OutgoingBody> bodies;
    std::vector<std::uint8_t> writeBuffer;
    /// Names of the variable fields that are in the compression table of this direction.
    std::set<std::string, std::less<>> namesInTable;
    std::size_t openStreams = 0;
    Duration timeSinceActivity {};
    Duration idleTime {};
    bool pingOutstanding = false;
    bool insideNghttp2 = false;
    bool writeInProgress = false;
    bool draining = false;
    bool closed = false;
};

} // namespace cyclamendrift
