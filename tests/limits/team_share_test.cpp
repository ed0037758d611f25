#include <cyclamendrift/limits/donor_selector.h>
#include <cyclamendrift/limits/limit_shares.h>
#include <cyclamendrift/limits/team_share.h>

#include <property.h>

#include <doctest/doctest.h>

#include <random>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const TeamName team { "hospitals" };
const std::map<TeamName, TeamLimit> limits { { team, { .ratePerSecond = 100, .burst = 50 } } };

std::map<VmName, DemandByTeam> listOf(const std::vector<double>& rates)
{
    std::map<VmName, DemandByTeam> listed;
    for (std::size_t index = 0; index < rates.size(); ++index)
        listed[VmName { "vm-" + std::to_string(index) }][team] = rates[index];
    return listed;
}

} // namespace

TEST_SUITE("shares of a team's limit")
{
    TEST_CASE("shares follow demand and add up to the limit")
    {
        // Guards against a split that exceeds the limit, or that leaves no share to a VM without demand.
        const auto listed = listOf({ 60, 20, 0, 0 });
        double rate = 0;
        std::vector<double> shareRates;
        for (const auto& [vm, demand] : listed) {
            LimitShares shares;
            shares.updateByDemand(limits, vm, listed, Instant { 1s });
            shareRates.push_back(shares.current().at(team).ratePerSecond);
            rate += shareRates.back();
        }
        CHECK(rate == doctest::Approx(100));
        CHECK(shareRates[0] > shareRates[1]);
        CHECK(shareRates[2] > 0);
    }

    TEST_CASE("a larger share takes effect after the growth delay, a smaller one at once")
    {
        // Guards against a team that gets more than its rate when its callers move to another VM: that VM
        // would use its larger share before the first one has read the new list and reduced its own.
        LimitShares shares;
        const VmName self { "vm-0" };
        shares.updateByDemand(limits, self, listOf({ 10, 90 }), Instant { 1s });
        const auto before = shares.current().at(team).ratePerSecond;
        shares.updateByDemand(limits, self, listOf({ 90, 10 }), Instant { 2s });
        CHECK(shares.current().at(team).ratePerSecond == doctest::Approx(before));
        shares.updateByDemand(limits, self, listOf({ 90, 10 }), Instant { 3s + 400ms });
        shares.updateByDemand(limits, self, listOf({ 90, 10 }), Instant { 4s });
        CHECK(shares.current().at(team).ratePerSecond > before);
        shares.updateByDemand(limits, self, listOf({ 10, 90 }), Instant { 5s });
        CHECK(shares.current().at(team).ratePerSecond == doctest::Approx(before));
    }

    TEST_CASE("a process that starts does not admit a whole burst")
    {
        // Guards against a team that gets its burst twice within a second, when a process is killed right
        // after the burst was used and the next one starts with a full bucket.
        TeamShare share;
        share.setRule({ .ratePerSecond = 8, .burst = 50 }, Instant { 1s });
        int admitted = 0;
        while (share.tryAcquire(Instant { 1s }))
            ++admitted;
        CHECK(admitted == 2);
    }

    TEST_CASE("VMs that give each other tokens stay within rate and burst together")
    {
        // Guards against tokens that are counted on both VMs after one gave them to the other.
        checkProperty("tokens are conserved", [](std::uint64_t seed) {
            std::mt19937_64 random { seed };
            constexpr std::size_t vms = 5;
            std::vector<TeamShare> shares(vms);
            Instant now { 10s };
            for (auto& share : shares)
                share.setRule({ .ratePerSecond = 20, .burst = 10 }, now);
            const auto start = now;
            now += 3s;
            int admitted = 0;
            for (int step = 0; step < 500; ++step) {
                now += std::chrono::milliseconds { random() % 20 };
                auto& one = shares[random() % vms];
                auto& other = shares[random() % vms];
                if (random() % 3 == 0 && &one != &other)
                    one.receive(other.give(static_cast<std::uint32_t>(random() % 4), now), now);
                for (int asked = 0; asked < 3; ++asked)
                    admitted += one.tryAcquire(now) ? 1 : 0;
            }
            const std::chrono::duration<double> window = now - start - 3s;
            RC_ASSERT(admitted <= 100 * window.count() + 50 + 1);
        });
    }

    TEST_CASE("siblings with the highest demand are asked first, those that had too few tokens are skipped")
    {
        // Guards against requests to siblings that are unlikely to have tokens.
        DonorSelector donors;
        const Instant now { 1s };
        const auto listed = listOf({ 5, 40, 10, 30 });
        const VmName self { "vm-1" };
        CHECK(donors.select(team, self, listed, 2, now)
            == std::vector { VmName { "vm-3" }, VmName { "vm-2" } });
        donors.recordShortfall(team, VmName { "vm-3" }, now);
        CHECK(donors.select(team, self, listed, 2, now)
            == std::vector { VmName { "vm-2" }, VmName { "vm-0" } });
        CHECK(donors.select(team, self, listed, 1, now + 200ms) == std::vector { VmName { "vm-3" } });
    }

    TEST_CASE("a sibling that does not answer is skipped for all teams, one without tokens for that team")
    {
        // Guards against operations that spend all their time on siblings behind a partition.
        DonorSelector donors;
        const Instant now { 1s };
        const TeamName other { "other" };
        const std::vector<VmName> holders { VmName { "vm-0" }, VmName { "vm-1" }, VmName { "vm-2" } };
        donors.recordNoAnswer(VmName { "vm-0" }, now);
        donors.recordShortfall(team, VmName { "vm-1" }, now);
        CHECK(donors.select(team, holders, 4, now) == std::vector { VmName { "vm-2" } });
        CHECK(donors.select(other, holders, 4, now + 200ms)
            == std::vector { VmName { "vm-1" }, VmName { "vm-2" } });
        CHECK(donors.select(team, holders, 4, now + 300ms) == holders);
    }
}
