#include <cyclamendrift/session_proxy/shared_listing.h>

#include <sharing.pb.h>

#include <doctest/doctest.h>

#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

using Change = SharedListing::Change;

constexpr Instant start { 100s };

StoreListing listingOf(std::size_t vms, std::uint64_t revision)
{
    StoreListing listing { .revision = revision };
    for (std::size_t index = 0; index < vms; ++index)
        listing.entries.push_back({ .key = "vms/vm-" + std::to_string(index),
            .value = std::string(60, 'r'),
            .revision = index + 1 });
    return listing;
}

wire::StoredListing answerTo(const SharedListing& asker, const SharedListing& reader, Instant now)
{
    wire::KnownListing known;
    asker.writeKnown(known);
    wire::StoredListing answer;
    reader.writeAnswer(known, { .now = now }, answer);
    return answer;
}

} // namespace

TEST_SUITE("shared listings")
{
    TEST_CASE("195 VMs whose list did not change get only its age")
    {
        // Guards against sending the whole list to each VM every second because the store's revision changes.
        SharedListing reader;
        CHECK(reader.takeReading(listingOf(195, 1000), start) == Change::Entries);
        SharedListing asker;
        auto answer = answerTo(asker, reader, start + 100ms);
        CHECK(answer.entries_size() == 195);
        CHECK(asker.takeAnswer(answer, start + 100ms) == Change::Entries);
        CHECK(reader.takeReading(listingOf(195, 1400), start + 1s) == Change::Confirmed);
        answer = answerTo(asker, reader, start + 1100ms);
        CHECK(answer.entries_size() == 0);
        CHECK(answer.ByteSizeLong() < 30);
        CHECK(asker.takeAnswer(answer, start + 1100ms) == Change::Confirmed);
        CHECK(asker.confirmedAt() == start + 1s);
        CHECK(asker.current().revision == 1400);
        CHECK(asker.current().entries.size() == 195);
    }

    TEST_CASE("a listing that is marked as unchanged confirms the entries of the request")
    {
        // The digests and revisions were half of an answer in which nothing has changed.
        SharedListing reader;
        SharedListing asker;
        static_cast<void>(reader.takeReading(listingOf(195, 1000), start));
        static_cast<void>(asker.takeReading(listingOf(195, 1000), start));
        wire::KnownListing known;
        asker.writeKnown(known);
        for (const std::uint64_t revision : { 1000U, 1400U }) {
            static_cast<void>(reader.takeReading(listingOf(195, revision), start + 1s));
            wire::StoredListing answer;
            reader.writeAnswer(known, { .now = start + 1100ms, .marksUnchanged = true }, answer);
            CHECK(answer.digest() == 0);
            CHECK(answer.ByteSizeLong() <= (revision == 1000 ? 6 : 9));
            SharedListing::completeUnchanged(known, answer);
            CHECK(asker.takeAnswer(answer, start + 1100ms) == Change::Confirmed);
            CHECK(asker.confirmedAt() == start + 1s);
            CHECK(asker.current().revision == revision);
            CHECK(asker.current().entries.size() == 195);
        }
    }

    TEST_CASE("a mark as unchanged is not applied to entries that have changed since the request")
    {
        // Guards against confirming entries that the sibling has not seen, for which the request's digest is
        // used and not that of the entries here.
        SharedListing reader;
        SharedListing asker;
        static_cast<void>(reader.takeReading(listingOf(10, 1000), start));
        static_cast<void>(asker.takeReading(listingOf(10, 1000), start));
        wire::KnownListing known;
        asker.writeKnown(known);
        wire::StoredListing answer;
        reader.writeAnswer(known, { .now = start + 1s, .marksUnchanged = true }, answer);
        static_cast<void>(asker.takeReading(listingOf(11, 1200), start + 500ms));
        SharedListing::completeUnchanged(known, answer);
        CHECK(asker.takeAnswer(answer, start + 2s) == Change::None);
        CHECK(asker.confirmedAt() == start + 500ms);
        CHECK(asker.current().entries.size() == 11);
    }

    TEST_CASE("a listing that was never read is not marked as unchanged")
    {
        const SharedListing reader;
        wire::StoredListing answer;
        reader.writeAnswer({}, { .now = start, .marksUnchanged = true }, answer);
        CHECK_FALSE(answer.unchanged());
    }

    TEST_CASE("a removed entry is passed on although no entry is new")
    {
        SharedListing reader;
        static_cast<void>(reader.takeReading(listingOf(195, 1000), start));
        SharedListing asker;
        static_cast<void>(asker.takeAnswer(answerTo(asker, reader, start), start));
        CHECK(reader.takeReading(listingOf(194, 1001), start + 1s) == Change::Entries);
        CHECK(asker.takeAnswer(answerTo(asker, reader, start + 1s), start + 1s) == Change::Entries);
        CHECK(asker.current().entries.size() == 194);
    }

    TEST_CASE("while 195 VMs are restarted ten at a time, each gets only the changes")
    {
        // Guards against sending the whole list to each VM at every step of a rolling restart.
        SharedListing reader;
        SharedListing asker;
        auto listing = listingOf(195, 1000);
        static_cast<void>(reader.takeReading(listing, start));
        static_cast<void>(asker.takeAnswer(answerTo(asker, reader, start), start));
        for (std::size_t step = 0; step < 4; ++step) {
            listing.revision += 100;
            for (std::size_t index = 0; index < 10; ++index)
                listing.entries[10 * step + index].revision = listing.revision;
            static_cast<void>(reader.takeReading(listing, start + 1s));
        }
        listing.entries.erase(listing.entries.begin(), listing.entries.begin() + 5);
        listing.revision += 100;
        static_cast<void>(reader.takeReading(listing, start + 2s));
        const auto answer = answerTo(asker, reader, start + 2s);
        CHECK(answer.entries_size() == 35);
        CHECK(answer.removed_size() == 5);
        CHECK(asker.takeAnswer(answer, start + 2s) == Change::Entries);
        CHECK(digestOf(asker.current().entries) == digestOf(listing.entries));
    }

    TEST_CASE("a difference to other entries is refused and the latest listing is kept")
    {
        SharedListing reader;
        static_cast<void>(reader.takeReading(listingOf(12, 1000), start));
        SharedListing first;
        static_cast<void>(first.takeAnswer(answerTo(first, reader, start), start));
        static_cast<void>(reader.takeReading(listingOf(13, 1100), start));
        const auto difference = answerTo(first, reader, start);
        CHECK(difference.base() != 0);
        SharedListing other;
        static_cast<void>(other.takeReading(listingOf(10, 900), start));
        CHECK_THROWS_AS(static_cast<void>(other.takeAnswer(difference, start)), ListingError);
        CHECK(other.current().entries.size() == 10);
    }

    TEST_CASE("a sibling that can read packed entries gets them packed, and refuses truncated ones")
    {
        SharedListing reader;
        static_cast<void>(reader.takeReading(listingOf(195, 1000), start));
        SharedListing asker;
        wire::StoredListing answer;
        reader.writeAnswer({}, { .now = start, .packed = true }, answer);
        CHECK(answer.entries_size() == 0);
        CHECK(answer.ByteSizeLong() < answerTo(asker, reader, start).ByteSizeLong() / 3);
        auto cut = answer;
        cut.mutable_packed_entries()->resize(answer.packed_entries().size() / 2);
        CHECK_THROWS_AS(static_cast<void>(asker.takeAnswer(cut, start)), Error);
        CHECK(asker.takeAnswer(answer, start) == Change::Entries);
        CHECK(digestOf(asker.current().entries) == digestOf(reader.current().entries));
    }

    TEST_CASE("an answer whose entries were withheld changes nothing")
    {
        SharedListing reader;
        static_cast<void>(reader.takeReading(listingOf(12, 1000), start));
        SharedListing asker;
        static_cast<void>(asker.takeReading(listingOf(10, 900), start));
        auto answer = answerTo(asker, reader, start + 1s);
        SharedListing::withhold(answer);
        CHECK(answer.ByteSizeLong() < 40);
        CHECK(asker.takeAnswer(answer, start + 1s) == Change::None);
        CHECK(asker.current().entries.size() == 10);
        CHECK(asker.confirmedAt() == start);
    }

    TEST_CASE("a watch adds and removes entries and confirms them while nothing changes")
    {
        // Guards against VMs that all list the configuration because the store's revision stands still.
        SharedListing listing;
        const Instant start { std::chrono::seconds { 100 } };
        const auto at = [start](int seconds) { return start + std::chrono::seconds { seconds }; };
        listing.takeReading({ .revision = 7 }, start);
        CHECK(listing.takeChange({ .revision = 7 }, "op/e/", at(1)) == SharedListing::Change::Confirmed);
        CHECK(listing.confirmedAt() == at(1));
        CHECK(listing.takeChange({ .key = "op/config", .value = "c", .revision = 8 }, "op/e/", at(2))
            == SharedListing::Change::Confirmed);
        for (const auto* key : { "op/e/a", "op/e/b" })
            CHECK(listing.takeChange({ .key = key, .value = "{}", .revision = 9 }, "op/e/", at(3))
                == SharedListing::Change::Entries);
        CHECK(listing.current().entries.size() == 2);
        CHECK(listing.takeChange({ .key = "op/e/a", .revision = 8 }, "op/e/", at(4))
            == SharedListing::Change::None);
        CHECK(listing.takeChange({ .key = "op/e/a", .revision = 10 }, "op/e/", at(4))
            == SharedListing::Change::Entries);
        REQUIRE(listing.current().entries.size() == 1);
        CHECK(listing.current().entries.front().key == "op/e/b");
    }

    TEST_CASE("an older listing changes nothing")
    {
        // Guards against a return to an earlier reader's entries.
        SharedListing asker;
        static_cast<void>(asker.takeReading(listingOf(10, 1000), start));
        SharedListing reader;
        static_cast<void>(reader.takeReading(listingOf(12, 900), start + 5s));
        const auto answer = answerTo(asker, reader, start + 5s);
        CHECK(answer.entries_size() == 0);
        CHECK(asker.takeAnswer(answer, start + 5s) == Change::None);
        CHECK(asker.takeReading(listingOf(12, 900), start + 5s) == Change::None);
        CHECK(asker.confirmedAt() == start);
        CHECK(asker.current().entries.size() == 10);
    }

    TEST_CASE("a truncated listing is refused and the latest one is kept")
    {
        SharedListing reader;
        static_cast<void>(reader.takeReading(listingOf(12, 1000), start));
        SharedListing asker;
        static_cast<void>(asker.takeReading(listingOf(10, 900), start));
        auto answer = answerTo(asker, reader, start);
        answer.mutable_entries()->RemoveLast();
        CHECK_THROWS_AS(static_cast<void>(asker.takeAnswer(answer, start)), ListingError);
        CHECK(asker.current().entries.size() == 10);
    }

    TEST_CASE("an answer without a digest changes nothing")
    {
        SharedListing asker;
        static_cast<void>(asker.takeReading(listingOf(10, 900), start));
        wire::StoredListing answer;
        answer.set_revision(2000);
        CHECK(asker.takeAnswer(answer, start + 1s) == Change::None);
        CHECK(asker.current().entries.size() == 10);
    }

    TEST_CASE("an empty listing differs from one that was never read")
    {
        SharedListing reader;
        SharedListing asker;
        CHECK(asker.takeAnswer(answerTo(asker, reader, start), start) == Change::None);
        CHECK(reader.takeReading({ .revision = 5 }, start) == Change::Entries);
        CHECK(asker.takeAnswer(answerTo(asker, reader, start + 1s), start + 1s) == Change::Entries);
        CHECK(asker.confirmedAt() == start);
    }
}
