// The processor time of one decision on a token at a VM that holds the limits of many teams, all of them over
// their rates. It depends on the machine and carries no bound in bounds.toml; the program fails above 5
// microseconds.

#include <cyclamendrift/limits/token_queue.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <vector>

namespace {

using namespace cyclamendrift;
using namespace std::chrono_literals;

constexpr double maxMicroseconds = 5;
constexpr std::size_t decisions = 400000;
constexpr std::size_t waitingPerTeam = 40;

struct Team {
    TeamShare share;
    TokenQueue queue;
};

/// Microseconds for a request that is queued, a pass over the queue and the time of the next one.
double measure(std::size_t count)
{
    std::vector<Team> teams(count);
    Instant now { 100s };
    std::uint64_t number = 0;
    for (auto& team : teams) {
        team.share.setRule({ .ratePerSecond = 3, .burst = 3, .heldForOthers = true }, now);
        for (std::size_t waiting = 0; waiting < waitingPerTeam; ++waiting)
            team.queue.add({ .id = { .sibling = true, .number = ++number },
                               .priority = static_cast<std::uint32_t>(waiting % 3),
                               .until = now + 200ms },
                now);
    }
    const Duration step = std::chrono::duration_cast<Duration>(200ms) / (waitingPerTeam * count);
    std::size_t outcomes = 0;
    const auto begun = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < decisions; ++index) {
        now += step;
        auto& team = teams[index % count];
        team.queue.add({ .id = { .sibling = true, .number = ++number },
                           .priority = static_cast<std::uint32_t>(index % 3),
                           .until = now + 200ms },
            now);
        outcomes += team.queue.serve(team.share, now).size();
        outcomes += team.queue.nextEvent(team.share, now) == Instant::max() ? 1 : 0;
    }
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - begun;
    return outcomes == 0 ? maxMicroseconds * 2 : elapsed.count() / decisions;
}

} // namespace

int main()
{
    bool isFast = true;
    for (const std::size_t teams : { 10, 100, 1000 }) {
        const auto microseconds = measure(teams);
        std::printf("%zu teams: %.3f us for a decision\n", teams, microseconds);
        isFast = isFast && microseconds <= maxMicroseconds;
    }
    return isFast ? 0 : 1;
}
