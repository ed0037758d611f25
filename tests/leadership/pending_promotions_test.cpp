#include <cyclamendrift/leadership/pending_promotions.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("promotions that may still take effect")
{
    const UpstreamName first { "replica-1" };
    const UpstreamName second { "replica-2" };
    const Instant start { 1000s };

    TEST_CASE("a promotion stands in the way of other upstreams until it has settled")
    {
        // Guards against two promotions under way at once.
        PendingPromotions promotions { 4s };
        promotions.recordSent(first, start);
        CHECK_FALSE(promotions.isOtherPending(first, start));
        CHECK(promotions.isOtherPending(second, start + 3999ms));
        CHECK_FALSE(promotions.isOtherPending(second, start + 4s));
    }

    TEST_CASE("the last of several promotions counts")
    {
        // Guards against a promotion that was sent again and takes effect after the first has settled.
        PendingPromotions promotions { 4s };
        promotions.recordSent(first, start);
        promotions.recordSent(first, start + 2s);
        CHECK(promotions.isOtherPending(second, start + 5999ms));
        CHECK_FALSE(promotions.isOtherPending(second, start + 6s));
    }

    TEST_CASE("an outcome settles the only promotion, and none of several")
    {
        // Guards against a refusal that is taken to speak of an earlier promotion, which was accepted.
        PendingPromotions promotions { 4s };
        promotions.recordSent(first, start);
        promotions.recordOutcome(first);
        CHECK_FALSE(promotions.isOtherPending(second, start));
        promotions.recordSent(first, start + 1s);
        promotions.recordSent(first, start + 2s);
        promotions.recordOutcome(first);
        CHECK(promotions.isOtherPending(second, start + 3s));
    }

    TEST_CASE("what a former holder may have sent is not settled by an outcome")
    {
        // Guards against a successor that promotes beside its predecessor once its own promotion was refused.
        PendingPromotions promotions { 4s };
        promotions.recordInherited(first, start);
        promotions.recordSent(first, start + 1s);
        promotions.recordOutcome(first);
        CHECK(promotions.isOtherPending(second, start + 4999ms));
        CHECK_FALSE(promotions.isOtherPending(second, start + 5s));
    }
}
