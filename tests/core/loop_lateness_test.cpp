#include <cyclamendrift/core/loop_lateness.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("lateness of an event loop")
{
    TEST_CASE("late ticks are counted, and reported at most once per second")
    {
        // Guards against an overloaded loop that nobody notices, and against one that floods the log.
        LoopLateness lateness;
        Instant now { 1h };
        CHECK_FALSE(lateness.record(now, 50ms));
        CHECK_FALSE(lateness.record(now += 120ms, 50ms));
        CHECK(lateness.lateTicks() == 0);
        const auto reported = lateness.record(now += 250ms, 50ms);
        REQUIRE(reported);
        CHECK(*reported == 200ms);
        CHECK_FALSE(lateness.record(now += 250ms, 50ms));
        CHECK(lateness.lateTicks() == 2);
        CHECK(lateness.record(now += 1s, 50ms));
        CHECK(lateness.lateTicks() == 3);
    }

    TEST_CASE("a tick after a suspension does not show that messages handled now were received now")
    {
        // Guards against an answer from before the suspension that is taken for a confirmation of now.
        LoopLateness lateness;
        const Instant before { 1h };
        static_cast<void>(lateness.record(before, 50ms));
        static_cast<void>(lateness.record(before + 10s, 50ms));
        CHECK(lateness.onTimeAt() == before);
        static_cast<void>(lateness.record(before + 10s + 50ms, 50ms));
        CHECK(lateness.onTimeAt() == before + 10s + 50ms);
    }
}
