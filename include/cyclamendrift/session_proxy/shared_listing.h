#pragma once

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/platform/store.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace cyclamendrift {

namespace wire {
class KnownListing;
class StoredListing;
} // namespace wire

/// A sibling's listing that is not whole, or not of its own making.
class ListingError : public Error {
public:
    using Error::Error;
};

/// Entries of the store that VMs pass on to each other. To a sibling that has the same ones their age alone
/// travels, to one that has some that were current a while ago the difference, so that a large fleet may ask
/// often.
///
///     listing.writeKnown(question);
///     if (listing.takeAnswer(answer, askedAt) == SharedListing::Change::Entries)
///         use(listing.current());
class SharedListing {
public:
    /// What a reading or an answer has changed.
    enum class Change : std::uint8_t { None, Confirmed, Entries };

    /// Takes in what this VM has read itself, and asked for at that instant. An older one changes nothing.
    Change takeReading(StoreListing listing, Instant askedAt);
    /// Takes in what a sibling answered to a question of that instant. An older one changes nothing; throws
    /// ListingError when the entries are not those that it tells the digest of.
    Change takeAnswer(const wire::StoredListing& answer, Instant askedAt);

    void writeKnown(wire::KnownListing& known) const;
    /// How an answer is written.
    struct AnswerOptions {
        Instant now;
        /// The asker can read packed entries.
        bool packed = false;
    };
    void writeAnswer(
        const wire::KnownListing& known, const AnswerOptions& options, wire::StoredListing& answer) const;
    /// Takes the entries out of an answer; the asker gets them when it asks again.
    static void withhold(wire::StoredListing& answer);

    [[nodiscard]] const StoreListing& current() const noexcept { return this->listing; }
    /// When the entries were known to be current; Instant::min() before any were read.
    [[nodiscard]] Instant confirmedAt() const noexcept { return this->confirmed; }

private:
    using Revisions = std::map<std::string, std::uint64_t>;
    /// Keys and revisions of entries that were current before.
    struct Earlier {
        std::uint64_t digest = 0;
        Revisions revisions;
    };

    [[nodiscard]] Change take(StoreListing next, std::uint64_t nextDigest, Instant at);
    void keepEarlier();
    void writeAll(bool packed, wire::StoredListing& answer) const;
    [[nodiscard]] std::vector<StoreEntry> entriesFrom(const wire::StoredListing& answer) const;

    StoreListing listing;
    std::uint64_t digest = 0;
    std::deque<Earlier> earlier;
    /// All entries, packed once for all that ask.
    mutable std::string packedEntries;
    Instant confirmed = Instant::min();
};

/// A number of the keys and revisions of entries; equal for equal entries, and never 0.
[[nodiscard]] std::uint64_t digestOf(const std::vector<StoreEntry>& entries);

/// An instant's age in microseconds; an hour for what never was.
[[nodiscard]] std::uint64_t wireAge(Instant instant, Instant now);

} // namespace cyclamendrift
