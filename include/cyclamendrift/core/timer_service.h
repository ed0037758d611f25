#pragma once

#include <cyclamendrift/core/instant.h>

#include <functional>
#include <memory>

namespace cyclamendrift {

/// Calls parts back as time passes. Daemons back it with Asio, tests with virtual time.
class TimerService {
public:
    /// Ends the callbacks when it is destroyed.
    class Subscription {
    public:
        virtual ~Subscription() = default;
    };

    virtual ~TimerService() = default;

    /// The time now.
    [[nodiscard]] virtual Instant now() const noexcept = 0;

    /// Calls `tick` about every `interval` until the subscription is destroyed.
    [[nodiscard]] virtual std::unique_ptr<Subscription> every(
        Duration interval, std::function<void(Instant)> tick)
        = 0;

    /// Calls `tick` once, not before `delay` has passed, unless the subscription is destroyed earlier.
    [[nodiscard]] virtual std::unique_ptr<Subscription> after(
        Duration delay, std::function<void(Instant)> tick)
        = 0;
};

} // namespace cyclamendrift
