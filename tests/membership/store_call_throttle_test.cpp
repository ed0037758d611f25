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

/// Number of calls that `vms` VMs make in an outage, if each of them tries at every step while all readers
/// report that the store is unavailable.
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

TEST_SUITE("calls to an unavailable store")
{
    TEST_CASE("195 VMs rarely call a store that is unavailable to all of them")
    {
        // Guards against a thousand calls per second by VMs with a backoff of their own.
        CHECK(countCalls(195, 4500ms) <= 2 * 195);
        CHECK(countCalls(8, 4500ms) <= 12 * 8);
    }

    TEST_CASE("a VM finds out that the store answers it although it refuses all readers")
    {
        // Guards against a VM that relies on readers that the store refuses and keeps an old configuration.
        StoreCallThrottle throttle;
        throttle.setFleetSize(195);
        CHECK(throttle.allowCall(start));
        CHECK_FALSE(throttle.allowCall(start + 300ms));
        CHECK(throttle.allowCall(start + 2500ms));
        throttle.answered(start + 2510ms);
        CHECK(throttle.allowCall(start + 2520ms));
        CHECK(throttle.allowCall(start + 4000ms));
    }

    TEST_CASE("the store seems unavailable once more VMs than there are readers report it")
    {
        // Guards against taking a store that refuses single VMs for one that is unavailable to all.
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

    TEST_CASE("readers that do not answer do not make the store seem unavailable")
    {
        // Guards against a VM that is cut off from its siblings and therefore stops calling the store.
        StoreReaderSelector selector;
        const auto vms = makeVmNames(195);
        selector.setOrder(vms, 2);
        for (std::size_t index = 0; index < 5; ++index)
            selector.skipWithBackoff(vms[index], 1s, start);
        CHECK_FALSE(selector.storeSeemsUnavailable(start));
    }
}
