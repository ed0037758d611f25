#pragma once

#include <cyclamendrift/core/timer_service.h>

#include <asio/any_io_executor.hpp>

namespace cyclamendrift {

/// Timers on an Asio executor; ticks run on it.
///
///     AsioTimerService timers { context.get_executor() };
///     auto subscription = timers.every(std::chrono::seconds { 1 }, [](Instant now) { heartbeat(now); });
class AsioTimerService final : public TimerService {
public:
    explicit AsioTimerService(asio::any_io_executor executor) noexcept;

    [[nodiscard]] Instant now() const noexcept override;
    [[nodiscard]] std::unique_ptr<Subscription> every(
        Duration interval, std::function<void(Instant)> tick) override;
    [[nodiscard]] std::unique_ptr<Subscription> after(
        Duration delay, std::function<void(Instant)> tick) override;

private:
    asio::any_io_executor executor;
};

} // namespace cyclamendrift
