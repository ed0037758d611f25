#pragma once

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/platform/store.h>

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

namespace wire {
class KnownListing;
class StoredListing;
} // namespace wire

/// Thrown when a sibling's listing is truncated or does not match its digest.
class ListingError : public Error {
public:
    using Error::Error;
};

/// A listing of the store that VMs pass on to each other. A sibling with the same entries gets only their
/// age, one with recent entries only the difference, so that a large fleet can ask often.
///
///     listing.writeKnown(question);
///     if (listing.takeAnswer(answer, askedAt) == SharedListing::Change::Entries)
///         use(listing.current());
class SharedListing {
public:
    /// Effect of a reading or an answer.
    enum class Change : std::uint8_t { None, Confirmed, Entries };

    /// Applies a listing that this VM requested from the store at `askedAt`; ignored when it is older.
    Change takeReading(StoreListing listing, Instant askedAt);
    /// Applies a change that a watch reported at that instant; ignored when it is older. Only keys with the
    /// prefix belong to the listing. A change without a key, which ends a call, confirms the entries.
    Change takeChange(const StoreChange& change, std::string_view prefix, Instant at);
    /// Applies a sibling's answer to a request that was sent at `askedAt`; ignored when it is older. Throws
    /// ListingError when the entries do not match their digest.
    Change takeAnswer(const wire::StoredListing& answer, Instant askedAt);

    void writeKnown(wire::KnownListing& known) const;
    /// Options of writeAnswer().
    struct AnswerOptions {
        Instant now;
        /// True when the sibling can read packed entries.
        bool packed = false;
        /// True when the sibling can read a listing that is marked as unchanged.
        bool marksUnchanged = false;
    };
    void writeAnswer(
        const wire::KnownListing& known, const AnswerOptions& options, wire::StoredListing& answer) const;
    /// Sets what an unchanged listing in the answer to a request leaves out.
    static void completeUnchanged(const wire::KnownListing& known, wire::StoredListing& answer);
    /// Removes the entries from an answer; the sibling gets them with a later request.
    static void withhold(wire::StoredListing& answer);

    [[nodiscard]] const StoreListing& current() const noexcept { return this->listing; }
    /// When the entries were last known to be current; Instant::min() before the first reading.
    [[nodiscard]] Instant confirmedAt() const noexcept { return this->confirmed; }

private:
    using Revisions = std::map<std::string, std::uint64_t>;
    /// Keys and revisions of an earlier state of the listing.
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
    /// True once a sibling has asked; most VMs of a large fleet are never asked and keep no earlier states.
    mutable bool isAsked = false;
    /// All entries in packed form; empty until a sibling requests them.
    mutable std::string packedEntries;
    Instant confirmed = Instant::min();
};

/// A digest of the keys and revisions of entries; never 0.
[[nodiscard]] std::uint64_t digestOf(const std::vector<StoreEntry>& entries);

/// Age of an instant in microseconds; one hour for Instant::min().
[[nodiscard]] std::uint64_t wireAge(Instant instant, Instant now);

} // namespace cyclamendrift
