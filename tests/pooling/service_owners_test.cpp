#include <cyclamendrift/pooling/service_owners.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

using namespace cyclamendrift;

namespace {

const ServiceName service { "register" };
constexpr std::uint32_t connectionCap = 74;

std::map<VmName, VmCapacity> fleetOf(std::size_t vms)
{
    constexpr std::size_t strongVms = 6;
    std::map<VmName, VmCapacity> listed;
    for (std::size_t index = 0; index < vms; ++index)
        listed[VmName { "vm-" + std::to_string(index) }].cores = index < strongVms ? 0.5 : 0.12;
    return listed;
}

/// Four zones of equal VMs, two of 0.5 cores and `weakVms` of 0.12 cores each.
std::map<VmName, VmCapacity> zonedFleet(std::size_t weakVms = 14)
{
    std::map<VmName, VmCapacity> listed;
    for (const std::string zone : { "agrigento", "catania", "palermo", "ragusa" }) {
        for (std::size_t index = 0; index < weakVms + 2; ++index)
            listed[VmName { zone + "-" + std::to_string(index) }]
                = { .zone = ZoneName { zone }, .cores = index < 2 ? 0.5 : 0.12 };
    }
    return listed;
}

TeamName numberedTeam(int number) { return TeamName { "team-" + std::to_string(number) }; }

} // namespace

TEST_SUITE("service owners")
{
    TEST_CASE("the candidates beside a VM are those of its availability zone, without this VM")
    {
        auto listed = fleetOf(6);
        for (const auto* name : { "vm-1", "vm-3", "vm-4" })
            listed.at(VmName { name }).zone = ZoneName { "palermo" };
        const ServiceOwners owners { VmName { "vm-1" }, listed };
        CHECK(owners.candidatesBeside(VmName { "vm-3" }) == std::vector { VmName { "vm-4" } });
        CHECK(owners.candidatesBeside(VmName { "vm-none" }).empty());
    }

    TEST_CASE("every VM selects the same owners and spreads the teams over all of them")
    {
        ServiceOwners one { VmName { "vm-1" }, fleetOf(70) };
        ServiceOwners other { VmName { "vm-60" }, fleetOf(70) };
        CHECK(one.ownersOf(service, connectionCap) == other.ownersOf(service, connectionCap));
        CHECK(one.ownersOf(service, connectionCap).size() == 6);
        std::set<VmName> first;
        for (int team = 0; team < 77; ++team) {
            CHECK(one.rankedOwners(service, numberedTeam(team), connectionCap)
                == other.rankedOwners(service, numberedTeam(team), connectionCap));
            first.insert(one.rankedOwners(service, numberedTeam(team), connectionCap).front());
        }
        CHECK(first.size() == 6);
    }

    TEST_CASE("owners leave some of the connections to VMs that reach no owner")
    {
        // If the owners held all connections, a VM that is cut off from them could serve no caller, and no VM
        // could ask an upstream whether it is the primary.
        const auto listed = fleetOf(70);
        for (const std::uint32_t connections : { 21U, 34U, 74U, 240U }) {
            std::size_t allowedConnections = 0;
            const auto owners = ServiceOwners { VmName { "vm-0" }, listed }.ownersOf(service, connections);
            for (const auto& vm : owners)
                allowedConnections += ServiceOwners { vm, listed }.connectionShareOf(service, connections);
            CHECK(allowedConnections <= connections - connections / 8);
            CHECK(allowedConnections >= connections / 2);
        }
    }

    TEST_CASE("removing a VM moves only the teams that it owned")
    {
        // Guards against moving teams of the other owners when a VM fails. All their connections would be
        // opened again at once, and opening one takes the upstream as long as a short statement.
        auto listed = fleetOf(70);
        ServiceOwners before { VmName { "vm-1" }, listed };
        const auto owners = before.ownersOf(service, connectionCap);
        const auto removed = owners.front();
        listed.erase(removed);
        ServiceOwners after { VmName { "vm-1" }, listed };
        for (int team = 0; team < 77; ++team) {
            const auto ownerBefore = before.rankedOwners(service, numberedTeam(team), connectionCap).front();
            const auto ownerAfter = after.rankedOwners(service, numberedTeam(team), connectionCap).front();
            const bool isNew = std::find(owners.begin(), owners.end(), ownerAfter) == owners.end();
            CHECK((ownerBefore == ownerAfter || ownerBefore == removed || isNew));
        }
    }

    TEST_CASE("a VM with four times the cores is an owner about four times as often")
    {
        int strongVms = 0;
        int all = 0;
        ServiceOwners owners { VmName { "vm-1" }, fleetOf(70) };
        for (int number = 0; number < 200; ++number) {
            for (const auto& vm :
                owners.ownersOf(ServiceName { "service-" + std::to_string(number) }, connectionCap)) {
                ++all;
                strongVms += vm.view().size() == 4 && vm.view().back() < '6' ? 1 : 0;
            }
        }
        // Six of the sixteen candidates have 3 of their 4.2 cores.
        CHECK(strongVms > all * 3 / 5);
        CHECK(strongVms < all * 4 / 5);
    }

    TEST_CASE("each of 195 VMs contacts a few owners whatever services its callers use")
    {
        // Guards against every VM keeping links to most others, which takes memory at both ends.
        std::map<VmName, VmCapacity> listed;
        for (int index = 0; index < 195; ++index)
            listed[VmName { "vm-" + std::to_string(index) }].cores = index < 15 ? 0.5 : 0.12;
        ServiceOwners owners { VmName { "vm-100" }, listed };
        std::set<VmName> contactedOwners;
        for (int number = 0; number < 20; ++number) {
            const auto& selectedOwners
                = owners.ownersOf(ServiceName { "service-" + std::to_string(number) }, 180);
            contactedOwners.insert(selectedOwners.begin(), selectedOwners.end());
        }
        CHECK(contactedOwners.size() <= 16);
    }

    TEST_CASE("a quarter of equally strong VMs are owners")
    {
        std::map<VmName, VmCapacity> listed;
        for (int index = 0; index < 200; ++index)
            listed[VmName { "vm-" + std::to_string(index) }].cores = 0.25;
        ServiceOwners owners { VmName { "vm-100" }, listed };
        std::set<VmName> contactedOwners;
        for (int number = 0; number < 200; ++number) {
            const auto& selectedOwners
                = owners.ownersOf(ServiceName { "service-" + std::to_string(number) }, 180);
            contactedOwners.insert(selectedOwners.begin(), selectedOwners.end());
        }
        CHECK(contactedOwners.size() == 50);
    }

    TEST_CASE("by zone, every VM selects the same two to four owners in each zone")
    {
        // Guards against VMs that forward one team's statements to different owners, which would open its
        // connections twice.
        const OwnerPlan byZone { .byZone = true };
        for (const std::uint32_t cap : { 21U, 70U, 240U }) {
            ServiceOwners one { VmName { "catania-1" }, zonedFleet(), byZone };
            ServiceOwners other { VmName { "ragusa-9" }, zonedFleet(), byZone };
            REQUIRE(one.zones().size() == 4);
            for (const auto& zone : one.zones()) {
                const auto& owners = one.rankedOwnersIn(zone, service, numberedTeam(1), cap);
                CHECK(owners.size() >= 2);
                CHECK(owners.size() <= 4);
                CHECK(owners == other.rankedOwnersIn(zone, service, numberedTeam(1), cap));
                for (const auto& vm : owners)
                    CHECK(*one.zoneOf(vm) == zone);
            }
        }
    }

    TEST_CASE("by zone, the owners near an upstream share three quarters of its connections")
    {
        // Guards against more connections than the upstream accepts, and against owners far from it that hold
        // the connections which statements of its zone need.
        const OwnerPlan byZone { .byZone = true };
        const ZoneName near { "palermo" };
        for (const std::uint32_t cap : { 34U, 70U, 240U }) {
            std::size_t forNear = 0;
            std::size_t forFar = 0;
            ServiceOwners any { VmName { "ragusa-9" }, zonedFleet(), byZone };
            for (const auto& vm : any.ownersOf(service, cap)) {
                ServiceOwners owners { vm, zonedFleet(), byZone };
                const auto share = owners.connectionShareOf(service, cap, near);
                CHECK(share >= 1);
                (*owners.zoneOf(vm) == near ? forNear : forFar) += share;
            }
            CHECK(forNear + forFar <= cap - cap / 8);
            CHECK(forNear >= cap / 2);
            CHECK(any.connectionShareOf(service, cap, near) == 1);
        }
    }

    TEST_CASE("by zone, an upstream in a zone without VMs is shared by all owners")
    {
        ServiceOwners any { VmName { "none" }, zonedFleet(), { .byZone = true } };
        const auto owners = any.ownersOf(service, 70);
        ServiceOwners one { owners.front(), zonedFleet(), { .byZone = true } };
        CHECK(one.connectionShareOf(service, 70, ZoneName { "enna" }) == 62 / owners.size());
        CHECK(one.holdersAt(ZoneName { "enna" }, service, 70) == owners);
    }

    TEST_CASE("by zone, the VMs beside an owner are the candidates of its zone")
    {
        // Guards against statements that wait for each owner of a lost zone in turn.
        ServiceOwners owners { VmName { "catania-1" }, zonedFleet(), { .byZone = true } };
        const auto inZone = owners.rankedOwnersIn(ZoneName { "ragusa" }, service, numberedTeam(1), 70);
        const auto beside = owners.candidatesBeside(inZone.front());
        CHECK(std::find(beside.begin(), beside.end(), inZone.back()) != beside.end());
        for (const auto& vm : beside)
            CHECK(*owners.zoneOf(vm) == ZoneName { "ragusa" });
    }

    TEST_CASE("an owner that fails leaves the teams of the other owners of its zone where they are")
    {
        auto listed = zonedFleet();
        ServiceOwners before { VmName { "catania-1" }, listed, { .byZone = true } };
        const ZoneName zone { "ragusa" };
        const auto owners = before.rankedOwnersIn(zone, service, numberedTeam(0), 70);
        listed.erase(owners.front());
        ServiceOwners after { VmName { "catania-1" }, listed, { .byZone = true } };
        for (int team = 0; team < 75; ++team) {
            const auto ownerBefore = before.rankedOwnersIn(zone, service, numberedTeam(team), 70).front();
            const auto ownerAfter = after.rankedOwnersIn(zone, service, numberedTeam(team), 70).front();
            const bool isNew = std::find(owners.begin(), owners.end(), ownerAfter) == owners.end();
            CHECK((ownerBefore == ownerAfter || ownerBefore == owners.front() || isNew));
        }
    }
}
