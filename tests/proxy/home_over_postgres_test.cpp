#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/proxy/database_home_factory.h>

#include <standins/postgres_group.h>

#include <coroutine.h>

#include <doctest/doctest.h>

#include <asio/io_context.hpp>

using namespace cyclamendrift;
using namespace std::chrono_literals;
using standins::PostgresGroup;

namespace {

/// A home over the PostgreSQL stand-in, through libpq and sockets.
struct Bench {
    Bench()
        : group({ .slots = { { .name = "a" }, { .name = "b" }, { .name = "c" } }, .lag = 2ms })
    {
        DatabaseHomeOptions options { .executor = this->context.get_executor(),
            .vm = VmName { "vm1" },
            .name = { ServiceName { "register" }, "beds" },
            .credentials = { .user = "proxy" },
            .connector = &Connection::open };
        options.description.set_name("beds");
        options.description.set_connection_cap(20);
        GroupView view {
            .phase = GroupView::Phase::Serving, .term = Term { 1 }, .primary = SlotName { "a" }
        };
        for (const auto* name : { "a", "b", "c" }) {
            auto& slot = *options.description.add_slots();
            slot.set_name(name);
            slot.set_address("127.0.0.1");
            slot.set_port(this->group.port(name));
            view.slots.emplace_back(name);
            view.inSync.emplace_back(name);
        }
        this->home = makeDatabaseHome(std::move(options));
        this->home->setView(std::make_shared<const GroupView>(view));
    }

    HomeAnswer execute(const char* id, const char* sql, Access access)
    {
        HomeRequest request { .id = RequestId { id },
            .team = TeamName { "team" },
            .key = KeyId { "key" },
            .statement = { .text = sql, .parameters = {} },
            .access = access,
            .deadline = std::chrono::steady_clock::now() + 20s };
        return runCoroutine(this->context, this->home->execute(std::move(request)));
    }

    PostgresGroup group;
    asio::io_context context;
    std::shared_ptr<DatabaseHome> home;
};

} // namespace

TEST_SUITE("database home over PostgreSQL")
{
    TEST_CASE("writes, second tries, reads and failures")
    {
        Bench bench;
        (void)bench.execute("r0", "CREATE TABLE beds (id text PRIMARY KEY, patient text)", Write {});
        const auto first = bench.execute("r1", "INSERT INTO beds VALUES ('b1', 'p')", Write {});
        CHECK(first.rows.affectedRows == 1);
        CHECK_FALSE(first.replayed);
        const auto again = bench.execute("r1", "INSERT INTO beds VALUES ('b1', 'p')", Write {});
        CHECK(again.replayed);
        CHECK(again.rows.affectedRows == 1);
        for (const Access& access : { Access { PrimaryRead {} }, Access { SessionRead {} } }) {
            const auto read = bench.execute("r2", "SELECT id FROM beds", access);
            REQUIRE(read.rows.rows.size() == 1);
            CHECK(read.rows.rows.at(0).at(0) == Value { "b1" });
        }
        try {
            (void)bench.execute("r3", "INSERT INTO beds VALUES ('b1', 'q')", Write {});
            FAIL("a duplicate was accepted");
        } catch (const RequestError& refusal) {
            CHECK(refusal.outcome() == Outcome::RanAndFailed);
        }
        try {
            (void)bench.execute("r4", "DELETE FROM beds", PrimaryRead {});
            FAIL("a read wrote");
        } catch (const RequestError& refusal) {
            CHECK(refusal.outcome() == Outcome::RanAndFailed);
        }
    }

    TEST_CASE("a transaction and a planned stop")
    {
        Bench bench;
        (void)bench.execute("r0", "CREATE TABLE beds (id text PRIMARY KEY, patient text)", Write {});
        const auto id = runCoroutine(bench.context,
            bench.home->begin({ .id = RequestId { "b" },
                .team = TeamName { "team" },
                .key = KeyId { "key" },
                .deadline = std::chrono::steady_clock::now() + 20s }));
        HomeRequest insert { .id = RequestId { "s" },
            .team = TeamName { "team" },
            .key = KeyId { "key" },
            .statement = { .text = "INSERT INTO beds VALUES ('b1', 'p')", .parameters = {} },
            .access = Write {},
            .transaction = id,
            .deadline = std::chrono::steady_clock::now() + 20s };
        CHECK(runCoroutine(bench.context, bench.home->execute(insert)).rows.affectedRows == 1);
        const EndHomeRequest end { .id = RequestId { "c" },
            .team = TeamName { "team" },
            .key = KeyId { "key" },
            .transaction = id,
            .commit = true,
            .deadline = std::chrono::steady_clock::now() + 20s };
        const auto committed = runCoroutine(bench.context, bench.home->end(end));
        CHECK(committed.term == Term { 1 });
        CHECK(runCoroutine(bench.context, bench.home->end(end)) >= committed);
        runCoroutine(bench.context, bench.home->drain());
        CHECK_THROWS_AS((void)bench.execute("r1", "SELECT id FROM beds", PrimaryRead {}), RequestError);
    }
}
