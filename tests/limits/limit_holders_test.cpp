#include <cyclamendrift/limits/limit_holders.h>
#include <cyclamendrift/limits/limit_shares.h>
#include <cyclamendrift/limits/team_share.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const TeamName team { "clinic" };

/// Six VMs with half a core and others with 0.12 cores, in three availability zones.
std::map<VmName, VmCapacity> fleetOf(std::size_t vms)
{
    constexpr std::size_t strong = 6;
    std::map<VmName, VmCapacity> listed;
    for (std::size_t index = 0; index < vms; ++index)
        listed[VmName { "vm-" + std::to_string(index) }]
            = { .zone = ZoneName { "zone-" + std::to_string(index % 3) },
                  .cores = index < strong ? 0.5 : 0.12 };
    return listed;
}

/// Each VM's share, once every VM has had time to read the list.
std::map<VmName, TeamShare> sharesOf(const std::map<VmName, VmCapacity>& listed, const TeamLimit& limit)
{
    const LimitHolders holders { listed };
    std::map<VmName, TeamShare> shares;
    for (const auto& [vm, capacity] : listed) {
        LimitShares limitShares;
        limitShares.updateByHolders({ { team, limit } }, vm, holders, Instant { 1s });
        shares[vm].setRule(limitShares.current().at(team), Instant { 1s });
    }
    return shares;
}

} // namespace

TEST_SUITE("limit holders in a large fleet")
{
    TEST_CASE("a small team gets its rate from 70 VMs, whichever VM its callers use")
    {
        // Guards against refusals below the limit: 8 operations per second, split evenly over 70 VMs, come to
        // a ninth of an operation per second on each VM, with a burst that never holds a whole operation.
        // Every caller would be refused, although the team uses half of its limit.
        const auto listed = fleetOf(70);
        const LimitHolders holders { listed };
        REQUIRE_FALSE(holders.includesAllVms());
        auto shares = sharesOf(listed, { .ratePerSecond = 8, .burst = 8 });
        std::size_t refused = 0;
        std::size_t asked = 0;
        for (int step = 0; step < 40; ++step) {
            const auto now = Instant { 2s } + step * 250ms;
            const VmName entry { "vm-" + std::to_string((step * 29) % 70) };
            ++asked;
            bool admitted = shares[entry].tryAcquire(now);
            for (const auto& donor : holders.donorsFor(team, entry)) {
                if (!admitted)
                    admitted = shares[donor].give(1, now) == 1;
            }
            refused += admitted ? 0 : 1;
        }
        CHECK(asked == 40);
        CHECK(refused == 0);
    }

    TEST_CASE("a holder gives the only operation of its share")
    {
        // Guards against a holder that keeps half of its share for its own callers, as VMs of a small fleet
        // do. A small team's limit comes to one operation per holder: none would have a whole operation to
        // give, and all callers would be refused.
        const auto listed = fleetOf(70);
        auto shares = sharesOf(listed, { .ratePerSecond = 4, .burst = 4 });
        for (const auto& holder : LimitHolders { listed }.holdersOf(team))
            CHECK(shares[holder].give(1, Instant { 5s }) == 1);
    }

    TEST_CASE("the shares add up to the rate, and exceed the burst by at most one operation per holder")
    {
        // Guards against a team that exceeds its limit because small shares are rounded up.
        const auto listed = fleetOf(70);
        double rate = 0;
        double burst = 0;
        for (const auto& [vm, capacity] : listed) {
            LimitShares limitShares;
            limitShares.updateByHolders({ { team, { .ratePerSecond = 3, .burst = 2 } } }, vm,
                LimitHolders { listed }, Instant { 1s });
            rate += limitShares.current().at(team).ratePerSecond;
            burst += limitShares.current().at(team).burst;
        }
        CHECK(rate == doctest::Approx(3));
        CHECK(burst <= 2 + 4);
    }

    TEST_CASE("the holders are the VMs with the most cores, the same on every VM")
    {
        // Guards against small VMs that have to serve the token requests of the fleet, and against VMs that
        // disagree on the holders.
        const auto listed = fleetOf(70);
        const auto chosen = LimitHolders { listed }.holdersOf(team);
        CHECK(chosen == LimitHolders { listed }.holdersOf(team));
        REQUIRE(chosen.size() == 4);
        CHECK(std::all_of(
            chosen.begin(), chosen.end(), [&](const VmName& vm) { return listed.at(vm).cores > 0.4; }));
    }

    TEST_CASE("after a holder dies, the others serve 60 % of the limit")
    {
        // Guards against refusals while the record of a killed holder is still valid and VMs ask it in vain.
        // It takes away a quarter of the limit, of which teams use about 60 %.
        const auto listed = fleetOf(70);
        const LimitHolders holders { listed };
        auto shares = sharesOf(listed, { .ratePerSecond = 20, .burst = 20 });
        const auto dead = holders.holdersOf(team).front();
        const VmName entry { "vm-40" };
        std::size_t refused = 0;
        for (int step = 0; step < 60; ++step) {
            const auto now = Instant { 2s } + step * 83ms;
            std::uint32_t given = 0;
            for (const auto& donor : holders.donorsFor(team, entry)) {
                if (given == 0 && donor != dead)
                    given = shares[donor].give(1, now);
            }
            refused += given == 0 ? 1 : 0;
        }
        CHECK(refused == 0);
    }

    TEST_CASE("a new holder has no share until the others have read the new list")
    {
        // Guards against a team that gets a quarter more than its rate after a holder is replaced: the new
        // one would give tokens while VMs that have not read the new list still ask the old one.
        auto listed = fleetOf(70);
        const std::map<TeamName, TeamLimit> limits { { team, { .ratePerSecond = 40, .burst = 40 } } };
        const auto before = LimitHolders { listed }.holdersOf(team);
        listed.erase(before.front());
        const auto after = LimitHolders { listed }.holdersOf(team);
        const auto added = *std::find_if(after.begin(), after.end(), [&before](const VmName& vm) {
            return std::find(before.begin(), before.end(), vm) == before.end();
        });
        LimitShares limitShares;
        limitShares.updateByHolders(limits, added, LimitHolders { fleetOf(70) }, Instant { 1s });
        limitShares.updateByHolders(limits, added, LimitHolders { listed }, Instant { 5s });
        CHECK(limitShares.current().at(team).ratePerSecond == 0);
        limitShares.updateByHolders(
            limits, added, LimitHolders { listed }, Instant { 5s } + LimitShares::growthDelay);
        limitShares.updateByHolders(limits, added, LimitHolders { listed }, Instant { 8s });
        CHECK(limitShares.current().at(team).ratePerSecond == doctest::Approx(10));
    }

    TEST_CASE("the holders of a team are in different zones where there are enough candidates")
    {
        // Guards against VMs that cross a zone for every token. The strongest VMs are all in one zone.
        auto listed = fleetOf(70);
        for (auto& [vm, capacity] : listed) {
            if (capacity.cores > 0.4)
                capacity.zone = ZoneName { "zone-0" };
        }
        const LimitHolders spread { listed, { .spreadOverZones = true } };
        const LimitHolders unspread { listed };
        for (int index = 0; index < 50; ++index) {
            const TeamName some { "team-" + std::to_string(index) };
            std::set<ZoneName> zones;
            const auto holders = spread.holdersOf(some);
            REQUIRE(holders.size() == 4);
            for (const auto& holder : holders) {
                zones.insert(listed.at(holder).zone);
                CHECK(spread.mayHold(holder));
            }
            CHECK(zones.size() == 3);
            CHECK(std::set<VmName>(holders.begin(), holders.end()).size() == 4);
            CHECK(listed.at(unspread.holdersOf(some).front()).zone == ZoneName { "zone-0" });
        }
        CHECK(LimitHolders { {}, { .spreadOverZones = true } }.holdersOf(team).empty());
    }
}
