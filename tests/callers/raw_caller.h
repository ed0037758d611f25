#pragma once

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/read_until.hpp>
#include <asio/write.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// A caller that sends whatever bytes a test wants.
class RawCaller {
public:
    explicit RawCaller(std::uint16_t port)
        : socket(this->context)
    {
        this->socket.connect({ asio::ip::address_v4::loopback(), port });
    }

    void send(std::string_view bytes)
    {
        asio::error_code ignored;
        asio::write(this->socket, asio::buffer(bytes.data(), bytes.size()), ignored);
    }

    void endSending() { this->socket.shutdown(asio::ip::tcp::socket::shutdown_send); }

    /// All that comes until the server closes; "(reset)" is appended when it did not do so in good order.
    std::string readToEnd()
    {
        std::string text;
        asio::error_code error;
        asio::read(this->socket, asio::dynamic_buffer(text), error);
        return error == asio::error::eof ? text : text + "(reset)";
    }

    /// One answer with its body, on a connection that stays open.
    std::string readAnswer()
    {
        auto buffer = asio::dynamic_buffer(this->pending);
        const auto head = asio::read_until(this->socket, buffer, "\r\n\r\n");
        const std::string_view name { "Content-Length: " };
        const auto length = head + std::stoul(this->pending.substr(this->pending.find(name) + name.size()));
        if (this->pending.size() < length)
            asio::read(this->socket, buffer, asio::transfer_exactly(length - this->pending.size()));
        const auto answer = this->pending.substr(0, length);
        this->pending.erase(0, length);
        return answer;
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket;
    /// What came in beyond the last answer.
    std::string pending;
};

/// A whole POST request.
inline std::string post(std::string_view path, std::string_view contentType, std::string_view body)
{
    std::string text = "POST ";
    text += path;
    text += " HTTP/1.1\r\nHost: test\r\nContent-Type: ";
    text += contentType;
    text += "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    text += body;
    return text;
}
