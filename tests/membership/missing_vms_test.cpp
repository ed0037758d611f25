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

std::set<VmName> firstVms(const std::vector<VmName>& vms, std::size_t count)
{
    return { vms.begin(), vms.begin() + static_cast<std::ptrdiff_t>(count) };
}

} // namespace

TEST_SUITE("VMs with missing records")
{
    TEST_CASE("195 VMs stay listed while their records, expired in an outage, come back one by one")
    {
        // Guards against reassigning service owners and limits with each record that is listed again.
        MissingVms missingVms;
        const auto vms = makeVmNames(195);
        CHECK(missingVms.retain(vms, {}, start).size() == 195);
        CHECK(missingVms.retain(vms, firstVms(vms, 60), start + 700ms).size() == 135);
        CHECK(missingVms.retain(vms, firstVms(vms, 190), start + 1400ms).size() == 5);
        CHECK(missingVms.hasPending());
        CHECK(missingVms.retain(vms, firstVms(vms, 195), start + 2100ms).empty());
        CHECK_FALSE(missingVms.hasPending());
    }

    TEST_CASE("a VM that leaves alone is removed at once")
    {
        // Guards against relying on a VM that has left.
        MissingVms missingVms;
        CHECK(missingVms.retain(makeVmNames(195), firstVms(makeVmNames(195), 194), start).empty());
        CHECK(missingVms.retain(makeVmNames(195), firstVms(makeVmNames(195), 185), start).empty());
        CHECK(missingVms.retain(makeVmNames(8), firstVms(makeVmNames(8), 6), start).empty());
        CHECK_FALSE(missingVms.hasPending());
    }

    TEST_CASE("VMs whose records do not come back are removed after the retention time")
    {
        // Guards against VMs that stay listed forever after many have failed at once.
        MissingVms missingVms;
        const auto vms = makeVmNames(195);
        CHECK(missingVms.retain(vms, firstVms(vms, 130), start).size() == 65);
        CHECK(missingVms.retain(vms, firstVms(vms, 130), start + 2900ms).size() == 65);
        CHECK(missingVms.retain(vms, firstVms(vms, 130), start + 3000ms).empty());
        CHECK_FALSE(missingVms.hasPending());
    }
}
