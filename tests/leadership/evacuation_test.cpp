#include "leadership_simulation.h"

#include <property.h>

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const ZoneName zoneOfPrimary { "primary" };
const ZoneName zoneOfFirst { "replica-1" };
const ZoneName zoneOfSecond { "replica-2" };

bool isLedBy(const LeadershipSimulation& simulation, const std::string& name)
{
    const auto* leader = simulation.leader();
    return leader != nullptr && leader->entry.name == UpstreamName { name } && simulation.allFollowLeader();
}

} // namespace

TEST_SUITE("leadership and evacuated availability zones")
{
    TEST_CASE("the primary of an evacuated zone is replaced by a caught-up replica of another zone")
    {
        // Guards against a primary that stays where nothing may be sent, and against lost commits.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.setEvacuatedZones({ zoneOfPrimary });
        REQUIRE(simulation.advanceUntil(
            4s, [&] { return simulation.allFollowLeader() && !isLedBy(simulation, "primary"); }));
        const auto written = simulation.member("primary").received;
        CHECK(simulation.leader()->received >= written);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("no replica of an evacuated zone is promoted even if it has received most")
    {
        // Guards against a promotion into the zone when the primary fails during an evacuation.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.setEvacuatedZones({ zoneOfFirst });
        simulation.advance(1s);
        simulation.member("replica-2").running = false;
        simulation.advance(200ms);
        simulation.member("primary").running = false;
        simulation.member("replica-2").running = true;
        REQUIRE(simulation.member("replica-1").received > simulation.member("replica-2").received);
        REQUIRE(simulation.advanceUntil(8s, [&] { return isLedBy(simulation, "replica-2"); }));
        CHECK(simulation.logged("primary_chosen") == 1);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("the primary stays when no replica of another zone could follow it")
    {
        // Guards against a demotion that leaves the group without a primary after a withdrawn request.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.setEvacuatedZones({ zoneOfPrimary, zoneOfFirst, zoneOfSecond });
        simulation.advance(6s);
        CHECK(isLedBy(simulation, "primary"));
        CHECK(simulation.promotions() == 0);
        simulation.setEvacuatedZones({ zoneOfPrimary });
        CHECK(simulation.advanceUntil(
            5s, [&] { return simulation.allFollowLeader() && !isLedBy(simulation, "primary"); }));
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("the group has a primary again when the request is withdrawn during the change")
    {
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.setEvacuatedZones({ zoneOfPrimary });
        REQUIRE(simulation.advanceUntil(2s, [&] { return simulation.logged("replacing_primary") == 1; }));
        simulation.setEvacuatedZones({});
        CHECK(simulation.advanceUntil(6s, [&] { return simulation.allFollowLeader(); }));
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("another coordinator completes the change when the first one dies in the middle")
    {
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.setEvacuatedZones({ zoneOfPrimary });
        REQUIRE(simulation.advanceUntil(2s, [&] { return simulation.logged("replacing_primary") == 1; }));
        simulation.vm(0).frozenUntil = simulation.now + 30s;
        CHECK(simulation.advanceUntil(10s, [&] {
            const auto* leader = simulation.leader();
            const auto view = simulation.vm(1).coordinator.view();
            return leader != nullptr && leader->entry.zone != zoneOfPrimary && view.isValid(simulation.now)
                && view.primary == leader->entry.name;
        }));
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a new system whose initial primary is in an evacuated zone moves it elsewhere")
    {
        LeadershipSimulation simulation { {} };
        simulation.setEvacuatedZones({ zoneOfPrimary }, 10ms);
        CHECK(simulation.advanceUntil(
            8s, [&] { return simulation.allFollowLeader() && !isLedBy(simulation, "primary"); }));
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("an evacuation requested while the store is away takes effect once it is back")
    {
        // Guards against a change that relies on a claim which was never written.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.storeDown = true;
        simulation.setEvacuatedZones({ zoneOfPrimary });
        simulation.advance(5s);
        CHECK(isLedBy(simulation, "primary"));
        simulation.storeDown = false;
        CHECK(simulation.advanceUntil(
            8s, [&] { return simulation.allFollowLeader() && !isLedBy(simulation, "primary"); }));
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("the zone of the replica that is being promoted is evacuated: the primary moves on")
    {
        // Guards against a second promotion into the zone, and against two promotions at once.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(4s, [&] { return simulation.logged("primary_chosen") == 1; }));
        simulation.setEvacuatedZones({ zoneOfFirst }, 10ms);
        CHECK(simulation.advanceUntil(15s, [&] { return isLedBy(simulation, "replica-2"); }));
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("no two primaries and no promotion into an evacuated zone under random requests and faults")
    {
        checkProperty("evacuations come and go while VMs freeze and upstreams fail", [](std::uint64_t seed) {
            std::mt19937_64 random { seed };
            const auto randomUpTo = [&random](int highest) {
                return std::uniform_int_distribution<int> { 0, highest }(random);
            };
            const std::array names { "primary", "replica-1", "replica-2" };
            LeadershipSimulation simulation { { .seed = seed, .siblingsShareViews = true } };
            simulation.advance(2s);
            for (int round = 0; round < 12; ++round) {
                const std::chrono::milliseconds time { 100 + randomUpTo(3000) };
                auto& vm = simulation.vm(static_cast<std::size_t>(randomUpTo(2)));
                const std::string name { names.at(static_cast<std::size_t>(randomUpTo(2))) };
                switch (randomUpTo(4)) {
                case 0:
                case 1: {
                    std::set<ZoneName> zones;
                    for (const auto* zone : names) {
                        if (randomUpTo(2) == 0)
                            zones.insert(ZoneName { zone });
                    }
                    simulation.setEvacuatedZones(zones, time);
                    break;
                }
                case 2:
                    vm.frozenUntil = simulation.now + time;
                    break;
                case 3:
                    vm.storeUnreachableUntil = simulation.now + 2 * time;
                    break;
                default: {
                    auto& member = simulation.member(name);
                    member.running = false;
                    simulation.advance(time);
                    member.running = true;
                    const auto* newest = simulation.leader();
                    if (newest != nullptr && newest->term > member.term)
                        member.primary = false;
                }
                }
                simulation.advance(std::chrono::milliseconds { randomUpTo(2500) });
            }
            simulation.setEvacuatedZones({});
            simulation.advance(25s);
            RC_LOG() << (simulation.violations.empty() ? "" : simulation.violations.front());
            RC_ASSERT(simulation.violations.empty());
            RC_ASSERT(simulation.allFollowLeader());
        });
    }
}
