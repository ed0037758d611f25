#pragma once

#include <asio/associated_executor.hpp>
#include <asio/bind_executor.hpp>
#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamendrift {

/// What RESTinio logged last on this thread about a connection that it is about to close. RESTinio closes a
/// connection whose request breaks the protocol or a bound without a word to the caller; the text of its log
/// is the only place that says why.
[[nodiscard]] std::string& lastConnectionError() noexcept;

/// Logger for RESTinio that keeps the last error and drops the rest.
class ConnectionErrorLogger {
public:
    template <class Builder> void trace(Builder&&) noexcept { }
    template <class Builder> void info(Builder&&) noexcept { }
    template <class Builder> void warn(Builder&&) noexcept { }
    template <class Builder> void error(Builder&& builder) { lastConnectionError() = builder(); }
};

/// A TCP socket that answers before it is closed. When RESTinio shuts it down with a request half read, the
/// caller would see a connection reset and could not tell whether its request ran; this socket writes a
/// refusal first, and reads off for a moment what the caller is still sending, because closing a socket with
/// unread bytes resets the connection and destroys the refusal on its way.
class AnsweringSocket : public asio::ip::tcp::socket {
public:
    using Base = asio::ip::tcp::socket;

    explicit AnsweringSocket(asio::io_context& context)
        : Base(context)
    {
    }
    AnsweringSocket(AnsweringSocket&&) = default;
    AnsweringSocket& operator=(AnsweringSocket&&) = default;

    template <class Buffers, class Handler> void async_read_some(const Buffers& buffers, Handler&& handler)
    {
        this->reading = true;
        const auto executor = asio::get_associated_executor(handler);
        Base::async_read_some(buffers,
            asio::bind_executor(executor,
                [this, next = std::forward<Handler>(handler)](
                    const asio::error_code& error, std::size_t length) mutable {
                    this->reading = false;
                    if (length > 0)
                        this->unanswered = true;
                    next(error, length);
                }));
    }

    template <class Buffers, class Handler> void async_write_some(const Buffers& buffers, Handler&& handler)
    {
        this->unanswered = false;
        Base::async_write_some(buffers, std::forward<Handler>(handler));
    }

    void shutdown(shutdown_type what, asio::error_code& error);
    void close();

private:
    void refuse() noexcept;

    /// Bytes of a request came in and no answer to it was begun.
    bool unanswered = false;
    bool reading = false;
    bool lingering = false;
};

} // namespace cyclamendrift
