#include <cyclamendrift/limits/donor_selector.h>
#include <cyclamendrift/limits/token_queue.h>
#include <cyclamendrift/limits/token_search.h>

#include <doctest/doctest.h>

#include <algorithm>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const Instant start { 100s };

TokenQueue::WaiterId sibling(std::uint64_t number) { return { .sibling = true, .number = number }; }

/// A holder's share with no tokens left.
TeamShare emptyShare(double rate, double burst)
{
    TeamShare share;
    share.setRule({ .ratePerSecond = rate, .burst = burst, .heldForOthers = true }, start);
    while (share.tryAcquire(start)) { }
    return share;
}

} // namespace

TEST_SUITE("requests for tokens that wait at a holder")
{
    TEST_CASE("tokens go to the most urgent request, then to the earliest, as they accrue")
    {
        // Guards against a holder that serves whoever asks at the moment at which a token accrues.
        auto share = emptyShare(10, 4);
        TokenQueue queue;
        queue.add({ .id = sibling(1), .priority = 2, .until = start + 1s }, start);
        queue.add({ .id = sibling(2), .priority = 0, .until = start + 1s }, start);
        queue.add({ .id = sibling(3), .priority = 0, .until = start + 1s }, start);
        CHECK(queue.serve(share, start).empty());
        std::vector<std::uint64_t> order;
        for (auto now = start; now <= start + 900ms; now += 10ms) {
            for (const auto& outcome : queue.serve(share, now)) {
                CHECK(outcome.given == 1);
                order.push_back(outcome.id.number);
            }
        }
        CHECK(order == std::vector<std::uint64_t> { 2, 3, 1 });
        CHECK(queue.isEmpty());
    }

    TEST_CASE("the time of the next token is known, so that a request does not wait for a tick")
    {
        // Guards against an urgent request that loses half of its 37 ms between two ticks.
        auto share = emptyShare(10, 4);
        TokenQueue queue;
        CHECK(queue.nextEvent(share, start) == Instant::max());
        queue.add({ .id = sibling(1), .until = start + 500ms }, start);
        CHECK(queue.serve(share, start).empty());
        const auto due = queue.nextEvent(share, start);
        CHECK(due <= start + 100ms);
        CHECK(queue.serve(share, due).size() == 1);
    }

    TEST_CASE("a request that ends without a token is answered and leaves no trace")
    {
        // Guards against tokens that go to a VM which has stopped waiting.
        auto share = emptyShare(1, 4);
        TokenQueue queue;
        queue.add({ .id = sibling(1), .until = start }, start);
        const auto at = queue.serve(share, start);
        REQUIRE(at.size() == 1);
        CHECK(at.front().given == 0);
        queue.add({ .id = sibling(2), .until = start + 20ms }, start);
        queue.add({ .id = sibling(3), .until = start + 3s }, start);
        queue.remove(sibling(3));
        const auto late = queue.serve(share, start + 2s);
        REQUIRE(late.size() == 1);
        CHECK(late.front().id == sibling(2));
        CHECK(late.front().given == 0);
        CHECK(share.availableTokens(start + 2s) >= 1);
    }

    TEST_CASE("a full queue drops its least urgent request for a more urgent one")
    {
        // Guards against unbounded memory at a holder, and against a flood that keeps urgent requests out.
        auto share = emptyShare(0.01, 4);
        TokenQueue queue;
        for (std::size_t number = 0; number < TokenQueue::maxWaiters; ++number)
            queue.add({ .id = sibling(number), .priority = 2, .until = start + 1s }, start);
        queue.add({ .id = sibling(9001), .priority = 2, .until = start + 1s }, start);
        queue.add({ .id = sibling(9002), .priority = 0, .until = start + 1s }, start);
        const auto outcomes = queue.serve(share, start);
        REQUIRE(outcomes.size() == 2);
        CHECK(outcomes.front().id == sibling(9001));
        CHECK(outcomes.back().id == sibling(TokenQueue::maxWaiters - 1));
    }

    TEST_CASE("the least urgent priority gets every twentieth token while urgent requests wait all the time")
    {
        // Guards against a class of operations that is refused for as long as another one is in excess.
        auto share = emptyShare(100, 4);
        TokenQueue queue;
        std::uint64_t number = 0;
        std::size_t given = 0;
        std::size_t givenToLeast = 0;
        for (auto now = start; now < start + 10s; now += 10ms) {
            for (int more = 0; more < 2; ++more)
                queue.add({ .id = sibling(++number), .priority = 0, .until = now + 30ms }, now);
            queue.add({ .id = sibling(++number), .priority = 3, .until = now + 200ms }, now);
            for (const auto& outcome : queue.serve(share, now)) {
                given += outcome.given;
                givenToLeast += outcome.priority == 3 ? outcome.given : 0;
            }
        }
        CHECK(given >= 990);
        CHECK(givenToLeast >= given / 20 - 1);
        CHECK(givenToLeast <= given / 20 + 2);
    }

    TEST_CASE("tokens are reserved for urgent requests while tokens are short, and for no longer")
    {
        // Guards against a bucket that less urgent requests have emptied whenever an urgent one arrives, and
        // against a reserve that refuses operations of a team within its rate.
        auto share = emptyShare(4, 4);
        TokenQueue queue;
        queue.add({ .id = sibling(1), .priority = 0, .wanted = 3, .until = start + 10ms }, start);
        CHECK(queue.serve(share, start).empty());
        CHECK(queue.serve(share, start + 10ms).front().given == 0);
        const auto soon = start + 500ms;
        queue.add({ .id = sibling(2), .priority = 1, .until = soon }, soon);
        CHECK(queue.serve(share, soon).front().given == 0);
        queue.add({ .id = sibling(3), .priority = 0, .until = soon }, soon);
        CHECK(queue.serve(share, soon).front().given == 1);
        const auto later = soon + 2s;
        queue.add({ .id = sibling(4), .priority = 1, .wanted = 4, .until = later }, later);
        CHECK(queue.serve(share, later).front().given == 4);
    }
}

TEST_SUITE("searches for tokens at the holders of a limit")
{
    const std::vector<VmName> donors { VmName { "a" }, VmName { "b" }, VmName { "c" } };

    TEST_CASE("the first holder to give ends the search, and what others give goes back to them")
    {
        // Guards against VMs that hold more tokens than they have operations waiting.
        TokenSearch search { { .until = start + 37ms, .donors = donors, .first = donors.front() } };
        CHECK(search.begin(start).calls.size() == 1);
        const auto step = search.answered(donors[0], 0, start + 2ms);
        REQUIRE(step.calls.size() == 3);
        CHECK(step.calls.front().wait == 33ms);
        const auto ended = search.answered(donors[1], 1, start + 10ms);
        CHECK(ended.result == 1);
        CHECK(ended.withdrawn == std::vector<VmName> { donors[0], donors[2] });
        const auto late = search.answered(donors[2], 1, start + 11ms);
        CHECK(late.unused == 1);
        CHECK_FALSE(late.result);
    }

    TEST_CASE("a first holder that does not answer leaves an urgent operation time for the others")
    {
        // Guards against a holder behind a partition that costs every urgent operation its whole wait.
        TokenSearch search { { .until = start + 37ms, .donors = donors, .first = donors.front() } };
        const auto transit = search.begin(start).calls.front().transit;
        CHECK(transit <= 15ms);
        const auto step = search.answered(donors[0], std::nullopt, start + transit);
        CHECK(step.calls.size() == 2);
        CHECK_FALSE(search.answered(donors[1], 0, start + 36ms).result);
        CHECK(search.answered(donors[2], std::nullopt, start + 37ms).result == 0);
    }

    TEST_CASE("a search without holders ends at once")
    {
        TokenSearch search { { .until = start + 37ms } };
        CHECK(search.begin(start).result == 0);
    }

    TEST_CASE("a holder that refused a priority is asked for more urgent ones all the same")
    {
        // Guards against urgent operations that are refused because a less urgent one was, although the
        // holder has a reserve for them.
        DonorSelector selector;
        const TeamName team { "clinic" };
        selector.recordShortfall(team, donors[0], start, 2);
        CHECK(selector.selectFirst(team, donors, 0, start) == donors[0]);
        CHECK(selector.selectFirst(team, donors, 2, start) == donors[1]);
        CHECK(selector.selectFirst(team, donors, 40, start) == donors[1]);
        CHECK(selector.selectFirst(team, donors, 2, start + 200ms) == donors[0]);
        // Only a VM that does not let requests wait is left out of those that a request waits at.
        CHECK(selector.selectWaiting(team, donors, 2, start) == donors);
        selector.recordWaits(donors[0], false);
        CHECK(selector.selectWaiting(team, donors, 2, start).size() == 2);
        CHECK(selector.selectWaiting(team, donors, 1, start) == donors);
    }
}
