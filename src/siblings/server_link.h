#pragma once

#include "http2_link.h"
#include "message_key.h"

#include <cyclamendrift/siblings/sibling_server.h>

#include <map>
#include <string>

namespace cyclamendrift {

/// The answering end of a connection.
class ServerLink final : public Http2Link {
public:
    struct Options {
        Http2Link::Options link;
        MessageKey secretKey;
        std::size_t maxMessageBytes = 0;
        /// Where handlers run.
        asio::any_io_executor handlerExecutor;
        SiblingServer::Handler handler;
        std::function<void()> onClosed;
    };

    ServerLink(asio::ip::tcp::socket socket, Options options);

    /// Begins to serve; the other end must prove soon that it knows the secret.
    void serve();

private:
    struct Incoming {
        std::string path;
        std::string from;
        std::string timeout;
        std::string traceparent;
        std::string nonce;
        std::string code;
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
    void onLinkClosed() override;

    void greet(StreamId stream, const Incoming& hello);
    void dispatch(StreamId stream, Incoming incoming);
    [[nodiscard]] bool isAuthentic(StreamId stream, const Incoming& incoming) const;
    void refuseUnauthenticated(StreamId stream);
    void answer(StreamId stream, Reply reply);
    static asio::awaitable<Reply> run(
        SiblingServer::Handler handler, IncomingSiblingCall call, std::size_t maxBytes);

    Options options;
    asio::steady_timer greetingTimer;
    MessageKey connectionKey;
    std::map<StreamId, Incoming> incoming;
    std::size_t bufferedBytes = 0;
    bool greeted = false;
    bool authenticated = false;
};

} // namespace cyclamendrift
