#include <cyclamendrift/session_proxy/byte_budget.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("byte budget")
{
    TEST_CASE("200 VMs that request lists from a VM with a slow link at once get them one after the other")
    {
        // Guards against answers that saturate the link, time out and are requested again without end.
        constexpr double bytesPerSecond = 625000;
        constexpr std::size_t answer = 13000;
        ByteBudget budget { bytesPerSecond };
        const Instant start { 100s };
        std::size_t sent = 0;
        for (auto now = start; now < start + 3s; now += 1ms) {
            for (int asker = 0; asker < 2; ++asker)
                sent += budget.take(answer, now) ? answer : 0;
        }
        CHECK(sent <= 3.2 * bytesPerSecond);
        CHECK(sent >= 2.9 * bytesPerSecond);
    }

    TEST_CASE("an answer larger than the budget is sent, and later answers wait")
    {
        ByteBudget budget { 10000 };
        const Instant now { 100s };
        CHECK(budget.take(20000, now));
        CHECK_FALSE(budget.take(10, now + 1800ms));
        CHECK(budget.take(10, now + 2s));
    }
}
