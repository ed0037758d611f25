#include "vm_names.h"

#include <cyclamendrift/membership/store_reader_selector.h>

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

/// How many VMs read the store for themselves when each of them passes over the first VM of the order.
std::size_t readingThemselves(std::size_t vms, std::size_t readers, bool firstOneFails)
{
    const Instant now { 100s };
    std::size_t reading = 0;
    const auto order = vmsOf(vms);
    for (std::size_t rank = 0; rank < vms; ++rank) {
        StoreReaderSelector choice;
        choice.setOrder(order, readers);
        if (firstOneFails && rank != 0)
            choice.skipWithBackoff(order[0], 1s, now);
        reading += choice.readerFor(order[rank], rank, now) ? 0 : 1;
    }
    return reading;
}

} // namespace

TEST_SUITE("who reads the store for the others")
{
    TEST_CASE("the first VMs of the order read, and the others spread over them")
    {
        CHECK(readingThemselves(81, 2, false) == 2);
        StoreReaderSelector choice;
        choice.setOrder(vmsOf(81), 2);
        const Instant now { 100s };
        CHECK(choice.readerFor(VmName { "vm-40" }, 40, now) == VmName { "vm-0" });
        CHECK(choice.readerFor(VmName { "vm-41" }, 41, now) == VmName { "vm-1" });
    }

    TEST_CASE("one VM takes the place of a reader that the store turns away")
    {
        // The store refuses the VM that reads for all, or answers it no more. If every other VM then read for
        // itself, 80 of them would ask three times a second, which is paid for, and what they ask too much is
        // refused to those whose duty hangs on it.
        CHECK(readingThemselves(81, 2, true) == 3);
        CHECK(readingThemselves(6, 1, true) == 2);
    }

    TEST_CASE("the readers and those that would take their place vouch for the others")
    {
        StoreReaderSelector choice;
        choice.setOrder(vmsOf(81), 2);
        CHECK(choice.isReaderOrStandby(VmName { "vm-0" }, Instant { 100s }));
        CHECK(choice.isReaderOrStandby(VmName { "vm-4" }, Instant { 100s }));
        CHECK_FALSE(choice.isReaderOrStandby(VmName { "vm-5" }, Instant { 100s }));
        choice.setOrder(vmsOf(2), 1);
        CHECK(choice.isReaderOrStandby(VmName { "vm-1" }, Instant { 100s }));
        CHECK_FALSE(choice.isReaderOrStandby(VmName { "vm-2" }, Instant { 100s }));
    }

    TEST_CASE("a reader that was passed over is asked again after its pause")
    {
        StoreReaderSelector choice;
        choice.setOrder(vmsOf(6), 1);
        const Instant now { 100s };
        choice.skipWithBackoff(VmName { "vm-0" }, 1s, now);
        CHECK(choice.readerFor(VmName { "vm-5" }, 5, now) == VmName { "vm-1" });
        CHECK_FALSE(choice.readerFor(VmName { "vm-1" }, 1, now));
        CHECK(choice.readerFor(VmName { "vm-5" }, 5, now + 1s) == VmName { "vm-0" });
    }

    TEST_CASE("a reader behind a partition is asked ever more seldom until it answers")
    {
        // Guards against a time limit that half of the fleet waits out every second while a partition lasts.
        StoreReaderSelector choice;
        choice.setOrder(vmsOf(6), 1);
        const VmName self { "vm-5" };
        const VmName first { "vm-0" };
        const VmName second { "vm-1" };
        const Instant now { 100s };
        choice.skipWithBackoff(first, 1s, now);
        CHECK(choice.readerFor(self, 5, now + 1s) == first);
        choice.skipWithBackoff(first, 1s, now + 1s);
        CHECK(choice.readerFor(self, 5, now + 2900ms) == second);
        CHECK(choice.readerFor(self, 5, now + 3s) == first);
        choice.recordStoreRead(first);
        choice.skipWithBackoff(first, 1s, now + 3s);
        CHECK(choice.readerFor(self, 5, now + 4s) == first);
    }

    TEST_CASE("while most of the first VMs restart, those after them take their place in an outage as well")
    {
        // Guards against a fleet that takes VMs which do not answer for a store that may be there, and tries
        // it with every VM.
        StoreReaderSelector choice;
        choice.setOrder(vmsOf(195), 2);
        const Instant now { 100s };
        for (const auto* vm : { "vm-0", "vm-1", "vm-2", "vm-3" })
            choice.skipWithBackoff(VmName { vm }, 1s, now);
        CHECK(choice.isReaderOrStandby(VmName { "vm-8" }, now));
        CHECK_FALSE(choice.isReaderOrStandby(VmName { "vm-9" }, now));
        CHECK(choice.candidateToAsk(VmName { "vm-100" }, 0, now) == VmName { "vm-4" });
        CHECK(choice.candidateToAsk(VmName { "vm-4" }, 0, now) == VmName { "vm-5" });
        for (const auto* vm : { "vm-4", "vm-5", "vm-6" })
            choice.skipWithoutStore(VmName { vm }, now + 1s);
        CHECK(choice.storeSeemsUnavailable(now));
    }

    TEST_CASE("a VM that can ask nobody reads for itself")
    {
        StoreReaderSelector choice;
        CHECK_FALSE(choice.readerFor(VmName { "vm-0" }, 0, Instant { 100s }));
        choice.setOrder(vmsOf(2), 1);
        choice.skipWithBackoff(VmName { "vm-0" }, 1s, Instant { 100s });
        CHECK_FALSE(choice.readerFor(VmName { "vm-1" }, 1, Instant { 100s }));
    }
}
