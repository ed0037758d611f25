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
    // A shop places an order and looks it up while the replica lags. Read there, the order would seem lost.
    TEST_CASE("a session read goes only to a replica that covers the session")
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

    // The primary is out of reach and its last known position was covered long ago. The replica's data age
    // although its own answers are fresh; a listing marked "at most 2 s old" would be a false promise.
    TEST_CASE("the age of a replica grows while the primary is silent, from when it was asked")
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

    // The replicas fall silent for a while after the primary answered a read. When they confirm it at last,
    // its rows are older than the caller allows.
    TEST_CASE("a bounded read at the primary is given up when its rows have grown too old")
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

    // A deposed primary still holds records that were never confirmed, until it follows the new one. A read
    // from it would show what is about to vanish.
    TEST_CASE("a fenced slot and a second primary are no replicas")
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
        // It was made to follow another primary between the two statuses and dropped its tail.
        CHECK_FALSE(tracker.provesFreshness(makeRequest(SessionRead {}, progressAt(1, 15)),
            makeStatus(progressAt(1, 20)), makeStatus(progressAt(2, 14)), start));
    }

    // A replica stops answering; its last status still looks good for a while.
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

    TEST_CASE("without a primary a read goes to a covering replica and a write is held")
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
