#include "../coroutine.h"

#include <cyclamendrift/platform/etcd_store.h>
#include <cyclamendrift/platform/http_vm_list.h>
#include <cyclamendrift/platform/store_error.h>

#include <standins/memory_store.h>
#include <standins/store_server.h>

#include <asio/ip/tcp.hpp>
#include <asio/use_awaitable.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <exception>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;
using standins::MemoryStore;
using standins::StoreServer;

namespace {

std::string localUrl(std::uint16_t port) { return "http://127.0.0.1:" + std::to_string(port); }

/// The stand-in of the platform, reached once directly and once over HTTP.
struct Platform {
    explicit Platform(Duration callTimeout = 20s)
        : server(context, 0)
        , etcd(context.get_executor(),
              { .url = localUrl(server.port()), .connectTimeout = 20s, .callTimeout = callTimeout })
    {
    }

    template <class Result> Result run(asio::awaitable<Result> call)
    {
        return runCoroutine(this->context, std::move(call));
    }

    std::uint64_t swap(const std::string& key, std::uint64_t expected, std::optional<std::string> value,
        LeaseId lease = LeaseId::None)
    {
        const auto outcome = this->run(this->etcd.compareAndSwap(
            { .key = key, .expectedRevision = expected, .value = std::move(value), .lease = lease }));
        return std::get<Swapped>(outcome).revision;
    }

    asio::io_context context;
    StoreServer server;
    EtcdStore etcd;
};

template <class Action> StoreError::Kind kindOf(Action&& action)
{
    try {
        action();
    } catch (const StoreError& error) {
        return error.kind();
    }
    FAIL("no StoreError was thrown");
    throw std::logic_error { "not reached" };
}

/// Collects the changes of a watch that runs beside the test.
struct Watching {
    Watching(Platform& platform, const std::string& prefix, std::uint64_t from)
    {
        asio::co_spawn(platform.context,
            platform.etcd.watch(
                prefix, from, [this](const StoreChange& change) { this->changes.push_back(change); }),
            [this](const std::exception_ptr& error) { this->ended = error; });
    }

    void awaitChanges(Platform& platform, std::size_t count)
    {
        platform.context.restart();
        while (this->changes.size() < count && !this->ended)
            platform.context.run_one();
        REQUIRE(this->changes.size() >= count);
    }

    StoreError::Kind awaitEnd(Platform& platform)
    {
        platform.context.restart();
        while (!this->ended)
            platform.context.run_one();
        return kindOf([this] { std::rethrow_exception(this->ended); });
    }

    std::vector<StoreChange> changes;
    std::exception_ptr ended;
};

} // namespace

TEST_SUITE("the store over etcd's gateway")
{
    TEST_CASE("values of any bytes come back as they were written, and a key can be deleted")
    {
        Platform platform;
        const std::string value { "\0\xff\"{}\n", 6 };
        CHECK_FALSE(platform.run(platform.etcd.get("group")).has_value());
        const auto revision = platform.swap("group", 0, value);
        const auto entry = platform.run(platform.etcd.get("group"));
        REQUIRE(entry.has_value());
        CHECK(entry->value == value);
        CHECK(entry->revision == revision);
        platform.swap("group", revision, std::nullopt);
        CHECK_FALSE(platform.run(platform.etcd.get("group")).has_value());
    }

    TEST_CASE("a swap at the wrong revision changes nothing and shows what stands there")
    {
        // Two operators change the same thing at once. The second must see the first one's change and not
        // overwrite it.
        Platform platform;
        const auto revision = platform.swap("schema", 0, "first");
        const auto outcome = platform.run(
            platform.etcd.compareAndSwap({ .key = "schema", .expectedRevision = 0, .value = "second" }));
        const auto* conflict = std::get_if<SwapConflict>(&outcome);
        REQUIRE(conflict != nullptr);
        REQUIRE(conflict->current.has_value());
        CHECK(conflict->current->value == "first");
        CHECK(conflict->current->revision == revision);
        const auto missing = platform.run(
            platform.etcd.compareAndSwap({ .key = "gone", .expectedRevision = 7, .value = "x" }));
        CHECK_FALSE(std::get<SwapConflict>(missing).current.has_value());
    }

    TEST_CASE("a list holds the keys under its prefix and no others")
    {
        Platform platform;
        for (const auto* key : { "a", "a/1", "a/2", "b", "a0" })
            platform.swap(key, 0, key);
        const auto entries = platform.run(platform.etcd.list("a/"));
        REQUIRE(entries.size() == 2);
        CHECK(entries[0].key == "a/1");
        CHECK(entries[1].key == "a/2");
        CHECK(platform.run(platform.etcd.list("")).size() == 5);
    }

    TEST_CASE("a watch hands over each change from its revision on, deletions as well")
    {
        Platform platform;
        const auto first = platform.swap("a/1", 0, "one");
        const auto second = platform.swap("a/2", 0, "two");
        Watching watching { platform, "a/", second };
        watching.awaitChanges(platform, 1);
        CHECK(watching.changes[0].key == "a/2");
        platform.swap("b", 0, "elsewhere");
        platform.swap("a/1", first, std::nullopt);
        watching.awaitChanges(platform, 2);
        CHECK(watching.changes[1].key == "a/1");
        CHECK_FALSE(watching.changes[1].value.has_value());
        CHECK(watching.changes[1].revision > second);
    }

    TEST_CASE("each call counts once, a waiting watch included")
    {
        Platform platform;
        Watching watching { platform, "a/", 1 };
        platform.swap("a/1", 0, "one");
        watching.awaitChanges(platform, 1);
        (void)platform.run(platform.etcd.get("a/1"));
        CHECK(platform.server.store().calls().reads == 1);
        CHECK(platform.server.store().calls().writes == 1);
        CHECK(platform.server.store().calls().watches == 1);
    }
}

TEST_SUITE("the store when it fails")
{
    TEST_CASE("an answer lost after the change took effect is NoAnswer, and the change is made once only")
    {
        // The store applies a change and the connection breaks before its answer. Over a kept connection
        // libcurl would send the change again by itself; its author would be told of a conflict with himself.
        Platform platform;
        (void)platform.run(platform.etcd.get("warm up the connection"));
        platform.server.store().loseAnswers(1);
        CHECK(kindOf([&] { platform.swap("key", 0, "author 1"); }) == StoreError::Kind::NoAnswer);
        CHECK(platform.server.store().calls().writes == 1);
        CHECK(platform.run(platform.etcd.get("key"))->value == "author 1");
    }

    TEST_CASE("a store that cannot be connected to had no part in the call")
    {
        // The store's machine is gone. Nothing was sent, so a change is known not to have taken effect.
        asio::io_context context;
        std::uint16_t port = 0;
        {
            const asio::ip::tcp::acceptor acceptor { context, { asio::ip::address_v4::loopback(), 0 } };
            port = acceptor.local_endpoint().port();
        }
        EtcdStore store { context.get_executor(), { .url = localUrl(port) } };
        CHECK(
            kindOf([&] { (void)runCoroutine(context, store.get("key")); }) == StoreError::Kind::Unreachable);
    }

    TEST_CASE("a store that is too slow ends the call at its timeout, and the change may come true later")
    {
        Platform platform { 50ms };
        platform.server.store().slow(300ms);
        CHECK(kindOf([&] { platform.swap("key", 0, "late"); }) == StoreError::Kind::NoAnswer);
        platform.context.restart();
        while (platform.server.store().revision() == 1)
            platform.context.run_one();
        platform.server.store().slow({});
        CHECK(platform.run(platform.etcd.get("key"))->value == "late");
    }

    TEST_CASE("an answer that is cut or malformed is not taken for one")
    {
        // A proxy in the way cuts an answer or puts an error page of its own in its place. What the change
        // did is unknown then; what a read would have shown is just not known.
        Platform platform;
        platform.server.cutNextAnswer(60);
        CHECK(kindOf([&] { platform.swap("cut", 0, "x"); }) == StoreError::Kind::NoAnswer);
        platform.server.replaceNextAnswer("<html>Bad gateway</html>");
        CHECK(kindOf([&] { platform.swap("page", 0, "x"); }) == StoreError::Kind::NoAnswer);
        platform.server.replaceNextAnswer(R"({"succeeded":false})");
        CHECK(kindOf([&] { platform.swap("half", 0, "x"); }) == StoreError::Kind::NoAnswer);
        platform.server.replaceNextAnswer(R"({"kvs":[{"key":"b3RoZXI=","mod_revision":"3"}]})");
        CHECK(kindOf([&] { (void)platform.run(platform.etcd.get("cut")); }) == StoreError::Kind::BadAnswer);
        platform.server.replaceNextAnswer("[]");
        CHECK(kindOf([&] { (void)platform.run(platform.etcd.list("")); }) == StoreError::Kind::BadAnswer);
        CHECK(platform.run(platform.etcd.list("")).size() == 3);
    }

    TEST_CASE("a lease that has lapsed takes its keys along and says so to its holder")
    {
        // The holder was paused for longer than its lease. Told nothing, it would go on acting on keys that
        // others hold by now.
        Platform platform;
        const auto lease = platform.run(platform.etcd.grantLease(1h));
        platform.swap("held", 0, "mine", lease);
        platform.run(platform.etcd.keepAlive(lease));
        platform.server.store().lapse(lease);
        CHECK_FALSE(platform.run(platform.etcd.get("held")).has_value());
        CHECK(kindOf([&] { platform.run(platform.etcd.keepAlive(lease)); }) == StoreError::Kind::LeaseGone);
        CHECK(kindOf([&] { platform.run(platform.etcd.revokeLease(lease)); }) == StoreError::Kind::LeaseGone);
        CHECK(kindOf([&] { platform.swap("held", 0, "mine", lease); }) == StoreError::Kind::LeaseGone);
    }

    TEST_CASE("a lease lapses by itself when nobody renews it")
    {
        Platform platform;
        const auto lease = platform.run(platform.etcd.grantLease(1ms));
        const auto held = platform.swap("held", 0, "mine", lease);
        Watching watching { platform, "held", held + 1 };
        watching.awaitChanges(platform, 1);
        CHECK_FALSE(watching.changes[0].value.has_value());
    }

    TEST_CASE("a watch that breaks or asks for too old revisions says so")
    {
        // An outage ends every watch; one that kept still would look like a store without changes.
        Platform platform;
        platform.swap("a", 0, "x");
        Watching broken { platform, "a", 1 };
        broken.awaitChanges(platform, 1);
        platform.server.store().setOutage(true);
        CHECK(broken.awaitEnd(platform) == StoreError::Kind::NoAnswer);
        platform.server.store().setOutage(false);
        platform.server.store().compact(2);
        Watching late { platform, "a", 1 };
        CHECK(late.awaitEnd(platform) == StoreError::Kind::Compacted);
    }

    TEST_CASE("a watch without news ends at its timeout, as a silent one could not be told from it")
    {
        asio::io_context context;
        StoreServer server { context, 0 };
        EtcdStore store { context.get_executor(), { .url = localUrl(server.port()), .watchTimeout = 50ms } };
        CHECK(kindOf([&] { runCoroutine(context, store.watch("a", 0, [](const StoreChange&) {})); })
            == StoreError::Kind::NoAnswer);
    }
}

TEST_SUITE("the list of VMs")
{
    TEST_CASE("each entry is read with its zone, port and whether it is leaving")
    {
        Platform platform;
        platform.server.setVms(
            R"([{"name":"vm-1","availability_zone":"palermo","address":"10.0.0.1","port":7100},
            {"name":"beds-a","address":"10.0.0.9","port":5432,"leaving":true,"upstream":true,"rack":"new field"}])");
        HttpVmList list { platform.context.get_executor(),
            { .url = localUrl(platform.server.port()) + "/vms" } };
        const auto vms = platform.run(list.fetch());
        REQUIRE(vms.size() == 2);
        CHECK(vms[0].zone == ZoneName { "palermo" });
        CHECK(vms[0].port == 7100);
        CHECK_FALSE(vms[0].leaving);
        CHECK(vms[1].upstream);
        CHECK(vms[1].leaving);
    }

    TEST_CASE("a list that cannot be read whole is refused whole")
    {
        // A broken entry passed over would look like a VM that is gone, and its homes would move for nothing.
        Platform platform;
        HttpVmList list { platform.context.get_executor(),
            { .url = localUrl(platform.server.port()) + "/vms" } };
        for (const auto* text : { R"([{"name":"vm-1","address":"10.0.0.1"}])", R"([{"name":"vm-1")", "",
                 R"({"a":1})", R"([{"name":"vm-1","address":"10.0.0.1","port":70000}])" }) {
            CAPTURE(text);
            platform.server.setVms(text);
            CHECK(kindOf([&] { (void)platform.run(list.fetch()); }) == StoreError::Kind::BadAnswer);
        }
    }
}

TEST_SUITE("the store in memory")
{
    TEST_CASE("it fails as the real one: an outage before, a lost answer after the effect")
    {
        // Tests of other packages trust this stand-in; a lost answer that undid its change would hide their
        // faults.
        asio::io_context context;
        MemoryStore store { context.get_executor() };
        const SwapOptions change { .key = "key", .expectedRevision = 0, .value = "x" };
        store.setOutage(true);
        CHECK(kindOf([&] { (void)runCoroutine(context, store.compareAndSwap(change)); })
            == StoreError::Kind::Unreachable);
        store.setOutage(false);
        CHECK_FALSE(runCoroutine(context, store.get("key")).has_value());
        store.loseAnswers(1);
        CHECK(kindOf([&] { (void)runCoroutine(context, store.compareAndSwap(change)); })
            == StoreError::Kind::NoAnswer);
        CHECK(runCoroutine(context, store.get("key")).has_value());
        CHECK(store.calls().writes == 2);
        CHECK(store.calls().reads == 2);
    }
}
