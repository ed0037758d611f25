#include "virtual_clock.h"

#include <utility>

namespace cyclamendrift::standins {

namespace {

/// The pending event holds the state weakly, so that a destroyed subscription ends it.
struct TickState : std::enable_shared_from_this<TickState> {
    std::shared_ptr<VirtualProcess> process;
    Duration interval {};
    bool repeat = false;
    std::function<void(Instant)> tick;

    void wait()
    {
        const auto delay = this->process->trueTime(this->interval);
        this->process->deliverAfter(delay, [weak = this->weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->tick(self->process->localNow());
            if (self->repeat)
                self->wait();
        });
    }
};

class TickSubscription final : public TimerService::Subscription {
public:
    explicit TickSubscription(std::shared_ptr<TickState> state)
        : state(std::move(state))
    {
    }

private:
    std::shared_ptr<TickState> state;
};

std::unique_ptr<TimerService::Subscription> subscribe(const std::shared_ptr<VirtualProcess>& process,
    Duration interval, bool repeat, std::function<void(Instant)> tick)
{
    auto state = std::make_shared<TickState>();
    state->process = process;
    state->interval = interval;
    state->repeat = repeat;
    state->tick = std::move(tick);
    state->wait();
    return std::make_unique<TickSubscription>(std::move(state));
}

} // namespace

void VirtualClock::at(Instant when, std::function<void()> event)
{
    this->queue.emplace(
        Key { .when = std::max(when, this->current), .order = ++this->order }, std::move(event));
}

void VirtualClock::poll()
{
    this->ioContext.restart();
    this->ioContext.poll();
}

void VirtualClock::runFor(Duration duration)
{
    const auto end = this->current + duration;
    this->poll();
    while (!this->queue.empty() && this->queue.begin()->first.when <= end) {
        auto next = this->queue.extract(this->queue.begin());
        this->current = next.key().when;
        next.mapped()();
        ++this->events;
        this->poll();
    }
    this->current = end;
}

void VirtualProcess::deliverAfter(Duration delay, std::function<void()> event)
{
    this->options.clock.at(this->options.clock.now() + delay,
        [self = this->shared_from_this(), event = std::move(event)]() mutable {
            self->run(std::move(event));
        });
}

void VirtualProcess::run(std::function<void()> event)
{
    if (this->dead)
        return;
    if (this->paused)
        this->held.push_back(std::move(event));
    else
        event();
}

void VirtualProcess::resume()
{
    this->paused = false;
    for (auto& event : std::exchange(this->held, {}))
        this->deliverAfter(Duration {}, std::move(event));
}

void VirtualProcess::kill()
{
    this->dead = true;
    this->held.clear();
}

Instant VirtualProcess::localNow() const noexcept
{
    const auto since = this->options.clock.now().time_since_epoch();
    return Instant { Duration {
        static_cast<Duration::rep>(static_cast<double>(since.count()) * this->options.clockRate) } };
}

Duration VirtualProcess::trueTime(Duration local) const noexcept
{
    return Duration { static_cast<Duration::rep>(
        static_cast<double>(local.count()) / this->options.clockRate) };
}

std::unique_ptr<TimerService::Subscription> VirtualTimers::every(
    Duration interval, std::function<void(Instant)> tick)
{
    return subscribe(this->process, interval, true, std::move(tick));
}

std::unique_ptr<TimerService::Subscription> VirtualTimers::after(
    Duration delay, std::function<void(Instant)> tick)
{
    return subscribe(this->process, delay, false, std::move(tick));
}

} // namespace cyclamendrift::standins
