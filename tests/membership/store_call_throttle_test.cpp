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
std::size_t countCalls(std::size_t vms, Duration outage)
{
    std::vector<StoreCallThrottle> throttles(vms);
    std::size_t calls = 0;
    for (auto& throttle : throttles)
        throttle.setFleetSize(vms);
    for (auto now = start; now < start + outage; now += step) {
        for (auto& throttle : throttles)
            calls += throttle.allowCall(now) ? 1 : 0;
    }
    return calls;
}

} // namespace

TEST_SUITE("calls to a store that is away")
{
    TEST_CASE("195 VMs before a store that is down for everybody try it seldom")
    {
        // Guards against a thousand calls a second by VMs that each back off by themselves.
        CHECK(countCalls(195, 4500ms) <= 2 * 195);
        CHECK(countCalls(8, 4500ms) <= 12 * 8);
    }

    TEST_CASE("a VM whose readers are all turned away finds out that the store serves it")
    {
        // Guards against a VM that trusts readers which the store refuses, and goes on with an old
        // configuration.
        StoreCallThrottle throttle;
        throttle.setFleetSize(195);
        CHECK(throttle.allowCall(start));
        CHECK_FALSE(throttle.allowCall(start + 300ms));
        CHECK(throttle.allowCall(start + 2500ms));
        throttle.answered(start + 2510ms);
        CHECK(throttle.allowCall(start + 2520ms));
        CHECK(throttle.allowCall(start + 4000ms));
    }

    TEST_CASE("the store seems away once most of those next to read are without it")
    {
        StoreReaderSelector selector;
        const auto vms = makeVmNames(195);
        selector.setOrder(vms, 2);
        for (std::size_t index = 0; index < 2; ++index)
            selector.skipWithoutStore(vms[index], start + 1s);
        CHECK_FALSE(selector.storeSeemsUnavailable(start));
        selector.skipWithoutStore(vms[2], start + 1s);
        CHECK(selector.storeSeemsUnavailable(start));
        CHECK_FALSE(selector.storeSeemsUnavailable(start + 1s));
    }

    TEST_CASE("readers that do not answer say nothing of the store")
    {
        // Guards against a VM that is cut off from its siblings and therefore leaves the store alone.
        StoreReaderSelector selector;
        const auto vms = makeVmNames(195);
        selector.setOrder(vms, 2);
        for (std::size_t index = 0; index < 5; ++index)
            selector.skipWithBackoff(vms[index], 1s, start);
        CHECK_FALSE(selector.storeSeemsUnavailable(start));
    }
}
