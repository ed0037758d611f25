#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/transactions/transaction_table.h>

#include <property.h>

#include <map>
#include <optional>
#include <set>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const TeamName team { "hospitals" };
const KeyId key { "k1" };

struct Fixture {
    RandomSource random { 1 };
    TransactionTable table { { .vm = VmName { "vm/1" } }, random };
    Instant now {};

    TransactionId open(std::uint64_t connection = 1)
    {
        this->table.reserve(team);
        return this->table.open(
            { .team = team, .key = key, .connection = PinnedConnectionId { connection } }, this->now);
    }
};

template <class Call> std::optional<RefusalReason> refusalOf(Call&& call)
{
    try {
        call();
    } catch (const RequestError& error) {
        CHECK(error.outcome() == Outcome::NotRun);
        return error.reason();
    }
    return std::nullopt;
}

} // namespace

TEST_SUITE("transaction table")
{
    TEST_CASE("a transaction id contains the name of its owner VM")
    {
        Fixture fixture;
        CHECK(TransactionTable::ownerVmOf(fixture.open()) == VmName { "vm/1" });
        CHECK(TransactionTable::ownerVmOf(TransactionId { "nonsense" }).empty());
    }

    TEST_CASE("only the team and key that opened a transaction can use it")
    {
        Fixture fixture;
        const auto id = fixture.open();
        const auto beginExchange = [&](const TeamName& otherTeam, const KeyId& otherKey) {
            return refusalOf(
                [&] { (void)fixture.table.beginExchange(id, otherTeam, otherKey, fixture.now); });
        };
        CHECK(beginExchange(TeamName { "other" }, key) == RefusalReason::UnknownTransaction);
        CHECK(beginExchange(team, KeyId { "k2" }) == RefusalReason::UnknownTransaction);
        CHECK(beginExchange(team, key) == std::nullopt);
    }

    TEST_CASE("a second exchange of a transaction is refused while one is running")
    {
        Fixture fixture;
        const auto id = fixture.open();
        const auto lease = fixture.table.beginExchange(id, team, key, fixture.now);
        CHECK(refusalOf([&] { (void)fixture.table.beginExchange(id, team, key, fixture.now); })
            == RefusalReason::Conflict);
        CHECK(fixture.table.endExchange(id, lease.exchange, ExchangeResult::Answered, fixture.now)
            == TransactionAction::KeepOpen);
        CHECK_FALSE(refusalOf([&] { (void)fixture.table.beginExchange(id, team, key, fixture.now); }));
    }

    TEST_CASE("an answer that arrives after its key was withdrawn is discarded")
    {
        // A key is withdrawn while a statement runs. The later answer must reach neither the caller with the
        // withdrawn key nor another transaction.
        Fixture fixture;
        const auto id = fixture.open();
        const auto lease = fixture.table.beginExchange(id, team, key, fixture.now);
        REQUIRE(fixture.table.withdrawKey(key).size() == 1);
        CHECK(fixture.table.endExchange(id, lease.exchange, ExchangeResult::Answered, fixture.now)
            == TransactionAction::DiscardAnswer);
        CHECK(refusalOf([&] { (void)fixture.table.beginExchange(id, team, key, fixture.now); })
            == RefusalReason::UnknownTransaction);
    }

    TEST_CASE("an idle transaction is rolled back after the idle timeout")
    {
        // The caller has disappeared without ending its transaction, whose locks would block all other users
        // of the same rows.
        Fixture fixture;
        const auto id = fixture.open(7);
        CHECK(fixture.table.expire(fixture.now + 9s).empty());
        const auto ended = fixture.table.expire(fixture.now + 10s);
        REQUIRE(ended.size() == 1);
        CHECK(ended.front().id == id);
        CHECK(ended.front().connection == PinnedConnectionId { 7 });
        CHECK(fixture.table.size() == 0);
    }

    TEST_CASE("a transaction over its maximum age is rolled back after its running exchange")
    {
        Fixture fixture;
        const auto id = fixture.open();
        const auto lease = fixture.table.beginExchange(id, team, key, fixture.now);
        CHECK(fixture.table.expire(fixture.now + 60s).empty());
        CHECK(fixture.table.endExchange(id, lease.exchange, ExchangeResult::Answered, fixture.now + 61s)
            == TransactionAction::RollBack);
        CHECK(fixture.table.size() == 0);
    }

    TEST_CASE("a transaction stays failed after a failed statement")
    {
        // The database answers COMMIT of an aborted transaction with success and rolls back. The caller would
        // assume that its reservation was committed.
        Fixture fixture;
        const auto id = fixture.open();
        auto lease = fixture.table.beginExchange(id, team, key, fixture.now);
        (void)fixture.table.endExchange(id, lease.exchange, ExchangeResult::StatementFailed, fixture.now);
        lease = fixture.table.beginExchange(id, team, key, fixture.now);
        CHECK(lease.failed);
        (void)fixture.table.endExchange(id, lease.exchange, ExchangeResult::Answered, fixture.now);
        CHECK(fixture.table.beginExchange(id, team, key, fixture.now).failed);
    }

    TEST_CASE("a team cannot open more transactions than its limit")
    {
        Fixture fixture;
        (void)fixture.open();
        (void)fixture.open();
        CHECK(refusalOf([&] { fixture.table.reserve(team); }) == RefusalReason::Overloaded);
        CHECK(fixture.table.canOpen(TeamName { "other" }));
    }

    TEST_CASE("no exchange uses the connection of another transaction")
    {
        // Random sequences of begins, statements, ends, late answers, timeouts and withdrawn keys. If
        // exchanges were mixed, a statement would run in another user's transaction, or a user would read
        // another's answer.
        checkProperty("one connection serves one transaction, one exchange at a time", [] {
            struct Model {
                PinnedConnectionId connection {};
                KeyId key;
                std::optional<ExchangeId> running;
            };
            struct SentExchange {
                TransactionId id;
                ExchangeId exchange {};
            };
            RandomSource random { 1 };
            TransactionTable table { { .vm = VmName { "vm" }, .maxOpen = 4, .maxOpenPerTeam = 4 }, random };
            std::map<TransactionId, Model> open;
            std::vector<TransactionId> everOpened;
            std::vector<SentExchange> sentExchanges;
            std::uint64_t lastConnection = 0;
            Instant now {};
            const auto forget = [&](const std::vector<TransactionTable::Ended>& ended) {
                for (const auto& entry : ended) {
                    RC_ASSERT(open.at(entry.id).connection == entry.connection);
                    open.erase(entry.id);
                }
            };
            const int steps = *rc::gen::inRange(0, 80);
            for (int step = 0; step < steps; ++step) {
                now += std::chrono::milliseconds { *rc::gen::inRange(0, 3000) };
                const int action = *rc::gen::inRange(0, 10);
                if (action < 2 && table.canOpen(team)) {
                    const KeyId owner { action == 0 ? "k0" : "k1" };
                    table.reserve(team);
                    const auto id = table.open(
                        { .team = team, .key = owner, .connection = PinnedConnectionId { ++lastConnection } },
                        now);
                    RC_ASSERT(
                        open.emplace(id, Model { PinnedConnectionId { lastConnection }, owner, {} }).second);
                    everOpened.push_back(id);
                } else if (action < 6 && !everOpened.empty()) {
                    const auto id = everOpened[*rc::gen::inRange<std::size_t>(0, everOpened.size())];
                    const KeyId caller { *rc::gen::arbitrary<bool>() ? "k0" : "k1" };
                    try {
                        const auto lease = table.beginExchange(id, team, caller, now);
                        auto& model = open.at(id);
                        RC_ASSERT(model.key == caller);
                        RC_ASSERT(!model.running);
                        RC_ASSERT(lease.connection == model.connection);
                        model.running = lease.exchange;
                        sentExchanges.push_back({ id, lease.exchange });
                    } catch (const RequestError& error) {
                        RC_ASSERT(error.outcome() == Outcome::NotRun);
                    }
                } else if (action < 8 && !sentExchanges.empty()) {
                    // Answers arrive in any order, and some arrive twice.
                    const auto answer
                        = sentExchanges[*rc::gen::inRange<std::size_t>(0, sentExchanges.size())];
                    const auto model = open.find(answer.id);
                    const bool expected = model != open.end() && model->second.running == answer.exchange;
                    const auto after
                        = table.endExchange(answer.id, answer.exchange, ExchangeResult::Answered, now);
                    RC_ASSERT((after == TransactionAction::DiscardAnswer) == !expected);
                    if (after == TransactionAction::KeepOpen)
                        model->second.running.reset();
                    if (after == TransactionAction::RollBack)
                        open.erase(answer.id);
                } else if (action == 8) {
                    forget(table.expire(now));
                } else {
                    forget(table.withdrawKey(KeyId { "k0" }));
                    for (const auto& [id, model] : open)
                        RC_ASSERT(model.key != KeyId { "k0" });
                }
                RC_ASSERT(table.size() == open.size());
            }
        });
    }
}
