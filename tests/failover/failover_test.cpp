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

/// A group that has been serving for a while.
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

TEST_SUITE("choice of a primary")
{
    // One of the replicas is behind when the primary fails. Promoted, it would
    // lose what only the other holds.
    TEST_CASE("the most advanced of a fenced majority is chosen")
    {
        const PrimarySelectionInput input {
            .record = { .primary = a }, .slots = { a, b, c }, .fenced = { { b, at(1, 8) }, { c, at(1, 9) } }
        };
        CHECK(selectPrimary(input) == c);
        CHECK(selectPrimary({ .slots = { a, b, c }, .fenced = { { c, at(1, 9) } } }) == std::nullopt);
        CHECK(selectPrimary({ .slots = { a, b, c }, .fenced = { { b, at(2, 3) }, { c, at(1, 9) } } }) == b);
    }

    // A leaving primary is the only slot of the fenced two that is sure to hold a
    // commit which the third confirmed. Avoiding it would lose that commit.
    TEST_CASE("an avoided slot is left out only when the others are enough")
    {
        PrimarySelectionInput input { .record = { .primary = a },
            .slots = { a, b, c },
            .fenced = { { a, at(1, 9) }, { b, at(1, 7) } },
            .avoided = { a } };
        CHECK(selectPrimary(input) == a);
        input.fenced.emplace(c, at(1, 9));
        CHECK(selectPrimary(input) == c);
    }

    // The replica of two fell behind and left the in-sync set; then the primary
    // dies with commits that it acknowledged alone. Better to wait for the
    // primary than to lose them.
    TEST_CASE("a dropped member is never chosen, nor one that has not caught up "
              "since it joined")
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

    TEST_CASE("a record comes back whole, and garbage is refused")
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
    // The primary's VM dies at three in the morning and nobody is there to order
    // a promotion. Callers wait a moment and go on; nothing acknowledged is gone,
    // and the old primary follows when it is back.
    TEST_CASE("a killed primary is replaced within seconds")
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

    // A proxy's own network breaks, so it sees the primary silent. Its siblings
    // see it well; replacing it would stop every caller for the fault of one VM.
    TEST_CASE("one proxy that cannot reach the primary replaces nothing")
    {
        auto simulation = makeServingGroup(3);
        SUBCASE("it reaches its siblings")
        {
            simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
        }
        SUBCASE("it is cut off from them as well")
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

    // The primary lives on, cut off from its group, and half of the proxies still
    // reach it and send it writes. None of these may be acknowledged once another
    // slot was promoted, and the others go on.
    TEST_CASE("a primary that is cut off with half of the proxies acknowledges "
              "nothing after its time")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto simulation = makeServingGroup(slots);
            simulation.isolate(0);
            for (std::size_t index = 1; index < slots; ++index)
                simulation.cut(GroupSimulation::proxy(1), GroupSimulation::slot(index));
            simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
            simulation.cut(GroupSimulation::proxy(2), GroupSimulation::slot(0));
            SUBCASE("the home beside it reaches the store") { }
            SUBCASE("that home is cut off from the store as well")
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

    // Half of the proxies reach the primary and its replicas follow it, but the
    // others have it replaced. The replicas must leave it before another slot is
    // promoted, or both would confirm commits.
    TEST_CASE("a primary with its replicas behind it is fenced before another is promoted")
    {
        GroupSimulation simulation { { .slots = 3, .writeInterval = 10ms } };
        simulation.runFor(6s);
        simulation.cut(GroupSimulation::proxy(0), GroupSimulation::slot(0));
        simulation.cut(GroupSimulation::proxy(2), GroupSimulation::slot(0));
        for (int step = 0; step < 8000 && simulation.promotions() == 1; ++step)
            simulation.runFor(1ms);
        REQUIRE(simulation.promotions() == 2);
        // The promoter stops before it tells the others whom to follow.
        simulation.pause(0, 3s);
        simulation.runFor(4s);
        checkGroupServes(simulation);
    }

    // A home knows that the primary of two stands alone, then loses the store and
    // does not learn that the replica has joined again. What it acknowledges by
    // its old view must not be lost with the primary.
    TEST_CASE("a home with an old view acknowledges nothing alone after the "
              "replica has joined again")
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

    // Proxies reach every slot, but the primary reaches no replica any more.
    // Writes hang although two slots that could serve them are there.
    TEST_CASE("a primary that no replica follows is replaced")
    {
        auto simulation = makeServingGroup(3);
        simulation.isolate(0);
        simulation.runFor(5s);
        CHECK(simulation.primaryIndex() != 0);
        checkGroupServes(simulation);
    }

    // Of two slots the replica dies or falls far behind. Writes wait a bounded
    // time, then go on without it; when the primary fails as well, the replica
    // must not be promoted.
    TEST_CASE("a lost replica of two holds writes up for a bounded time and is "
              "not promoted then")
    {
        auto simulation = makeServingGroup(2);
        SUBCASE("it dies") { simulation.kill(1); }
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

    // The store is down. A group goes on serving and acknowledging without it; a
    // primary that fails then stays failed, since without a record two proxies
    // could each promote a different slot.
    TEST_CASE("with the store down writes go on, and a failed primary is "
              "replaced when it is back")
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

    // Half of the store's answers are lost after the change took effect, or the
    // change takes effect late. The promoter must recognise its own change
    // instead of fighting itself.
    TEST_CASE("lost answers of the store neither stop nor double a promotion")
    {
        auto simulation = makeServingGroup(3);
        simulation.storeLosesAnswers = true;
        simulation.kill(0);
        simulation.runFor(9s);
        checkGroupServes(simulation);
    }

    // The answer to a claim is lost, though the claim stands in the record. Taken for another's, it would be
    // waited for until it is taken over, while everybody holds their work.
    TEST_CASE("a claim whose answer was lost is recognised and carried on")
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

    // A promoter stops between its decision and its act, long enough for another
    // to finish in a higher term. When it wakes, its orders must change nothing.
    TEST_CASE("a paused promoter's late orders are harmless")
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

    // A promoter dies half-way, with the next term claimed and the slots fenced.
    // Nobody serves until another home takes over.
    TEST_CASE("a promoter that dies half-way is taken over")
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

    // Both homes act at once.
    TEST_CASE("two promoters at once leave one primary")
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

    // The platform says that the primary's VM is leaving. Its work moves before
    // it is gone.
    TEST_CASE("a leaving primary hands over")
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

    // A home that was started while the store was down knows no record and cannot
    // tell who is primary.
    TEST_CASE("the first record is made once, from what the slots say")
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

    // A home dies together with the primary, as when one host carries both.
    TEST_CASE("the second home replaces the primary when the first home dies with it")
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

    // Nothing is wrong. Neither the replicas' lag nor a pause of a home is a
    // reason to change anything.
    TEST_CASE("a healthy group keeps its primary, also when a home stops for a while")
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
