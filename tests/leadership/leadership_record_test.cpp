#include <cyclamendrift/leadership/leadership_record.h>

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;

TEST_SUITE("leadership record")
{
    TEST_CASE("an encoded record decodes to the same fields, including the chosen upstream")
    {
        const LeadershipRecord record { .term = Term { 3 },
            .primary = UpstreamName { "primary" },
            .claimedTerm = Term { 4 },
            .author = VmName { "vm-0" },
            .changeId = "vm-0/1/7",
            .chosen = UpstreamName { "replica-1" } };
        CHECK(LeadershipRecord::decode(record.encode()) == record);
    }

    TEST_CASE("a record of a version without the chosen field decodes with none chosen")
    {
        // Guards against an upgrade that cannot read records which an older version stored.
        const std::string stored = "\x08\x03\x12\x07primary\x18\x04\x22\x04vm-0\x2a\x08vm-0/1/7";
        const auto record = LeadershipRecord::decode(stored);
        CHECK(record.term == Term { 3 });
        CHECK(record.primary == UpstreamName { "primary" });
        CHECK(record.claimedTerm == Term { 4 });
        CHECK(record.changeId == "vm-0/1/7");
        CHECK(record.chosen.empty());
    }

    TEST_CASE("an invalid value is rejected")
    {
        CHECK_THROWS_AS(static_cast<void>(LeadershipRecord::decode("\xff")), LeadershipError);
    }
}
