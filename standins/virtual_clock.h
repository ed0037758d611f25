#pragma once

#include <cyclamendrift/core/timer_service.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace cyclamendrift::standins {

/// Virtual time for a fleet in one process: runs events in order of time, and between them everything that
/// Asio has ready. One seed gives one run.
class VirtualClock {
public:
    /// True time now; no VM sees it.
    [[nodiscard]] Instant now() const noexcept { return this->current; }

    /// Runs `event` at a time.
    void at(Instant when, std::function<void()> event);

    /// Runs events for so long, and lets the time pass.
    void runFor(Duration duration);

    /// Where all coroutines run.
    [[nodiscard]] asio::io_context& context() noexcept { return this->ioContext; }

    /// Events run so far.
    [[nodiscard]] std::uint64_t eventCount() const noexcept { return this->events; }

private:
    struct Key {
        Instant when;
        std::uint64_t order = 0;

        friend auto operator<=>(const Key&, const Key&) = default;
    };

    void poll();

    /// First, because events that are dropped with the queue may still refer to it.
    asio::io_context ioContext { 1 };
    Instant current { std::chrono::hours { 1 } };
    std::uint64_t order = 0;
    std::uint64_t events = 0;
    std::map<Key, std::function<void()>> queue;
};

/// One process whose events can be held back while it is paused, and dropped once it is dead.
class VirtualProcess : public std::enable_shared_from_this<VirtualProcess> {
public:
    struct Options {
        VirtualClock& clock;
        /// Seconds that its clock counts in a second of true time.
        double clockRate = 1;
    };

    explicit VirtualProcess(Options options)
        : options(options)
    {
    }

    /// Runs `event` in the process after a length of true time.
    void deliverAfter(Duration delay, std::function<void()> event);

    /// Holds back everything that should happen in the process.
    void pause() noexcept { this->paused = true; }
    /// Lets everything held back happen now.
    void resume();
    /// Ends the process.
    void kill();

    [[nodiscard]] bool isPaused() const noexcept { return this->paused; }
    [[nodiscard]] bool isDead() const noexcept { return this->dead; }

    /// The process's own clock.
    [[nodiscard]] Instant localNow() const noexcept;
    /// True time in which the process's clock counts `local`.
    [[nodiscard]] Duration trueTime(Duration local) const noexcept;

    [[nodiscard]] VirtualClock& clock() const noexcept { return this->options.clock; }

private:
    void run(std::function<void()> event);

    Options options;
    bool paused = false;
    bool dead = false;
    std::vector<std::function<void()>> held;
};

/// The timer service of a virtual process.
class VirtualTimers final : public TimerService {
public:
    explicit VirtualTimers(std::shared_ptr<VirtualProcess> process)
        : process(std::move(process))
    {
    }

    [[nodiscard]] Instant now() const noexcept override { return this->process->localNow(); }
    [[nodiscard]] std::unique_ptr<Subscription> every(
        Duration interval, std::function<void(Instant)> tick) override;
    [[nodiscard]] std::unique_ptr<Subscription> after(
        Duration delay, std::function<void(Instant)> tick) override;

private:
    std::shared_ptr<VirtualProcess> process;
};

} // namespace cyclamendrift::standins
