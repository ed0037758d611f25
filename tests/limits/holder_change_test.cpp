#include <cyclamendrift/limits/limit_holders.h>
#include <cyclamendrift/limits/limit_shares.h>
#include <cyclamendrift/limits/team_share.h>
#include <cyclamendrift/membership/zone_placement.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmCount = 70;
constexpr std::size_t strongVms = 6;
constexpr auto step = 10ms;
// VMs read the list every 600 ms, and what they read may be as old as that.
constexpr Duration listInterval = 600ms;
constexpr double holdersPerTeam = 4;

const TeamName team { "clinic" };
const TeamLimit limit { .ratePerSecond = 40, .burst = 40 };

VmName nameOf(std::size_t vm) { return VmName { "vm-" + std::to_string(vm) }; }

/// The strongest VMs are all in one zone, so that spreading the holders over the zones replaces most of them.
std::map<VmName, VmCapacity> fleet()
{
    std::map<VmName, VmCapacity> listed;
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        listed[nameOf(vm)] = { .zone = ZoneName { "zone-" + std::to_string(vm < strongVms ? 0 : vm % 3) },
            .cores = vm < strongVms ? 0.5 : 0.12 };
    return listed;
}

/// The records of all VMs from a moment on.
struct DatedList {
    Instant since;
    std::vector<ZonePlacementRecord> records;
};

std::vector<ZonePlacementRecord> records(std::size_t far, std::size_t placed)
{
    std::vector<ZonePlacementRecord> list;
    for (std::size_t vm = 0; vm < vmCount; ++vm)
        list.push_back({ .zonesFarApart = vm < far, .placedByZone = vm < placed });
    return list;
}

/// A fleet in virtual time whose VMs read the lists at different moments, and whose holders admit whatever
/// their tokens allow.
class Simulation {
public:
    Simulation(std::vector<DatedList> lists, unsigned seed)
        : lists(std::move(lists))
        , random(seed)
        , vms(vmCount)
    {
        for (auto& vm : this->vms)
            vm.readAt = Instant {} + this->upTo(listInterval);
    }

    void run(Instant demandFrom, Instant end)
    {
        for (Instant now {}; now < end; now += step) {
            for (std::size_t vm = 0; vm < vmCount; ++vm)
                this->advance(vm, now, now >= demandFrom);
        }
    }

    /// The most that was admitted in any window beyond what the rate allows in the window.
    [[nodiscard]] double mostBeyondRate() const
    {
        double most = 0;
        double sum = 0;
        Instant last {};
        for (const auto at : this->admissions) {
            const std::chrono::duration<double> gap = at - last;
            sum = std::max(sum - limit.ratePerSecond * gap.count(), 0.0) + 1;
            most = std::max(most, sum);
            last = at;
        }
        return most;
    }

    [[nodiscard]] std::size_t admitted() const { return this->admissions.size(); }
    [[nodiscard]] std::size_t placedByZone() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->vms.begin(), this->vms.end(), [](const Vm& vm) { return vm.placement.isOn(); }));
    }

private:
    struct Vm {
        ZonePlacement placement { PlacementByZone::Auto };
        LimitShares shares;
        TeamShare share;
        Instant readAt;
    };

    Duration upTo(Duration most)
    {
        return Duration { std::uniform_int_distribution<Duration::rep> { 0, most.count() }(this->random) };
    }

    [[nodiscard]] const DatedList& listAt(Instant at) const
    {
        const auto next = std::find_if(this->lists.begin() + 1, this->lists.end(),
            [at](const DatedList& list) { return list.since > at; });
        return *(next - 1);
    }

    void advance(std::size_t index, Instant now, bool demanded)
    {
        auto& vm = this->vms[index];
        if (now >= vm.readAt) {
            vm.readAt = now + listInterval;
            const bool byZone = vm.placement.update(this->listAt(now - this->upTo(listInterval)).records);
            vm.shares.updateByHolders({ { team, limit } }, nameOf(index), this->holders[byZone ? 1 : 0], now);
        }
        const auto rules = vm.shares.current();
        if (const auto rule = rules.find(team); rule != rules.end())
            vm.share.setRule(rule->second, now);
        while (demanded && vm.share.tryAcquire(now))
            this->admissions.push_back(now);
    }

    std::vector<DatedList> lists;
    std::mt19937 random;
    std::vector<Vm> vms;
    std::vector<LimitHolders> holders { LimitHolders { fleet(), { .spreadOverZones = false } },
        LimitHolders { fleet(), { .spreadOverZones = true } } };
    std::vector<Instant> admissions;
};

} // namespace

TEST_SUITE("holders of a limit change with placement by zone")
{
    TEST_CASE("spreading over zones replaces holders")
    {
        const auto before = LimitHolders { fleet(), { .spreadOverZones = false } }.holdersOf(team);
        const auto after = LimitHolders { fleet(), { .spreadOverZones = true } }.holdersOf(team);
        CHECK(std::set<VmName>(before.begin(), before.end()) != std::set<VmName>(after.begin(), after.end()));
    }

    TEST_CASE("a team never gets more than its limit while VMs read the new mode at different moments")
    {
        // Guards against former and new holders that use the same part of a limit at the same time.
        for (unsigned seed = 0; seed < 20; ++seed) {
            const Instant on { 10s };
            const Instant off { 20s };
            Simulation simulation { { { .since = {}, .records = records(0, 0) },
                                        { .since = on, .records = records(40, 0) },
                                        { .since = on + 900ms, .records = records(70, 70) },
                                        { .since = off, .records = records(17, 70) } },
                seed };
            // The bursts are full when the mode is switched on, in half of the runs.
            simulation.run(seed % 2 == 0 ? on : Instant { 5s }, off + 10s);
            CHECK(simulation.placedByZone() == 0);
            CHECK(simulation.mostBeyondRate() <= limit.burst + holdersPerTeam);
            // The limit is used but for the time that shares take to grow, twice.
            CHECK(static_cast<double>(simulation.admitted()) >= limit.ratePerSecond * 14);
        }
    }

    TEST_CASE("a team never gets more than its limit while the mode is switched several times in a row")
    {
        // Guards against shares that count the growth delay from a list that has been replaced since.
        for (unsigned seed = 0; seed < 20; ++seed) {
            std::vector<DatedList> lists { { .since = {}, .records = records(0, 0) } };
            for (int change = 0; change < 12; ++change)
                lists.push_back({ .since = Instant { 10s } + change * 350ms,
                    .records = change % 2 == 0 ? records(40, 0) : records(17, 70) });
            Simulation simulation { std::move(lists), seed };
            simulation.run(Instant { 9s }, Instant { 20s });
            CHECK(simulation.placedByZone() == 0);
            CHECK(simulation.mostBeyondRate() <= limit.burst + holdersPerTeam);
        }
    }
}
