#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/timer_service.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace cyclamendrift {

/// A value that one coroutine waits for and another part gives once; both on the same executor. Later values
/// are dropped.
///
///     const auto turn = std::make_shared<OneShot<bool>>(executor);
///     timer = timers.after(delay, [turn](Instant) { turn->set(true); });
///     co_await OneShot<bool>::take(turn);
template <class Value> class OneShot {
public:
    explicit OneShot(asio::any_io_executor executor) noexcept
        : executor(std::move(executor))
    {
    }

    /// Gives the value; false when one was given before.
    bool set(Value value)
    {
        if (this->done)
            return false;
        this->done = true;
        this->value = std::make_unique<Value>(std::move(value));
        if (this->resume)
            std::exchange(this->resume, nullptr)();
        return true;
    }

    [[nodiscard]] bool isSet() const noexcept { return this->done; }

    /// Waits for the value; call it once.
    [[nodiscard]] static asio::awaitable<Value> take(std::shared_ptr<OneShot> self)
    {
        if (!self->done)
            co_await suspend(self);
        co_return std::move(*self->value);
    }

private:
    static asio::awaitable<void> suspend(const std::shared_ptr<OneShot>& self)
    {
        co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(
            [&](auto handler) {
                auto shared = std::make_shared<decltype(handler)>(std::move(handler));
                // Posted, so that whoever gives the value is not run into by what follows from it.
                self->resume = [shared, executor = self->executor] {
                    asio::post(executor, [shared] { std::move (*shared)(); });
                };
            },
            asio::use_awaitable);
    }

    asio::any_io_executor executor;
    std::unique_ptr<Value> value;
    std::function<void()> resume;
    bool done = false;
};

/// Waits for some time.
[[nodiscard]] inline asio::awaitable<void> sleepFor(
    asio::any_io_executor executor, TimerService& timers, Duration duration)
{
    const auto elapsed = std::make_shared<OneShot<bool>>(std::move(executor));
    const auto timer = timers.after(duration, [elapsed](Instant) { elapsed->set(true); });
    (void)co_await OneShot<bool>::take(elapsed);
}

} // namespace cyclamendrift
