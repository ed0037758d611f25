// What one process of a large fleet costs for control, measured over members in virtual time. Processor time
// and memory depend on the machine and carry no bound.

#include "fleet_traffic.h"

#include <standins/virtual_fleet.h>

#include <cyclamendrift/core/request_error.h>

#include <malloc.h>

#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

namespace {

using namespace cyclamendrift;
using namespace cyclamendrift::bench;
using namespace std::chrono_literals;
using standins::VirtualFleet;

api::Schema makeSchema(std::uint32_t burst)
{
    api::Schema schema;
    auto& team = *schema.add_teams();
    team.set_name("team");
    team.set_rate_per_second(100);
    team.set_burst(burst);
    return schema;
}

asio::awaitable<void> awaitApply(VirtualFleet& world, api::ApplyRequest request, Instant* at)
{
    const auto response = co_await world.fleet(0).apply(std::move(request));
    static_cast<void>(response);
    *at = world.now();
}

Instant startChange(VirtualFleet& world, std::uint64_t expected, Instant* accepted)
{
    api::ApplyRequest request;
    request.set_change_id("change" + std::to_string(expected));
    request.set_expected_revision(expected);
    *request.mutable_schema() = makeSchema(100 + static_cast<std::uint32_t>(expected));
    world.spawn(awaitApply(world, std::move(request), accepted));
    return world.now();
}

double trustedPart(VirtualFleet& world)
{
    std::size_t trusted = 0;
    for (std::size_t vm = 0; vm < world.size(); ++vm) {
        try {
            static_cast<void>(world.fleet(vm).authenticate("no such secret"));
        } catch (const RequestError& error) {
            trusted += error.retryAfter() == Duration {} ? 1 : 0;
        }
    }
    return 100.0 * static_cast<double>(trusted) / static_cast<double>(world.size());
}

void measure(std::size_t members)
{
    const auto suffix = "_at_" + std::to_string(members);
    const auto perProcess = [members](double value) { return value / static_cast<double>(members); };
    const auto heapBefore = mallinfo2().uordblks;
    VirtualFleet world { { .vmCount = members, .zoneCount = 20, .seed = 5, .startWithin = 2s } };
    world.runFor(6s);
    Instant accepted {};
    startChange(world, 0, &accepted);
    world.runFor(8s);
    const auto heap = static_cast<double>(mallinfo2().uordblks - heapBefore);
    report("agenzia", "none", "ours", "memory_per_process" + suffix, perProcess(heap) / 1024, "KiB");

    constexpr Duration window = 10s;
    const auto messages = world.messages();
    const auto bytes = world.bytes();
    const auto processor = std::clock();
    world.runFor(window);
    const auto spent = static_cast<double>(std::clock() - processor) / CLOCKS_PER_SEC;
    const auto seconds = std::chrono::duration<double> { window }.count();
    report("agenzia", "none", "ours", "messages_per_process" + suffix,
        perProcess(static_cast<double>(world.messages() - messages)) / seconds, "messages/s");
    report("agenzia", "none", "ours", "bytes_per_process" + suffix,
        perProcess(static_cast<double>(world.bytes() - bytes)) / seconds, "bytes/s");
    report("agenzia", "none", "ours", "wall_clock_processor_per_process" + suffix,
        100 * perProcess(spent) / seconds, "percent_of_a_core");
    report(
        "agenzia", "none", "ours", "processes_that_trust_their_keys" + suffix, trustedPart(world), "percent");

    accepted = {};
    const auto begun = startChange(world, 1, &accepted);
    std::size_t behind = members;
    for (int step = 0; step < 1500 && behind > 0; ++step) {
        world.runFor(10ms);
        behind = 0;
        for (std::size_t vm = 0; vm < members; ++vm) {
            const auto snapshot = world.fleet(vm).configuration();
            behind += snapshot && snapshot->revision == 2 ? 0 : 1;
        }
    }
    const std::chrono::duration<double, std::milli> fanOut = world.now() - begun;
    report("agenzia", "none", "ours", "configuration_everywhere" + suffix, fanOut.count(), "ms");
}

} // namespace

/// Without arguments 100, 400 and 1,000 members; else the numbers given, as in `bench_slopes 4000`.
int main(int argc, char** argv)
{
    const std::vector<std::string> arguments { argv + 1, argv + argc };
    std::vector<std::size_t> sizes { 100, 400, 1000 };
    if (!arguments.empty())
        sizes.clear();
    for (const auto& argument : arguments)
        sizes.push_back(std::stoul(argument));
    for (const auto members : sizes)
        measure(members);
}
