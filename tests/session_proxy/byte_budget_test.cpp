#include <cyclamendrift/session_proxy/byte_budget.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("bytes for siblings that ask all at once")
{
    TEST_CASE("200 VMs that start and ask a VM with a slow link get whole lists one after the other")
    {
        // Guards against answers that fill the link, time out, and are asked for again without end.
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

    TEST_CASE("an answer larger than the budget goes out all the same, and others wait for it")
    {
        ByteBudget budget { 10000 };
        const Instant now { 100s };
        CHECK(budget.take(20000, now));
        CHECK_FALSE(budget.take(10, now + 1800ms));
        CHECK(budget.take(10, now + 2s));
    }
}
