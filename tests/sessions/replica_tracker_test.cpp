#include <cyclamendrift/sessions/primary_read.h>
#include <cyclamendrift/sessions/replica_tracker.h>

#include <doctest/doctest.h>

#include <chrono>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const SlotName slotA { "a" };
const SlotName slotB { "b" };
const Instant start { 100s };

Progress progressAt(std::uint64_t term, std::uint64_t position)
{
    return { .term = Term { term }, .position = LogPosition { position } };
}

SlotStatus makeStatus(Progress progress, bool primary = false)
{
    return { .progress = progress, .fenced = progress.term, .primary = primary };
}

StatusSample makeSample(const SlotName& slot, SlotStatus status, Instant asked, Instant received)
{
    return { .slot = slot, .status = status, .askedAt = asked, .receivedAt = received };
}

ReplicaTracker makeTwoSlotTracker()
{
    ReplicaTracker tracker { {} };
    tracker.setView({ .phase = GroupView::Phase::Serving,
        .term = Term { 1 },
        .primary = slotA,
        .slots = { slotA, slotB },
        .inSync = { slotA, slotB } });
    return tracker;
}

ReplicaTracker::Request makeRequest(Access access, Progress seen = {})
{
    return { .access = access, .seen = seen, .arrivedAt = start };
}

} // namespace

TEST_SUITE("replica tracker")
{
    // Guards against a read from a lagging replica that does not show the session's own write.
    TEST_CASE("a session read goes only to a replica that has reached the session's progress")
    {
        RandomSource random { 1 };
        auto tracker = makeTwoSlotTracker();
        tracker.observe(makeSample(slotB, makeStatus(progressAt(1, 10)), start, start));
        const auto covered
            = tracker.selectSlot(makeRequest(SessionRead {}, progressAt(1, 10)), start, random);
        CHECK(std::holds_alternative<ReadFromReplica>(covered));
        const auto uncovered = makeRequest(SessionRead {}, progressAt(1, 11));
        CHECK(std::holds_alternative<WaitForReplica>(tracker.selectSlot(uncovered, start, random)));
        CHECK(std::holds_alternative<UsePrimary>(tracker.selectSlot(uncovered, start + 5ms, random)));
        CHECK_FALSE(tracker.provesFreshness(
            uncovered, makeStatus(progressAt(1, 10)), makeStatus(progressAt(1, 11)), start));
        CHECK(tracker.provesFreshness(
            uncovered, makeStatus(progressAt(1, 11)), makeStatus(progressAt(1, 11)), start));
    }

    // Guards against a bounded read returning rows beyond its bound: while the primary cannot be reached, a
    // replica's rows become stale although its own statuses are recent.
    TEST_CASE("staleness counts from the primary's last status request while the primary is unreachable")
    {
        RandomSource random { 1 };
        auto tracker = makeTwoSlotTracker();
        tracker.observe(makeSample(slotA, makeStatus(progressAt(1, 10), true), start, start + 300ms));
        const auto later = start + 2100ms;
        tracker.observe(makeSample(slotB, makeStatus(progressAt(1, 10)), later, later));
        CHECK(tracker.stalenessBound(makeStatus(progressAt(1, 10)), later) == Duration { 2100ms });
        CHECK_FALSE(tracker.stalenessBound(makeStatus(progressAt(1, 9)), later).has_value());
        const BoundedRead twoSeconds { .maxStaleness = 2s };
        CHECK_FALSE(tracker.provesFreshness(
            makeRequest(twoSeconds), makeStatus(progressAt(1, 10)), makeStatus(progressAt(1, 10)), later));
        CHECK(std::holds_alternative<UsePrimary>(tracker.selectSlot(makeRequest(twoSeconds), later, random)));
        CHECK(std::holds_alternative<ReadFromReplica>(
            tracker.selectSlot(makeRequest(BoundedRead { .maxStaleness = 3s }), later, random)));
    }

    // Guards against rows beyond the bound when the replicas confirm the primary only long after it has
    // answered the read.
    TEST_CASE("a bounded read at the primary expires when its rows exceed the bound")
    {
        const auto primaryStatus = makeStatus(progressAt(1, 10), true);
        const auto deadline = start + 8s;
        const auto bounded
            = makePrimaryReadOptions(BoundedRead { .maxStaleness = 1s }, primaryStatus, start, deadline);
        CHECK(bounded.deadline == start + 1s);
        CHECK(bounded.notBefore == start);
        CHECK(makePrimaryReadOptions(PrimaryRead {}, primaryStatus, start, deadline).notBefore == start);
        CHECK(makePrimaryReadOptions(SessionRead {}, primaryStatus, start, deadline).deadline == deadline);
        CHECK(makePrimaryReadOptions(PrimaryRead {}, makeStatus(progressAt(1, 10)), start, deadline).deadline
            < start);
    }

    // Guards against a read of records that are lost in a failover: a former primary keeps unconfirmed
    // records until it follows the new primary.
    TEST_CASE("a fenced slot and a second primary serve no replica reads")
    {
        RandomSource random { 1 };
        auto tracker = makeTwoSlotTracker();
        auto fenced = makeStatus(progressAt(1, 20));
        fenced.fenced = Term { 2 };
        tracker.observe(makeSample(slotB, fenced, start, start));
        CHECK(std::holds_alternative<UsePrimary>(
            tracker.selectSlot(makeRequest(SessionRead {}), start, random)));
        CHECK_FALSE(tracker.provesFreshness(makeRequest(SessionRead {}), fenced, fenced, start));
        CHECK_FALSE(tracker.provesFreshness(makeRequest(SessionRead {}), makeStatus(progressAt(1, 20), true),
            makeStatus(progressAt(1, 20), true), start));
        // The slot switched to another primary between the two statuses and truncated its log.
        CHECK_FALSE(tracker.provesFreshness(makeRequest(SessionRead {}, progressAt(1, 15)),
            makeStatus(progressAt(1, 20)), makeStatus(progressAt(2, 14)), start));
    }

    // Guards against reads at a replica that stopped answering after a status that had qualified it.
    TEST_CASE("a silent, failed or leaving replica gets no reads")
    {
        RandomSource random { 1 };
        auto tracker = makeTwoSlotTracker();
        tracker.observe(makeSample(slotB, makeStatus(progressAt(1, 10)), start, start));
        CHECK(std::holds_alternative<UsePrimary>(
            tracker.selectSlot(makeRequest(SessionRead {}), start + 2001ms, random)));
        tracker.failed(slotB);
        CHECK(std::holds_alternative<UsePrimary>(
            tracker.selectSlot(makeRequest(SessionRead {}), start, random)));
        tracker.observe(makeSample(slotB, makeStatus(progressAt(1, 10)), start + 1ms, start + 1ms));
        tracker.setView({ .phase = GroupView::Phase::Serving,
            .term = Term { 1 },
            .primary = slotA,
            .slots = { slotA, slotB },
            .leaving = { slotB } });
        CHECK(std::holds_alternative<UsePrimary>(
            tracker.selectSlot(makeRequest(SessionRead {}), start, random)));
    }

    TEST_CASE("without a primary a read goes to a replica that has reached its progress and a write waits")
    {
        RandomSource random { 1 };
        auto tracker = makeTwoSlotTracker();
        tracker.setView({ .phase = GroupView::Phase::FailingOver,
            .term = Term { 1 },
            .primary = slotA,
            .slots = { slotA, slotB } });
        tracker.observe(makeSample(slotB, makeStatus(progressAt(1, 10)), start, start));
        CHECK(std::holds_alternative<ReadFromReplica>(
            tracker.selectSlot(makeRequest(SessionRead {}, progressAt(1, 9)), start, random)));
        CHECK(std::holds_alternative<NoSlotAvailable>(
            tracker.selectSlot(makeRequest(Write {}), start, random)));
    }
}
