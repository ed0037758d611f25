#include "group_simulation.h"

#include <property.h>

#include <algorithm>
#include <ostream>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

enum class FaultKind : std::uint8_t {
    KillSlot,
    IsolateSlot,
    CutHomeFromSlot,
    CutHomeFromStore,
    CutHomes,
    PauseHome,
    PauseHomeBeforeNextOrder,
    KillHome,
    StoreDown,
    StoreLosesAnswers,
    SlowReplica,
    SlotLeaves,
};
constexpr int faultKindCount = 12;

/// A fault with its start and duration; the end of the fault phase ends it early.
struct Fault {
    FaultKind kind {};
    std::size_t target = 0;
    std::size_t other = 0;
    Duration at {};
    Duration duration {};
};

std::ostream& operator<<(std::ostream& out, const Fault& fault)
{
    return out << "kind " << static_cast<int>(fault.kind) << " target " << fault.target << " other "
               << fault.other << " at " << fault.at.count() / 1000000 << " ms for "
               << fault.duration.count() / 1000000 << " ms";
}

rc::Gen<Fault> genFault()
{
    return rc::gen::build<Fault>(rc::gen::set(&Fault::kind,
                                     rc::gen::map(rc::gen::inRange(0, faultKindCount),
                                         [](int kind) { return static_cast<FaultKind>(kind); })),
        rc::gen::set(&Fault::target, rc::gen::inRange<std::size_t>(0, 6)),
        rc::gen::set(&Fault::other, rc::gen::inRange<std::size_t>(0, 6)),
        rc::gen::set(&Fault::at,
            rc::gen::map(rc::gen::inRange(1000, 9000), [](int ms) { return Duration { ms * 1ms }; })),
        rc::gen::set(&Fault::duration,
            rc::gen::map(rc::gen::inRange(20, 6000), [](int ms) { return Duration { ms * 1ms }; })));
}

void begin(GroupSimulation& simulation, const Fault& fault, std::size_t slots)
{
    const auto slot = fault.target % slots;
    const auto home = fault.target % 2;
    switch (fault.kind) {
    case FaultKind::KillSlot:
        return simulation.kill(slot);
    case FaultKind::IsolateSlot:
        return simulation.isolate(slot);
    case FaultKind::CutHomeFromSlot:
        return simulation.cut(GroupSimulation::proxy(home), GroupSimulation::slot(fault.other % slots));
    case FaultKind::CutHomeFromStore:
        return simulation.cut(GroupSimulation::proxy(home), GroupSimulation::store());
    case FaultKind::CutHomes:
        return simulation.cut(GroupSimulation::proxy(0), GroupSimulation::proxy(1));
    case FaultKind::PauseHome:
        return simulation.pause(home, fault.duration);
    case FaultKind::PauseHomeBeforeNextOrder:
        return simulation.pauseBeforeNextOrder(home, fault.duration);
    case FaultKind::KillHome:
        return simulation.killProxy(home);
    case FaultKind::StoreDown:
        simulation.storeUp = false;
        return;
    case FaultKind::StoreLosesAnswers:
        simulation.storeLosesAnswers = true;
        return;
    case FaultKind::SlowReplica:
        simulation.slotAt(slot).lag = fault.duration;
        return;
    case FaultKind::SlotLeaves:
        return simulation.setLeaving({ slot });
    }
}

void end(GroupSimulation& simulation, const Fault& fault, std::size_t slots)
{
    const auto slot = fault.target % slots;
    const auto home = fault.target % 2;
    switch (fault.kind) {
    case FaultKind::KillSlot:
        return simulation.revive(slot);
    case FaultKind::IsolateSlot:
        for (std::size_t other = 0; other < slots; ++other)
            simulation.heal(GroupSimulation::slot(slot), GroupSimulation::slot(other));
        return;
    case FaultKind::CutHomeFromSlot:
        return simulation.heal(GroupSimulation::proxy(home), GroupSimulation::slot(fault.other % slots));
    case FaultKind::CutHomeFromStore:
        return simulation.heal(GroupSimulation::proxy(home), GroupSimulation::store());
    case FaultKind::CutHomes:
        return simulation.heal(GroupSimulation::proxy(0), GroupSimulation::proxy(1));
    case FaultKind::KillHome:
        return simulation.restartProxy(home);
    case FaultKind::StoreDown:
        simulation.storeUp = true;
        return;
    case FaultKind::StoreLosesAnswers:
        simulation.storeLosesAnswers = false;
        return;
    case FaultKind::SlowReplica:
        simulation.slotAt(slot).lag = 2ms;
        return;
    case FaultKind::SlotLeaves:
        return simulation.setLeaving({});
    case FaultKind::PauseHome:
    case FaultKind::PauseHomeBeforeNextOrder:
        return;
    }
}

struct FaultStep {
    Duration at {};
    bool begins = false;
    const Fault* fault = nullptr;
};

std::vector<FaultStep> faultSteps(const std::vector<Fault>& faults)
{
    std::vector<FaultStep> steps;
    for (const auto& fault : faults) {
        steps.push_back({ .at = fault.at, .begins = true, .fault = &fault });
        steps.push_back({ .at = fault.at + fault.duration, .begins = false, .fault = &fault });
    }
    std::stable_sort(steps.begin(), steps.end(),
        [](const FaultStep& one, const FaultStep& other) { return one.at < other.at; });
    return steps;
}

constexpr Duration faultPhase = 10s;
/// Service must resume within 11 s of the last fault: 10 s to recover and 1 s to acknowledge a new write.
constexpr Duration recoveryTime = 10s;

void checkRandomFaults(std::size_t slots)
{
    const auto faults = *rc::gen::container<std::vector<Fault>>(genFault()).as("faults");
    const auto seed = *rc::gen::arbitrary<std::uint64_t>().as("seed");
    const auto lag = *rc::gen::inRange(1, 40).as("replica lag in ms");
    GroupSimulation simulation {
        { .slots = slots, .seed = seed, .replicaLag = lag * 1ms, .duplicatePercentage = 10 }
    };
    const auto start = simulation.now();
    for (const auto& step : faultSteps(faults)) {
        if (step.at >= faultPhase)
            break;
        simulation.runFor(start + step.at - simulation.now());
        if (step.begins)
            begin(simulation, *step.fault, slots);
        else
            end(simulation, *step.fault, slots);
    }
    simulation.runFor(start + faultPhase - simulation.now());
    simulation.healEverything();
    simulation.runFor(recoveryTime);
    const auto healed = simulation.now();
    simulation.runFor(1s);
    for (const auto& recordViolation : simulation.violations())
        RC_FAIL(recordViolation);
    RC_ASSERT(simulation.acknowledgedSince(healed));
}

} // namespace

TEST_SUITE("failover under random faults")
{
    // Slots fail or are isolated, the store is down or loses answers, and home proxies are paused, cut off or
    // killed, in any order and combination. Callers may have to wait, but no acknowledged write is lost,
    // sessions read their writes and never go back, staleness bounds hold, and service resumes after the
    // faults end.
    TEST_CASE("a group of three keeps its guarantees under any interleaving of faults")
    {
        checkProperty("three slots", [] { checkRandomFaults(3); });
    }

    // The same with one replica, where the in-sync set has to shrink and grow again between the faults.
    TEST_CASE("a group of two keeps its guarantees under any interleaving of faults")
    {
        checkProperty("two slots", [] { checkRandomFaults(2); });
    }
}
