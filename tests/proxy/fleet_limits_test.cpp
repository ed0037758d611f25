#include "fleet_faults.h"

#include <property.h>

#include <random>

using namespace cyclamendrift;
using namespace cyclamendrift::tests;

namespace {

/// Counts admissions in true time and knows nothing of buckets, shards or grants.
class WindowModel {
public:
    WindowModel(double rate, double burst)
        : rate(rate)
        , burst(burst)
    {
    }

    void admit(Instant at)
    {
        // In the window from the i-th to the j-th admission at most rate * (tj - ti) + burst may fall, for
        // every i; only the least of i - rate * ti matters.
        const auto seconds = std::chrono::duration<double> { at.time_since_epoch() }.count();
        ++this->count;
        const auto before = static_cast<double>(this->count - 1) - this->rate * seconds;
        this->least = std::min(this->least, before);
        this->excess = std::max(this->excess, before + 1 - this->least - this->burst);
    }

    /// By how many requests the worst window was over.
    [[nodiscard]] double worstExcess() const { return this->excess; }
    [[nodiscard]] std::uint64_t admitted() const { return this->count; }

private:
    double rate;
    double burst;
    std::uint64_t count = 0;
    double least = 1e18;
    double excess = -1e18;
};

/// Sends requests of a team at a steady rate, each at a VM that `pick` names.
struct Traffic {
    double perSecond = 0;
    Duration patience = 300ms;
    std::function<std::size_t()> pick;

    std::uint64_t sent = 0;
    std::uint64_t refused = 0;

    void run(VirtualFleet& world, WindowModel& model, Duration duration, const TeamName& team = hospitals)
    {
        const auto gap = Duration { static_cast<Duration::rep>(1e9 / this->perSecond) };
        for (Duration passed {}; passed < duration; passed += gap) {
            world.runFor(gap);
            const auto vm = this->pick();
            if (world.process(vm)->isPaused() || world.process(vm)->isDead())
                continue;
            ++this->sent;
            world.admit(vm, team, this->patience, [this, &world, &model](bool admitted) {
                if (admitted)
                    model.admit(world.now());
                else
                    ++this->refused;
            });
        }
    }
};

/// The fastest clock accrues this much more than true time.
constexpr double fastestClock = 1.01;

asio::awaitable<void> leave(Fleet& fleet) { co_await fleet.leave(); }

} // namespace

TEST_SUITE("limits")
{
    TEST_CASE("no window ever sees more than rate and burst together")
    {
        checkProperty("rate and burst", [] {
            const auto vmCount = *rc::gen::inRange<std::size_t>(2, 7);
            const auto rate = *rc::gen::element(20.0, 60.0, 150.0);
            const auto burst = *rc::gen::element<std::uint32_t>(1, 6, 30, 100);
            const auto seed = *rc::gen::arbitrary<std::uint32_t>();
            VirtualFleet world {
                { .vmCount = vmCount, .seed = seed, .clockDrift = 0.01, .messageLoss = 0.01 }
            };
            settle(world, makeSchema(rate, burst));
            WindowModel model { rate * fastestClock, burst + 1.0 };
            FaultInjector injector { world };
            RandomSource random { seed };
            std::geometric_distribution<std::size_t> skewed { 0.4 };
            Traffic traffic { .perSecond = 2.5 * rate, .pick = [&] { return skewed(random) % vmCount; } };
            std::uint32_t changes = 0;
            for (const auto& fault : *rc::gen::container<std::vector<Fault>>(6, anyFault(vmCount))) {
                injector.apply(fault);
                if (fault.waitMs % 3 == 0) {
                    const auto id = "l" + std::to_string(++changes);
                    begin(world,
                        world.fleet(fault.other).setLimits(limitsRequest(id, rate, burst + changes % 2)));
                }
                traffic.run(world, model, std::chrono::milliseconds { fault.waitMs });
            }
            injector.healAll();
            traffic.run(world, model, 12s);
            RC_ASSERT(model.worstExcess() <= 0.0);
        });
    }

    // All callers of a team are moved to another VM by the balancer. Shares that belong to the VMs would
    // refuse most of them there.
    TEST_CASE("a team within its rate is not refused when all its traffic enters at one VM or moves")
    {
        VirtualFleet world { {} };
        settle(world);
        WindowModel model { 50, 100 };
        std::size_t entry = 0;
        Traffic traffic { .perSecond = 45, .pick = [&] { return entry; } };
        for (entry = 0; entry < world.size(); ++entry)
            traffic.run(world, model, 3s);
        world.runFor(1s);
        CHECK(traffic.sent > 1000);
        CHECK(traffic.refused == 0);
        CHECK(model.worstExcess() <= 0);
    }

    // A VM that counts a part of a limit dies. Until its part has moved the team must live on the others, or
    // a morning order is refused although the shop was within its rate.
    TEST_CASE("the death of any VM leads to next to no refusals within the rate")
    {
        for (std::size_t dead = 0; dead < 9; ++dead) {
            VirtualFleet world { { .seed = dead } };
            settle(world);
            WindowModel model { 50, 100 };
            std::size_t next = 0;
            Traffic traffic { .perSecond = 30, .pick = [&] { return next++ % 9; } };
            traffic.run(world, model, 2s);
            world.kill(dead);
            traffic.run(world, model, 30s);
            CHECK(traffic.refused == 0);
            CHECK(model.worstExcess() <= 0);
        }
    }

    // Owners of shards are cut off together with a VM that spends from them, while the others take the shards
    // over. If the new owner did not wait for the old one's last grant, both would hand out of one bucket.
    TEST_CASE("a new owner waits for the last grants of the one before")
    {
        for (std::size_t cut = 0; cut < 7; ++cut) {
            VirtualFleet world { { .vmCount = 7 } };
            settle(world, makeSchema(600, 120));
            WindowModel model { 600, 121 };
            std::size_t next = 0;
            Traffic traffic { .perSecond = 3000, .patience = 20ms, .pick = [&] { return next++ % 7; } };
            traffic.run(world, model, 1s);
            world.isolate({ cut, (cut + 1) % 7 }, true);
            traffic.run(world, model, 16s);
            CHECK(model.worstExcess() <= 0);
            const auto before = model.admitted();
            traffic.run(world, model, 2s);
            CHECK(model.admitted() - before > 1100);
        }
    }

    // An operator changes a limit back and forth while the team is using all of it. Each change that filled
    // the bucket would be worth another burst.
    TEST_CASE("changes of a limit hand out no further burst")
    {
        VirtualFleet world { {} };
        settle(world, makeSchema(10, 100));
        WindowModel model { 10, 101 };
        std::size_t next = 0;
        Traffic traffic { .perSecond = 200, .patience = 20ms, .pick = [&] { return next++ % 9; } };
        for (std::uint32_t change = 0; change < 6; ++change) {
            traffic.run(world, model, 2s);
            begin(world,
                world.fleet(change).setLimits(
                    limitsRequest("l" + std::to_string(change), 10, 99 + change % 2)));
        }
        traffic.run(world, model, 2s);
        CHECK(model.worstExcess() <= 0);
    }

    // One team sends five times its rate. Its neighbour shares the VMs that count limits and must not notice.
    TEST_CASE("a team over its rate takes nothing from another")
    {
        VirtualFleet world { {} };
        auto schema = makeSchema();
        auto& other = *schema.add_teams();
        other = schema.teams(0);
        other.set_name("shops");
        settle(world, schema);
        WindowModel loud { 50, 100 };
        WindowModel quiet { 50, 100 };
        std::size_t next = 0;
        const auto pick = [&] { return next++ % 9; };
        Traffic flood { .perSecond = 250, .pick = pick };
        Traffic steady { .perSecond = 45, .pick = pick };
        for (int slice = 0; slice < 200; ++slice) {
            flood.run(world, loud, 50ms);
            steady.run(world, quiet, 50ms, TeamName { "shops" });
        }
        CHECK(steady.refused == 0);
        CHECK(loud.worstExcess() <= 0);
        CHECK(flood.refused > 0);
    }

    // A VM is stopped for maintenance. What it counted goes to others with the rest of its bucket, so the
    // team loses nothing and gains nothing.
    TEST_CASE("a VM that leaves hands over its shards at once")
    {
        VirtualFleet world { { .vmCount = 3 } };
        settle(world, makeSchema(30, 90));
        WindowModel model { 30, 90 };
        std::size_t next = 0;
        Traffic traffic { .perSecond = 28, .pick = [&] { return 1 + next++ % 2; } };
        traffic.run(world, model, 2s);
        world.spawn(leave(world.fleet(0)));
        traffic.run(world, model, 2s);
        world.kill(0);
        traffic.run(world, model, 10s);
        CHECK(traffic.refused == 0);
        CHECK(model.worstExcess() <= 0);
        for (std::size_t vm = 1; vm < 3; ++vm) {
            for (const auto& home : world.fleet(vm).homesOf({ ServiceName { "register" }, "beds" }))
                CHECK(home.vm != VirtualFleet::nameOf(0));
        }
    }

    // A caller over its limit must be told at once and with the time to come back, not held until its
    // deadline.
    TEST_CASE("a refusal is given at once")
    {
        VirtualFleet world { {} };
        settle(world, makeSchema(1, 3));
        auto last = world.now();
        const auto begun = world.now();
        for (int i = 0; i < 20; ++i)
            world.admit(4, hospitals, 10s, [&](bool) { last = world.now(); });
        world.runFor(5s);
        CHECK(last - begun <= 300ms);
    }
}
