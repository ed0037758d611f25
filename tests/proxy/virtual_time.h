#pragma once

#include <cyclamendrift/core/timer_service.h>

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace cyclamendrift::testing {

/// Timers that go off when the test says so, on the context that it runs.
class VirtualTime final : public TimerService {
public:
    explicit VirtualTime(asio::io_context& context)
        : context(context)
    {
    }

    [[nodiscard]] Instant now() const noexcept override { return this->current; }

    [[nodiscard]] std::unique_ptr<Subscription> every(
        Duration interval, std::function<void(Instant)> tick) override
    {
        return this->subscribe(interval, interval, std::move(tick));
    }

    [[nodiscard]] std::unique_ptr<Subscription> after(
        Duration delay, std::function<void(Instant)> tick) override
    {
        return this->subscribe(delay, Duration::zero(), std::move(tick));
    }

    /// Runs everything that happens until `end`, or until `done` says that it is enough.
    void runUntil(
        Instant end, const std::function<bool()>& done = [] { return false; })
    {
        for (;;) {
            this->runReady();
            if (done())
                return;
            if (this->timers.empty() || this->timers.begin()->first > end)
                break;
            auto node = this->timers.extract(this->timers.begin());
            this->current = std::max(this->current, node.key());
            if (const auto timer = node.mapped().lock())
                this->fire(timer);
        }
        this->current = std::max(this->current, end);
    }

    void runFor(Duration duration) { this->runUntil(this->current + duration); }

private:
    struct Timer final {
        Duration interval {};
        std::function<void(Instant)> tick;
    };
    struct Handle final : Subscription {
        explicit Handle(std::shared_ptr<Timer> timer)
            : timer(std::move(timer))
        {
        }
        std::shared_ptr<Timer> timer;
    };

    std::unique_ptr<Subscription> subscribe(
        Duration delay, Duration interval, std::function<void(Instant)> tick)
    {
        auto timer = std::make_shared<Timer>(Timer { interval, std::move(tick) });
        this->timers.emplace(this->current + std::max(delay, Duration::zero()), timer);
        return std::make_unique<Handle>(std::move(timer));
    }

    void fire(const std::shared_ptr<Timer>& timer)
    {
        if (timer->interval > Duration::zero())
            this->timers.emplace(this->current + timer->interval, timer);
        timer->tick(this->current);
    }

    void runReady()
    {
        this->context.restart();
        while (this->context.poll() > 0)
            this->context.restart();
    }

    asio::io_context& context;
    std::multimap<Instant, std::weak_ptr<Timer>> timers;
    Instant current { std::chrono::hours { 1 } };
};

} // namespace cyclamendrift::testing
