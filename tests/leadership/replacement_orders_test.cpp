#include "leadership_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <span>
#include <string>
#include <utility>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// What happens while a primary is being replaced, once a replica was chosen.
enum class Step : std::uint8_t {
    CoordinatorFails,
    /// The VM that takes over from the coordinator.
    SuccessorFails,
    ChoiceFails,
    ChoiceReturns,
    /// The reason for the replacement is gone.
    OldPrimaryReturns,
};

/// Why the primary is replaced.
enum class Cause : std::uint8_t {
    /// It keeps running and considers itself the primary.
    CutOff,
    Crash,
    /// The change is planned.
    Evacuation,
};

struct Scenario {
    Cause cause = Cause::CutOff;
    /// The coordinator keeps running, without the store, in place of being suspended.
    bool coordinatorLosesStore = false;
    /// The other replica is away from the choice until the end.
    bool otherReplicaAway = false;
    std::vector<Step> order;
    /// Time before each step.
    std::vector<Duration> pauses;
};

/// Plays one scenario on three VMs and three upstreams.
class Replacement {
public:
    explicit Replacement(const Scenario& scenario)
        : scenario(scenario)
    {
    }

    /// Returns false if no replica was chosen.
    bool play()
    {
        this->simulation.advance(2s);
        this->begin();
        if (!this->simulation.advanceUntil(
                8s, [this] { return this->simulation.logged("primary_chosen") > 0; }))
            return false;
        this->choice = this->simulation.chosen().string();
        for (std::size_t index = 0; index < this->scenario.order.size(); ++index) {
            this->simulation.advance(this->scenario.pauses.at(index));
            this->perform(this->scenario.order.at(index));
        }
        this->simulation.advance(10s);
        this->simulation.recover(this->other());
        this->simulation.advance(15s);
        return true;
    }

    LeadershipSimulation simulation { { .siblingsShareViews = true } };

private:
    void begin()
    {
        if (this->scenario.cause == Cause::Evacuation)
            this->simulation.setEvacuatedZones({ ZoneName { "primary" } }, 20ms);
        else if (this->scenario.cause == Cause::Crash)
            this->simulation.member("primary").running = false;
        else
            this->simulation.member("primary").cutOff = true;
    }

    void perform(Step step)
    {
        if (step == Step::CoordinatorFails || step == Step::SuccessorFails) {
            auto& vm = this->simulation.vm(step == Step::CoordinatorFails ? 0 : 1);
            (this->scenario.coordinatorLosesStore ? vm.storeUnreachableUntil : vm.frozenUntil)
                = this->simulation.now + 20s;
        } else if (step == Step::ChoiceFails) {
            this->simulation.member(this->choice).running = false;
            if (this->scenario.otherReplicaAway)
                this->simulation.member(this->other()).running = false;
        } else if (step == Step::ChoiceReturns) {
            this->simulation.recover(this->choice);
        } else if (this->scenario.cause == Cause::Evacuation) {
            this->simulation.setEvacuatedZones({}, 20ms);
        } else if (this->scenario.cause == Cause::Crash) {
            this->simulation.recover("primary");
        } else {
            this->simulation.member("primary").cutOff = false;
        }
    }

    [[nodiscard]] std::string other() const
    {
        return this->choice == "replica-1" ? "replica-2" : "replica-1";
    }

    Scenario scenario;
    std::string choice;
};

std::string textOf(const Scenario& scenario)
{
    std::string text = "cause " + std::to_string(static_cast<int>(scenario.cause))
        + (scenario.coordinatorLosesStore ? ", store lost" : "")
        + (scenario.otherReplicaAway ? ", other replica away" : "");
    for (std::size_t index = 0; index < scenario.order.size(); ++index)
        text += ", "
            + std::to_string(
                std::chrono::duration_cast<std::chrono::milliseconds>(scenario.pauses.at(index)).count())
            + " ms, step " + std::to_string(static_cast<int>(scenario.order.at(index)));
    return text;
}

/// All orders of these steps in which one that depends on another comes after it.
std::vector<std::vector<Step>> allOrders(std::vector<Step> steps)
{
    std::sort(steps.begin(), steps.end());
    std::vector<std::vector<Step>> orders;
    do {
        const auto isBefore = [&steps](Step first, Step second) {
            return std::find(std::find(steps.begin(), steps.end(), first), steps.end(), second)
                != steps.end();
        };
        const bool hasSuccessor = std::count(steps.begin(), steps.end(), Step::SuccessorFails) > 0;
        if (isBefore(Step::ChoiceFails, Step::ChoiceReturns)
            && (!hasSuccessor || isBefore(Step::CoordinatorFails, Step::SuccessorFails)))
            orders.push_back(steps);
    } while (std::next_permutation(steps.begin(), steps.end()));
    return orders;
}

/// Every choice of one of `pauses` for each of `count` steps.
std::vector<std::vector<Duration>> allPauses(std::span<const Duration> pauses, std::size_t count)
{
    std::vector<std::vector<Duration>> combinations { {} };
    for (std::size_t step = 0; step < count; ++step) {
        std::vector<std::vector<Duration>> longer;
        for (const auto& combination : combinations) {
            for (const auto pause : pauses) {
                longer.push_back(combination);
                longer.back().push_back(pause);
            }
        }
        combinations = std::move(longer);
    }
    return combinations;
}

/// Calls `play` with every scenario of that cause, these steps and these pauses.
template <class Play>
void forEachScenario(Cause cause, const std::vector<Step>& steps, std::span<const Duration> pauses, Play play)
{
    for (const auto& order : allOrders(steps)) {
        for (const auto& before : allPauses(pauses, steps.size())) {
            for (const bool storeLost : { false, true }) {
                for (const bool otherAway : { false, true })
                    play(Scenario { .cause = cause,
                        .coordinatorLosesStore = storeLost,
                        .otherReplicaAway = otherAway,
                        .order = order,
                        .pauses = before });
            }
        }
    }
}

/// Plays every scenario of that cause; returns the first ones that violate the invariants or leave the group
/// without a leader that all follow.
std::vector<std::string> findFailures(Cause cause)
{
    std::vector<std::string> failures;
    std::size_t played = 0;
    const auto play = [&](const Scenario& scenario) {
        Replacement replacement { scenario };
        if (!replacement.play())
            failures.push_back("no replica was chosen: " + textOf(scenario));
        else if (!replacement.simulation.violations.empty())
            failures.push_back(replacement.simulation.violations.front() + ": " + textOf(scenario));
        else if (!replacement.simulation.allFollowLeader())
            failures.push_back("no leader that all follow: " + textOf(scenario));
        ++played;
    };
    // Before a promotion takes effect, after it, and after a new coordinator considers it settled.
    constexpr std::array<Duration, 3> pauses { 100ms, 900ms, 6500ms };
    const std::vector steps { Step::CoordinatorFails, Step::ChoiceFails, Step::ChoiceReturns,
        Step::OldPrimaryReturns };
    forEachScenario(cause, steps, pauses, play);
    auto withSuccessor = steps;
    withSuccessor.push_back(Step::SuccessorFails);
    constexpr std::array<Duration, 2> fewPauses { 500ms, 6500ms };
    forEachScenario(cause, withSuccessor, fewPauses, play);
    MESSAGE(played << " scenarios, " << failures.size() << " failures");
    for (const auto& failure : failures)
        MESSAGE(failure);
    return failures;
}

} // namespace

TEST_SUITE("all orders of failures during a replacement")
{
    TEST_CASE("a primary that was cut off does not lead again beside a promoted replica")
    {
        // Guards against two primaries when the coordinator and its choice fail in any order.
        CHECK(findFailures(Cause::CutOff) == std::vector<std::string> {});
    }

    TEST_CASE("a primary that crashed does not lead again beside a promoted replica")
    {
        // Guards against the same with a primary that knows of the promotion when it is back.
        CHECK(findFailures(Cause::Crash) == std::vector<std::string> {});
    }

    TEST_CASE("a primary that was replaced as planned does not lead again beside a promoted replica")
    {
        // Guards against the same when the reason for a planned change is gone before the change is complete.
        CHECK(findFailures(Cause::Evacuation) == std::vector<std::string> {});
    }
}
