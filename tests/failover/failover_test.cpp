#include "group_world.h"

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("failover")
{
    // The primary's VM dies at three in the morning and nobody is there to order a promotion. Callers wait a
    // moment and go on; nothing acknowledged is gone.
    TEST_CASE("a killed primary is replaced within seconds")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            GroupWorld world { { .slots = slots } };
            world.runFor(5s);
            REQUIRE(world.acknowledgedSince(world.now() - 1s));
            const auto killedAt = world.now();
            world.kill(0);
            world.runFor(4s);
            CHECK(world.primaryIndex() != 0);
            CHECK(world.acknowledgedSince(killedAt + 500ms));
            world.revive(0);
            world.runFor(8s);
            CHECK(world.slotAt(0).log == world.slotAt(world.primaryIndex()).log);
            CHECK(world.breaches().empty());
        }
    }
}
