#include <cyclamendrift/runtime/asio_timer_service.h>

#include <asio/steady_timer.hpp>

#include <utility>

namespace cyclamendrift {

namespace {

/// State of one subscription. The pending wait holds it weakly: a subscription that was destroyed while its
/// tick was already queued would otherwise call into a part that is gone.
class AsioSubscription final : public TimerService::Subscription,
                               public std::enable_shared_from_this<AsioSubscription> {
public:
    struct Options {
        Duration delay {};
        bool repeat = false;
        std::function<void(Instant)> tick;
    };

    AsioSubscription(const asio::any_io_executor& executor, Options options)
        : timer(executor)
        , options(std::move(options))
    {
    }

    void wait()
    {
        this->timer.expires_after(this->options.delay);
        this->timer.async_wait([weak = this->weak_from_this()](const std::error_code& error) {
            const auto self = weak.lock();
            if (!self || error)
                return;
            self->tick();
        });
    }

private:
    void tick()
    {
        try {
            this->options.tick(std::chrono::steady_clock::now());
        } catch (...) {
            // What the subscriber does periodically must not end with one failure.
            if (this->options.repeat)
                this->wait();
            throw;
        }
        if (this->options.repeat)
            this->wait();
    }

    asio::steady_timer timer;
    Options options;
};

/// Owns the shared state, so that the caller's handle is the last strong reference.
class SubscriptionHandle final : public TimerService::Subscription {
public:
    explicit SubscriptionHandle(std::shared_ptr<AsioSubscription> subscription) noexcept
        : subscription(std::move(subscription))
    {
    }

private:
    std::shared_ptr<AsioSubscription> subscription;
};

std::unique_ptr<TimerService::Subscription> subscribe(
    const asio::any_io_executor& executor, AsioSubscription::Options options)
{
    auto subscription = std::make_shared<AsioSubscription>(executor, std::move(options));
    subscription->wait();
    return std::make_unique<SubscriptionHandle>(std::move(subscription));
}

} // namespace

AsioTimerService::AsioTimerService(asio::any_io_executor executor) noexcept
    : executor(std::move(executor))
{
}

Instant AsioTimerService::now() const noexcept { return std::chrono::steady_clock::now(); }

std::unique_ptr<TimerService::Subscription> AsioTimerService::every(
    Duration interval, std::function<void(Instant)> tick)
{
    return subscribe(this->executor, { .delay = interval, .repeat = true, .tick = std::move(tick) });
}

std::unique_ptr<TimerService::Subscription> AsioTimerService::after(
    Duration delay, std::function<void(Instant)> tick)
{
    return subscribe(this->executor, { .delay = delay, .repeat = false, .tick = std::move(tick) });
}

} // namespace cyclamendrift
