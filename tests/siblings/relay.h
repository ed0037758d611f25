#pragma once

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>
#include <asio/write.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

/// TCP relay between a client and a server that forwards bytes, modifies or drops them, or closes
/// connections.
class Relay {
public:
    using Socket = std::shared_ptr<asio::ip::tcp::socket>;
    /// Receives the bytes to forward and may modify them; returns false to close the connection.
    using Filter = std::function<bool(std::string&)>;

    Relay(asio::io_context& context, std::uint16_t serverPort)
        : acceptor(context, { asio::ip::address_v4::loopback(), 0 })
        , serverPort(serverPort)
    {
        this->accept();
    }

    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }

    /// Drops all further bytes of the connections that are open now; new connections are forwarded.
    void blackholeOpenConnections() { ++this->firstForwardingGeneration; }

    Filter toServer = [](std::string&) { return true; };
    Filter toClient = [](std::string&) { return true; };

private:
    void accept()
    {
        this->acceptor.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
            if (error)
                return;
            auto client = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
            auto server = std::make_shared<asio::ip::tcp::socket>(client->get_executor());
            std::error_code refused;
            server->connect({ asio::ip::address_v4::loopback(), this->serverPort }, refused);
            const auto executor = this->acceptor.get_executor();
            const int generation = this->firstForwardingGeneration;
            asio::co_spawn(
                executor, this->forward(client, server, this->toServer, generation), asio::detached);
            asio::co_spawn(
                executor, this->forward(server, client, this->toClient, generation), asio::detached);
            this->accept();
        });
    }

    asio::awaitable<void> forward(Socket from, Socket to, Filter& filter, int generation)
    {
        constexpr std::size_t chunkSize = 16384;
        std::array<char, chunkSize> chunk {};
        while (true) {
            std::error_code error;
            const auto size = co_await from->async_read_some(
                asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
            const bool blackholed = generation < this->firstForwardingGeneration;
            if (blackholed && !error)
                continue;
            std::string bytes { chunk.data(), size };
            if (error || !filter(bytes))
                break;
            co_await asio::async_write(
                *to, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            if (error)
                break;
        }
        std::error_code ignored;
        from->close(ignored);
        to->close(ignored);
    }

    asio::ip::tcp::acceptor acceptor;
    std::uint16_t serverPort;
    int firstForwardingGeneration = 0;
};
