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

TEST_SUITE("acknowledgements")
{
    // A primary commits and dies before any replica has the commit. A caller who had been told "done" would
    // find the order gone after the promotion.
    TEST_CASE("a commit of three slots waits for one replica")
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

    // After a promotion a replica stands at a far position of the new term. Counted for a commit of the old
    // primary it would acknowledge what the new log does not hold.
    TEST_CASE("a replica of another term confirms nothing")
    {
        ConfirmationTracker tracker;
        tracker.setView(viewOf(1, a, { a, b, c }));
        std::ignore = tracker.add({ .progress = progressAt(1, 10) });
        tracker.observe(sampleFrom(b, progressAt(2, 50)));
        CHECK(tracker.take(start).confirmed.empty());
    }

    // A replica is fenced for the next term while its earlier answer is still on the way, and the late one
    // arrives after it. The superseded primary must not be believed because of it.
    TEST_CASE("a fenced replica confirms nothing, also when an older sample comes late")
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

    // Of two slots the replica is dead. Acknowledging without it before the record says so would lose the
    // commit if it were promoted.
    TEST_CASE("two slots need their in-sync set, and a lone primary nothing more")
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

    // The primary fails with commits waiting. Those that the promoted replica holds are answered "done" once
    // another slot has them too; the others are told at once that their outcome is unknown.
    TEST_CASE("commits are carried over a promotion that kept them")
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

    // A cut-off primary answers a read after another was promoted elsewhere. Replicas that agreed before the
    // read do not prove that it was still in force.
    TEST_CASE("a read of the primary needs a confirmation asked for after it was sent")
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

    // A deposed primary comes back and answers a read while its proxy still believes in it; then the proxy
    // learns of the promotion. All that the read saw was kept, but newer orders are missing from it.
    TEST_CASE("a read that must be fresh is not carried over a promotion")
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
    // The status read next stands at a position that every replica will confirm, for another log.
    TEST_CASE("a commit whose slot is no primary any more is given up at once")
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

    // No replica answers. The caller gets the truth at its deadline and not later.
    TEST_CASE("an unconfirmed commit is given up at its deadline")
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
