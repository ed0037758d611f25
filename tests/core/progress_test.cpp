#include <cyclamendrift/core/progress.h>

#include <property.h>

using namespace cyclamendrift;

TEST_SUITE("progress")
{
    TEST_CASE("a higher term goes before any position")
    {
        checkProperty("term first", [](std::uint32_t term, std::uint64_t older, std::uint64_t newer) {
            const Progress before { Term { term }, LogPosition { older } };
            const Progress after { Term { std::uint64_t { term } + 1 }, LogPosition { newer } };
            RC_ASSERT(after > before);
        });
    }
}
