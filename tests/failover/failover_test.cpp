#include "group_world.h"

#include <cyclamendrift/failover/failover_error.h>
#include <cyclamendrift/failover/primary_choice.h>

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
GroupWorld servingWorld(std::size_t slots, std::size_t observers = 1)
{
    GroupWorld world { { .slots = slots, .observers = observers } };
    world.runFor(6s);
    return world;
}

void checkServes(GroupWorld& world)
{
    const auto from = world.now();
    world.runFor(1s);
    CHECK(world.acknowledgedSince(from));
    for (const auto& breach : world.breaches())
        FAIL_CHECK(breach);
}

void cutFromSlots(GroupWorld& world, std::size_t home, std::size_t slots)
{
    for (std::size_t index = 0; index < slots; ++index)
        world.cut(GroupWorld::proxy(home), GroupWorld::slot(index));
}

} // namespace

TEST_SUITE("choice of a primary")
{
    // One of the replicas is behind when the primary fails. Promoted, it would
    // lose what only the other holds.
    TEST_CASE("the most advanced of a fenced majority is chosen")
    {
        const PrimaryChoice choice {
            .record = { .primary = a }, .slots = { a, b, c }, .fenced = { { b, at(1, 8) }, { c, at(1, 9) } }
        };
        CHECK(choosePrimary(choice) == c);
        CHECK(choosePrimary({ .slots = { a, b, c }, .fenced = { { c, at(1, 9) } } }) == std::nullopt);
        CHECK(choosePrimary({ .slots = { a, b, c }, .fenced = { { b, at(2, 3) }, { c, at(1, 9) } } }) == b);
    }

    // A leaving primary is the only slot of the fenced two that is sure to hold a
    // commit which the third confirmed. Avoiding it would lose that commit.
    TEST_CASE("an avoided slot is left out only when the others are enough")
    {
        PrimaryChoice choice { .record = { .primary = a },
            .slots = { a, b, c },
            .fenced = { { a, at(1, 9) }, { b, at(1, 7) } },
            .avoided = { a } };
        CHECK(choosePrimary(choice) == a);
        choice.fenced.emplace(c, at(1, 9));
        CHECK(choosePrimary(choice) == c);
    }

    // The replica of two fell behind and left the in-sync set; then the primary
    // dies with commits that it acknowledged alone. Better to wait for the
    // primary than to lose them.
    TEST_CASE("a dropped member is never chosen, nor one that has not caught up "
              "since it joined")
    {
        PrimaryChoice choice {
            .record = { .servingTerm = Term { 2 }, .primary = a, .inSync = { a } },
            .slots = { a, b },
            .fenced = { { b, at(2, 9) } },
        };
        CHECK(choosePrimary(choice) == std::nullopt);
        choice.record.inSync = { a, b };
        CHECK(choosePrimary(choice) == b);
        choice.fenced[b] = at(1, 9);
        CHECK(choosePrimary(choice) == std::nullopt);
        choice.fenced[a] = at(2, 9);
        CHECK(choosePrimary(choice) == a);
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
            auto world = servingWorld(slots);
            const auto killedAt = world.now();
            world.kill(0);
            world.runFor(3s);
            CHECK(world.primaryIndex() != 0);
            CHECK(world.acknowledgedSince(killedAt + 500ms));
            world.revive(0);
            world.runFor(8s);
            world.workload = false;
            world.runFor(1s);
            CHECK(world.slotAt(0).log == world.slotAt(world.primaryIndex()).log);
            world.workload = true;
            checkServes(world);
        }
    }

    // A proxy's own network breaks, so it sees the primary silent. Its siblings
    // see it well; replacing it would stop every caller for the fault of one VM.
    TEST_CASE("one proxy that cannot reach the primary replaces nothing")
    {
        auto world = servingWorld(3);
        SUBCASE("it reaches its siblings") { world.cut(GroupWorld::proxy(0), GroupWorld::slot(0)); }
        SUBCASE("it is cut off from them as well")
        {
            world.cut(GroupWorld::proxy(0), GroupWorld::slot(0));
            world.cut(GroupWorld::proxy(0), GroupWorld::proxy(1));
            world.cut(GroupWorld::proxy(0), GroupWorld::proxy(2));
        }
        world.runFor(8s);
        CHECK(world.promotions() == 1);
        CHECK(world.viewOf(1).phase == GroupView::Phase::Serving);
        checkServes(world);
    }

    // The primary lives on, cut off from its group, and half of the proxies still
    // reach it and send it writes. None of these may be acknowledged once another
    // slot was promoted, and the others go on.
    TEST_CASE("a primary that is cut off with half of the proxies acknowledges "
              "nothing after its time")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto world = servingWorld(slots);
            world.isolate(0);
            for (std::size_t index = 1; index < slots; ++index)
                world.cut(GroupWorld::proxy(1), GroupWorld::slot(index));
            world.cut(GroupWorld::proxy(0), GroupWorld::slot(0));
            world.cut(GroupWorld::proxy(2), GroupWorld::slot(0));
            SUBCASE("the home beside it reaches the store") { }
            SUBCASE("that home is cut off from the store as well")
            {
                world.cut(GroupWorld::proxy(1), GroupWorld::store());
            }
            world.runFor(8s);
            checkServes(world);
            world.healEverything();
            world.runFor(8s);
            checkServes(world);
        }
    }

    // Half of the proxies reach the primary and its replicas follow it, but the
    // others have it replaced. The replicas must leave it before another slot is
    // promoted, or both would confirm commits.
    TEST_CASE("a primary with its replicas behind it is fenced before another is promoted")
    {
        GroupWorld world { { .slots = 3, .writeInterval = 10ms } };
        world.runFor(6s);
        world.cut(GroupWorld::proxy(0), GroupWorld::slot(0));
        world.cut(GroupWorld::proxy(2), GroupWorld::slot(0));
        for (int step = 0; step < 8000 && world.promotions() == 1; ++step)
            world.runFor(1ms);
        REQUIRE(world.promotions() == 2);
        // The promoter stops before it tells the others whom to follow.
        world.pause(0, 3s);
        world.runFor(4s);
        checkServes(world);
    }

    // A home knows that the primary of two stands alone, then loses the store and
    // does not learn that the replica has joined again. What it acknowledges by
    // its old view must not be lost with the primary.
    TEST_CASE("a home with an old view acknowledges nothing alone after the "
              "replica has joined again")
    {
        auto world = servingWorld(2);
        world.kill(1);
        world.runFor(3s);
        REQUIRE(world.viewOf(1).inSync.size() == 1);
        world.cut(GroupWorld::proxy(1), GroupWorld::store());
        world.revive(1);
        world.runFor(6s);
        REQUIRE(world.record()->inSync.size() == 2);
        world.slotAt(1).lag = 30s;
        world.runFor(400ms);
        world.kill(0);
        world.runFor(4s);
        CHECK(world.primaryIndex() == 1);
        CHECK(world.breaches().empty());
    }

    // Proxies reach every slot, but the primary reaches no replica any more.
    // Writes hang although two slots that could serve them are there.
    TEST_CASE("a primary that no replica follows is replaced")
    {
        auto world = servingWorld(3);
        world.isolate(0);
        world.runFor(5s);
        CHECK(world.primaryIndex() != 0);
        checkServes(world);
    }

    // Of two slots the replica dies or falls far behind. Writes wait a bounded
    // time, then go on without it; when the primary fails as well, the replica
    // must not be promoted.
    TEST_CASE("a lost replica of two holds writes up for a bounded time and is "
              "not promoted then")
    {
        auto world = servingWorld(2);
        SUBCASE("it dies") { world.kill(1); }
        SUBCASE("it lags") { world.slotAt(1).lag = 30s; }
        world.runFor(2s);
        checkServes(world);
        const auto promotions = world.promotions();
        world.kill(0);
        world.revive(1);
        world.runFor(5s);
        CHECK(world.promotions() == promotions);
        world.revive(0);
        world.healEverything();
        world.runFor(6s);
        checkServes(world);
        CHECK(world.record()->inSync.size() == 2);
    }

    // The store is down. A group goes on serving and acknowledging without it; a
    // primary that fails then stays failed, since without a record two proxies
    // could each promote a different slot.
    TEST_CASE("with the store down writes go on, and a failed primary is "
              "replaced when it is back")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto world = servingWorld(slots);
            world.storeUp = false;
            world.runFor(20s);
            checkServes(world);
            world.kill(0);
            world.runFor(5s);
            CHECK(world.promotions() == 1);
            world.storeUp = true;
            world.runFor(3s);
            CHECK(world.promotions() == 2);
            checkServes(world);
        }
    }

    // Half of the store's answers are lost after the change took effect, or the
    // change takes effect late. The promoter must recognise its own change
    // instead of fighting itself.
    TEST_CASE("lost answers of the store neither stop nor double a promotion")
    {
        auto world = servingWorld(3);
        world.storeLosesAnswers = true;
        world.kill(0);
        world.runFor(9s);
        checkServes(world);
    }

    // The answer to a claim is lost, though the claim stands in the record. Taken for another's, it would be
    // waited for until it is taken over, while everybody holds their work.
    TEST_CASE("a claim whose answer was lost is recognised and carried on")
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            CAPTURE(seed);
            GroupWorld world { { .homes = 1, .observers = 2, .seed = seed } };
            world.runFor(6s);
            world.kill(0);
            world.storeLosesAnswers = true;
            while (world.record()->isSettled())
                world.runFor(1ms);
            world.storeLosesAnswers = false;
            const auto claimed = world.record()->term;
            world.runFor(3s);
            CHECK(world.record()->servingTerm == claimed);
            checkServes(world);
        }
    }

    // A promoter stops between its decision and its act, long enough for another
    // to finish in a higher term. When it wakes, its orders must change nothing.
    TEST_CASE("a paused promoter's late orders are harmless")
    {
        for (const auto before : { 100ms, 702ms, 720ms, 730ms, 740ms }) {
            CAPTURE(before.count());
            auto world = servingWorld(3);
            world.kill(0);
            world.runFor(before);
            world.pauseBeforeNextOrder(0, 5s);
            world.runFor(4s);
            checkServes(world);
            world.runFor(3s);
            checkServes(world);
        }
    }

    // A promoter dies half-way, with the next term claimed and the slots fenced.
    // Nobody serves until another home takes over.
    TEST_CASE("a promoter that dies half-way is taken over")
    {
        auto world = servingWorld(3);
        world.kill(0);
        while (world.record()->isSettled())
            world.runFor(1ms);
        const auto claimed = world.record()->term;
        world.killProxy(0);
        world.runFor(3s);
        CHECK(world.record()->isSettled());
        CHECK(world.record()->term > claimed);
        checkServes(world);
    }

    // Both homes act at once.
    TEST_CASE("two promoters at once leave one primary")
    {
        GroupWorld::Options options { .slots = 3 };
        options.settings.rankDelay = 0s;
        GroupWorld world { options };
        world.runFor(6s);
        world.kill(0);
        world.runFor(4s);
        CHECK(world.promotions() <= 3);
        checkServes(world);
    }

    // The platform says that the primary's VM is leaving. Its work moves before
    // it is gone.
    TEST_CASE("a leaving primary hands over")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto world = servingWorld(slots);
            world.setLeaving({ 0 });
            world.runFor(2s);
            CHECK(world.primaryIndex() != 0);
            checkServes(world);
        }
    }

    // A home that was started while the store was down knows no record and cannot
    // tell who is primary.
    TEST_CASE("the first record is made once, from what the slots say")
    {
        GroupWorld world { { .slots = 2 } };
        world.storeUp = false;
        world.runFor(3s);
        CHECK(world.viewOf(0).phase == GroupView::Phase::Unknown);
        world.storeUp = true;
        world.runFor(3s);
        CHECK(world.record()->term == Term { 1 });
        checkServes(world);
    }

    // A home dies together with the primary, as when one host carries both.
    TEST_CASE("the second home replaces the primary when the first home dies with it")
    {
        for (const std::size_t slots : { 2U, 3U }) {
            CAPTURE(slots);
            auto world = servingWorld(slots, 2);
            world.kill(0);
            world.killProxy(0);
            world.runFor(5s);
            CHECK(world.primaryIndex() != 0);
            checkServes(world);
        }
    }

    // Nothing is wrong. Neither the replicas' lag nor a pause of a home is a
    // reason to change anything.
    TEST_CASE("a healthy group keeps its primary, also when a home stops for a while")
    {
        auto world = servingWorld(3);
        world.pause(0, 4s);
        world.runFor(5s);
        cutFromSlots(world, 1, 3);
        world.runFor(5s);
        CHECK(world.promotions() == 1);
        checkServes(world);
    }
}
