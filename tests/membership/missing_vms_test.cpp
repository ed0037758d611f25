#include "vm_names.h"

#include <cyclamendrift/membership/missing_vms.h>

#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 100s };

std::set<VmName> firstOf(const std::vector<VmName>& vms, std::size_t count)
{
    return { vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(count) };
}

} // namespace

TEST_SUITE("VMs whose records are gone")
{
    TEST_CASE("195 records that lapse in an outage come back one by one without a move of the fleet")
    {
        // Guards against homes and limits that are dealt anew at each step of the way back.
        MissingVms vanished;
        const auto vms = vmsOf(195);
        CHECK(vanished.retain(vms, {}, start).size() == 195);
        CHECK(vanished.retain(vms, firstOf(vms, 60), start + 700ms).size() == 135);
        CHECK(vanished.retain(vms, firstOf(vms, 190), start + 1400ms).size() == 5);
        CHECK(vanished.hasPending());
        CHECK(vanished.retain(vms, firstOf(vms, 195), start + 2100ms).empty());
        CHECK_FALSE(vanished.hasPending());
    }

    TEST_CASE("a VM that leaves alone is gone at once")
    {
        MissingVms vanished;
        CHECK(vanished.retain(vmsOf(195), firstOf(vmsOf(195), 194), start).empty());
        CHECK(vanished.retain(vmsOf(195), firstOf(vmsOf(195), 185), start).empty());
        CHECK(vanished.retain(vmsOf(8), firstOf(vmsOf(8), 6), start).empty());
        CHECK_FALSE(vanished.hasPending());
    }

    TEST_CASE("VMs that do not come back go after a while")
    {
        MissingVms vanished;
        const auto vms = vmsOf(195);
        CHECK(vanished.retain(vms, firstOf(vms, 130), start).size() == 65);
        CHECK(vanished.retain(vms, firstOf(vms, 130), start + 2900ms).size() == 65);
        CHECK(vanished.retain(vms, firstOf(vms, 130), start + 3000ms).empty());
        CHECK_FALSE(vanished.hasPending());
    }
}
