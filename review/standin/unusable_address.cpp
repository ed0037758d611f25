#include "cases.h"
#include "load.h"

#include <algorithm>

namespace review {

namespace {

constexpr auto calmTime = 5s;
constexpr auto troubleTime = 80s;
constexpr int endsOfFault = 3;

} // namespace

int runUnusableAddress(World& world, Record& record, bool trouble)
{
    Load load { world, record, 24 };
    std::this_thread::sleep_for(calmTime);
    const auto [servedBefore, failedBefore] = load.takeCounts();
    record.line(
        "calm: " + std::to_string(servedBefore) + " served, " + std::to_string(failedBefore) + " not");
    if (servedBefore == 0)
        return 2;
    // Fields are missing, so the entry names no database to use. 127.1 is the short form of 127.0.0.1, and no
    // database listens there.
    const Json entry { { "service", world.services.front()->name() }, { "address", "127.1:9" },
        { "slots", 5 }, { "state", "ready" } };
    const auto until = Clock::now() + troubleTime;
    for (bool first = true; Clock::now() < until; first = false) {
        if (trouble) {
            world.store->put("servers/i-other", entry.dump());
            if (first)
                record.line("another writer writes servers/i-other " + entry.dump());
        }
        const auto pause = std::min<Clock::duration>(1200ms, until - Clock::now());
        std::this_thread::sleep_for(pause);
        const auto [served, failed] = load.takeCounts();
        record.line("load: " + std::to_string(served) + " served, " + std::to_string(failed) + " not");
    }
    world.recordRuns();
    const auto failing = std::count_if(world.machines.begin(), world.machines.end(),
        [](const auto& machine) { return machine->ownEnds() >= endsOfFault; });
    for (const auto& machine : world.machines)
        record.line(machine->name() + " ended by itself " + std::to_string(machine->ownEnds()) + " times");
    const auto allowed = std::max<std::size_t>(2, (world.machines.size() + 9) / 10);
    record.line(std::to_string(failing) + " machines ended three times or more; the rule breaks at "
        + std::to_string(allowed));
    return static_cast<std::size_t>(failing) >= allowed ? 1 : 0;
}

} // namespace review
