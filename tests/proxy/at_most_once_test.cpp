#include <proxy/home_fixture.h>

#include <property.h>

#include <algorithm>
#include <random>

using namespace cyclamendrift;
using namespace cyclamendrift::testing;

namespace {

/// What the callers of one order have been told, kept apart from everything that the home knows.
struct Order {
    std::string id;
    bool inTransaction = false;
    bool idempotent = false;
    bool acknowledged = false;
    /// Set when the answers promise that the order has not run and will not. After an unknown outcome a "not
    /// run" speaks of its own try only; "ran and failed" had the id to itself and speaks of all.
    bool promisedNotRun = false;
    bool unknownBefore = false;
    int triesLeft = 4;
};

/// Random faults, failovers and callers that try again with the same id.
class Storm {
public:
    Storm(std::uint64_t seed, std::size_t slotCount, double faultRate)
        : fixture({ .slots = slotCount == 3 ? std::vector<std::string> { "a", "b", "c" }
                                            : std::vector<std::string> { "a", "b" },
                      .lag = std::chrono::milliseconds { 1 + seed % 30 } },
            seed)
        , random(seed)
    {
        (void)this->fixture.write("create", "CREATE TABLE orders (id bigint)");
        this->fixture.time->runFor(100ms);
        this->fixture.group->faultOf = [this, faultRate](const std::string&, std::span<const Statement>) {
            if (this->calm || !this->chance(faultRate))
                return PipelineFault::None;
            return static_cast<PipelineFault>(this->below(5));
        };
    }

    void run(std::size_t orderCount, int failovers)
    {
        for (std::size_t index = 0; index < orderCount; ++index) {
            this->orders.push_back({ .id = std::to_string(index),
                .inTransaction = this->chance(0.25),
                .idempotent = this->chance(0.3) });
            this->place(this->orders.back());
            this->fixture.time->runFor(std::chrono::milliseconds { this->below(30) });
            if (failovers > 0 && this->chance(0.2)) {
                --failovers;
                this->failOver();
            }
        }
        this->calm = true;
        this->fixture.time->runFor(60s);
    }

    /// Copies of an order that the primary holds now.
    std::size_t copiesOf(const Order& order)
    {
        return this->fixture.group->query(this->primary, "SELECT * FROM orders WHERE id = " + order.id)
            .rows.size();
    }

    std::vector<Order> orders;

private:
    bool chance(double probability)
    {
        return std::uniform_real_distribution<> { 0, 1 }(this->random) < probability;
    }
    int below(int limit) { return std::uniform_int_distribution<> { 0, limit - 1 }(this->random); }

    void place(Order& order)
    {
        while (order.triesLeft-- > 0) {
            const auto outcome = order.inTransaction ? this->tryTransaction(order) : this->tryWrite(order);
            order.acknowledged = order.acknowledged || !outcome;
            order.unknownBefore = order.unknownBefore || outcome == Outcome::Unknown;
            order.promisedNotRun
                = outcome == Outcome::RanAndFailed || (outcome == Outcome::NotRun && !order.unknownBefore);
            if (!outcome || (order.promisedNotRun && this->chance(0.5)))
                return;
            this->fixture.time->runFor(std::chrono::milliseconds { this->below(500) });
        }
    }

    std::optional<Outcome> tryWrite(const Order& order)
    {
        const auto pending = this->fixture.execute(this->fixture.request("w" + order.id,
            "INSERT INTO orders VALUES (" + order.id + ")", Write { .idempotent = order.idempotent },
            std::chrono::milliseconds { 200 + this->below(4000) }));
        return pending->refusal ? std::optional { pending->refusal->outcome() } : std::nullopt;
    }

    std::optional<Outcome> tryTransaction(Order& order)
    {
        const auto begun = this->fixture.begin();
        if (begun->refusal)
            return begun->refusal->outcome();
        const auto id = *begun->result;
        const auto inserted = this->fixture.within(id, "INSERT INTO orders VALUES (" + order.id + ")", 2s);
        if (inserted->refusal) {
            (void)this->fixture.end(id, false);
            return inserted->refusal->outcome();
        }
        for (int tries = 0; tries < 4; ++tries) {
            const auto ended
                = this->fixture.end(id, true, "c" + order.id + "-" + std::to_string(order.triesLeft));
            if (ended->result)
                return std::nullopt;
            if (ended->refusal->outcome() != Outcome::Unknown)
                return ended->refusal->outcome();
        }
        // Trying the whole transaction again would be another request.
        order.triesLeft = 0;
        return Outcome::Unknown;
    }

    void failOver()
    {
        auto& model = this->fixture.group->model;
        const auto former = this->primary;
        model.slot(former).alive = false;
        auto outage = this->fixture.view;
        outage.phase = GroupView::Phase::FailingOver;
        this->fixture.setView(outage);
        this->fixture.time->runFor(std::chrono::milliseconds { this->below(800) });
        std::string best;
        for (const auto& name : this->fixture.options.slots) {
            const bool better = best.empty() || model.slot(name).progress() > model.slot(best).progress();
            if (model.slot(name).alive && better)
                best = name;
        }
        this->primary = best;
        this->fixture.failOver(best, ++this->term);
        this->fixture.time->runFor(std::chrono::milliseconds { this->below(200) });
        model.slot(former).alive = true;
        model.fence(model.slot(former), Term { this->term });
        model.follow(model.slot(former), Term { this->term }, best, this->fixture.time->now());
    }

    HomeFixture fixture;
    std::mt19937_64 random;
    std::string primary = "a";
    std::uint64_t term = 1;
    bool calm = false;
};

void checkOrders(Storm& storm)
{
    for (const auto& order : storm.orders) {
        const auto copies = storm.copiesOf(order);
        RC_ASSERT(copies <= 1U);
        if (order.acknowledged)
            RC_ASSERT(copies == 1U);
        if (order.promisedNotRun && !order.acknowledged)
            RC_ASSERT(copies == 0U);
    }
}

} // namespace

TEST_SUITE("at most once")
{
    TEST_CASE("an order is placed at most once whatever is lost, and never lost once acknowledged")
    {
        // Connections end or go silent at any point while callers try again with the same id. A user would
        // see an order doubled, or lost after it was confirmed, or told as not run although it stands.
        checkProperty("three slots", [] {
            Storm storm { *rc::gen::arbitrary<std::uint32_t>(), 3, *rc::gen::element(0.02, 0.1, 0.3) };
            storm.run(8, 0);
            checkOrders(storm);
        });
    }

    TEST_CASE("the same holds while the primary changes in between")
    {
        // The primary dies at any point of a write, and another slot takes over with or without it.
        checkProperty("three slots and failovers", [] {
            Storm storm { *rc::gen::arbitrary<std::uint32_t>(), 3, *rc::gen::element(0.0, 0.05, 0.2) };
            storm.run(8, 3);
            checkOrders(storm);
        });
    }

    TEST_CASE("the same holds in a group of two")
    {
        checkProperty("two slots", [] {
            Storm storm { *rc::gen::arbitrary<std::uint32_t>(), 2, *rc::gen::element(0.02, 0.1) };
            storm.run(8, 0);
            checkOrders(storm);
        });
    }
}
