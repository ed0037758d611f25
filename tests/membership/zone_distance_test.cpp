#include <cyclamendrift/membership/zone_distance.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const ZoneName own { "catania" };
const ZoneName other { "palermo" };
const ZoneName third { "ragusa" };

ZoneDistance measured(Duration within, Duration across)
{
    ZoneDistance distance { own, PlacementByZone::Auto };
    distance.setZones({ { own, 3 }, { other, 4 } });
    for (int round = 0; round < 6; ++round) {
        distance.sampled(own, within);
        distance.sampled(other, across);
    }
    return distance;
}

} // namespace

TEST_SUITE("zone distance")
{
    TEST_CASE("placement by zone is on where zones are 4.9 ms apart and off where they are 1.4 ms apart")
    {
        CHECK(measured(400us, 9800us).update());
        CHECK_FALSE(measured(400us, 2800us).update());
        CHECK_FALSE(measured(400us, 1000us).update());
    }

    TEST_CASE("it is off until the distance is measured, also while calls open their connections")
    {
        // Guards against a fleet with near zones that switches at its start: a first call takes three round
        // trips.
        ZoneDistance distance { own, PlacementByZone::Auto };
        distance.setZones({ { own, 3 }, { other, 4 } });
        CHECK_FALSE(distance.update());
        distance.sampled(own, 1ms);
        distance.sampled(other, 9ms);
        CHECK_FALSE(distance.update());
        for (int round = 0; round < 3; ++round) {
            distance.sampled(own, 400us);
            distance.sampled(other, 3ms);
        }
        CHECK_FALSE(distance.update());
    }

    TEST_CASE("it stays on down to 3 ms")
    {
        // Guards against a distance near the threshold that moves all teams to other owners now and then.
        auto distance = measured(0ms, 5ms);
        CHECK(distance.update());
        for (int round = 0; round < 6; ++round)
            distance.sampled(other, 4ms);
        CHECK(distance.update());
        for (int round = 0; round < 6; ++round)
            distance.sampled(other, 2ms);
        CHECK_FALSE(distance.update());
        for (int round = 0; round < 6; ++round)
            distance.sampled(other, 4ms);
        CHECK_FALSE(distance.update());
    }

    TEST_CASE("a VM that restarts in a fleet placed by zone stays on down to 3 ms")
    {
        // Guards against a restart of all VMs that ends placement by zone at a distance of 4 ms.
        for (const bool farApart : { true, false }) {
            ZoneDistance distance { own, PlacementByZone::Auto };
            distance.setZones({ { own, 3 }, { other, 4 } });
            distance.assume(farApart);
            CHECK(distance.update() == farApart);
            for (int round = 0; round < 3; ++round) {
                distance.sampled(own, 0ms);
                distance.sampled(other, 4ms);
            }
            distance.assume(!farApart);
            CHECK(distance.update() == farApart);
        }
    }

    TEST_CASE("busy VMs do not look far away")
    {
        auto distance = measured(400us, 2ms);
        for (int round = 0; round < 5; ++round)
            distance.sampled(other, 60ms);
        CHECK_FALSE(distance.update());
    }

    TEST_CASE("the nearest other zone counts, and a zone that has lost its VMs no longer does")
    {
        auto distance = measured(400us, 9800us);
        distance.setZones({ { own, 3 }, { other, 4 }, { third, 1 } });
        for (int round = 0; round < 3; ++round)
            distance.sampled(third, 1ms);
        CHECK_FALSE(distance.update());
        distance.setZones({ { own, 3 }, { other, 4 } });
        CHECK(distance.update());
    }

    TEST_CASE("the only VM of its zone counts its zone as at no distance")
    {
        ZoneDistance distance { own, PlacementByZone::Auto };
        distance.setZones({ { other, 4 } });
        for (int round = 0; round < 3; ++round)
            distance.sampled(other, 9800us);
        CHECK(distance.update());
    }

    TEST_CASE("the setting overrides what is measured")
    {
        CHECK(ZoneDistance { own, PlacementByZone::Always }.update());
        ZoneDistance never { own, PlacementByZone::Never };
        never.setZones({ { other, 4 } });
        for (int round = 0; round < 3; ++round)
            never.sampled(other, 9800us);
        CHECK_FALSE(never.update());
    }
}
