#include <cyclamendrift/limits/limit_holders.h>
#include <cyclamendrift/limits/limit_shares.h>
#include <cyclamendrift/limits/team_share.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const TeamName team { "clinic" };

/// Six strong VMs and others of an eighth of a core, in three availability zones.
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

/// The part of each VM, once every VM has had time to read the list.
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

TEST_SUITE("limits in a large fleet")
{
    TEST_CASE("70 VMs let a small team have its rate, whichever its callers come to")
    {
        // A team with 8 operations a second calls through 70 VMs. Split evenly its limit comes to a ninth of
        // an operation a second on each, with a burst that never holds a whole one: every caller would be
        // told that its team is over its rate, though the team sends half of what it may.
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

    TEST_CASE("a holder gives the only operation that its part comes to")
    {
        // A small team's limit comes to one operation for each of its holders. A holder that kept half of its
        // part back for its own callers, as VMs of a small fleet do, would have no whole one to give: whoever
        // the team's callers come to, they would be told that it is over its rate.
        const auto listed = fleetOf(70);
        auto shares = sharesOf(listed, { .ratePerSecond = 4, .burst = 4 });
        for (const auto& holder : LimitHolders { listed }.holdersOf(team))
            CHECK(shares[holder].give(1, Instant { 5s }) == 1);
    }

    TEST_CASE("all parts together come to the limit, and no more than an operation a holder beyond it")
    {
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

    TEST_CASE("the holders are strong VMs, and the same on every VM")
    {
        const auto listed = fleetOf(70);
        const auto chosen = LimitHolders { listed }.holdersOf(team);
        CHECK(chosen == LimitHolders { listed }.holdersOf(team));
        REQUIRE(chosen.size() == 4);
        CHECK(std::all_of(
            chosen.begin(), chosen.end(), [&](const VmName& vm) { return listed.at(vm).cores > 0.4; }));
    }

    TEST_CASE("a holder that dies takes a quarter of the limit along, and the others go on giving")
    {
        // A holder is killed; for some seconds its record still stands and callers' VMs go on asking it in
        // vain. Teams use some six tenths of their limit, so nobody is refused for it.
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

    TEST_CASE("a new holder waits until the others have read the new list")
    {
        // A holder is replaced by another VM. If the new one gave from its part at once, while VMs that have
        // not read the list still ask the old one, the team would get a quarter more than its rate.
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
}
