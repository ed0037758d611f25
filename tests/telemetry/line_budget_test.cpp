#include <cyclamendrift/telemetry/line_budget.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("lines of the log")
{
    TEST_CASE("an event that floods is written a few times a second, and what was left out is counted")
    {
        // Upstreams are full and thousands of requests are refused. The log must tell why without taking the
        // time of those that could still be served.
        LineBudget budget { 3 };
        const Instant now { 10s };
        int written = 0;
        for (int count = 0; count < 100; ++count)
            written += budget.take("refused", now + count * 5ms) ? 1 : 0;
        CHECK(written == 3);
        CHECK(budget.take("other", now));
        CHECK_FALSE(budget.takeLeftOut("refused", now + 900ms));
        CHECK(budget.takeLeftOut("refused", now + 1100ms) == 97);
        CHECK_FALSE(budget.takeLeftOut("refused", now + 1200ms));
        CHECK(budget.take("refused", now + 1200ms));
    }
}
