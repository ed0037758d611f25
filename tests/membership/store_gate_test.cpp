#include "vm_names.h"

#include <cyclamendrift/membership/reader_choice.h>
#include <cyclamendrift/membership/store_gate.h>

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
    std::vector<StoreGate> gates(vms);
    std::size_t tries = 0;
    for (auto& gate : gates)
        gate.setFleet(vms);
    for (auto now = start; now < start + outage; now += step) {
        for (auto& gate : gates)
            tries += gate.mayTry(now) ? 1 : 0;
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
        StoreGate gate;
        gate.setFleet(195);
        CHECK(gate.mayTry(start));
        CHECK_FALSE(gate.mayTry(start + 300ms));
        CHECK(gate.mayTry(start + 2500ms));
        gate.answered(start + 2510ms);
        CHECK(gate.mayTry(start + 2520ms));
        CHECK(gate.mayTry(start + 4000ms));
    }

    TEST_CASE("the store seems away once most of those next to read are without it")
    {
        ReaderChoice choice;
        const auto vms = vmsOf(195);
        choice.setOrder(vms, 2);
        for (std::size_t index = 0; index < 2; ++index)
            choice.passOverWithoutStore(vms[index], start + 1s);
        CHECK_FALSE(choice.storeSeemsAway(start));
        choice.passOverWithoutStore(vms[2], start + 1s);
        CHECK(choice.storeSeemsAway(start));
        CHECK_FALSE(choice.storeSeemsAway(start + 1s));
    }

    TEST_CASE("readers that do not answer say nothing of the store")
    {
        // Guards against a VM that is cut off from its siblings and therefore leaves the store alone.
        ReaderChoice choice;
        const auto vms = vmsOf(195);
        choice.setOrder(vms, 2);
        for (std::size_t index = 0; index < 5; ++index)
            choice.passOver(vms[index], 1s, start);
        CHECK_FALSE(choice.storeSeemsAway(start));
    }
}
