#include "../coroutine.h"

#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <standins/group_model.h>
#include <standins/postgres_group.h>

#include <doctest/doctest.h>

#include <chrono>
#include <exception>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cyclamendrift;
using namespace cyclamendrift::standins;
using namespace std::chrono_literals;

namespace {

/// Clients of one slot. What the tests of other packages trust the stand-in for is checked here.
struct Clients {
    Clients()
        : group({ .slots = { { .name = "a" } } })
        , first(this->open())
        , second(this->open())
    {
        this->run(*this->first, "CREATE TABLE beds (id text PRIMARY KEY, free bigint)");
        this->run(*this->first, "INSERT INTO beds VALUES ('1', 3), ('2', 5)");
    }

    std::unique_ptr<Connection> open()
    {
        const Connection::Options options { .host = "127.0.0.1",
            .port = this->group.port("a"),
            .user = "u",
            .password = "",
            .databaseName = "d" };
        return runCoroutine(this->context, Connection::open(this->context.get_executor(), options, soon()));
    }

    RowSet run(Connection& connection, std::string text)
    {
        const std::vector<Statement> statements { { std::move(text), {} } };
        return runCoroutine(this->context, connection.execute(statements, soon())).at(0);
    }

    std::string free(Connection& connection, const std::string& id)
    {
        return this->run(connection, "SELECT free FROM beds WHERE id = '" + id + "'")
            .rows.at(0)
            .at(0)
            .value();
    }

    /// Runs statements beside the test; the result is there when `done` is set.
    struct Background {
        bool done = false;
        std::exception_ptr failure;
        std::vector<Statement> statements;
    };
    std::shared_ptr<Background> start(Connection& connection, std::string text)
    {
        auto background = std::make_shared<Background>();
        background->statements.push_back({ std::move(text), {} });
        asio::co_spawn(this->context, connection.execute(background->statements, soon()),
            [background](std::exception_ptr error, const std::vector<RowSet>&) {
                background->failure = std::move(error);
                background->done = true;
            });
        return background;
    }
    void finish(const Background& background)
    {
        this->context.restart();
        while (!background.done)
            this->context.run_one();
    }

    static Instant soon() { return std::chrono::steady_clock::now() + 20s; }

    PostgresGroup group;
    asio::io_context context;
    std::unique_ptr<Connection> first;
    std::unique_ptr<Connection> second;
};

std::string stateOf(const std::exception_ptr& failure)
{
    try {
        if (failure)
            std::rethrow_exception(failure);
    } catch (const UpstreamError& error) {
        return error.sqlState();
    }
    return "none";
}

} // namespace

TEST_SUITE("the stand-in of a database group")
{
    TEST_CASE("a transaction sees its own changes, others see them once it has committed")
    {
        Clients clients;
        clients.run(*clients.first, "BEGIN");
        clients.run(*clients.first, "UPDATE beds SET free = free - 1 WHERE id = '1'");
        CHECK(clients.free(*clients.first, "1") == "2");
        CHECK(clients.free(*clients.second, "1") == "3");
        clients.run(*clients.first, "COMMIT");
        CHECK(clients.free(*clients.second, "1") == "2");
        clients.run(*clients.first, "BEGIN");
        clients.run(*clients.first, "DELETE FROM beds WHERE free > 0");
        CHECK(clients.run(*clients.first, "SELECT count(*) FROM beds").rows[0][0] == "0");
        clients.run(*clients.first, "ROLLBACK");
        CHECK(clients.run(*clients.second, "SELECT id FROM beds ORDER BY id DESC LIMIT 1").rows[0][0] == "2");
    }

    TEST_CASE("two writers of one row take turns and lose no change")
    {
        Clients clients;
        clients.run(*clients.first, "BEGIN");
        clients.run(*clients.first, "UPDATE beds SET free = free - 1 WHERE id = '1'");
        const auto waiting = clients.start(*clients.second, "UPDATE beds SET free = free - 1 WHERE id = '1'");
        clients.run(*clients.first, "UPDATE beds SET free = free - 1 WHERE id = '2'");
        clients.run(*clients.first, "COMMIT");
        clients.finish(*waiting);
        CHECK(stateOf(waiting->failure) == "none");
        CHECK(clients.free(*clients.first, "1") == "1");
    }

    TEST_CASE("a second insert of a key waits for the first and then fails, or passes after a rollback")
    {
        for (const auto* end : { "COMMIT", "ROLLBACK" }) {
            Clients clients;
            clients.run(*clients.first, "BEGIN");
            clients.run(*clients.first, "INSERT INTO beds VALUES ('3', 1)");
            const auto waiting = clients.start(*clients.second, "INSERT INTO beds VALUES ('3', 2)");
            clients.run(*clients.first, end);
            clients.finish(*waiting);
            CHECK(stateOf(waiting->failure) == (end == std::string { "COMMIT" } ? "23505" : "none"));
        }
    }

    TEST_CASE("a deadlock is broken")
    {
        Clients clients;
        clients.run(*clients.first, "BEGIN");
        clients.run(*clients.second, "BEGIN");
        clients.run(*clients.first, "UPDATE beds SET free = 0 WHERE id = '1'");
        clients.run(*clients.second, "UPDATE beds SET free = 0 WHERE id = '2'");
        const auto one = clients.start(*clients.first, "UPDATE beds SET free = 0 WHERE id = '2'");
        const auto other = clients.start(*clients.second, "UPDATE beds SET free = 0 WHERE id = '1'");
        clients.finish(*one);
        clients.finish(*other);
        const auto states = stateOf(one->failure) + ' ' + stateOf(other->failure);
        CHECK((states == "40P01 none" || states == "none 40P01"));
    }

    TEST_CASE("a transaction begun before a slot lost and regained its role does not commit")
    {
        // A primary is deposed, follows, and is promoted again while a client still holds its old
        // transaction. Committed now, its writes would rest on rows that the slot has since dropped.
        const Instant start {};
        GroupModel group { { "a", "b" }, {}, start };
        auto& a = group.slot("a");
        auto& b = group.slot("b");
        TransactionBuffer buffer;
        buffer.add(
            { .table = "t", .created = TableSchema { .columns = { "id" }, .primaryKey = {} }, .values = {} });
        const auto begunIn = a.progress().term;
        group.fence(a, Term { 2 });
        group.fence(b, Term { 2 });
        group.promote(b, Term { 2 }, start);
        group.follow(a, Term { 2 }, "b", start);
        group.fence(b, Term { 3 });
        group.fence(a, Term { 3 });
        group.promote(a, Term { 3 }, start);
        CHECK_THROWS_AS(group.commit(a, buffer, begunIn, start), SqlError);
        CHECK_NOTHROW(group.commit(a, buffer, Term { 3 }, start));
        CHECK_THROWS_AS((void)group.promote(b, Term { 2 }, start), SqlError);
        CHECK_THROWS_AS((void)group.follow(b, Term { 2 }, "a", start), SqlError);
    }
}
