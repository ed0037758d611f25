#include "group_simulation.h"

#include <cyclamendrift/failover/failover_error.h>
#include <cyclamendrift/failover/primary_selection.h>

#include <doctest/doctest.h>

#include <tuple>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const SlotName a { "a" };
const SlotName b { "b" };
const SlotName c { "c" };

Progress at(std::uint64_t term, std::uint64_t position)
{
    return { .term = Term { term }, .position = LogPosition { position } };
}

/// Returns a group that has been serving for 6 s.
GroupSimulation makeServingGroup(std::size_t slots, std::size_t observers = 1)
{
    GroupSimulation simulation { { .slots = slots, .observers = observers } };
    simulation.runFor(6s);
    return simulation;
}

void checkGroupServes(GroupSimulation& simulation)
{
    const auto from = simulation.now();
    simulation.runFor(1s);
    CHECK(simulation.acknowledgedSince(from));
    for (const auto& recordViolation : simulation.violations())
        FAIL_CHECK(recordViolation);
}

void cutFromSlots(GroupSimulation& simulation, std::size_t home, std::size_t slots)
{
    for (std::size_t index = 0; index < slots; ++index)
        simulation.cut(GroupSimulation::proxy(home), GroupSimulation::slot(index));
}

} // namespace

TEST_SUITE("primary selection")
{
    // One of the replicas lags when the primary fails. Promoting it would lose commits that only the other
    // replica holds.
    TEST_CASE("the most advanced slot of a fenced majority is selected")
    {
        const PrimarySelectionInput input {
            .record = { .primary = a }, .slots = { a, b, c }, .fenced = { { b, at(1, 8) }, { c, at(1, 9) } }
        };
        CHECK(selectPrimary(input) == c);
        CHECK(selectPrimary({ .slots = { a, b, c }, .fenced = { { c, at(1, 9) } } }) == std::nullopt);
        CHECK(selectPrimary({ .slots = { a, b, c }, .fenced = { { b, at(2, 3) }, { c, at(1, 9) } } }) == b);
    }

    // A leaving primary is the only one of two fenced slots that is certain to hold a commit which the third
    // slot confirmed. Excluding it would lose that commit.
    TEST_CASE("an avoided slot is excluded only if the other slots suffice")
    {
        PrimarySelectionInput input { .record = { .primary = a },
            .slots = { a, b, c },
            .fenced = { { a, at(1, 9) }, { b, at(1, 7) } },
            .avoided = { a } };
        CHECK(selectPrimary(input) == a);
        input.fenced.emplace(c, at(1, 9));
        CHECK(selectPrimary(input) == c);
    }

    // In a group of two, the replica lagged and was removed from the in-sync set; then the primary fails with
    // commits that it acknowledged alone. Promoting the replica would lose them, so the group waits for the
    // primary.
    TEST_CASE("a replica is never selected if it was removed from the in-sync set "
              "or has not caught up since it joined")
    {
        PrimarySelectionInput input {
            .record = { .servingTerm = Term { 2 }, .primary = a, .inSync = { a } },
            .slots = { a, b },
            .fenced = { { b, at(2, 9) } },
        };
        CHECK(selectPrimary(input) == std::nullopt);
        input.record.inSync = { a, b };
        CHECK(selectPrimary(input) == b);
        input.fenced[b] = at(1, 9);
        CHECK(selectPrimary(input) == std::nullopt);
        input.fenced[a] = at(2, 9);
        CHECK(selectPrimary(input) == a);
    }

    // A record that is misread would name the wrong primary or in-sync set.
    TEST_CASE("a group record survives encoding, and malformed input throws FailoverError")
    {
        const GroupRecord record { .term = Term { 4 },
            .servingTerm = Term { 3 },
            .primary = a,
            .inSync = { a, b },
            .base = at(2, 17),
            .promoter = VmName { "vm" },
            .changeId = "vm/1" };
        CHECK(GroupRecord::decode(record.encode()) == record);
        CHECK_THROWS_AS(std::ignore = GroupRecord::decode("\xff\xff"), FailoverError);
        CHECK_THROWS_AS(std::ignore = GroupRecord::decode(""), FailoverError);
    }
}

TEST_SUITE("failover")
{
    // The VM of the primary fails without an operator to order a promotion. Writes must resume without the
    // loss of an acknowledged commit, and the old primary must follow the new one when it returns.
    TEST_CASE("a failed primary is replaced within 3 s and follows when it returns")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto simulation = makeServingGroup(slots);
            const auto killedAt = simulation.now();
            simulation.kill(0);
            simulation.runFor(3s);
            CHECK(simulation.primaryIndex() != 0);
            CHECK(simulation.acknowledgedSince(killedAt + 500ms));
            simulation.revive(0);
            simulation.runFor(8s);
            simulation.workload = false;
            simulation.runFor(1s);
            CHECK(simulation.slotAt(0).log == simulation.slotAt(simulation.primaryIndex()).log);
            simulation.workload = true;
            checkGroupServes(simulation);
        }
    }

    // The network of one proxy fails, so that it gets no answer from the primary, while its siblings do.
    // Replacing the primary would interrupt every caller because of a fault of one VM.
    TEST_CASE("a primary that only one proxy cannot reach is not replaced")
    {
        auto simulation = makeServingGroup(3);
        SUBCASE("the proxy reaches its siblings")
        {
            simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
        }
        SUBCASE("the proxy cannot reach its siblings either")
        {
            simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
            simulation.cut(GroupSimulation::proxy(0), GroupSimulation::proxy(1));
            simulation.cut(GroupSimulation::proxy(0), GroupSimulation::proxy(2));
        }
        simulation.runFor(8s);
        CHECK(simulation.promotions() == 1);
        CHECK(simulation.viewOf(1).phase == GroupView::Phase::Serving);
        checkGroupServes(simulation);
    }

    // The primary is alive but isolated from its group, and one of two home proxies still sends writes to it.
    // None of these may be acknowledged after another slot was promoted, and the other home proxy must
    // continue to serve.
    TEST_CASE("a primary isolated with one home proxy acknowledges "
              "nothing once another slot was promoted")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto simulation = makeServingGroup(slots);
            simulation.isolate(0);
            for (std::size_t index = 1; index < slots; ++index)
                simulation.cut(GroupSimulation::proxy(1), GroupSimulation::slot(index));
            simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
            simulation.cut(GroupSimulation::proxy(2), GroupSimulation::slot(0));
            SUBCASE("that home proxy reaches the store") { }
            SUBCASE("that home proxy cannot reach the store either")
            {
                simulation.cut(GroupSimulation::proxy(1), GroupSimulation::store());
            }
            simulation.runFor(8s);
            checkGroupServes(simulation);
            simulation.healEverything();
            simulation.runFor(8s);
            checkGroupServes(simulation);
        }
    }

    // One of two home proxies reaches the primary, and the replicas still follow it, while the other home
    // proxy replaces it. Unless the replicas are fenced before another slot is promoted, both primaries could
    // get commits confirmed.
    TEST_CASE("a primary whose replicas follow it is fenced before another slot is promoted")
    {
        GroupSimulation simulation { { .slots = 3, .writeInterval = 10ms } };
        simulation.runFor(6s);
        simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
        simulation.cut(GroupSimulation::proxy(2), GroupSimulation::slot(0));
        for (int step = 0; step < 8000 && simulation.promotions() == 1; ++step)
            simulation.runFor(1ms);
        REQUIRE(simulation.promotions() == 2);
        // The promoter pauses before it makes the other slots follow the new primary.
        simulation.pause(0, 3s);
        simulation.runFor(4s);
        checkGroupServes(simulation);
    }

    // In a group of two, a home proxy knows that the in-sync set is the primary alone, then loses the store
    // and does not learn that the replica has rejoined. A commit that it acknowledged by its outdated view
    // would be lost with the primary.
    TEST_CASE("an outdated view acknowledges no commit on the primary alone after "
              "the replica has rejoined")
    {
        auto simulation = makeServingGroup(2);
        simulation.kill(1);
        simulation.runFor(3s);
        REQUIRE(simulation.viewOf(1).inSync.size() == 1);
        simulation.cut(GroupSimulation::proxy(1), GroupSimulation::store());
        simulation.revive(1);
        simulation.runFor(6s);
        REQUIRE(simulation.record()->inSync.size() == 2);
        simulation.slotAt(1).lag = 30s;
        simulation.runFor(400ms);
        simulation.kill(0);
        simulation.runFor(4s);
        CHECK(simulation.primaryIndex() == 1);
        CHECK(simulation.violations().empty());
    }

    // The proxies reach every slot, but the primary is isolated from its replicas. Writes would wait although
    // two slots could serve them.
    TEST_CASE("a primary that is isolated from its replicas is replaced")
    {
        auto simulation = makeServingGroup(3);
        simulation.isolate(0);
        simulation.runFor(5s);
        CHECK(simulation.primaryIndex() != 0);
        checkGroupServes(simulation);
    }

    // In a group of two, the replica fails or lags far behind. Writes must continue without it after a
    // bounded time. If the primary then fails as well, promoting the replica would lose commits.
    TEST_CASE("a failed replica of two delays writes for a bounded time and is "
              "not promoted afterwards")
    {
        auto simulation = makeServingGroup(2);
        SUBCASE("it fails") { simulation.kill(1); }
        SUBCASE("it lags") { simulation.slotAt(1).lag = 30s; }
        simulation.runFor(2s);
        checkGroupServes(simulation);
        const auto promotions = simulation.promotions();
        simulation.kill(0);
        simulation.revive(1);
        simulation.runFor(5s);
        CHECK(simulation.promotions() == promotions);
        simulation.revive(0);
        simulation.healEverything();
        simulation.runFor(6s);
        checkGroupServes(simulation);
        CHECK(simulation.record()->inSync.size() == 2);
    }

    // While the store is down, a group must continue to acknowledge writes. A primary that fails meanwhile
    // must not be replaced before the store is back, since without the record two proxies could promote
    // different slots.
    TEST_CASE("writes continue while the store is down, and a failed primary is "
              "replaced once it is back")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto simulation = makeServingGroup(slots);
            simulation.storeUp = false;
            simulation.runFor(20s);
            checkGroupServes(simulation);
            simulation.kill(0);
            simulation.runFor(5s);
            CHECK(simulation.promotions() == 1);
            simulation.storeUp = true;
            simulation.runFor(3s);
            CHECK(simulation.promotions() == 2);
            checkGroupServes(simulation);
        }
    }

    // Half of the store's answers are lost after the change took effect, and some changes take effect late. A
    // promoter that does not recognise its own change would compete with itself.
    TEST_CASE("lost store answers neither block nor repeat a promotion")
    {
        auto simulation = makeServingGroup(3);
        simulation.storeLosesAnswers = true;
        simulation.kill(0);
        simulation.runFor(9s);
        checkGroupServes(simulation);
    }

    // The answer to a claim is lost, although the record contains the claim. If the promoter took it for the
    // claim of another VM, all proxies would hold their work until the promotion is taken over.
    TEST_CASE("a claim whose answer was lost is recognised and completed")
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            CAPTURE(seed);
            GroupSimulation simulation { { .homes = 1, .observers = 2, .seed = seed } };
            simulation.runFor(6s);
            simulation.kill(0);
            simulation.storeLosesAnswers = true;
            while (simulation.record()->isSettled())
                simulation.runFor(1ms);
            simulation.storeLosesAnswers = false;
            const auto claimed = simulation.record()->term;
            simulation.runFor(3s);
            CHECK(simulation.record()->servingTerm == claimed);
            checkGroupServes(simulation);
        }
    }

    // A promoter is paused between a decision and the call that carries it out, long enough for another
    // promoter to complete a higher term. Its late calls must not change anything.
    TEST_CASE("late calls of a paused promoter have no effect")
    {
        for (const auto before : { 100ms, 702ms, 720ms, 730ms, 740ms }) {
            CAPTURE(before.count());
            auto simulation = makeServingGroup(3);
            simulation.kill(0);
            simulation.runFor(before);
            simulation.pauseBeforeNextOrder(0, 5s);
            simulation.runFor(4s);
            checkGroupServes(simulation);
            simulation.runFor(3s);
            checkGroupServes(simulation);
        }
    }

    // A promoter fails after it has claimed the next term. The group has no primary until another home proxy
    // takes over.
    TEST_CASE("a promotion is taken over when its promoter fails")
    {
        auto simulation = makeServingGroup(3);
        simulation.kill(0);
        while (simulation.record()->isSettled())
            simulation.runFor(1ms);
        const auto claimed = simulation.record()->term;
        simulation.killProxy(0);
        simulation.runFor(3s);
        CHECK(simulation.record()->isSettled());
        CHECK(simulation.record()->term > claimed);
        checkGroupServes(simulation);
    }

    // Without a rank delay both home proxies start a promotion at the same time.
    TEST_CASE("two concurrent promoters leave one primary")
    {
        GroupSimulation::Options options { .slots = 3 };
        options.settings.rankDelay = 0s;
        GroupSimulation simulation { options };
        simulation.runFor(6s);
        simulation.kill(0);
        simulation.runFor(4s);
        CHECK(simulation.promotions() <= 3);
        checkGroupServes(simulation);
    }

    // The platform announces that the primary's VM is leaving. Waiting for its end would interrupt writes.
    TEST_CASE("a primary on a leaving VM is replaced while it still answers")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto simulation = makeServingGroup(slots);
            simulation.setLeaving({ 0 });
            simulation.runFor(2s);
            CHECK(simulation.primaryIndex() != 0);
            checkGroupServes(simulation);
        }
    }

    // A home proxy that starts while the store is down has no record and does not know which slot is the
    // primary.
    TEST_CASE("the first record is created once the store answers, from the statuses of the slots")
    {
        GroupSimulation simulation { { .slots = 2 } };
        simulation.storeUp = false;
        simulation.runFor(3s);
        CHECK(simulation.viewOf(0).phase == GroupView::Phase::Unknown);
        simulation.storeUp = true;
        simulation.runFor(3s);
        CHECK(simulation.record()->term == Term { 1 });
        checkGroupServes(simulation);
    }

    // A home proxy and the primary fail together, as when one physical machine runs both VMs.
    TEST_CASE("the second home proxy replaces the primary when the first fails with it")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto simulation = makeServingGroup(slots, 2);
            simulation.kill(0);
            simulation.killProxy(0);
            simulation.runFor(5s);
            CHECK(simulation.primaryIndex() != 0);
            checkGroupServes(simulation);
        }
    }

    // The slots are healthy. Neither a paused home proxy nor one that cannot reach the slots is a reason to
    // replace the primary.
    TEST_CASE("a healthy group keeps its primary while a home proxy is paused or cut off")
    {
        auto simulation = makeServingGroup(3);
        simulation.pause(0, 4s);
        simulation.runFor(5s);
        cutFromSlots(simulation, 1, 3);
        simulation.runFor(5s);
        CHECK(simulation.promotions() == 1);
        checkGroupServes(simulation);
    }
}
