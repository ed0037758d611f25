#include <cyclamendrift/connections/concurrency_limit.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Nine VMs before a primary with two slots that takes 14 ms for a statement; each sends as much as its limit
/// allows. Returns the time that a statement waited and worked, over the last part of the run.
Duration meanLatencyAtOverloadedPrimary(bool limited)
{
    constexpr std::size_t vms = 9;
    constexpr std::size_t unlimitedStatements = 4;
    std::vector<ConcurrencyLimit> limits(vms);
    std::mt19937_64 random { 1 };
    std::exponential_distribution<double> work { 1 / 14.0 };
    // Quiet at first, so that the unloaded time is known.
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

TEST_SUITE("statements at a time")
{
    TEST_CASE("when all reads go to a primary its queue stays short, and what waits is left to the VMs")
    {
        // Both replicas of a group fall behind, so nine VMs send all they have to the primary. Without a
        // limit an order waits behind two dozen reads in the primary's own queue, where nothing can let it
        // pass.
        CHECK(meanLatencyAtOverloadedPrimary(false) > 100ms);
        CHECK(meanLatencyAtOverloadedPrimary(true) < 60ms);
    }

    TEST_CASE("an upstream without load keeps getting several statements at a time")
    {
        ConcurrencyLimit limit;
        std::mt19937_64 random { 2 };
        std::lognormal_distribution<double> work { 3.0, 0.7 };
        for (int count = 0; count < 2000; ++count) {
            limit.onAnswer(std::chrono::microseconds { static_cast<int>(work(random) * 1000) });
            CHECK(limit.current() >= 2);
        }
    }

    TEST_CASE("a full upstream lowers the limit once for refusals that come together, and never below one")
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
