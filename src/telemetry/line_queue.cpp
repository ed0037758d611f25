#include <cyclamendrift/telemetry/line_queue.h>

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace cyclamendrift {

struct LineQueue::State {
    explicit State(Options options)
        : options(std::move(options))
    {
    }

    void writeAll();
    /// The lines to write next; empty once the queue has ended.
    [[nodiscard]] std::string next();

    Options options;
    std::mutex mutex;
    std::condition_variable changed;
    std::string waiting;
    bool writing = false;
    bool ended = false;
    std::uint64_t leftOut = 0;
};

LineQueue::LineQueue(Options options)
    : state(std::make_shared<State>(std::move(options)))
{
    // The thread holds its share of the state, so that it may outlive a queue whose writer stalls.
    std::thread { [shared = this->state] { shared->writeAll(); } }.detach();
}

LineQueue::~LineQueue()
{
    const std::lock_guard lock { this->state->mutex };
    this->state->ended = true;
    this->state->changed.notify_all();
}

bool LineQueue::put(std::string_view line, std::uint64_t standsFor)
{
    const std::lock_guard lock { this->state->mutex };
    auto& waiting = this->state->waiting;
    if (waiting.size() + line.size() > this->state->options.maxBytes) {
        this->state->leftOut += standsFor;
        return false;
    }
    // The thread looks again after its rest; it need not be woken for each line.
    const bool wake = waiting.empty() && !this->state->writing;
    waiting += line;
    if (wake)
        this->state->changed.notify_all();
    return true;
}

std::uint64_t LineQueue::takeLeftOut()
{
    const std::lock_guard lock { this->state->mutex };
    return std::exchange(this->state->leftOut, 0);
}

bool LineQueue::flush(Duration atMost)
{
    std::unique_lock lock { this->state->mutex };
    return this->state->changed.wait_for(
        lock, atMost, [this] { return this->state->waiting.empty() && !this->state->writing; });
}

std::string LineQueue::State::next()
{
    std::unique_lock lock { this->mutex };
    this->writing = false;
    this->changed.notify_all();
    this->changed.wait(lock, [this] { return this->ended || !this->waiting.empty(); });
    this->writing = !this->waiting.empty();
    return std::exchange(this->waiting, {});
}

void LineQueue::State::writeAll()
{
    for (auto text = this->next(); !text.empty(); text = this->next()) {
        this->options.write(text);
        std::this_thread::sleep_for(this->options.rest);
    }
}

} // namespace cyclamendrift
