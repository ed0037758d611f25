#include "cases.h"
#include "load.h"

namespace review {

namespace {

// The line of a client: 16 Mbit/s.
constexpr std::size_t bytesPerSecond = 2000000;
constexpr std::size_t clients = 6;
constexpr auto routeTimeout = 2.0;

/// What became of one read.
struct Outcome {
    bool complete = false;
    double sentAt = 0;
    double endedAt = 0;
    std::size_t bytes = 0;
};

} // namespace

int runPlannedStop(World& world, Record& record, bool trouble)
{
    Load load { world, record, 12 };
    // No machine counts as disturbed any more this long after its start (`contactMs` is 4,000).
    std::this_thread::sleep_for(5s);
    auto& machine = *world.machines.front();
    const auto& service = *world.services.front();
    std::vector<std::unique_ptr<Client>> sessions;
    for (std::size_t number = 0; number < clients; ++number) {
        sessions.push_back(std::make_unique<Client>(machine.ip(), machine.frontPort(),
            "view-" + service.name(), world.tenants[number % world.tenants.size()].second, bytesPerSecond));
        // A short read first: the session is in use, and the proxy knows the databases.
        if (!sessions.back()->isOpen() || !sessions.back()->run(world.newId(), "READ item1").complete)
            return 2;
    }
    const auto termAt = Clock::now();
    if (trouble)
        machine.terminate();
    std::vector<Outcome> outcomes { clients };
    std::vector<std::thread> threads;
    for (std::size_t number = 0; number < clients; ++number) {
        threads.emplace_back([&, number] {
            auto& outcome = outcomes[number];
            std::this_thread::sleep_until(termAt + 1500ms + number * 100ms);
            const auto id = world.newId();
            const auto before = sessions[number]->received();
            outcome.sentAt = record.seconds();
            const auto answer = sessions[number]->run(id, std::string { "READ " } + largeItem);
            outcome.endedAt = record.seconds();
            outcome.bytes = sessions[number]->received() - before;
            outcome.complete = answer.complete
                && (!answer.error.empty()
                    || (answer.signature.size() > 1 && answer.rows.size() == largeItemRows
                        && answer.rows.back().size() == largeRowBytes));
            record.line("client " + std::to_string(number) + " sent QUERY " + id + " READ " + largeItem
                + " at " + std::to_string(outcome.sentAt) + ", got " + std::to_string(outcome.bytes)
                + " bytes in " + std::to_string(outcome.endedAt - outcome.sentAt) + " s -> "
                + (!outcome.complete           ? "THE CONNECTION ENDED WITHOUT A COMPLETE ANSWER"
                        : answer.error.empty() ? "DONE " + answer.signature
                                               : "ERROR " + answer.error));
        });
    }
    for (auto& thread : threads)
        thread.join();
    world.recordRuns();
    std::size_t lost = 0;
    for (const auto& outcome : outcomes) {
        // A request that reached the route's timeout is not counted.
        if (!outcome.complete && outcome.bytes > 0 && outcome.endedAt - outcome.sentAt < routeTimeout)
            ++lost;
    }
    record.line(std::to_string(lost) + " requests were passed on to a database and not answered completely");
    return lost > 0 ? 1 : 0;
}

} // namespace review
