#include <cyclamendrift/connections/connection_budget.h>
#include <cyclamendrift/connections/connection_pool.h>
#include <cyclamendrift/connections/outlier_detector.h>
#include <cyclamendrift/connections/retry_budget.h>

#include <property.h>

#include <map>
#include <set>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Carries out a pool's actions: opens complete at once, probes are answered unless the connection is silent.
class FakeSlot {
public:
    explicit FakeSlot(ConnectionPool::Options options)
        : pool(options)
    {
    }

    void update(Instant now, std::size_t waiting = 0)
    {
        for (const auto& action : this->pool.update(now, waiting)) {
            if (const auto* open = std::get_if<OpenConnection>(&action)) {
                if (this->reachable)
                    this->pool.opened(open->id, now);
                else
                    this->pool.openFailed(open->id, OpenFailure::Unreachable, now);
                this->opens += 1;
            } else if (const auto* close = std::get_if<CloseConnection>(&action))
                this->closed.insert(close->id);
            else if (const auto* probe = std::get_if<ProbeConnection>(&action)) {
                if (this->answering && !this->silent.contains(probe->id))
                    this->pool.answered(probe->id, now);
            }
        }
    }

    ConnectionId use(Instant now)
    {
        const auto id = this->pool.acquire(now).value();
        this->pool.sent(id, now);
        return id;
    }

    ConnectionPool pool;
    std::set<ConnectionId> silent;
    std::set<ConnectionId> closed;
    int opens = 0;
    bool reachable = true;
    bool answering = true;
};

} // namespace

TEST_SUITE("connection pool")
{
    TEST_CASE("two home proxies together stay within the cap of a slot")
    {
        CHECK(connectionBudget(20).traffic == 9);
        CHECK(connectionBudget(35).traffic == 16);
        for (std::size_t cap = 4; cap < 200; ++cap)
            CHECK(homesPerDatabase * connectionBudget(cap).total() <= cap);
    }

    TEST_CASE("a connection released with a transaction or an answer outstanding is not reused")
    {
        // Guards against the next user of a connection running in an open transaction or reading an answer to
        // the previous user.
        checkProperty("dirty connections are closed and not borrowed again", [] {
            FakeSlot slot { { .budget = 4, .minConnections = 1 } };
            Instant now {};
            std::set<ConnectionId> dirty;
            std::set<ConnectionId> used;
            const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
            for (const auto step : steps) {
                now += 10ms;
                slot.update(now, 3);
                RC_ASSERT(slot.pool.size() <= 4U);
                if (step < 2) {
                    if (const auto id = slot.pool.acquire(now)) {
                        RC_ASSERT(!dirty.contains(*id));
                        RC_ASSERT(used.insert(*id).second);
                        slot.pool.sent(*id, now);
                    }
                } else if (!used.empty()) {
                    const auto id = *used.begin();
                    used.erase(id);
                    const bool answered = *rc::gen::arbitrary<bool>();
                    const bool clean = *rc::gen::arbitrary<bool>();
                    if (answered)
                        slot.pool.answered(id, now);
                    slot.pool.release(id, clean ? ReleaseState::Clean : ReleaseState::Dirty, now);
                    if (!answered || !clean)
                        dirty.insert(id);
                }
            }
            slot.update(now);
            for (const auto id : dirty)
                RC_ASSERT(slot.closed.contains(id));
        });
    }

    TEST_CASE(
        "idle connections that stop answering are closed within seconds while the slot answers on others")
    {
        // Guards against requests that hang until their deadline on connections whose state was dropped by a
        // network device: they look open and never answer, while new connections work.
        FakeSlot slot { { .budget = 4, .minConnections = 2 } };
        Instant now {};
        slot.update(now, 4);
        REQUIRE(slot.pool.idle() == 4);
        for (std::uint64_t id = 1; id <= 4; ++id)
            slot.silent.insert(ConnectionId { id });
        const auto silentSince = now;
        while (slot.closed.size() < 3 && now < silentSince + 20s) {
            now += 100ms;
            slot.pool.slotAnswered(now);
            slot.update(now);
        }
        CHECK(now - silentSince <= 3s);
        CHECK(slot.pool.acquire(now).has_value());
    }

    TEST_CASE("connections to a slot that answers on none of them stay open")
    {
        // Guards against closing the connections to an overloaded slot, which would add the load of opening
        // new ones and abandon statements that are about to finish.
        FakeSlot slot { { .budget = 3, .minConnections = 3 } };
        Instant now {};
        slot.update(now, 3);
        (void)slot.use(now);
        slot.answering = false;
        slot.reachable = false;
        for (int step = 0; step < 100; ++step) {
            now += 100ms;
            slot.update(now, 2);
        }
        CHECK(slot.closed.empty());
        CHECK(slot.pool.size() == 3);
    }

    TEST_CASE("a long statement keeps its connection while other connections answer")
    {
        // Guards against a report that takes minutes being taken for a dead connection, so that it could
        // never finish.
        FakeSlot slot { { .budget = 3, .minConnections = 1 } };
        Instant now {};
        slot.update(now, 1);
        const auto report = slot.use(now);
        for (int step = 0; step < 600; ++step) {
            now += 100ms;
            slot.update(now, 1);
            const auto id = slot.use(now);
            slot.pool.answered(id, now);
            slot.pool.release(id, ReleaseState::Clean, now);
        }
        CHECK_FALSE(slot.closed.contains(report));
    }

    TEST_CASE("when no connection answers but the slot does, they are closed one by one")
    {
        // Guards against a database blocked until the statements' deadlines when the network drops the state
        // of all connections in use, although new connections work.
        FakeSlot slot { { .budget = 3, .minConnections = 3 } };
        Instant now {};
        slot.update(now, 3);
        for (int index = 0; index < 3; ++index)
            (void)slot.use(now);
        std::vector<Instant> closedAt;
        for (int step = 0; step < 40; ++step) {
            now += 100ms;
            const auto before = slot.closed.size();
            slot.pool.slotAnswered(now);
            slot.update(now, 0);
            if (slot.closed.size() > before)
                closedAt.push_back(now);
        }
        REQUIRE(closedAt.size() == 1);
        CHECK(closedAt.front() - Instant {} <= 2s);
        CHECK(slot.pool.idle() == 1);
    }

    TEST_CASE("the pool backs off while the slot refuses connections at its cap")
    {
        // Guards against a flood of connection attempts when two proxies disagree about which serves the
        // database and the other one holds all connections.
        ConnectionPool pool { { .budget = 9, .minConnections = 2 } };
        Instant now {};
        int attempts = 0;
        for (int step = 0; step < 1000; ++step) {
            now += 10ms;
            for (const auto& action : pool.update(now, 5)) {
                ++attempts;
                pool.openFailed(std::get<OpenConnection>(action).id, OpenFailure::CapReached, now);
            }
        }
        CHECK(attempts < 20);
        CHECK(pool.size() == 0);
    }

    TEST_CASE("the connection with the most recent answer is borrowed first")
    {
        FakeSlot slot { { .budget = 2, .minConnections = 2 } };
        Instant now {};
        slot.update(now);
        now += 100ms;
        const auto id = slot.use(now);
        slot.pool.answered(id, now);
        slot.pool.release(id, ReleaseState::Clean, now);
        CHECK(slot.pool.acquire(now) == id);
        CHECK(slot.pool.hasRecentAnswer(id, now));
        CHECK_FALSE(slot.pool.hasRecentAnswer(id, now + 600ms));
    }

    TEST_CASE("a retired pool closes idle connections at once and borrowed ones at their release")
    {
        FakeSlot slot { { .budget = 3, .minConnections = 3 } };
        Instant now {};
        slot.update(now);
        const auto id = slot.use(now);
        slot.pool.retire();
        slot.update(now, 5);
        CHECK(slot.closed.size() == 2);
        slot.pool.answered(id, now);
        slot.pool.release(id, ReleaseState::Clean, now);
        slot.update(now, 5);
        CHECK(slot.closed.size() == 3);
        CHECK(slot.pool.size() == 0);
    }
}

TEST_SUITE("retry budget")
{
    TEST_CASE("retries stay a small share of the requests while every request fails")
    {
        // Guards against retries that multiply the load on an overloaded upstream, so that it never recovers.
        RetryBudget budget { {} };
        RandomSource random { 1 };
        constexpr int requests = 10000;
        int retries = 0;
        for (int request = 0; request < requests; ++request) {
            budget.requested();
            for (std::size_t attempt = 0; budget.retry(attempt, random); ++attempt)
                ++retries;
        }
        CHECK(retries <= requests / 10 + 10);
    }

    TEST_CASE("retry delays vary and stay within the maximum")
    {
        RetryBudget budget { { .maxTokens = 1000, .maxRetriesPerRequest = 8, .maxDelay = 100ms } };
        RandomSource random { 1 };
        std::set<Duration> delays;
        for (int index = 0; index < 100; ++index) {
            const auto delay = budget.retry(7, random);
            REQUIRE(delay);
            CHECK(*delay <= 100ms);
            delays.insert(*delay);
        }
        CHECK(delays.size() > 90);
    }
}

TEST_SUITE("outlier detector")
{
    TEST_CASE("a slow slot is an outlier until its retry time or until it recovers")
    {
        // Guards against reads waiting for a replica that is a hundred times slower than another one.
        OutlierDetector detector { {} };
        const SlotName slow { "slow" };
        const SlotName fast { "fast" };
        Instant now {};
        for (int index = 0; index < 20; ++index) {
            detector.answered(fast, 2ms, now);
            detector.answered(slow, 200ms, now);
        }
        CHECK(detector.isOutlier(slow, now));
        CHECK_FALSE(detector.isOutlier(fast, now));
        now += 2s;
        CHECK_FALSE(detector.isOutlier(slow, now));
        detector.answered(slow, 2ms, now);
        detector.answered(fast, 2ms, now);
        CHECK_FALSE(detector.isOutlier(slow, now));
    }
}
