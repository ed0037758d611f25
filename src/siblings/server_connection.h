#pragma once

#include "http2_connection.h"
#include "message_key.h"

#include <cyclamendrift/siblings/sibling_server.h>

#include <map>
#include <string>

namespace cyclamendrift {

/// Server end of a connection between siblings.
class ServerConnection final : public Http2Connection {
public:
    struct Options {
        Http2Connection::Options connection;
        MessageKey secretKey;
        std::size_t maxMessageBytes = 0;
        bool acceptsBinary = true;
        /// Executor that the handlers run on.
        asio::any_io_executor handlerExecutor;
        SiblingServer::Handler handler;
        std::function<void()> onClosed;
    };

    ServerConnection(asio::ip::tcp::socket socket, Options options);

    /// Starts serving; closes the connection unless a call is authenticated within a few seconds.
    void serve();

private:
    struct IncomingMessage {
        std::string path;
        /// In the binary encoding, which has no method in the path.
        std::string method;
        bool binary = false;
        std::string from;
        std::string timeout;
        std::string traceparent;
        std::string nonce;
        std::string mac;
        std::string encoding;
        std::string body;
    };
    struct Reply {
        std::string result;
        std::string body;
    };

    void onHeader(StreamId stream, std::string_view name, std::string_view value) override;
    void onData(StreamId stream, std::string_view data) override;
    void onEnd(StreamId stream) override;
    void onSent(StreamId) override { }
    void onStreamClosed(StreamId stream, std::uint32_t errorCode) override;
    void onConnectionClosed() override;

    void answerHello(StreamId stream, const IncomingMessage& hello);
    void dispatch(StreamId stream, IncomingMessage incoming);
    /// Brings a message in the binary encoding into the form of one in the text encoding, with its MAC in
    /// bytes. Returns false if it is too short.
    [[nodiscard]] static bool unwrapBinary(IncomingMessage& message);
    [[nodiscard]] bool isAuthentic(StreamId stream, const IncomingMessage& incoming) const;
    void rejectUnauthenticated(StreamId stream);
    void sendReply(StreamId stream, Reply reply);
    static asio::awaitable<Reply> runHandler(
        SiblingServer::Handler handler, IncomingSiblingCall call, std::size_t maxBytes);

    Options options;
    asio::steady_timer authenticationTimer;
    MessageKey connectionKey;
    std::map<StreamId, IncomingMessage> incoming;
    std::size_t bufferedBytes = 0;
    bool helloReceived = false;
    bool authenticated = false;
};

} // namespace cyclamendrift
