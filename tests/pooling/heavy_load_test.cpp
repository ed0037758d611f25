#include "pool_world.h"

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("decisions under heavy load")
{
    TEST_CASE("a VM whose own part of the connections suffices hands nothing to a home")
    {
        // Six VMs share 32 connections to each upstream, and all of a team's work goes to one home. That home
        // turns slow or is replaced: callers of every VM wait for it, though the VM they came to could have
        // served them by itself.
        PoolWorld world {
            { .connectionCap = 32, .freshness = ReadOwnWritesRoute { 2500ms }, .throughHome = true, .vms = 6 }
        };
        const auto caller = world.connect();
        CHECK_FALSE(world.run(caller, "c/1", "WRITE 1 x").failure);
        CHECK_FALSE(world.run(caller, "c/2", "READ 1").failure);
        CHECK(world.handed.empty());
        CHECK(world.entry->connections() > 0);
    }
}
