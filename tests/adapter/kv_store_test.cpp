#include "kv_server.h"

#include <platform/kv_store.h>

#include <cyclamendrift/platform/store_error.h>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/use_future.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <future>
#include <string>
#include <utility>
#include <variant>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Runs one call to completion and returns its result.
template <class Result> Result finish(asio::io_context& context, asio::awaitable<Result> call)
{
    auto result = asio::co_spawn(context, std::move(call), asio::use_future);
    context.restart();
    while (result.wait_for(std::chrono::seconds { 0 }) != std::future_status::ready)
        context.run_one();
    return result.get();
}

} // namespace

TEST_SUITE("the platform's store")
{
    TEST_CASE("a swap that conflicts with another one returns the current entry")
    {
        // Two VMs acquire a coordinator lease at once. Guards against a conflict that is taken for a failure
        // of the store, after which the other VM would pause and delay the failover.
        asio::io_context context;
        KvServer server { context };
        platform::KvStore store { context.get_executor(), { .address = server.address() } };
        SwapOptions first { .key = "duty/register", .expectedRevision = 0, .value = "vm-1" };
        SwapOptions second { .key = "duty/register", .expectedRevision = 0, .value = "vm-2" };
        const auto won = finish(context, store.compareAndSwap(std::move(first)));
        REQUIRE(std::holds_alternative<Swapped>(won));
        const auto lost = finish(context, store.compareAndSwap(std::move(second)));
        REQUIRE(std::holds_alternative<SwapConflict>(lost));
        const auto& current = std::get<SwapConflict>(lost).current;
        REQUIRE(current.has_value());
        CHECK(current->key == "duty/register");
        CHECK(current->value == "vm-1");
        CHECK(current->revision == std::get<Swapped>(won).revision);
    }

    TEST_CASE("a document whose transfer takes longer than the time limit of a call is read")
    {
        // Guards against a VM with a slow link that can never read a large configuration from the store.
        asio::io_context context;
        KvServer server { context };
        constexpr std::size_t documentBytes = 180'000;
        server.bytesPerSecond = 400'000;
        const std::string document(documentBytes, 'r');
        server.put("op/config", document);
        platform::KvStore store { context.get_executor(),
            { .address = server.address(), .callTimeout = 400ms } };
        const auto listing = finish(context, store.listing("op/", ReadFreshness::Linearizable));
        REQUIRE(listing.entries.size() == 1);
        CHECK(listing.entries.front().value == document);
    }

    TEST_CASE("an answer of the store that stops halfway is given up after the time limit of a call")
    {
        // Guards against a VM that waits for an answer on a connection which has gone silent.
        asio::io_context context;
        KvServer server { context };
        server.bytesPerSecond = 400'000;
        server.stallAfter = 20'000;
        server.put("op/config", std::string(180'000, 'r'));
        platform::KvStore store { context.get_executor(),
            { .address = server.address(), .callTimeout = 400ms } };
        const auto askedAt = std::chrono::steady_clock::now();
        CHECK_THROWS_AS(finish(context, store.listing("op/", ReadFreshness::Linearizable)), StoreError);
        CHECK(std::chrono::steady_clock::now() - askedAt < 1200ms);
    }
}
