#include <cyclamendrift/pooling/owner_load.h>

#include <cyclamendrift/pooling/service_owners.h>

#include <doctest/doctest.h>

#include <limits>
#include <string>

using namespace cyclamendrift;

namespace {

const ServiceName service { "register" };

std::map<VmName, VmCapacity> equalVms(int vms)
{
    std::map<VmName, VmCapacity> listed;
    for (int index = 0; index < vms; ++index)
        listed[VmName { "vm-" + std::to_string(index) }].cores = index < 8 ? 0.5 : 0.12;
    return listed;
}

} // namespace

TEST_SUITE("owner count")
{
    TEST_CASE("a load that few owners serve leaves the number to the connection cap")
    {
        OwnerCount count;
        for (const double load : { 0.0, 150.0, 425.0, 450.0, -1.0, std::numeric_limits<double>::quiet_NaN() })
            CHECK(count.update(load) == 0);
        ServiceOwners without { VmName { "vm-1" }, equalVms(65) };
        ServiceOwners with { VmName { "vm-1" }, equalVms(65),
            { .ownersByLoad = count.current(), .services = 8 } };
        CHECK(without.ownersOf(service, 70) == with.ownersOf(service, 70));
        CHECK(without.candidatesBeside(VmName { "vm-1" }) == with.candidatesBeside(VmName { "vm-1" }));
    }

    TEST_CASE("the number grows in steps of two up to 32 and shrinks when half of it would do")
    {
        // Guards against teams that move to other owners with each fluctuation of the load.
        OwnerCount count;
        CHECK(count.update(900) == 6);
        CHECK(count.update(1000) == 8);
        CHECK(count.update(1190) == 8);
        CHECK(count.update(700) == 8);
        CHECK(count.update(610) == 8);
        CHECK(count.update(590) == 4);
        CHECK(count.update(1e9) == 32);
        CHECK(count.update(0) == 0);
    }

    TEST_CASE("under a high load more VMs are owners")
    {
        // Guards against a few owners that run out of processor time while the other VMs are idle.
        ServiceOwners owners { VmName { "vm-1" }, equalVms(299), { .ownersByLoad = 12, .services = 8 } };
        CHECK(owners.ownersOf(service, 70).size() == 12);
        std::set<VmName> all;
        for (int number = 0; number < 8; ++number) {
            const auto& some = owners.ownersOf(ServiceName { "service-" + std::to_string(number) }, 70);
            all.insert(some.begin(), some.end());
        }
        CHECK(all.size() > 16);
        std::size_t connections = 0;
        for (const auto& vm : owners.ownersOf(service, 70)) {
            ServiceOwners one { vm, equalVms(299), { .ownersByLoad = 12, .services = 8 } };
            connections += one.connectionShareOf(service, 70);
        }
        CHECK(connections <= 62);
    }

    TEST_CASE("records tell a load only where it matters, and change only when it has doubled or halved")
    {
        // Guards against records of all VMs that change with the load: each change is sent to all VMs.
        const auto published = [](std::uint32_t before, double load) {
            return loadToPublish(before, { .operationsPerSecond = load, .vms = 65, .services = 8 });
        };
        CHECK(published(0, 1200.0 / 65) == 0);
        CHECK(published(0, 3600.0 / 65) == 0);
        CHECK(published(0, 70) == 64);
        CHECK(published(64, 33) == 64);
        CHECK(published(64, 127) == 64);
        CHECK(published(64, 130) == 128);
        CHECK(published(64, 10) == 0);
        CHECK(published(0, std::numeric_limits<double>::infinity()) == 1U << 20U);
        CHECK(loadToPublish(0, { .operationsPerSecond = 70, .vms = 65 }) == 0);
    }
}
