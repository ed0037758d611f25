#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cyclamendrift::standins {

struct HttpRequest {
    std::string method;
    std::string target;
    std::string body;
};

/// Body of an answer that is written piece by piece.
class HttpStream {
public:
    explicit HttpStream(asio::ip::tcp::socket& socket) noexcept
        : socket(socket)
    {
    }
    /// Sends one chunk; throws when the client has gone.
    asio::awaitable<void> write(std::string_view piece);

private:
    asio::ip::tcp::socket& socket;
};

struct HttpResponse {
    unsigned status = 200;
    std::string body;
    /// Set for a body in pieces; the connection is closed after it.
    std::function<asio::awaitable<void>(HttpStream&)> stream;
    /// Closes the connection without an answer.
    bool drop = false;
    /// Bytes of the answer after which the connection is cut; 0 to send all.
    std::size_t cutAfter = 0;
    /// Rate at which the answer is sent, as over a slow link; 0 to send it at once.
    std::size_t bytesPerSecond = 0;
    /// Bytes of the answer after which nothing more is sent while the connection stays open; 0 to send all.
    /// Only with `bytesPerSecond`.
    std::size_t stallAfter = 0;
};

/// The least of an HTTP/1.1 server, for the control ports and the platform's stand-ins.
class HttpServer {
public:
    using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

    /// Serves a loopback port, 0 for any free one, on the context.
    HttpServer(asio::io_context& context, std::uint16_t port, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    [[nodiscard]] std::uint16_t port() const noexcept;

    /// Closes every open connection.
    void closeAll();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift::standins
