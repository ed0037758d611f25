#include <proxy/home_fixture.h>

using namespace cyclamendrift;
using namespace cyclamendrift::testing;

namespace {

constexpr auto createOrders = "CREATE TABLE orders (id bigint)";
constexpr auto insertOrder = "INSERT INTO orders VALUES (1)";
constexpr auto readOrders = "SELECT * FROM orders";

/// True for the pipeline that holds a COMMIT of a write.
bool isCommit(std::span<const Statement> statements)
{
    bool commits = false;
    bool reads = false;
    for (const auto& statement : statements) {
        commits = commits || statement.text == "COMMIT";
        reads = reads || statement.text == "BEGIN READ ONLY";
    }
    return commits && !reads;
}

bool holds(std::span<const Statement> statements, std::string_view text)
{
    for (const auto& statement : statements) {
        if (statement.text.find(text) != std::string::npos)
            return true;
    }
    return false;
}

/// Hits one pipeline with a fault.
auto faultOnce(PipelineFault fault, std::function<bool(std::span<const Statement>)> where)
{
    return [fault, where = std::move(where), done = false](
               const std::string&, std::span<const Statement> statements) mutable {
        if (done || !where(statements))
            return PipelineFault::None;
        done = true;
        return fault;
    };
}

} // namespace

TEST_SUITE("database home")
{
    TEST_CASE("a write is kept by a replica before it is acknowledged")
    {
        HomeFixture fixture { { .lag = 40ms } };
        REQUIRE(fixture.write("r0", createOrders)->result);
        const auto before = fixture.time->now();
        const auto answer = fixture.write("r1", insertOrder);
        REQUIRE(answer->result);
        CHECK(answer->result->rows.affectedRows == 1);
        CHECK(answer->endedAt - before >= 40ms);
        CHECK(fixture.countOn("b", "orders") + fixture.countOn("c", "orders") >= 1);
    }

    TEST_CASE("a session reads its write, mostly on replicas")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto written = fixture.write("r1", insertOrder);
        auto read = fixture.request("r2", readOrders, SessionRead {});
        read.seen = written->result->seen;
        const auto answer = fixture.execute(read);
        REQUIRE(answer->result);
        CHECK(answer->result->rows.rows.size() == 1);
        CHECK(answer->result->seen >= written->result->seen);
        CHECK(
            fixture.home->status().counters.replicaReads + fixture.home->status().counters.primaryReads <= 1);
    }

    TEST_CASE("a read that writes is refused and changes nothing")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto answer = fixture.execute(fixture.request("r1", insertOrder, PrimaryRead {}));
        REQUIRE(answer->refusal);
        CHECK(answer->refusal->outcome() == Outcome::RanAndFailed);
        CHECK(fixture.countOn("a", "orders") == 0);
    }

    TEST_CASE("a second try with the same id gets the first outcome and does not run")
    {
        // The answer to a reservation is lost, and its caller asks again with the same id. Without the ledger
        // the bed would be reserved twice.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        REQUIRE(fixture.write("r1", insertOrder)->result);
        const auto again = fixture.write("r1", insertOrder);
        REQUIRE(again->result);
        CHECK(again->result->replayed);
        CHECK(again->result->rows.affectedRows == 1);
        CHECK(fixture.countOn("a", "orders") == 1);
    }

    TEST_CASE("the same id with another statement is refused")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        (void)fixture.write("r1", insertOrder);
        const auto other = fixture.write("r1", "INSERT INTO orders VALUES (2)");
        REQUIRE(other->refusal);
        CHECK(other->refusal->outcome() == Outcome::NotRun);
        CHECK(other->refusal->reason() == RefusalReason::Conflict);
        CHECK(fixture.countOn("a", "orders") == 1);
    }

    TEST_CASE("a statement that fails has no effect and may be sent again under its id")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", "CREATE TABLE beds (id bigint PRIMARY KEY)");
        (void)fixture.write("r1", "INSERT INTO beds VALUES (1)");
        const auto failed = fixture.write("r2", "INSERT INTO beds VALUES (1)");
        REQUIRE(failed->refusal);
        CHECK(failed->refusal->outcome() == Outcome::RanAndFailed);
        (void)fixture.write("r3", "DELETE FROM beds WHERE id = 1");
        CHECK(fixture.write("r2", "INSERT INTO beds VALUES (1)")->result);
    }

    TEST_CASE("a commit whose answer is lost is found again in the ledger")
    {
        // The connection ends while the commit is answered. The caller would be told that the outcome is
        // unknown, although the order stands.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.group->faultOf = faultOnce(PipelineFault::LostAfter, isCommit);
        const auto answer = fixture.write("r1", insertOrder);
        REQUIRE(answer->result);
        CHECK(answer->result->rows.affectedRows == 1);
        CHECK(fixture.countOn("a", "orders") == 1);
    }

    TEST_CASE("a commit that never arrived is told as not run")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.group->faultOf = faultOnce(PipelineFault::LostBefore, isCommit);
        const auto answer = fixture.write("r1", insertOrder);
        REQUIRE(answer->refusal);
        CHECK(answer->refusal->outcome() == Outcome::NotRun);
        CHECK(fixture.countOn("a", "orders") == 0);
        CHECK(fixture.write("r1", insertOrder)->result);
    }

    TEST_CASE("a connection lost before the commit means not run, and nothing is sent twice")
    {
        // The connection ends while an order is being written. Sending it again blindly could place it twice.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        int runs = 0;
        fixture.group->onRun = [&](std::uint64_t, const Statement& statement) {
            runs += statement.text == insertOrder ? 1 : 0;
        };
        fixture.group->faultOf = faultOnce(
            PipelineFault::LostAfter, [](auto statements) { return holds(statements, insertOrder); });
        const auto answer = fixture.write("r1", insertOrder);
        REQUIRE(answer->refusal);
        CHECK(answer->refusal->outcome() == Outcome::NotRun);
        CHECK(runs == 1);
        CHECK(fixture.countOn("a", "orders") == 0);
    }

    TEST_CASE("an idempotent write is sent again within its budget")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.group->faultOf = faultOnce(
            PipelineFault::LostAfter, [](auto statements) { return holds(statements, insertOrder); });
        const auto answer = fixture.execute(fixture.request("r1", insertOrder, Write { .idempotent = true }));
        REQUIRE(answer->result);
        CHECK(fixture.countOn("a", "orders") == 1);
    }

    TEST_CASE("a write whose primary is replaced is held and runs at the new one")
    {
        // The primary dies at night. A reservation that can wait should be made a few seconds later instead
        // of being refused.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.time->runFor(50ms);
        fixture.group->model.slot("a").alive = false;
        auto outage = fixture.servingView();
        outage.phase = GroupView::Phase::FailingOver;
        fixture.setView(outage);
        const auto held
            = fixture.start(fixture.home->execute(fixture.request("r1", insertOrder, Write {}, 10s)));
        const auto hasty = fixture.write("r2", insertOrder, 1s);
        REQUIRE(hasty->refusal);
        CHECK(hasty->refusal->outcome() == Outcome::NotRun);
        CHECK(hasty->refusal->reason() == RefusalReason::NoPrimary);
        CHECK(hasty->refusal->retryAfter() > 0ms);
        fixture.time->runFor(3s);
        CHECK_FALSE(held->isDone());
        fixture.failOver("b", 2);
        (void)fixture.finish(held);
        REQUIRE(held->result);
        CHECK(held->result->slot == SlotName { "b" });
        CHECK(held->result->seen.term == Term { 2 });
        CHECK(fixture.countOn("b", "orders") == 1);
    }

    TEST_CASE("a commit that only the dead primary had is not acknowledged, and its fate is told truly")
    {
        // The primary commits a reservation and dies before any replica has it. Acknowledged, it would be
        // lost.
        HomeFixture fixture { { .lag = 500ms } };
        (void)fixture.write("r0", createOrders);
        fixture.time->runFor(1s);
        const auto pending
            = fixture.start(fixture.home->execute(fixture.request("r1", insertOrder, Write {}, 10s)));
        fixture.time->runFor(100ms);
        CHECK(fixture.countOn("a", "orders") == 1);
        CHECK_FALSE(pending->isDone());
        fixture.group->model.slot("a").alive = false;
        fixture.failOver("b", 2);
        (void)fixture.finish(pending);
        REQUIRE(pending->refusal);
        CHECK(pending->refusal->outcome() == Outcome::NotRun);
        CHECK(fixture.countOn("b", "orders") == 0);
    }

    TEST_CASE("a primary that was superseded answers no read")
    {
        // The old primary is alive and cut off, and this proxy still reaches it. Its data is old, and a
        // session would not see what was written since.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.time->runFor(50ms);
        auto& model = fixture.group->model;
        model.slot("a").cut = true;
        for (const auto* name : { "b", "c" })
            model.fence(model.slot(name), Term { 2 });
        model.promote(model.slot("b"), Term { 2 }, fixture.time->now());
        model.follow(model.slot("c"), Term { 2 }, "b", fixture.time->now());
        const auto read = fixture.execute(fixture.request("r1", readOrders, PrimaryRead {}, 1s));
        REQUIRE(read->refusal);
        CHECK(read->refusal->outcome() == Outcome::NotRun);
        const auto write = fixture.write("r2", insertOrder, 1s);
        REQUIRE(write->refusal);
        CHECK(write->refusal->outcome() == Outcome::Unknown);
    }

    TEST_CASE("a transaction commits as one and its connection is used again")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto id = fixture.begin()->result.value();
        CHECK(fixture.within(id, insertOrder)->result);
        CHECK(fixture.within(id, "INSERT INTO orders VALUES (2)")->result);
        CHECK(fixture.countOn("a", "orders") == 0);
        const auto committed = fixture.end(id, true);
        REQUIRE(committed->result);
        CHECK(fixture.countOn("a", "orders") == 2);
        CHECK(fixture.home->status().connections >= 1);
        const auto late = fixture.within(id, insertOrder);
        REQUIRE(late->refusal);
        CHECK(late->refusal->outcome() == Outcome::NotRun);
    }

    TEST_CASE("a transaction with a failed statement cannot commit")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto id = fixture.begin()->result.value();
        CHECK(fixture.within(id, insertOrder)->result);
        CHECK(fixture.within(id, "INSERT INTO nowhere VALUES (1)")->refusal->outcome()
            == Outcome::RanAndFailed);
        const auto committed = fixture.end(id, true);
        REQUIRE(committed->refusal);
        CHECK(committed->refusal->outcome() == Outcome::RanAndFailed);
        CHECK(fixture.countOn("a", "orders") == 0);
    }

    TEST_CASE("a commit of a transaction that is asked for again tells its outcome")
    {
        // The proxy that the caller spoke to dies after the commit. The caller asks again elsewhere.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto id = fixture.begin()->result.value();
        (void)fixture.within(id, insertOrder);
        REQUIRE(fixture.end(id, true, "commit-1")->result);
        CHECK(fixture.end(id, true, "commit-1")->result);
        const auto other = fixture.end(id, true, "commit-2");
        REQUIRE(other->refusal);
        CHECK(other->refusal->outcome() == Outcome::NotRun);
    }

    TEST_CASE("a proxy that dies in a transaction leaves nothing behind")
    {
        // The home of a transaction dies. Its locks would stop everybody who needs the same rows.
        HomeFixture fixture;
        (void)fixture.write("r0", "CREATE TABLE beds (id bigint PRIMARY KEY, free bigint)");
        (void)fixture.write("r1", "INSERT INTO beds VALUES (1, 1)");
        const auto id = fixture.begin()->result.value();
        REQUIRE(fixture.within(id, "UPDATE beds SET free = 0 WHERE id = 1")->result);
        fixture.home = fixture.makeHome("vm2", 2);
        fixture.setView(fixture.servingView());
        const auto write = fixture.write("r2", "UPDATE beds SET free = 5 WHERE id = 1");
        REQUIRE(write->result);
        CHECK(fixture.group->query("a", "SELECT free FROM beds").rows.at(0).at(0) == Value { "5" });
    }

    TEST_CASE("a withdrawn key ends its transactions")
    {
        // A key is withdrawn while its caller has a transaction open. It must not go on working.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto id = fixture.begin()->result.value();
        (void)fixture.within(id, insertOrder);
        fixture.home->withdrawKey(KeyId { "key" });
        fixture.time->runFor(1s);
        const auto late = fixture.end(id, true, "commit-1");
        REQUIRE(late->refusal);
        CHECK(late->refusal->outcome() == Outcome::NotRun);
        CHECK(fixture.countOn("a", "orders") == 0);
    }

    TEST_CASE("an idle transaction is rolled back and frees its rows")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto id = fixture.begin()->result.value();
        (void)fixture.within(id, insertOrder);
        fixture.time->runFor(11s);
        CHECK(fixture.home->status().openTransactions == 0);
        CHECK(fixture.end(id, true)->refusal->outcome() == Outcome::NotRun);
        CHECK(fixture.countOn("a", "orders") == 0);
    }

    TEST_CASE("silent connections are replaced within seconds")
    {
        // A box on the way forgets all connections while new ones work. Everything sent on them would hang.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.time->runFor(2s);
        fixture.group->silenceAll();
        const auto wave = fixture.time->now();
        const auto write = fixture.write("r1", insertOrder, 30s);
        REQUIRE(write->refusal);
        CHECK(write->refusal->outcome() == Outcome::NotRun);
        CHECK(write->endedAt - wave < 4s);
        CHECK(fixture.write("r1", insertOrder, 1s)->result);
        CHECK(fixture.countOn("a", "orders") == 1);
    }

    TEST_CASE("a read on a silent connection goes to another one")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.time->runFor(2s);
        fixture.group->silenceAll();
        const auto wave = fixture.time->now();
        for (const auto& access : { Access { PrimaryRead {} }, Access { SessionRead {} } }) {
            const auto read = fixture.execute(fixture.request("r2", readOrders, access, 30s));
            REQUIRE(read->result);
            CHECK(read->endedAt - wave < 6s);
        }
    }

    TEST_CASE("a write that waits for a lock keeps its connection")
    {
        // Another transaction holds the row for seconds. Taken for a silent connection, the write would be
        // given up although it is about to run.
        HomeFixture fixture;
        (void)fixture.write("r0", "CREATE TABLE beds (id bigint PRIMARY KEY, free bigint)");
        (void)fixture.write("r1", "INSERT INTO beds VALUES (1, 1)");
        const auto id = fixture.begin()->result.value();
        (void)fixture.within(id, "UPDATE beds SET free = 0 WHERE id = 1");
        const auto waiting = fixture.start(fixture.home->execute(
            fixture.request("r2", "UPDATE beds SET free = 7 WHERE id = 1", Write {}, 30s)));
        fixture.time->runFor(8s);
        CHECK_FALSE(waiting->isDone());
        CHECK(fixture.end(id, true)->result);
        CHECK(fixture.finish(waiting)->result);
    }

    TEST_CASE("a slow slot is no dead one")
    {
        // Every answer takes two seconds. Connections that are closed as dead would give up work that is
        // about to finish, and the requests would never get through.
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        fixture.time->runFor(100ms);
        for (const auto* name : { "a", "b", "c" })
            fixture.group->slowness[name] = 900ms;
        const auto write = fixture.write("r1", insertOrder, 30s);
        CHECK(write->result);
        CHECK(fixture.countOn("a", "orders") == 1);
    }

    TEST_CASE("a home that finds the cap used up by another one still serves")
    {
        // Two proxies disagree about who the homes are, and the other one holds most connections.
        HomeFixture fixture { { .cap = 4 } };
        const auto other = fixture.makeHome("vm2", 2);
        other->setView(std::make_shared<const GroupView>(fixture.view));
        const auto third = fixture.makeHome("vm3", 3);
        third->setView(std::make_shared<const GroupView>(fixture.view));
        fixture.time->runFor(20s);
        CHECK(fixture.write("r0", createOrders)->result);
        for (const auto& [slot, most] : fixture.group->mostSessions)
            CHECK(most <= 4);
        CHECK(fixture.group->refusedOpens < 60);
    }

    TEST_CASE("connections stay within the budget of a home")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        std::vector<std::shared_ptr<Pending<HomeAnswer>>> all;
        for (int index = 0; index < 200; ++index)
            all.push_back(fixture.start(
                fixture.home->execute(fixture.request("w" + std::to_string(index), insertOrder, Write {}))));
        fixture.time->runFor(6s);
        std::size_t done = 0;
        for (const auto& pending : all)
            done += pending->result ? 1 : 0;
        CHECK(done == 200);
        CHECK(fixture.countOn("a", "orders") == 200);
        for (const auto& [slot, most] : fixture.group->mostSessions)
            CHECK(most <= 9);
    }

    TEST_CASE("a planned stop finishes what was accepted and refuses the rest")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        const auto id = fixture.begin()->result.value();
        const auto running
            = fixture.start(fixture.home->execute(fixture.request("r1", insertOrder, Write {})));
        bool drained = false;
        asio::co_spawn(fixture.context, fixture.home->drain(), [&](std::exception_ptr) { drained = true; });
        fixture.time->runFor(200ms);
        CHECK(running->result);
        CHECK_FALSE(drained);
        const auto refused = fixture.write("r2", insertOrder);
        REQUIRE(refused->refusal);
        CHECK(refused->refusal->reason() == RefusalReason::ShuttingDown);
        CHECK(refused->refusal->outcome() == Outcome::NotRun);
        CHECK(fixture.within(id, insertOrder)->result);
        CHECK(fixture.end(id, true)->result);
        fixture.time->runFor(1s);
        CHECK(drained);
        CHECK(fixture.group->sessions["a"] == 0);
    }

    TEST_CASE("a leaving slot gets no new work")
    {
        HomeFixture fixture;
        (void)fixture.write("r0", createOrders);
        auto view = fixture.servingView();
        view.leaving = { SlotName { "b" } };
        fixture.setView(view);
        fixture.time->runFor(1s);
        bool worked = false;
        fixture.group->faultOf = [&](const std::string& slot, std::span<const Statement> statements) {
            worked = worked || (slot == "b" && holds(statements, readOrders));
            return PipelineFault::None;
        };
        CHECK(fixture.group->sessions["b"] <= 1);
        for (int index = 0; index < 20; ++index) {
            const auto read = fixture.execute(fixture.request("r1", readOrders, SessionRead {}));
            REQUIRE(read->result);
            CHECK(read->result->slot != SlotName { "b" });
        }
        CHECK_FALSE(worked);
    }
}
