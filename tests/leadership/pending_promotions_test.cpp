#include <cyclamendrift/leadership/pending_promotions.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

TEST_SUITE("pending promotions")
{
    const UpstreamName first { "replica-1" };
    const UpstreamName second { "replica-2" };
    const Instant start { 1000s };

    TEST_CASE("a promotion is pending for other upstreams until it has settled")
    {
        // Guards against two promotions in progress at once.
        PendingPromotions promotions { 4s };
        promotions.recordSent(first, start);
        CHECK_FALSE(promotions.isOtherPending(first, start));
        CHECK(promotions.isOtherPending(second, start + 3999ms));
        CHECK_FALSE(promotions.isOtherPending(second, start + 4s));
    }

    TEST_CASE("the last of several promotions determines when they have settled")
    {
        // Guards against a repeated promotion that takes effect after the first one has settled.
        PendingPromotions promotions { 4s };
        promotions.recordSent(first, start);
        promotions.recordSent(first, start + 2s);
        CHECK(promotions.isOtherPending(second, start + 5999ms));
        CHECK_FALSE(promotions.isOtherPending(second, start + 6s));
    }

    TEST_CASE("an outcome settles a single promotion, and none of several")
    {
        // Guards against applying a refusal to an earlier promotion, which was accepted.
        PendingPromotions promotions { 4s };
        promotions.recordSent(first, start);
        promotions.recordOutcome(first);
        CHECK_FALSE(promotions.isOtherPending(second, start));
        promotions.recordSent(first, start + 1s);
        promotions.recordSent(first, start + 2s);
        promotions.recordOutcome(first);
        CHECK(promotions.isOtherPending(second, start + 3s));
    }

    TEST_CASE("an outcome does not settle promotions that a former coordinator may have sent")
    {
        // Guards against a new coordinator that promotes another upstream beside its predecessor's choice
        // once its own promotion was refused.
        PendingPromotions promotions { 4s };
        promotions.recordInherited(first, start);
        promotions.recordSent(first, start + 1s);
        promotions.recordOutcome(first);
        CHECK(promotions.isOtherPending(second, start + 4999ms));
        CHECK_FALSE(promotions.isOtherPending(second, start + 5s));
    }
}
