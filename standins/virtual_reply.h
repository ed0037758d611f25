#pragma once

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <exception>
#include <memory>
#include <optional>
#include <stdexcept>
#include <utility>

namespace cyclamendrift::standins {

/// A result that a coroutine waits for and an event of virtual time brings.
template <class Result> class VirtualReply {
public:
    explicit VirtualReply(asio::io_context& context)
        : wake(context, asio::steady_timer::time_point::max())
    {
    }

    void succeed(Result result)
    {
        if (this->isDone())
            return;
        this->result = std::move(result);
        this->wake.cancel();
    }

    void fail(const std::exception_ptr& cause)
    {
        if (this->isDone())
            return;
        this->error = cause;
        this->wake.cancel();
    }

    /// Waits for whichever comes first.
    [[nodiscard]] static asio::awaitable<Result> wait(std::shared_ptr<VirtualReply> reply);

private:
    [[nodiscard]] bool isDone() const noexcept { return this->result || this->error; }

    asio::steady_timer wake;
    std::optional<Result> result;
    std::exception_ptr error;
};

template <class Result>
asio::awaitable<Result> VirtualReply<Result>::wait(std::shared_ptr<VirtualReply> reply)
{
    while (!reply->isDone()) {
        std::error_code woken;
        co_await reply->wake.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
    if (reply->error)
        std::rethrow_exception(reply->error);
    auto& result = reply->result;
    if (!result)
        throw std::logic_error { "a reply that is done has neither result nor error" };
    co_return *std::move(result);
}

} // namespace cyclamendrift::standins
