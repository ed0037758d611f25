#pragma once

#include "http2_connection.h"
#include "message_key.h"

#include <asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Outgoing call and the parts of its answer that have been received.
struct ClientStream {
    explicit ClientStream(const asio::any_io_executor& executor)
        : completionTimer(executor)
    {
    }

    StreamId id = 0;
    std::string status;
    std::string result;
    std::string nonce;
    std::string mac;
    std::string encoding;
    std::string body;
    std::uint32_t errorCode = 0;
    /// The end of the call was written, so the other end may have received the whole call.
    bool endSent = false;
    /// The end of the answer was received.
    bool endReceived = false;
    bool closed = false;
    bool bodyTooLong = false;
    asio::steady_timer completionTimer;
};

/// Client end of a connection between siblings.
class ClientConnection final : public Http2Connection {
public:
    struct Options {
        Http2Connection::Options connection;
        std::size_t maxMessageBytes = 0;
        std::size_t maxConcurrentCalls = 0;
        bool offersBinary = true;
        std::function<void()> onClosed;
    };
    struct Message {
        std::string path;
        std::vector<HeaderField> fields;
        std::string body;
    };

    ClientConnection(asio::ip::tcp::socket socket, Options options);

    /// Requires the other end to prove that it knows the secret; throws SiblingError if it does not.
    [[nodiscard]] asio::awaitable<void> authenticate(MessageKey secretKey, Instant deadline);

    /// Sends a message and waits until its stream is closed; throws SiblingError unless the answer is
    /// complete.
    [[nodiscard]] asio::awaitable<std::shared_ptr<ClientStream>> exchange(Message message, Instant deadline);

    /// HTTP/2 stream id that the next message will use.
    [[nodiscard]] StreamId upcomingStreamId() const { return this->nextStreamId(); }
    [[nodiscard]] const MessageKey& key() const noexcept { return this->connectionKey; }
    /// The other end accepts calls in the binary encoding.
    [[nodiscard]] bool acceptsBinary() const noexcept { return this->binary; }

private:
    void onHeader(StreamId stream, std::string_view name, std::string_view value) override;
    void onData(StreamId stream, std::string_view data) override;
    void onEnd(StreamId stream) override;
    void onSent(StreamId stream) override;
    void onStreamClosed(StreamId stream, std::uint32_t errorCode) override;
    void onConnectionClosed() override;

    [[nodiscard]] std::shared_ptr<ClientStream> find(StreamId stream) const;
    [[nodiscard]] std::shared_ptr<ClientStream> submit(Message message);
    void completeStream(ClientStream& stream, std::uint32_t errorCode);

    Options options;
    MessageKey connectionKey;
    bool binary = false;
    std::map<StreamId, std::shared_ptr<ClientStream>> streams;
};

} // namespace cyclamendrift
