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

/// Runs one call to its end and returns what it gave.
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
    TEST_CASE("a change that lost to another one tells what stands there")
    {
        // Two VMs take a group's duty in the same moment and the store lets one of them win. The other one
        // must learn who holds it from the answer; were the answer misread it would take the store for
        // broken, pause, and a failed primary would wait that much longer for its successor.
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
