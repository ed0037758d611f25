#include <cyclamendrift/commits/confirmation_tracker.h>

#include <doctest/doctest.h>

#include <vector>

using namespace cyclamendrift;

namespace {

const SlotName a { "a" };
const SlotName b { "b" };
const SlotName c { "c" };
const Instant start { std::chrono::seconds { 100 } };

Progress progressAt(std::uint64_t term, std::uint64_t position)
{
    return { .term = Term { term }, .position = LogPosition { position } };
}

StatusSample sampleFrom(const SlotName& slot, Progress progress, Instant when = start)
{
    return { .slot = slot,
        .status = { .progress = progress, .fenced = progress.term },
        .askedAt = when,
        .receivedAt = when };
}

GroupView viewOf(std::uint64_t term, const SlotName& primary, std::vector<SlotName> slots,
    std::vector<SlotName> inSync = {}, Progress base = {})
{
    return { .phase = GroupView::Phase::Serving,
        .term = Term { term },
        .primary = primary,
        .slots = std::move(slots),
        .inSync = std::move(inSync),
        .base = base };
}

} // namespace

TEST_SUITE("confirmation tracker")
{
    // The primary commits and fails before any replica has the commit. A caller that had been told "done"
    // would find its write lost after the promotion.
    TEST_CASE("a commit in a group of three is confirmed by one replica")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b, c }));
        const auto ticket = tracker.add({ .progress = progressAt(1, 10) });
        CHECK(tracker.take(start).confirmed.empty());
        tracker.observe(sampleFrom(b, progressAt(1, 9)));
        CHECK(tracker.take(start).confirmed.empty());
        tracker.observe(sampleFrom(c, progressAt(1, 10)));
        CHECK(tracker.take(start).confirmed == std::vector { ticket });
    }

    // After a promotion a replica reports a high position in the new term. Counting it for a commit of the
    // old primary would acknowledge a commit that the new log does not hold.
    TEST_CASE("a replica in another term does not confirm a commit")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b, c }));
        std::ignore = tracker.add({ .progress = progressAt(1, 10) });
        tracker.observe(sampleFrom(b, progressAt(2, 50)));
        CHECK(tracker.take(start).confirmed.empty());
    }

    // A replica is fenced for the next term, and an earlier status of it arrives after the newer one. The
    // earlier status must not confirm a commit of the replaced primary.
    TEST_CASE("a fenced replica does not confirm even if an older sample arrives late")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b, c }));
        std::ignore = tracker.add({ .progress = progressAt(1, 10) });
        auto fenced = sampleFrom(b, progressAt(1, 10), start + std::chrono::milliseconds { 5 });
        fenced.status.fenced = Term { 2 };
        tracker.observe(fenced);
        tracker.observe(sampleFrom(b, progressAt(1, 10)));
        CHECK(tracker.take(start).confirmed.empty());
    }

    // In a group of two the replica has failed. Acknowledging without it before the record has removed it
    // from the in-sync set would lose the commit if the replica were promoted.
    TEST_CASE("a commit in a group of two is confirmed by its in-sync set")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b }, { a, b }));
        const auto ticket = tracker.add({ .progress = progressAt(1, 10) });
        CHECK(tracker.take(start).confirmed.empty());
        tracker.setView(viewOf(1, a, { a, b }, { a }));
        CHECK(tracker.take(start).confirmed == std::vector { ticket });
        std::ignore = tracker.add({ .progress = progressAt(2, 10) });
        CHECK(tracker.take(start).confirmed.empty());
    }

    // The primary fails while commits are pending. Those that the promoted replica holds are confirmed once
    // another slot has them too; the others are unconfirmed at once, since their outcome is unknown.
    TEST_CASE("a promotion keeps pending commits within the promoted log and drops those beyond it")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b, c }));
        const auto kept = tracker.add({ .progress = progressAt(1, 10) });
        const auto dropped = tracker.add({ .progress = progressAt(1, 11) });
        tracker.setView(viewOf(2, b, { a, b, c }, {}, progressAt(1, 10)));
        const auto first = tracker.take(start);
        CHECK(first.confirmed.empty());
        CHECK(first.unconfirmed == std::vector { dropped });
        tracker.observe(sampleFrom(c, progressAt(2, 12)));
        CHECK(tracker.take(start).confirmed == std::vector { kept });
    }

    // A partitioned primary answers a read after another one was promoted. Samples of replicas from before
    // the read do not prove that it was still the primary.
    TEST_CASE("a primary read is confirmed only by a sample requested after it was sent")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b, c }));
        tracker.observe(sampleFrom(b, progressAt(1, 10), start));
        const auto later = start + std::chrono::milliseconds { 1 };
        const auto ticket = tracker.add({ .progress = progressAt(1, 10), .notBefore = later });
        CHECK(tracker.take(later).confirmed.empty());
        tracker.observe(sampleFrom(b, progressAt(1, 10), later));
        CHECK(tracker.take(later).confirmed == std::vector { ticket });
    }

    // A replaced primary is reachable again and answers a read while its proxy still has the old view; then
    // the proxy learns of the promotion. Everything that the read returned was kept, but newer commits are
    // missing.
    TEST_CASE("a pending primary read is unconfirmed after a promotion")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b }, { a, b }));
        const auto ticket = tracker.add({ .progress = progressAt(1, 10), .notBefore = start });
        tracker.setView(viewOf(2, b, { a, b }, { b }, progressAt(1, 10)));
        const auto settled = tracker.take(start);
        CHECK(settled.confirmed.empty());
        CHECK(settled.unconfirmed == std::vector { ticket });
    }

    // Right after a commit its slot was fenced and made to follow another primary, which lacks the commit.
    // The status read next has a position that every replica will confirm, but in another log.
    TEST_CASE("a commit is unconfirmed at once if its slot is no longer the primary")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(2, b, { a, b, c }));
        tracker.observe(sampleFrom(c, progressAt(2, 30)));
        const auto status = sampleFrom(a, progressAt(2, 20)).status;
        const auto ticket = tracker.add(ConfirmationTracker::afterCommit(status, Instant::max()));
        const auto settled = tracker.take(start);
        CHECK(settled.confirmed.empty());
        CHECK(settled.unconfirmed == std::vector { ticket });
    }

    // No replica answers. The caller must learn at its deadline that the outcome is unknown, and not later.
    TEST_CASE("a pending commit is unconfirmed at its deadline")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b, c }));
        const auto deadline = start + std::chrono::seconds { 1 };
        const auto ticket = tracker.add({ .progress = progressAt(1, 10), .deadline = deadline });
        CHECK(tracker.nextDeadline() == deadline);
        CHECK(tracker.take(start).unconfirmed.empty());
        CHECK(tracker.take(deadline).unconfirmed == std::vector { ticket });
    }
}
