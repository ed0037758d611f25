#include <cyclamendrift/connections/concurrency_limit.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Simulates nine VMs at a primary that runs two statements at a time of 14 ms each; every VM sends as many
/// as its limit allows. Returns the mean time from sending to answer over the second half of the run.
Duration meanLatencyAtOverloadedPrimary(bool limited)
{
    constexpr std::size_t vms = 9;
    constexpr std::size_t unlimitedStatements = 4;
    std::vector<ConcurrencyLimit> limits(vms);
    std::mt19937_64 random { 1 };
    std::exponential_distribution<double> work { 1 / 14.0 };
    // Starts without load to establish the unloaded latency.
    for (auto& limit : limits) {
        for (int count = 0; count < 50; ++count)
            limit.onAnswer(std::chrono::microseconds { static_cast<int>(work(random) * 1000) + 1000 });
    }
    double total = 0;
    int counted = 0;
    for (int round = 0; round < 400; ++round) {
        std::size_t concurrentStatements = 0;
        for (const auto& limit : limits)
            concurrentStatements
                += limited ? std::min(limit.current(), unlimitedStatements) : unlimitedStatements;
        for (auto& limit : limits) {
            const auto ahead
                = std::uniform_int_distribution<std::size_t> { 0, concurrentStatements - 1 }(random);
            const auto time = work(random) + static_cast<double>(ahead) * 14.0 / 2;
            limit.onAnswer(std::chrono::microseconds { static_cast<int>(time * 1000) });
            if (round >= 200) {
                total += time;
                ++counted;
            }
        }
    }
    return std::chrono::microseconds { static_cast<int>(total / counted * 1000) };
}

} // namespace

TEST_SUITE("concurrency limit")
{
    TEST_CASE("when all reads go to the primary the limit bounds the latency there")
    {
        // Guards against high-priority statements waiting behind two dozen reads in the primary's own queue,
        // which has no priorities, when both replicas lag and nine VMs read from the primary.
        CHECK(meanLatencyAtOverloadedPrimary(false) > 100ms);
        CHECK(meanLatencyAtOverloadedPrimary(true) < 60ms);
    }

    TEST_CASE("the limit stays above one for an upstream without load")
    {
        ConcurrencyLimit limit;
        std::mt19937_64 random { 2 };
        std::lognormal_distribution<double> work { 3.0, 0.7 };
        for (int count = 0; count < 2000; ++count) {
            limit.onAnswer(std::chrono::microseconds { static_cast<int>(work(random) * 1000) });
            CHECK(limit.current() >= 2);
        }
    }

    TEST_CASE("simultaneous refusals lower the limit once, and no refusal lowers it below one")
    {
        ConcurrencyLimit limit;
        const Instant now { 10s };
        const auto before = limit.current();
        for (int count = 0; count < 20; ++count)
            limit.onCapacityRefusal(now);
        CHECK(limit.current() >= before / 2);
        for (int count = 0; count < 20; ++count)
            limit.onCapacityRefusal(now + count * 100ms);
        CHECK(limit.current() == 1);
        for (int count = 0; count < 200; ++count)
            limit.onAnswer(10ms);
        CHECK(limit.current() > 4);
    }
}
