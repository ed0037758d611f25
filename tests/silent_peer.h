#pragma once

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

/// Takes one connection and everything that comes on it, and sends nothing but a greeting at its begin.
class SilentPeer {
public:
    explicit SilentPeer(asio::io_context& context, std::string greeting = {})
        : context(context)
        , acceptor(context, { asio::ip::address_v4::loopback(), 0 })
        , socket(context)
        , greeting(std::move(greeting))
    {
        this->acceptor.async_accept(this->socket, [this](const asio::error_code& error) {
            if (!error)
                this->receive();
        });
    }

    [[nodiscard]] std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->port()); }

    /// Waits for the connection to end and returns how it did; success when it does not.
    [[nodiscard]] asio::error_code awaitEnd()
    {
        constexpr std::chrono::seconds longest { 5 };
        this->context.restart();
        while (!this->end && this->context.run_one_for(longest) > 0) { }
        return this->end.value_or(asio::error_code {});
    }

    /// What came before the end.
    [[nodiscard]] const std::string& received() const noexcept { return this->bytes; }

private:
    void receive()
    {
        asio::error_code ignored;
        asio::write(this->socket, asio::buffer(this->greeting), ignored);
        asio::async_read(this->socket, asio::dynamic_buffer(this->bytes),
            [this](const asio::error_code& error, std::size_t) { this->end = error; });
    }

    asio::io_context& context;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    std::string greeting;
    std::string bytes;
    std::optional<asio::error_code> end;
};
