#include "vm_names.h"

#include <cyclamendrift/membership/store_call_throttle.h>
#include <cyclamendrift/membership/store_reader_selector.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };
constexpr Duration step = 50ms;

/// Calls that `vms` VMs make, of which each wants to call at every step, while all readers say that the store
/// is away.
std::size_t triesOf(std::size_t vms, Duration outage)
{
    std::vector<StoreCallThrottle> gates(vms);
    std::size_t tries = 0;
    for (auto& gate : gates)
        gate.setFleetSize(vms);
    for (auto now = start; now < start + outage; now += step) {
        for (auto& gate : gates)
            tries += gate.allowCall(now) ? 1 : 0;
    }
    return tries;
}

} // namespace

TEST_SUITE("calls to a store that is away")
{
    TEST_CASE("195 VMs before a store that is down for everybody try it seldom")
    {
        // Guards against a thousand calls a second by VMs that each back off by themselves.
        CHECK(triesOf(195, 4500ms) <= 2 * 195);
        CHECK(triesOf(8, 4500ms) <= 12 * 8);
    }

    TEST_CASE("a VM whose readers are all turned away finds out that the store serves it")
    {
        // Guards against a VM that trusts readers which the store refuses, and goes on with an old
        // configuration.
        StoreCallThrottle gate;
        gate.setFleetSize(195);
        CHECK(gate.allowCall(start));
        CHECK_FALSE(gate.allowCall(start + 300ms));
        CHECK(gate.allowCall(start + 2500ms));
        gate.answered(start + 2510ms);
        CHECK(gate.allowCall(start + 2520ms));
        CHECK(gate.allowCall(start + 4000ms));
    }

    TEST_CASE("the store seems away once most of those next to read are without it")
    {
        StoreReaderSelector choice;
        const auto vms = vmsOf(195);
        choice.setOrder(vms, 2);
        for (std::size_t index = 0; index < 2; ++index)
            choice.skipWithoutStore(vms[index], start + 1s);
        CHECK_FALSE(choice.storeSeemsUnavailable(start));
        choice.skipWithoutStore(vms[2], start + 1s);
        CHECK(choice.storeSeemsUnavailable(start));
        CHECK_FALSE(choice.storeSeemsUnavailable(start + 1s));
    }

    TEST_CASE("readers that do not answer say nothing of the store")
    {
        // Guards against a VM that is cut off from its siblings and therefore leaves the store alone.
        StoreReaderSelector choice;
        const auto vms = vmsOf(195);
        choice.setOrder(vms, 2);
        for (std::size_t index = 0; index < 5; ++index)
            choice.skipWithBackoff(vms[index], 1s, start);
        CHECK_FALSE(choice.storeSeemsUnavailable(start));
    }
}
