#include "http_server.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace cyclamendrift::standins {

using asio::ip::tcp;

namespace {

constexpr std::size_t readSize = 16384;

/// Takes requests out of a stream of bytes.
class RequestParser {
public:
    RequestParser()
    {
        http_parser_init(&this->parser, HTTP_REQUEST);
        this->parser.data = this;
        this->settings.on_url = [](http_parser* parser, const char* at, std::size_t length) {
            self(parser).request.target.append(at, length);
            return 0;
        };
        this->settings.on_body = [](http_parser* parser, const char* at, std::size_t length) {
            self(parser).request.body.append(at, length);
            return 0;
        };
        this->settings.on_message_complete = [](http_parser* parser) {
            self(parser).complete = true;
            http_parser_pause(parser, 1);
            return 0;
        };
    }

    /// Returns the number of bytes taken; stops after a whole request.
    std::size_t feed(std::string_view bytes)
    {
        const auto used = http_parser_execute(&this->parser, &this->settings, bytes.data(), bytes.size());
        const auto error = HTTP_PARSER_ERRNO(&this->parser);
        if (error != HPE_OK && error != HPE_PAUSED)
            throw std::runtime_error { "not HTTP" };
        return used;
    }

    [[nodiscard]] bool isComplete() const noexcept { return this->complete; }

    HttpRequest take()
    {
        this->request.method = http_method_str(static_cast<http_method>(this->parser.method));
        http_parser_pause(&this->parser, 0);
        this->complete = false;
        return std::exchange(this->request, {});
    }

private:
    static RequestParser& self(http_parser* parser) { return *static_cast<RequestParser*>(parser->data); }

    http_parser parser {};
    http_parser_settings settings {};
    HttpRequest request;
    bool complete = false;
};

std::string headOf(const HttpResponse& response)
{
    std::string head
        = "HTTP/1.1 " + std::to_string(response.status) + " -\r\nContent-Type: application/json\r\n";
    if (response.stream)
        return head + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    return head + "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<State> {
    State(asio::io_context& context, std::uint16_t port, Handler handler)
        : acceptor(context, { asio::ip::address_v4::loopback(), port })
        , handler(std::move(handler))
    {
    }

    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const std::error_code& error, tcp::socket socket) {
                if (error)
                    return;
                auto connection = std::make_shared<tcp::socket>(std::move(socket));
                self->open.insert(connection);
                asio::co_spawn(
                    self->acceptor.get_executor(), [self, connection] { return serve(self, connection); },
                    [self, connection](const std::exception_ptr&) { self->open.erase(connection); });
                self->accept();
            });
    }

    static asio::awaitable<void> send(
        tcp::socket& socket, std::string_view bytes, const HttpResponse& response)
    {
        constexpr std::size_t piecesPerSecond = 100;
        const auto pieceBytes = response.bytesPerSecond == 0
            ? bytes.size()
            : std::max<std::size_t>(response.bytesPerSecond / piecesPerSecond, 1);
        asio::steady_timer timer { socket.get_executor(), std::chrono::steady_clock::now() };
        for (std::size_t sent = 0; sent < bytes.size(); sent += pieceBytes) {
            if (response.stallAfter != 0 && sent >= response.stallAfter)
                timer.expires_at(asio::steady_timer::time_point::max());
            co_await timer.async_wait(asio::use_awaitable);
            const auto piece = bytes.substr(sent, pieceBytes);
            co_await asio::async_write(socket, asio::buffer(piece), asio::use_awaitable);
            timer.expires_at(timer.expiry() + std::chrono::milliseconds { 1000 } / piecesPerSecond);
        }
    }

    /// An error ends the coroutine, and with it the connection.
    static asio::awaitable<void> serve(std::shared_ptr<State> self, std::shared_ptr<tcp::socket> socket)
    {
        RequestParser parser;
        std::string input;
        std::array<char, readSize> chunk {};
        while (true) {
            while (!parser.isComplete()) {
                const auto size = co_await socket->async_read_some(asio::buffer(chunk), asio::use_awaitable);
                input.append(chunk.data(), size);
                input.erase(0, parser.feed(input));
            }
            const auto response = co_await self->handler(parser.take());
            if (response.drop)
                break;
            std::string bytes = headOf(response) + response.body;
            if (response.cutAfter > 0)
                bytes.resize(std::min(bytes.size(), response.cutAfter));
            co_await send(*socket, bytes, response);
            if (response.cutAfter > 0)
                break;
            if (response.stream) {
                HttpStream stream { *socket };
                co_await response.stream(stream);
                break;
            }
            input.erase(0, parser.feed(input));
        }
        socket->close();
    }

    tcp::acceptor acceptor;
    Handler handler;
    std::set<std::shared_ptr<tcp::socket>> open;
};

asio::awaitable<void> HttpStream::write(std::string_view piece)
{
    constexpr std::size_t longestHead = 20;
    std::array<char, longestHead> size {};
    const auto length = std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
    std::string bytes { size.data(), static_cast<std::size_t>(length) };
    bytes += piece;
    bytes += "\r\n";
    co_await asio::async_write(this->socket, asio::buffer(bytes), asio::use_awaitable);
}

HttpServer::HttpServer(asio::io_context& context, std::uint16_t port, Handler handler)
    : state(std::make_shared<State>(context, port, std::move(handler)))
{
    this->state->accept();
}

HttpServer::~HttpServer()
{
    this->state->acceptor.close();
    this->closeAll();
}

std::uint16_t HttpServer::port() const noexcept { return this->state->acceptor.local_endpoint().port(); }

void HttpServer::closeAll()
{
    for (const auto& socket : this->state->open) {
        std::error_code ignored;
        socket->close(ignored);
    }
}

} // namespace cyclamendrift::standins
