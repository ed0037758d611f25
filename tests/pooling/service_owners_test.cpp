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
}
