#include "kv_server.h"

#include <platform/kv_store.h>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/use_future.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <string>
#include <utility>
#include <variant>

using namespace cyclamendrift;

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
}
