#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <functional>
#include <queue>
#include <utility>

namespace cyclamendrift {

/// Events of a model in virtual time. Events at the same instant run in the order in which they were
/// scheduled.
///
///     VirtualEvents events { start };
///     events.schedule(start + 3ms, [&] { answered(events.now()); });
///     events.runUntil(start + 10s);
class VirtualEvents {
public:
    explicit VirtualEvents(Instant start)
        : current(start)
    {
    }

    [[nodiscard]] Instant now() const noexcept { return this->current; }

    void schedule(Instant at, std::function<void()> run)
    {
        this->events.push({ .at = at, .number = ++this->lastEvent, .run = std::move(run) });
    }

    void runUntil(Instant end)
    {
        while (!this->events.empty() && this->events.top().at <= end) {
            auto event = this->events.top();
            this->events.pop();
            this->current = event.at;
            event.run();
        }
    }

private:
    struct Event {
        Instant at;
        std::size_t number;
        std::function<void()> run;
        bool operator<(const Event& other) const
        {
            return std::pair { other.at, other.number } < std::pair { this->at, this->number };
        }
    };

    std::priority_queue<Event> events;
    std::size_t lastEvent = 0;
    Instant current;
};

} // namespace cyclamendrift
