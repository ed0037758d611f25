#include <cyclamendrift/pooling/own_writes.h>

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const Instant start { 10s };

ServiceName serviceAt(std::size_t index) { return ServiceName { "service-" + std::to_string(index) }; }

ProgressHistory::Observation writeAt(std::uint64_t term, std::uint64_t position)
{
    return { .progress = { Term { term }, LogPosition { position } }, .seenAt = start };
}

} // namespace

TEST_SUITE("own writes of a session")
{
    TEST_CASE("the progress of a service never decreases")
    {
        // Guards against an answer of a former primary that hides a later write.
        OwnWrites writes;
        writes.record(serviceAt(0), writeAt(2, 50), start);
        writes.record(serviceAt(0), writeAt(1, 900), start + 10ms);
        REQUIRE(writes.latestTo(serviceAt(0)) != nullptr);
        CHECK(writes.latestTo(serviceAt(0))->progress == writeAt(2, 50).progress);
        CHECK(writes.latestTo(serviceAt(1)) == nullptr);
    }

    TEST_CASE("a write of unknown progress replaces a known one and is reported as lacking")
    {
        // Guards against the progress of an earlier write that is taken for that of the latest one.
        OwnWrites writes;
        writes.record(serviceAt(0), writeAt(1, 50), start);
        writes.recordUnknown(serviceAt(0), start + 10ms);
        CHECK(writes.latestTo(serviceAt(0)) == nullptr);
        CHECK(writes.mayLack(serviceAt(0), start + 10ms));
        CHECK_FALSE(writes.mayLack(serviceAt(0), start + 11ms));
    }

    TEST_CASE("the service that was written to longest ago makes room, and is reported as lacking")
    {
        // Guards against a session that grows without bound, and against a write that is forgotten silently.
        OwnWrites writes;
        for (std::size_t index = 0; index < OwnWrites::maxServices; ++index)
            writes.record(serviceAt(index), writeAt(1, index), start + index * 10ms);
        writes.record(serviceAt(0), writeAt(1, 100), start + 200ms);
        CHECK_FALSE(writes.mayLack(serviceAt(1), start));
        writes.record(serviceAt(OwnWrites::maxServices), writeAt(1, 101), start + 300ms);
        CHECK(writes.latestTo(serviceAt(0)) != nullptr);
        CHECK(writes.latestTo(serviceAt(1)) == nullptr);
        CHECK(writes.mayLack(serviceAt(1), start + 10ms));
        CHECK_FALSE(writes.mayLack(serviceAt(1), start + 11ms));
        CHECK_FALSE(writes.mayLack(serviceAt(0), start));
        writes.record(serviceAt(1), writeAt(1, 102), start + 400ms);
        CHECK_FALSE(writes.mayLack(serviceAt(1), start));
    }
}
