#include <cyclamendrift/membership/zone_placement.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <vector>

using namespace cyclamendrift;

namespace {

constexpr ZonePlacementRecord near {};
constexpr ZonePlacementRecord far { .zonesFarApart = true };
constexpr ZonePlacementRecord placed { .zonesFarApart = true, .placedByZone = true };
constexpr ZonePlacementRecord placedButNear { .placedByZone = true };

/// `count` VMs, the first ones with a record and the rest with another one.
std::vector<ZonePlacementRecord> listOf(
    std::size_t count, std::size_t first, ZonePlacementRecord record, ZonePlacementRecord rest = near)
{
    std::vector<ZonePlacementRecord> list(count, rest);
    std::fill_n(list.begin(), first, record);
    return list;
}

/// VMs that read each other's records from a list.
struct Fleet {
    explicit Fleet(std::size_t vms)
        : vms(vms, ZonePlacement { PlacementByZone::Auto })
    {
        this->publish();
    }

    void publish()
    {
        this->listed.clear();
        for (const auto& vm : this->vms)
            this->listed.push_back(vm.record());
    }

    void readList()
    {
        for (auto& vm : this->vms)
            static_cast<void>(vm.update(this->listed));
        this->publish();
    }

    void measure(std::size_t first, bool zonesFarApart)
    {
        for (std::size_t vm = 0; vm < first; ++vm)
            this->vms[vm].measured(zonesFarApart);
        this->publish();
        this->readList();
    }

    [[nodiscard]] std::size_t placedByZone() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->vms.begin(), this->vms.end(), [](const ZonePlacement& vm) { return vm.isOn(); }));
    }

    std::vector<ZonePlacement> vms;
    std::vector<ZonePlacementRecord> listed;
};

} // namespace

TEST_SUITE("zone placement")
{
    TEST_CASE("it begins above one half of the VMs and ends below one quarter")
    {
        // Guards against a few VMs near the threshold that move all teams to other owners now and then.
        CHECK_FALSE(arePlacedByZone({}));
        CHECK_FALSE(arePlacedByZone(listOf(20, 10, far)));
        CHECK(arePlacedByZone(listOf(20, 11, far)));
        CHECK(arePlacedByZone(listOf(20, 5, placed, placedButNear)));
        CHECK_FALSE(arePlacedByZone(listOf(20, 4, placed, placedButNear)));
        Fleet fleet { 20 };
        fleet.measure(10, true);
        CHECK(fleet.placedByZone() == 0);
        fleet.measure(11, true);
        CHECK(fleet.placedByZone() == 20);
        fleet.measure(6, false);
        CHECK(fleet.placedByZone() == 20);
        fleet.measure(7, false);
        CHECK(fleet.placedByZone() == 0);
    }

    TEST_CASE("VMs with the same list agree, whatever they have measured and read before")
    {
        // Guards against VMs that disagree on the holders of a limit and together admit more than the limit.
        for (std::size_t farVms = 0; farVms <= 40; ++farVms) {
            for (std::size_t placedVms = 0; placedVms <= 40; ++placedVms) {
                std::vector<ZonePlacementRecord> list;
                for (std::size_t vm = 0; vm < 40; ++vm)
                    list.push_back({ .zonesFarApart = vm < farVms, .placedByZone = vm < placedVms });
                ZonePlacement started { PlacementByZone::Auto };
                ZonePlacement running { PlacementByZone::Auto };
                running.measured(true);
                static_cast<void>(running.update(listOf(40, 40, placed)));
                ZonePlacement missedOne { PlacementByZone::Auto };
                missedOne.measured(false);
                static_cast<void>(missedOne.update(listOf(40, 0, far)));
                const bool expected = started.update(list);
                CHECK(running.update(list) == expected);
                CHECK(missedOne.update(list) == expected);
            }
        }
    }

    TEST_CASE("a VM that restarts has the mode of the list at once and publishes what its record said")
    {
        // Guards against a restart that moves owners and holders twice. Six of 20 VMs still measure the zones
        // as far apart, so that the mode rests on what VMs publish of it.
        Fleet fleet { 20 };
        fleet.measure(20, true);
        fleet.measure(14, false);
        REQUIRE(fleet.placedByZone() == 20);
        const auto earlier = fleet.vms.front().record();
        ZonePlacement adopted { PlacementByZone::Auto };
        adopted.adoptEarlier(earlier);
        CHECK(adopted.record() == earlier);
        CHECK(adopted.update(fleet.listed));
        CHECK(adopted.record() == earlier);
        // Its record has expired: it is not listed, and publishes only what it takes from the list.
        fleet.listed.pop_back();
        ZonePlacement started { PlacementByZone::Auto };
        CHECK(started.record() == near);
        CHECK(started.update(fleet.listed));
        CHECK(started.record() == placedButNear);
    }

    TEST_CASE("the mode survives a restart of all VMs, whose records outlive their processes")
    {
        // Guards against a fleet that places its owners twice after it was stopped and started.
        Fleet fleet { 20 };
        fleet.measure(20, true);
        const auto records = fleet.listed;
        for (std::size_t vm = 0; vm < records.size(); ++vm) {
            fleet.vms[vm] = ZonePlacement { PlacementByZone::Auto };
            fleet.vms[vm].adoptEarlier(records[vm]);
            CHECK(fleet.vms[vm].record() == records[vm]);
        }
        for (int round = 0; round < 3; ++round) {
            fleet.readList();
            CHECK(fleet.placedByZone() == 20);
        }
        fleet.measure(20, false);
        CHECK(fleet.placedByZone() == 0);
    }

    TEST_CASE("a VM's own measurement counts more than its earlier record")
    {
        ZonePlacement vm { PlacementByZone::Auto };
        vm.measured(false);
        static_cast<void>(vm.update({}));
        vm.adoptEarlier(placed);
        CHECK(vm.record() == near);
    }

    TEST_CASE("it stays off while half of the VMs are of an earlier build, and begins with one more")
    {
        // Guards against an upgrade during which some VMs select holders in a way that the others do not
        // know.
        Fleet fleet { 10 };
        fleet.measure(10, true);
        CHECK(fleet.placedByZone() == 10);
        std::vector<ZonePlacementRecord> mixed(20, near);
        std::copy(fleet.listed.begin(), fleet.listed.end(), mixed.begin());
        CHECK_FALSE(arePlacedByZone(mixed));
        mixed.back() = far;
        CHECK(arePlacedByZone(mixed));
    }

    TEST_CASE("a single VM with false measurements changes nothing")
    {
        Fleet nearZones { 20 };
        nearZones.measure(1, true);
        CHECK(nearZones.placedByZone() == 0);
        Fleet farZones { 20 };
        farZones.measure(20, true);
        farZones.measure(1, false);
        CHECK(farZones.placedByZone() == 20);
    }

    TEST_CASE("a fleet with near zones publishes nothing")
    {
        // Guards against further writes to the store in fleets that do not place by zone.
        Fleet fleet { 20 };
        fleet.measure(20, false);
        CHECK(fleet.listed == listOf(20, 0, far));
    }

    TEST_CASE("the setting overrides the list")
    {
        ZonePlacement always { PlacementByZone::Always };
        CHECK(always.isOn());
        CHECK(always.update(listOf(20, 0, far)));
        CHECK(always.record() == placed);
        ZonePlacement never { PlacementByZone::Never };
        never.adoptEarlier(placed);
        never.measured(true);
        CHECK_FALSE(never.update(listOf(20, 20, placed)));
        CHECK(never.record() == near);
    }
}
