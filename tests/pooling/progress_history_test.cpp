#include <cyclamendrift/pooling/progress_history.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

Progress progressAt(std::uint64_t term, std::uint64_t position)
{
    return { Term { term }, LogPosition { position } };
}

} // namespace

TEST_SUITE("progress history of the primary")
{
    TEST_CASE("the oldest position that is fresh enough is selected")
    {
        ProgressHistory history;
        const Instant start { 10s };
        for (int index = 0; index < 10; ++index)
            history.record({ .progress = progressAt(1, 100 + static_cast<std::uint64_t>(index)),
                .seenAt = start + index * 100ms });
        const auto oldestCovering = history.oldestCovering(start + 350ms);
        REQUIRE(oldestCovering);
        CHECK(oldestCovering->progress == progressAt(1, 104));
        CHECK_FALSE(history.oldestCovering(start + 950ms));
    }

    TEST_CASE("a replica's lag is measured from the first position that it lacks")
    {
        // A replica stopped receiving the log a while ago. Sending it every read only to be refused costs
        // each of them a round trip and loads the upstream.
        ProgressHistory history;
        const Instant start { 10s };
        for (int index = 0; index < 10; ++index)
            history.record({ .progress = progressAt(1, 100 + static_cast<std::uint64_t>(index)),
                .seenAt = start + index * 100ms });
        CHECK(history.lagOf(progressAt(1, 109), start + 1s) == 0ms);
        CHECK(history.lagOf(progressAt(1, 104), start + 1s) == 500ms);
    }

    TEST_CASE("positions of a lower term are dropped when a higher one is recorded")
    {
        // A promotion may cut the old log; a position beyond the cut exists on no upstream any more.
        ProgressHistory history;
        history.record({ .progress = progressAt(1, 500), .seenAt = Instant { 10s } });
        history.record({ .progress = progressAt(2, 480), .seenAt = Instant { 11s } });
        CHECK(history.oldestCovering(Instant { 9s })->progress == progressAt(2, 480));
        history.record({ .progress = progressAt(1, 600), .seenAt = Instant { 12s } });
        CHECK_FALSE(history.oldestCovering(Instant { 11s + 500ms }));
    }
}
