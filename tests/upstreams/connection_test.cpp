#include "../coroutine.h"

#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/slot_control.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <standins/postgres_group.h>

#include <asio/ip/tcp.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;
using standins::PostgresGroup;

namespace {

/// A group of two slots and a context to talk to it on.
struct Bench {
    explicit Bench(PostgresGroup::Options options = { .slots = { { .name = "a" }, { .name = "b" } } })
        : group(std::move(options))
    {
    }

    static Instant soon() { return std::chrono::steady_clock::now() + 20s; }

    std::unique_ptr<Connection> open(const std::string& slot, Instant deadline = soon())
    {
        const Connection::Options options { .host = "127.0.0.1",
            .port = this->group.port(slot),
            .user = "proxy",
            .password = "",
            .databaseName = "beds" };
        return runCoroutine(this->context, Connection::open(this->context.get_executor(), options, deadline));
    }

    std::vector<RowSet> execute(
        Connection& connection, std::vector<Statement> statements, Instant deadline = soon())
    {
        return runCoroutine(this->context, connection.execute(statements, deadline));
    }

    RowSet run(Connection& connection, std::string text, std::vector<Value> parameters = {})
    {
        return this->execute(connection, { { std::move(text), std::move(parameters) } }).at(0);
    }

    PostgresGroup group;
    asio::io_context context;
};

template <class Action> UpstreamError failureOf(Action&& action)
{
    try {
        action();
    } catch (const UpstreamError& error) {
        return error;
    }
    FAIL("no UpstreamError was thrown");
    throw std::logic_error { "not reached" };
}

const Statement createBeds { "CREATE TABLE IF NOT EXISTS beds (id text PRIMARY KEY, patient text)", {} };

} // namespace

TEST_SUITE("connection to an upstream")
{
    TEST_CASE("a pipeline returns one whole answer for each statement, in order")
    {
        Bench bench;
        const auto connection = bench.open("a");
        const auto answers = bench.execute(*connection,
            { createBeds, { "INSERT INTO beds (id, patient) VALUES ($1, $2)", { "bed 1", std::nullopt } },
                { "SELECT * FROM beds WHERE id = $1", { "bed 1" } }, { "SELECT $1", { "it's" } } });
        REQUIRE(answers.size() == 4);
        CHECK(answers[1].affectedRows == 1);
        CHECK(answers[2].columns == std::vector<std::string> { "id", "patient" });
        REQUIRE(answers[2].rows.size() == 1);
        CHECK(answers[2].rows[0][0] == "bed 1");
        CHECK_FALSE(answers[2].rows[0][1].has_value());
        CHECK(answers[3].rows.at(0).at(0) == "it's");
        CHECK(connection->isClean());
    }

    TEST_CASE("an answer of many megabytes arrives whole while a large pipeline is still being sent")
    {
        // Both ends fill their socket buffers: a client that only writes until all is sent would wait for a
        // server that waits for it. A caller would see its request hang until the deadline.
        Bench bench;
        const auto connection = bench.open("a");
        const std::string large(1U << 20U, 'x');
        std::vector<Statement> statements(12, Statement { "SELECT $1", { large } });
        const auto answers = bench.execute(*connection, statements);
        REQUIRE(answers.size() == statements.size());
        for (const auto& answer : answers)
            CHECK(answer.rows.at(0).at(0) == large);
    }

    TEST_CASE("a failed statement aborts the rest of its pipeline and leaves the connection usable")
    {
        // A duplicate key in the middle of a pipeline: the database refuses everything up to the sync. Were
        // the answers not read to the sync, the next caller would get this one's.
        Bench bench;
        const auto connection = bench.open("a");
        bench.execute(*connection, { createBeds, { "INSERT INTO beds (id) VALUES ('bed 1')", {} } });
        const auto error = failureOf([&] {
            bench.execute(*connection,
                { { "SELECT 1", {} }, { "INSERT INTO beds (id) VALUES ('bed 1')", {} },
                    { "INSERT INTO beds (id) VALUES ('bed 2')", {} } });
        });
        CHECK(error.kind() == UpstreamError::Kind::StatementFailed);
        CHECK(error.sqlState() == "23505");
        CHECK(connection->isClean());
        CHECK(bench.run(*connection, "SELECT count(*) FROM beds").rows[0][0] == "1");
    }

    TEST_CASE("a transaction left open or failed makes the connection not clean")
    {
        // A caller vanishes between BEGIN and COMMIT, or a statement of its transaction fails. Handed on as
        // it is, the connection would run the next caller's statements inside that transaction.
        Bench bench;
        const auto connection = bench.open("a");
        bench.run(*connection, "BEGIN");
        CHECK_FALSE(connection->isClean());
        failureOf([&] { bench.run(*connection, "SELECT * FROM missing"); });
        CHECK_FALSE(connection->isClean());
        const auto error = failureOf([&] { bench.run(*connection, " commit"); });
        CHECK(error.kind() == UpstreamError::Kind::StatementFailed);
        CHECK(error.sqlState() == "25P02");
        CHECK(connection->isClean());
    }

    TEST_CASE("a statement with a zero byte is refused and not cut short")
    {
        // libpq takes text up to the first zero byte. A caller's "... WHERE id = 'x'\0 AND ..." would run
        // without its second condition.
        Bench bench;
        const auto connection = bench.open("a");
        const auto before = bench.group.received().size();
        using namespace std::string_literals;
        const auto error = failureOf([&] { bench.run(*connection, "SELECT $1", { "a\0b"s }); });
        CHECK(error.kind() == UpstreamError::Kind::StatementFailed);
        CHECK(bench.group.received().size() == before);
        CHECK(connection->isClean());
    }

    TEST_CASE("a connection that went silent ends with TimedOut and is closed")
    {
        // Something between the two ends has lost track of the connection: what is sent arrives nowhere. The
        // caller must be told that the outcome is unknown, and the connection must not be used again.
        Bench bench;
        const auto connection = bench.open("a");
        bench.group.silence("a");
        const auto error = failureOf([&] {
            bench.execute(*connection, { { "SELECT 1", {} } }, std::chrono::steady_clock::now() + 50ms);
        });
        CHECK(error.kind() == UpstreamError::Kind::TimedOut);
        CHECK_FALSE(connection->isClean());
        const auto again = failureOf([&] { bench.run(*connection, "SELECT 1"); });
        CHECK(again.kind() == UpstreamError::Kind::ConnectFailed);
        const auto fresh = bench.open("a");
        CHECK(bench.run(*fresh, "SELECT 1").rows.size() == 1);
    }

    TEST_CASE("a slot that dies with a statement in flight ends it with ConnectionLost")
    {
        // The process of the database is killed while it works. Whether the statement took effect is unknown.
        Bench bench;
        const auto connection = bench.open("a");
        bench.group.slow("a", 1h);
        auto killer = std::thread { [&] {
            while (bench.group.received().find("doomed") == std::string::npos)
                std::this_thread::yield();
            bench.group.kill("a");
        } };
        const auto error = failureOf([&] { bench.run(*connection, "SELECT 'doomed'"); });
        killer.join();
        CHECK(error.kind() == UpstreamError::Kind::ConnectionLost);
        CHECK_FALSE(connection->isClean());
    }

    TEST_CASE("an idle connection notices that the other end has closed it")
    {
        // The database restarts while the connection waits in the pool. A statement sent into it would have
        // an unknown outcome for no need; seen in time, it just goes to another connection.
        Bench bench;
        const auto connection = bench.open("a");
        bench.group.kill("a");
        while (connection->isClean())
            bench.context.run_one();
        const auto error = failureOf([&] { bench.run(*connection, "SELECT 1"); });
        CHECK(error.kind() == UpstreamError::Kind::ConnectFailed);
    }

    TEST_CASE("an idle connection closes itself at its idle timeout")
    {
        Bench bench;
        const Connection::Options options { .host = "127.0.0.1",
            .port = bench.group.port("a"),
            .user = "proxy",
            .password = "",
            .databaseName = "beds",
            .idleTimeout = 20ms };
        const auto connection = runCoroutine(
            bench.context, Connection::open(bench.context.get_executor(), options, Bench::soon()));
        CHECK(connection->isClean());
        bench.context.restart();
        while (connection->isClean())
            bench.context.run_one();
        CHECK_FALSE(connection->isClean());
    }

    TEST_CASE("the cap of the upstream is told apart from a failed connect")
    {
        // All connections that the database allows are taken. That is no sign of a dead primary, and a home
        // that took it for one would start a failover under mere load.
        Bench bench { { .slots = { { .name = "a" } }, .maxConnections = 1 } };
        const auto first = bench.open("a");
        const auto error = failureOf([&] { bench.open("a"); });
        CHECK(error.kind() == UpstreamError::Kind::TooManyConnections);
        bench.group.refuse("a");
        CHECK(failureOf([&] { bench.open("a"); }).kind() == UpstreamError::Kind::ConnectFailed);
        CHECK(bench.run(*first, "SELECT 1").rows.size() == 1);
    }

    TEST_CASE("a connect that gets no answer ends at its deadline")
    {
        // A listener whose process is stopped still completes TCP handshakes; nothing further comes.
        Bench bench;
        const asio::ip::tcp::acceptor mute { bench.context, { asio::ip::address_v4::loopback(), 0 } };
        const Connection::Options options { .host = "127.0.0.1",
            .port = mute.local_endpoint().port(),
            .user = "proxy",
            .password = "",
            .databaseName = "beds" };
        const auto deadline = std::chrono::steady_clock::now() + 50ms;
        const auto error = failureOf([&] {
            runCoroutine(bench.context, Connection::open(bench.context.get_executor(), options, deadline));
        });
        CHECK(error.kind() == UpstreamError::Kind::ConnectFailed);
    }
}

TEST_SUITE("control of a slot")
{
    TEST_CASE("promotion fences the old term, drops what was not replicated and keeps the rest")
    {
        // The primary is cut off from its group, goes on taking writes, and another slot is promoted. What
        // only the old primary held is gone once it follows again; it must not confirm or commit in its old
        // term.
        Bench bench;
        const SlotControl control { {} };
        const auto a = bench.open("a");
        const auto b = bench.open("b");
        const auto status = [&](Connection& slot) {
            return runCoroutine(bench.context, control.status(slot, Bench::soon()));
        };
        bench.execute(*a, { createBeds, { "INSERT INTO beds (id) VALUES ('kept')", {} } });
        const auto replicated = status(*a).progress;
        CHECK(status(*b).progress == replicated);
        CHECK(status(*a).primary);
        bench.group.cut("a");
        bench.run(*a, "INSERT INTO beds (id) VALUES ('lost')");
        CHECK(status(*b).progress == replicated);

        const auto term = Term { 2 };
        runCoroutine(bench.context, control.fence(*a, term, Bench::soon()));
        runCoroutine(bench.context, control.fence(*b, term, Bench::soon()));
        const auto error = failureOf([&] { bench.run(*a, "INSERT INTO beds (id) VALUES ('refused')"); });
        CHECK(error.sqlState() == "25006");
        const auto promoted = runCoroutine(bench.context, control.promote(*b, term, Bench::soon()));
        CHECK(promoted.primary);
        CHECK(promoted.progress.term == term);

        const auto followed
            = runCoroutine(bench.context, control.follow(*a, term, SlotName { "b" }, Bench::soon()));
        CHECK_FALSE(followed.primary);
        // Still cut off, it has not seen the new term and must not say so.
        CHECK(followed.progress.term == Term { 1 });
        bench.group.join("a");
        CHECK(status(*a).progress == promoted.progress);
        const auto rows = bench.run(*a, "SELECT id FROM beds").rows;
        REQUIRE(rows.size() == 1);
        CHECK(rows[0][0] == "kept");
    }

    TEST_CASE("a lagging replica is not in the new term before it holds what the term began with")
    {
        // A replica far behind follows the new primary. Reading it as covering the new term at once would
        // show a session data from before its own writes.
        Bench bench { { .slots = { { .name = "a" }, { .name = "b" }, { .name = "c" } } } };
        const SlotControl control { {} };
        const auto a = bench.open("a");
        const auto b = bench.open("b");
        const auto c = bench.open("c");
        bench.group.lag("c", 1h);
        bench.execute(*a, { createBeds, { "INSERT INTO beds (id) VALUES ('acknowledged')", {} } });
        const Term term { 2 };
        bench.group.kill("a");
        runCoroutine(bench.context, control.fence(*b, term, Bench::soon()));
        runCoroutine(bench.context, control.promote(*b, term, Bench::soon()));
        const auto followed
            = runCoroutine(bench.context, control.follow(*c, term, SlotName { "b" }, Bench::soon()));
        CHECK(followed.progress.term == Term { 1 });
        bench.group.lag("c", 0ms);
        CHECK(runCoroutine(bench.context, control.status(*c, Bench::soon())).progress.term == term);
    }

    TEST_CASE("a status in another form is refused and not guessed at")
    {
        // The options name SQL that returns something else. Read loosely, it could confirm a commit.
        RowSet answer { .columns = { "term" }, .rows = { { "1" } } };
        CHECK_THROWS_AS((void)SlotControl::parse(answer), UpstreamError);
        answer.rows = { { "1", "2x", "1", "t" } };
        CHECK_THROWS_AS((void)SlotControl::parse(answer), UpstreamError);
        answer.rows = { { "1", "2", std::nullopt, "t" } };
        CHECK_THROWS_AS((void)SlotControl::parse(answer), UpstreamError);
        answer.rows = { { "1", "2", "1", "yes" } };
        CHECK_THROWS_AS((void)SlotControl::parse(answer), UpstreamError);
        answer.rows = { { "1", "2", "3", "f" } };
        CHECK(SlotControl::parse(answer).fenced == Term { 3 });
    }
}
