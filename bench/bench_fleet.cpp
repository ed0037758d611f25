// Limits, configuration and cost to the store of a fleet at both users' sizes, in virtual time.

#include "fleet_traffic.h"

#include <standins/virtual_fleet.h>

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/schema/key_hash.h>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace {

using namespace cyclamendrift;
using namespace cyclamendrift::bench;
using namespace std::chrono_literals;
using standins::VirtualFleet;

struct Site {
    std::string_view name;
    std::size_t vms = 0;
    std::size_t zones = 0;
};

constexpr std::array sites { Site { "agenzia", 9, 3 }, Site { "hamutenya", 8, 4 } };

struct Team {
    std::string name;
    double rate = 0;
    std::uint32_t burst = 0;
};

std::vector<Team> makeTeams()
{
    std::vector<Team> teams;
    for (int i = 0; i < 8; ++i) {
        const bool large = i < 3;
        teams.push_back({ "team" + std::to_string(i), large ? 120.0 : 20.0, large ? 240U : 40U });
    }
    return teams;
}

api::Schema makeSchema(const std::vector<Team>& teams)
{
    api::Schema schema;
    for (const auto& team : teams) {
        auto& entry = *schema.add_teams();
        entry.set_name(team.name);
        entry.set_rate_per_second(team.rate);
        entry.set_burst(team.burst);
        auto& key = *schema.add_keys();
        key.set_id("key-" + team.name);
        key.set_team(team.name);
        key.set_secret_hash(hashSecret("secret of " + team.name));
    }
    return schema;
}

asio::awaitable<void> awaitApply(VirtualFleet& world, std::size_t vm, api::ApplyRequest request, Instant* at)
{
    const auto response = co_await world.fleet(vm).apply(std::move(request));
    static_cast<void>(response);
    *at = world.now();
}

asio::awaitable<void> awaitRevoke(
    VirtualFleet& world, std::size_t vm, api::RevokeRequest request, Instant* at)
{
    const auto response = co_await world.fleet(vm).revoke(std::move(request));
    static_cast<void>(response);
    *at = world.now();
}

/// Puts a schema in force; returns how long until the operator had the answer.
Duration apply(VirtualFleet& world, std::size_t vm, std::uint64_t expected, api::Schema schema)
{
    api::ApplyRequest request;
    request.set_change_id("change" + std::to_string(expected));
    request.set_expected_revision(expected);
    *request.mutable_schema() = std::move(schema);
    Instant accepted {};
    const auto begun = world.now();
    world.spawn(awaitApply(world, vm, std::move(request), &accepted));
    for (int step = 0; step < 1500 && accepted == Instant {}; ++step)
        world.runFor(10ms);
    return accepted - begun;
}

/// Requests of all teams in one scenario, and how our policy and equal shares judged them.
class Scenario {
public:
    struct Options {
        Site site;
        std::string_view fault;
        /// Where the n-th request enters at this time since the start.
        std::function<std::size_t(RandomSource&, Duration)> entry;
        /// What goes wrong, called once after five seconds.
        std::function<void(VirtualFleet&)> inject;
        /// Demand of the first team as a multiple of its rate; that of the others is 0.8.
        double firstTeamDemand = 0.8;
    };

    explicit Scenario(Options options)
        : options(std::move(options))
        , teams(makeTeams())
        , random(7)
    {
        for (const auto& team : this->teams)
            this->ledgers.emplace_back(team, this->options.site.vms);
    }

    void run()
    {
        VirtualFleet world {
            { .vmCount = this->options.site.vms, .zoneCount = this->options.site.zones, .seed = 3 }
        };
        world.runFor(3s);
        apply(world, 0, 0, makeSchema(this->teams));
        world.runFor(2s);
        this->begun = world.now();
        this->drive(world);
        world.runFor(2s);
        this->print();
    }

private:
    static constexpr Duration length = 40s;
    static constexpr Duration injectAfter = 5s;
    static constexpr Duration patience = 300ms;

    struct Ledger {
        Ledger(const Team& team, std::size_t vms)
            : ideal(team.rate, team.burst)
            , shares(
                  vms, Bucket { team.rate / static_cast<double>(vms), team.burst / static_cast<double>(vms) })
            , excess(team.rate, team.burst)
        {
        }

        Bucket ideal;
        std::vector<Bucket> shares;
        ExcessMeter excess;
        std::uint64_t entitled = 0;
        std::uint64_t wrongful = 0;
        std::uint64_t wrongfulOfShares = 0;
    };

    void drive(VirtualFleet& world)
    {
        double total = 0;
        std::vector<double> demand;
        for (std::size_t i = 0; i < this->teams.size(); ++i) {
            demand.push_back(this->teams[i].rate * (i == 0 ? this->options.firstTeamDemand : 0.8));
            total += demand.back();
        }
        std::exponential_distribution<double> gap { total };
        std::discrete_distribution<std::size_t> team { demand.begin(), demand.end() };
        bool injected = false;
        while (world.now() - this->begun < length) {
            world.runFor(Duration { static_cast<Duration::rep>(gap(this->random) * 1e9) });
            if (!injected && world.now() - this->begun > injectAfter) {
                injected = true;
                if (this->options.inject)
                    this->options.inject(world);
            }
            const auto since = injected ? world.now() - this->begun : Duration {};
            this->request(world, team(this->random), this->options.entry(this->random, since));
        }
    }

    void request(VirtualFleet& world, std::size_t team, std::size_t vm)
    {
        auto& ledger = this->ledgers[team];
        const bool entitled = ledger.ideal.take(world.now());
        ledger.entitled += entitled ? 1 : 0;
        if (!ledger.shares[vm].take(world.now()) && entitled)
            ++ledger.wrongfulOfShares;
        world.admit(
            vm, TeamName { this->teams[team].name }, patience, [&world, &ledger, entitled](bool admitted) {
                if (admitted)
                    ledger.excess.admit(world.now());
                else if (entitled)
                    ++ledger.wrongful;
            });
    }

    void print() const
    {
        std::uint64_t entitled = 0;
        std::uint64_t wrongful = 0;
        std::uint64_t ofShares = 0;
        double worst = 0;
        for (std::size_t i = this->options.firstTeamDemand > 1 ? 1 : 0; i < this->ledgers.size(); ++i) {
            entitled += this->ledgers[i].entitled;
            wrongful += this->ledgers[i].wrongful;
            ofShares += this->ledgers[i].wrongfulOfShares;
        }
        for (const auto& ledger : this->ledgers)
            worst = std::max(worst, ledger.excess.worst());
        const auto percent = [entitled](std::uint64_t count) {
            return 100.0 * static_cast<double>(count) / static_cast<double>(entitled);
        };
        const auto& [site, fault, entry, inject, demand] = this->options;
        report(site.name, fault, "ours", "wrongful_refusals", percent(wrongful), "percent");
        report(site.name, fault, "equal_shares", "wrongful_refusals", percent(ofShares), "percent");
        report(site.name, fault, "ours", "over_admission_worst_window", worst, "requests");
    }

    Options options;
    std::vector<Team> teams;
    RandomSource random;
    std::vector<Ledger> ledgers;
    Instant begun;
};

std::size_t uniformOver(RandomSource& random, std::size_t first, std::size_t last)
{
    return std::uniform_int_distribution<std::size_t> { first, last - 1 }(random);
}

void limits(const Site& site)
{
    const auto vms = site.vms;
    const auto anywhere = [vms](RandomSource& random, Duration) { return uniformOver(random, 0, vms); };
    const auto skewed = [vms](RandomSource& random, Duration) {
        return std::geometric_distribution<std::size_t> { 0.5 }(random) % vms;
    };
    const auto moving
        = [vms](RandomSource&, Duration since) { return static_cast<std::size_t>(since / 4s) % vms; };
    const auto notFirst = [vms](RandomSource& random, Duration since) {
        return uniformOver(random, since > Duration {} ? 1 : 0, vms);
    };
    const auto zones = site.zones;
    const auto outsideFirstZone = [vms, zones](RandomSource& random, Duration) {
        auto vm = uniformOver(random, 0, vms);
        while (vm % zones == 0)
            vm = uniformOver(random, 0, vms);
        return vm;
    };
    const auto cutFirstZone = [vms, zones](VirtualFleet& world) {
        std::set<std::size_t> zone;
        for (std::size_t vm = 0; vm < vms; vm += zones)
            zone.insert(vm);
        world.isolate(zone, true);
    };
    Scenario { { .site = site, .fault = "none", .entry = anywhere } }.run();
    Scenario { { .site = site, .fault = "skewed_entry", .entry = skewed } }.run();
    Scenario {
        { .site = site, .fault = "moving_entry", .entry = moving, .inject = [](VirtualFleet&) {} }
    }.run();
    Scenario {
        { .site = site,
            .fault = "dead_home",
            .entry = notFirst,
            .inject = [](VirtualFleet& world) { world.kill(0); } }
    }.run();
    Scenario {
        { .site = site, .fault = "zone_cut_off", .entry = outsideFirstZone, .inject = cutFirstZone }
    }.run();
    Scenario {
        { .site = site,
            .fault = "store_outage",
            .entry = anywhere,
            .inject = [](VirtualFleet& world) { world.setStoreDown(true); } }
    }.run();
    Scenario {
        { .site = site,
            .fault = "dead_home_and_store_outage",
            .entry = notFirst,
            .inject =
                [](VirtualFleet& world) {
                    world.setStoreDown(true);
                    world.kill(0);
                } }
    }.run();
    Scenario { { .site = site, .fault = "one_team_at_5x", .entry = anywhere, .firstTeamDemand = 5 } }.run();
}

bool everywhere(VirtualFleet& world, const std::function<bool(std::size_t)>& holds)
{
    for (std::size_t vm = 0; vm < world.size(); ++vm) {
        if (!holds(vm))
            return false;
    }
    return true;
}

void spread(const Site& site)
{
    VirtualFleet world { { .vmCount = site.vms, .zoneCount = site.zones, .seed = 11 } };
    world.runFor(3s);
    auto teams = makeTeams();
    apply(world, 0, 0, makeSchema(teams));
    Duration worst {};
    for (std::uint64_t revision = 1; revision <= 20; ++revision) {
        world.runFor(700ms);
        teams[0].burst += 1;
        const auto begun = world.now();
        apply(world, revision % site.vms, revision, makeSchema(teams));
        const auto isThere
            = [&](std::size_t vm) { return world.fleet(vm).configuration()->revision == revision + 1; };
        while (!everywhere(world, isThere))
            world.runFor(1ms);
        worst = std::max(worst, world.now() - begun);
    }
    report(site.name, "none", "ours", "configuration_in_force_everywhere_worst",
        std::chrono::duration<double, std::milli> { worst }.count(), "ms");
}

void withdrawal(const Site& site, std::string_view fault, const std::function<void(VirtualFleet&)>& inject)
{
    VirtualFleet world { { .vmCount = site.vms, .zoneCount = site.zones, .seed = 12 } };
    world.runFor(3s);
    apply(world, 0, 0, makeSchema(makeTeams()));
    world.runFor(2s);
    inject(world);
    world.runFor(1ms);
    api::RevokeRequest request;
    request.set_change_id("withdraw");
    request.set_key_id("key-team0");
    Instant accepted {};
    world.spawn(awaitRevoke(world, 1, request, &accepted));
    const auto refusedAt = [&](std::size_t vm) {
        try {
            static_cast<void>(world.fleet(vm).authenticate("secret of team0"));
            return false;
        } catch (const RequestError&) {
            return true;
        }
    };
    while (accepted == Instant {} || !everywhere(world, refusedAt))
        world.runFor(1ms);
    const std::chrono::duration<double, std::milli> after = world.now() - accepted;
    report(site.name, fault, "ours", "key_refused_everywhere_after_acceptance", std::max(after.count(), 0.0),
        "ms");
}

void storeCalls(std::size_t vms)
{
    const auto suffix = "_at_" + std::to_string(vms) + "_vms";
    const auto perSecond = [](std::uint64_t calls, Duration during) {
        return static_cast<double>(calls) / std::chrono::duration<double> { during }.count();
    };
    VirtualFleet world { { .vmCount = vms, .zoneCount = 3, .seed = 13, .startWithin = 1s } };
    world.runFor(5s);
    auto& platform = world.platform();
    report("agenzia", "restart_storm", "ours", "store_calls_in_first_5_s" + suffix,
        static_cast<double>(platform.calls), "calls");
    auto teams = makeTeams();
    apply(world, 0, 0, makeSchema(teams));
    world.runFor(5s);
    auto before = platform.calls;
    world.runFor(60s);
    report("agenzia", "none", "ours", "store_calls_idle" + suffix, perSecond(platform.calls - before, 60s),
        "calls/s");
    report("agenzia", "none", "ours", "store_watches_open" + suffix,
        static_cast<double>(platform.watchers.size()), "watches");
    before = platform.calls;
    for (std::uint64_t revision = 1; revision <= 6; ++revision) {
        teams[0].burst += 1;
        apply(world, revision % vms, revision, makeSchema(teams));
        world.runFor(10s);
    }
    report("agenzia", "none", "ours", "store_calls_with_a_change_in_10_s" + suffix,
        perSecond(platform.calls - before, 60s), "calls/s");
    world.setStoreDown(true);
    world.runFor(60s);
    world.setStoreDown(false);
    before = platform.calls;
    world.runFor(1s);
    report("agenzia", "store_back_after_outage", "ours", "store_calls_in_first_second" + suffix,
        static_cast<double>(platform.calls - before), "calls");
}

} // namespace

int main()
{
    for (const auto& site : sites) {
        limits(site);
        spread(site);
        withdrawal(site, "none", [](VirtualFleet&) {});
        withdrawal(site, "one_vm_cut_off", [](VirtualFleet& world) { world.isolate({ 2 }, true); });
    }
    for (const std::size_t vms : { 9U, 100U, 400U })
        storeCalls(vms);
}
