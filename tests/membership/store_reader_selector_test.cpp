#include "vm_names.h"

#include <cyclamendrift/membership/store_reader_selector.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// Number of VMs that read the store themselves, if each of the others skips the first VM when it fails.
std::size_t countStoreReaders(std::size_t vms, std::size_t readers, bool firstReaderFails)
{
    const Instant now { 100s };
    std::size_t storeReaders = 0;
    const auto order = makeVmNames(vms);
    for (std::size_t rank = 0; rank < vms; ++rank) {
        StoreReaderSelector selector;
        selector.setOrder(order, readers);
        if (firstReaderFails && rank != 0)
            selector.skipWithBackoff(order[0], 1s, now);
        storeReaders += selector.readerFor(order[rank], rank, now) ? 0 : 1;
    }
    return storeReaders;
}

} // namespace

TEST_SUITE("store reader selection")
{
    TEST_CASE("the first VMs of the order read the store, the others are spread over them")
    {
        // Guards against store calls that grow with the number of VMs, and against one reader that serves all
        // of them.
        CHECK(countStoreReaders(81, 2, false) == 2);
        StoreReaderSelector selector;
        selector.setOrder(makeVmNames(81), 2);
        const Instant now { 100s };
        CHECK(selector.readerFor(VmName { "vm-40" }, 40, now) == VmName { "vm-0" });
        CHECK(selector.readerFor(VmName { "vm-41" }, 41, now) == VmName { "vm-1" });
    }

    TEST_CASE("one VM replaces a reader that the store refuses")
    {
        // Guards against every VM reading the store itself when the store refuses a reader or does not answer
        // it. 80 VMs would then read three times per second: store calls cost money, and the excess load
        // makes the store refuse calls of coordinators, whose lease depends on them.
        CHECK(countStoreReaders(81, 2, true) == 3);
        CHECK(countStoreReaders(6, 1, true) == 2);
    }

    TEST_CASE("readers and their standbys are the first VMs of the order")
    {
        // Guards against too many VMs that keep calling the store while it is unavailable.
        StoreReaderSelector selector;
        selector.setOrder(makeVmNames(81), 2);
        CHECK(selector.isReaderOrStandby(VmName { "vm-0" }, Instant { 100s }));
        CHECK(selector.isReaderOrStandby(VmName { "vm-4" }, Instant { 100s }));
        CHECK_FALSE(selector.isReaderOrStandby(VmName { "vm-5" }, Instant { 100s }));
        selector.setOrder(makeVmNames(2), 1);
        CHECK(selector.isReaderOrStandby(VmName { "vm-1" }, Instant { 100s }));
        CHECK_FALSE(selector.isReaderOrStandby(VmName { "vm-2" }, Instant { 100s }));
    }

    TEST_CASE("a skipped reader is asked again after its pause")
    {
        // Guards against a reader that is never asked again after one failure.
        StoreReaderSelector selector;
        selector.setOrder(makeVmNames(6), 1);
        const Instant now { 100s };
        selector.skipWithBackoff(VmName { "vm-0" }, 1s, now);
        CHECK(selector.readerFor(VmName { "vm-5" }, 5, now) == VmName { "vm-1" });
        CHECK_FALSE(selector.readerFor(VmName { "vm-1" }, 1, now));
        CHECK(selector.readerFor(VmName { "vm-5" }, 5, now + 1s) == VmName { "vm-0" });
    }

    TEST_CASE("a reader that does not answer is skipped with a growing pause until it answers")
    {
        // Guards against half of the fleet waiting for a timeout every second while a partition lasts.
        StoreReaderSelector selector;
        selector.setOrder(makeVmNames(6), 1);
        const VmName self { "vm-5" };
        const VmName first { "vm-0" };
        const VmName second { "vm-1" };
        const Instant now { 100s };
        selector.skipWithBackoff(first, 1s, now);
        CHECK(selector.readerFor(self, 5, now + 1s) == first);
        selector.skipWithBackoff(first, 1s, now + 1s);
        CHECK(selector.readerFor(self, 5, now + 2900ms) == second);
        CHECK(selector.readerFor(self, 5, now + 3s) == first);
        selector.recordStoreRead(first);
        selector.skipWithBackoff(first, 1s, now + 3s);
        CHECK(selector.readerFor(self, 5, now + 4s) == first);
    }

    TEST_CASE("the next VMs replace readers that do not answer, in a store outage as well")
    {
        // Guards against every VM calling the store in an outage while most of the first VMs restart: VMs
        // that do not answer do not show that the store is unavailable.
        StoreReaderSelector selector;
        selector.setOrder(makeVmNames(195), 2);
        const Instant now { 100s };
        for (const auto* vm : { "vm-0", "vm-1", "vm-2", "vm-3" })
            selector.skipWithBackoff(VmName { vm }, 1s, now);
        CHECK(selector.isReaderOrStandby(VmName { "vm-8" }, now));
        CHECK_FALSE(selector.isReaderOrStandby(VmName { "vm-9" }, now));
        CHECK(selector.candidateToAsk(VmName { "vm-100" }, 0, now) == VmName { "vm-4" });
        CHECK(selector.candidateToAsk(VmName { "vm-4" }, 0, now) == VmName { "vm-5" });
        for (const auto* vm : { "vm-4", "vm-5", "vm-6" })
            selector.skipWithoutStore(VmName { vm }, now + 1s);
        CHECK(selector.storeSeemsUnavailable(now));
    }

    TEST_CASE("a VM without a reader to ask reads the store itself")
    {
        // Guards against a VM that gets no store snapshot from anyone.
        StoreReaderSelector selector;
        CHECK_FALSE(selector.readerFor(VmName { "vm-0" }, 0, Instant { 100s }));
        selector.setOrder(makeVmNames(2), 1);
        selector.skipWithBackoff(VmName { "vm-0" }, 1s, Instant { 100s });
        CHECK_FALSE(selector.readerFor(VmName { "vm-1" }, 1, Instant { 100s }));
    }
}
