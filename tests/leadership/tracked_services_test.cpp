#include "../membership/vm_names.h"

#include <cyclamendrift/leadership/tracked_services.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Instant now { 100s };

std::vector<ServiceName> makeServices(std::size_t count)
{
    std::vector<ServiceName> services;
    for (std::size_t index = 0; index < count; ++index)
        services.emplace_back("service-" + std::to_string(index));
    return services;
}

TrackedServices trackedBy(const VmName& vm, const std::vector<VmName>& vms, std::size_t services)
{
    TrackedServices tracked { vm };
    tracked.setVms(vms);
    tracked.setServiceCount(services);
    return tracked;
}

std::size_t countIncluded(const TrackedServices& tracked, const std::vector<ServiceName>& services)
{
    return static_cast<std::size_t>(std::count_if(services.begin(), services.end(),
        [&tracked](const ServiceName& service) { return tracked.includes(service, now); }));
}

} // namespace

TEST_SUITE("tracked services")
{
    TEST_CASE("the services that a VM tracks do not grow with the fleet")
    {
        // Guards against control work of every VM for every service.
        for (const std::size_t size : { 500, 1000, 2000 }) {
            CAPTURE(size);
            const auto vms = makeVmNames(size);
            const auto services = makeServices(size);
            std::size_t most = 0;
            std::size_t total = 0;
            std::size_t idle = 0;
            for (const auto& vm : vms) {
                const auto included = countIncluded(trackedBy(vm, vms, size), services);
                most = std::max(most, included);
                total += included;
                idle += included == 0 ? 1 : 0;
            }
            CHECK(total == 3 * size);
            CHECK(most <= 120);
            CHECK(idle >= size * 9 / 10);
        }
    }

    TEST_CASE("every service has three candidates with different ranks, spread over them")
    {
        // Guards against a service that no VM coordinates, and against VMs that coordinate far more than the
        // others.
        const auto vms = makeVmNames(985);
        const auto services = makeServices(1000);
        std::map<VmName, std::size_t> firstOf;
        std::map<ServiceName, std::multiset<std::size_t>> ranks;
        for (const auto& vm : vms) {
            const auto tracked = trackedBy(vm, vms, services.size());
            for (const auto& service : services) {
                if (!tracked.includes(service, now))
                    continue;
                ranks[service].insert(tracked.rankFor(service));
                firstOf[vm] += tracked.rankFor(service) == 0 ? 1 : 0;
            }
        }
        CHECK(ranks.size() == services.size());
        for (const auto& [service, found] : ranks)
            CHECK(found == std::multiset<std::size_t> { 0, 1, 2 });
        for (const auto& [vm, count] : firstOf)
            CHECK(count <= 50);
    }

    TEST_CASE("a VM tracks a service whose statements it runs, and stops when none came for a while")
    {
        // Guards against statements that wait for a view that nobody renews, and against tracking for good
        // what was used once.
        const auto vms = makeVmNames(985);
        const auto services = makeServices(1000);
        const auto idle = std::find_if(vms.begin(), vms.end(), [&](const VmName& vm) {
            return countIncluded(trackedBy(vm, vms, services.size()), services) == 0;
        });
        REQUIRE(idle != vms.end());
        auto tracked = trackedBy(*idle, vms, services.size());
        tracked.recordUse(services[7], now);
        CHECK(tracked.includes(services[7], now + 10s));
        CHECK(tracked.isUsed(services[7], now + 10s));
        CHECK_FALSE(tracked.includes(services[7], now + 31s));
        // A VM outside the candidates tries for the lease after all of them.
        CHECK(tracked.rankFor(services[7]) >= 41);
    }

    TEST_CASE("where there are few services every VM tracks all of them")
    {
        // Guards against a wait for the first view at VMs that can afford to track every service.
        const auto vms = makeVmNames(195);
        const auto services = makeServices(20);
        for (const auto& vm : vms)
            CHECK(countIncluded(trackedBy(vm, vms, services.size()), services) == services.size());
    }

    TEST_CASE("a VM that confirms views for its siblings tracks all services")
    {
        // Guards against views that expire while the store is unavailable because nobody asks the replicas.
        const auto vms = makeVmNames(985);
        const auto services = makeServices(1000);
        auto tracked = trackedBy(vms[0], vms, services.size());
        tracked.setConfirmsForSiblings(true);
        CHECK(countIncluded(tracked, services) == services.size());
        CHECK_FALSE(tracked.isUsed(services[0], now));
    }
}
