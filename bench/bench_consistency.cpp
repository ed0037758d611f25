// Failover gap by its parts, reads on replicas and the cost of confirmations, at both sites' sizes, in
// virtual time.
#include "../tests/failover/group_simulation.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <string_view>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr int seeds = 100;
constexpr int readSeeds = 5;

struct Site {
    std::string_view name;
    std::size_t slots = 0;
};
constexpr Site sites[] = { { "agenzia", 3 }, { "hamutenya", 2 } };

double milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

/// Values of one measure over all seeds.
class Series {
public:
    void add(double value) { this->values.push_back(value); }

    [[nodiscard]] double at(double share) const
    {
        auto sorted = this->values;
        std::sort(sorted.begin(), sorted.end());
        const auto last = static_cast<double>(sorted.size() - 1);
        return sorted.empty() ? 0 : sorted[static_cast<std::size_t>(last * share)];
    }

    void print(const std::string& row, const std::string& measure) const
    {
        std::cout << row << measure << "_median," << this->at(0.5) << ",ms\n";
        std::cout << row << measure << "_p99," << this->at(0.99) << ",ms\n";
        std::cout << row << measure << "_worst," << this->at(1.0) << ",ms\n";
    }

private:
    std::vector<double> values;
};

struct Fault {
    std::string_view name;
    std::function<void(GroupSimulation&)> begin;
    /// Length of the store's outage, which no failover can outrun.
    Duration storeOutage {};
};

GroupSimulation makeSimulation(const Site& site, int seed, Duration lag = 2ms)
{
    return GroupSimulation { { .slots = site.slots,
        .seed = static_cast<std::uint64_t>(seed),
        .replicaLag = lag,
        .writeInterval = 20ms,
        .callerTimeout = 8s } };
}

/// Runs on until a write that was sent after an instant is acknowledged, and returns when that was.
Instant firstAcknowledgedAfter(GroupSimulation& simulation, Instant instant)
{
    const auto known = simulation.acknowledged().size();
    for (int step = 0; step < 30000; ++step) {
        simulation.runFor(1ms);
        for (auto index = known; index < simulation.acknowledged().size(); ++index) {
            const auto& acknowledged = simulation.acknowledged()[index];
            if (acknowledged.sentAt >= instant)
                return acknowledged.at;
        }
    }
    return simulation.now();
}

void measureFailover(const Site& site, const Fault& fault)
{
    Series detection;
    Series fencing;
    Series promotion;
    Series release;
    Series gap;
    std::size_t violations = 0;
    bool promoted = true;
    for (int seed = 1; seed <= seeds; ++seed) {
        auto simulation = makeSimulation(site, seed);
        simulation.runFor(5s + std::chrono::milliseconds { seed * 7 % 200 });
        const auto begunAt = simulation.now();
        fault.begin(simulation);
        if (fault.storeOutage > Duration::zero()) {
            simulation.runFor(fault.storeOutage);
            simulation.storeUp = true;
        }
        const auto from = begunAt + fault.storeOutage;
        const auto end = firstAcknowledgedAfter(simulation, begunAt);
        const auto& times = simulation.timeline();
        const auto claimed = times.claimed.value_or(end);
        const auto selected = times.selected.value_or(end);
        // A commit from before the failover may be confirmed before the view that lets new ones through.
        const auto serving = times.serving > times.selected ? times.serving.value_or(end) : end;
        detection.add(milliseconds(claimed - from));
        fencing.add(milliseconds(selected - claimed));
        promotion.add(milliseconds(serving - selected));
        release.add(milliseconds(end - serving));
        gap.add(milliseconds(end - from));
        violations += simulation.violations().size();
        promoted = promoted && simulation.promotions() > 1;
    }
    const auto row = std::string { site.name } + ',' + std::string { fault.name } + ",ours,";
    // Of two slots, a home that reaches the primary drops the replica instead of replacing the primary.
    if (promoted) {
        detection.print(row, "failover_detection");
        fencing.print(row, "failover_fencing");
        promotion.print(row, "failover_promotion");
        release.print(row, "failover_release");
    }
    gap.print(row, "failover_gap");
    std::cout << row << "consistency_breaches," << violations << ",count\n";
}

void cutPrimaryOff(GroupSimulation& simulation)
{
    for (std::size_t proxy = 0; proxy < 3; ++proxy)
        simulation.cut(GroupSimulation::proxy(proxy), GroupSimulation::slot(0));
    simulation.isolate(0);
}

/// One home and its callers still reach it; the group and the others do not.
void cutPrimaryOffWithHalf(GroupSimulation& simulation)
{
    simulation.isolate(0);
    simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
    simulation.cut(GroupSimulation::proxy(2), GroupSimulation::slot(0));
}

void killPromoterHalfWay(GroupSimulation& simulation)
{
    simulation.kill(0);
    while (simulation.record().value_or(GroupRecord {}).isSettled())
        simulation.runFor(1ms);
    simulation.killProxy(0);
}

void measureFailovers(const Site& site)
{
    const std::vector<Fault> faults {
        { .name = "primary_killed", .begin = [](GroupSimulation& simulation) { simulation.kill(0); } },
        { .name = "primary_cut_off", .begin = cutPrimaryOff },
        { .name = "primary_half_cut_off", .begin = cutPrimaryOffWithHalf },
        { .name = "promoter_killed", .begin = killPromoterHalfWay },
        { .name = "store_down_3s",
            .begin =
                [](GroupSimulation& simulation) {
                    simulation.kill(0);
                    simulation.storeUp = false;
                },
            .storeOutage = 3s },
    };
    for (const auto& fault : faults)
        measureFailover(site, fault);
}

struct ReadPolicy {
    std::string name;
    Duration maxCatchUpWait {};
    bool primaryOnly = false;
};

void measureReads(const Site& site, std::string_view fault, Duration lag, const ReadPolicy& policy)
{
    Series durations;
    double replica = 0;
    double all = 0;
    std::size_t violations = 0;
    for (int seed = 1; seed <= readSeeds; ++seed) {
        GroupSimulation simulation { { .slots = site.slots,
            .seed = static_cast<std::uint64_t>(seed),
            .replicaLag = lag,
            .writeInterval = 20ms,
            .readInterval = 5ms,
            .maxCatchUpWait = policy.maxCatchUpWait,
            .readsFromPrimaryOnly = policy.primaryOnly } };
        simulation.runFor(10s);
        replica += static_cast<double>(simulation.reads().replica);
        all += static_cast<double>(simulation.reads().replica + simulation.reads().primary);
        for (const auto each : simulation.reads().durations)
            durations.add(milliseconds(each));
        violations += simulation.violations().size();
    }
    const auto row = std::string { site.name } + ',' + std::string { fault } + ',' + policy.name + ',';
    std::cout << row << "replica_read_share," << replica / all << ",ratio\n";
    durations.print(row, "read_latency");
    std::cout << row << "consistency_breaches," << violations << ",count\n";
}

void measureAllReads(const Site& site)
{
    for (const auto lag : { 2ms, 20ms, 200ms }) {
        const auto fault = "replica_lag_" + std::to_string(lag.count()) + "ms";
        measureReads(site, fault, lag, { .name = "primary_only", .primaryOnly = true });
        for (const auto maxCatchUpWait : { 0ms, 5ms, 20ms, 50ms })
            measureReads(site, fault, lag,
                { .name = "wait_" + std::to_string(maxCatchUpWait.count()) + "ms",
                    .maxCatchUpWait = maxCatchUpWait });
    }
}

/// A write takes one round trip to the primary; the rest is the wait for its confirmation.
void measureWrites(const Site& site, Duration lag)
{
    Series durations;
    for (int seed = 1; seed <= readSeeds; ++seed) {
        auto simulation = makeSimulation(site, seed, lag);
        simulation.runFor(10s);
        for (const auto& each : simulation.acknowledged())
            durations.add(milliseconds(each.at - each.sentAt));
    }
    const auto row = std::string { site.name } + ",replica_lag_"
        + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(lag).count()) + "ms,ours,";
    durations.print(row, "write_latency");
}

} // namespace

int main()
{
    for (const auto& site : sites) {
        measureFailovers(site);
        measureAllReads(site);
        for (const auto lag : { 2ms, 20ms })
            measureWrites(site, lag);
    }
    return 0;
}
