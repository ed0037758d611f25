#include <cyclamendrift/membership/list_read_throttle.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Readings of a whole fleet that no store reader serves, for each second.
std::vector<std::size_t> readingsPerSecond(std::size_t vms, std::size_t listBytes, std::size_t seconds)
{
    const Instant start { 100s };
    std::vector<std::size_t> readings(seconds);
    for (std::size_t vm = 0; vm < vms; ++vm) {
        ListReadThrottle throttle;
        RandomSource random { vm + 1 };
        throttle.setLoad({ .vms = vms, .listBytes = listBytes });
        for (Duration elapsed {}; elapsed < seconds * 1s; elapsed += 50ms)
            readings[static_cast<std::size_t>(elapsed / 1s)]
                += throttle.allowRead(start + elapsed, random) ? 1 : 0;
    }
    return readings;
}

} // namespace

TEST_SUITE("list read throttle")
{
    TEST_CASE("the bytes that a fleet without store readers reads do not grow with its size")
    {
        // Guards against a fleet whose store readers are slow and whose VMs then all read lists of the whole
        // fleet, time out and read again: the store's link stays full and nobody is served.
        constexpr std::size_t bytesPerVm = 500;
        for (const std::size_t vms : { 300, 1000, 2000 }) {
            CAPTURE(vms);
            const auto readings = readingsPerSecond(vms, vms * bytesPerVm, 60);
            // The first readings are made within an eighth of the interval, so there are more at first.
            for (std::size_t second = 0; second < readings.size(); ++second)
                CHECK(readings[second] * vms * bytesPerVm <= (second < 30 ? 10 : 4) * 10'000'000);
        }
    }

    TEST_CASE("a VM of a small fleet reads at once, and as often as it needs to")
    {
        // Guards against a VM that is cut off from its siblings and learns of a new primary too late,
        // although the store answers it.
        ListReadThrottle throttle;
        RandomSource random { 1 };
        throttle.setLoad({ .vms = 8, .listBytes = 8'000 });
        const Instant start { 100s };
        std::size_t readings = 0;
        Duration first = Duration::max();
        for (Duration elapsed {}; elapsed < 3s; elapsed += 10ms) {
            if (!throttle.allowRead(start + elapsed, random))
                continue;
            first = std::min(first, elapsed);
            ++readings;
        }
        CHECK(first <= 10ms);
        CHECK(readings >= 30);
    }

    TEST_CASE("after a store reader has served a VM, its next own reading is delayed again")
    {
        // Guards against VMs that all read at the same moment when the readers fail a second time.
        ListReadThrottle throttle;
        RandomSource random { 7 };
        throttle.setLoad({ .vms = 1000, .listBytes = 500'000 });
        Instant now { 100s };
        while (!throttle.allowRead(now, random))
            now += 10ms;
        throttle.served();
        CHECK_FALSE(throttle.allowRead(now + 1ms, random));
    }
}
