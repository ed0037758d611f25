#include <coroutine.h>

#include <cyclamendrift/session_proxy/metered_store.h>
#include <standins/memory_store.h>

#include <cyclamendrift/platform/store_error.h>

#include <asio/io_context.hpp>

#include <doctest/doctest.h>

#include <string_view>

using namespace cyclamendrift;

namespace {

std::string_view purposeOf(std::string_view key)
{
    return key.starts_with("vms/") ? std::string_view { "vms" } : std::string_view { "other" };
}

std::uint64_t countOf(const MeteredStore& store, const MeteredStore::Kind& kind)
{
    const auto found = store.counts().find(kind);
    return found == store.counts().end() ? 0 : found->second;
}

} // namespace

TEST_SUITE("metered store")
{
    TEST_CASE("each call is counted once by operation and purpose")
    {
        asio::io_context context;
        standins::MemoryStore memory { context.get_executor() };
        MeteredStore store { { .store = memory, .purposeOf = &purposeOf } };
        SwapOptions swap { .key = "vms/a", .expectedRevision = 0, .value = "record" };
        static_cast<void>(runCoroutine(context, store.compareAndSwap(std::move(swap))));
        const auto listing = runCoroutine(context, store.listing("vms/", ReadFreshness::Linearizable));
        CHECK(listing.entries.size() == 1);
        static_cast<void>(runCoroutine(context, store.listing("vms/", ReadFreshness::MayLag)));
        static_cast<void>(runCoroutine(context, store.get("secret")));
        CHECK(countOf(store, { "swap", "vms" }) == 1);
        CHECK(countOf(store, { "list", "vms" }) == 1);
        CHECK(countOf(store, { "list_that_may_lag", "vms" }) == 1);
        CHECK(countOf(store, { "get", "other" }) == 1);
    }

    TEST_CASE("a failed call is counted, because the platform charges it")
    {
        asio::io_context context;
        standins::MemoryStore memory { context.get_executor() };
        memory.setOutage(true);
        MeteredStore store { { .store = memory, .purposeOf = &purposeOf } };
        const auto list = [&] {
            static_cast<void>(runCoroutine(context, store.listing("vms/", ReadFreshness::Linearizable)));
        };
        CHECK_THROWS_AS(list(), StoreError);
        CHECK(countOf(store, { "list", "vms" }) == 1);
    }
}
