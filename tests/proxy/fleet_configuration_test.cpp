#include "fleet_world.h"

#include <property.h>

using namespace cyclamendrift;
using namespace cyclamendrift::tests;

TEST_SUITE("fleet configuration")
{
    TEST_CASE("an accepted change is in force everywhere within two seconds")
    {
        VirtualFleet world { {} };
        settle(world);
        const auto result = begin(world, world.fleet(4).setLimits(limitsRequest("c2", 10, 20)));
        world.runFor(2s);
        REQUIRE(result->response);
        CHECK(result->response->revision() == 2);
        CHECK(everywhere(world, [&](std::size_t vm) { return revisionAt(world, vm) == 2; }));
        CHECK(everywhere(world, [&](std::size_t vm) { return accepts(world, vm); }));
    }
}
