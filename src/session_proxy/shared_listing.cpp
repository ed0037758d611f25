#include <cyclamendrift/session_proxy/shared_listing.h>

#include <cyclamendrift/core/little_endian.h>
#include <cyclamendrift/core/stable_hash.h>
#include <cyclamendrift/schema/duration_codec.h>
#include <cyclamendrift/session_proxy/packing.h>

#include <sharing.pb.h>

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamendrift {

namespace {

// Enough for siblings that ask three times a second while a rolling restart changes the list of VMs every
// second.
constexpr std::size_t maxEarlierListings = 12;

StoreEntry entryFrom(const wire::StoredEntry& message)
{
    return { .key = message.key(), .value = message.value(), .revision = message.revision() };
}

void write(const StoreEntry& entry, wire::StoredEntry& message)
{
    message.set_key(entry.key);
    message.set_value(entry.value);
    message.set_revision(entry.revision);
}

} // namespace

std::uint64_t digestOf(const std::vector<StoreEntry>& entries)
{
    // Makes the digest independent of the order of entries.
    std::map<std::string_view, std::uint64_t> revisions;
    for (const auto& entry : entries)
        revisions.emplace(entry.key, entry.revision);
    std::string text;
    for (const auto& [key, revision] : revisions) {
        text += littleEndian(key.size());
        text += key;
        text += littleEndian(revision);
    }
    return std::max<std::uint64_t>(stableHash(text), 1);
}

std::uint64_t wireAge(Instant instant, Instant now)
{
    // Stands for a listing that was never read; beyond every maximum age.
    constexpr Duration never = std::chrono::hours { 1 };
    return wireMicroseconds(instant == Instant::min() ? never : now - instant);
}

SharedListing::Change SharedListing::take(StoreListing next, std::uint64_t nextDigest, Instant at)
{
    if (next.revision < this->listing.revision)
        return Change::None;
    this->confirmed = std::max(this->confirmed, at);
    if (nextDigest == this->digest) {
        this->listing.revision = next.revision;
        return Change::Confirmed;
    }
    this->keepEarlier();
    this->listing = std::move(next);
    this->digest = nextDigest;
    this->packedEntries.clear();
    return Change::Entries;
}

void SharedListing::keepEarlier()
{
    if (this->digest == 0 || !this->isAsked)
        return;
    auto& last = this->earlier.emplace_back(Earlier { .digest = this->digest });
    for (const auto& entry : this->listing.entries)
        last.revisions.emplace(entry.key, entry.revision);
    if (this->earlier.size() > maxEarlierListings)
        this->earlier.pop_front();
}

SharedListing::Change SharedListing::takeReading(StoreListing listing, Instant askedAt)
{
    const auto digest = digestOf(listing.entries);
    return this->take(std::move(listing), digest, askedAt);
}

SharedListing::Change SharedListing::takeChange(
    const StoreChange& change, std::string_view prefix, Instant at)
{
    // A sibling may already have passed on a later state. Several keys may change in one revision.
    if (change.revision < this->listing.revision)
        return Change::None;
    auto next = this->listing;
    next.revision = change.revision;
    if (!change.key.empty() && change.key.starts_with(prefix)) {
        std::erase_if(next.entries, [&change](const StoreEntry& entry) { return entry.key == change.key; });
        if (change.value)
            next.entries.push_back(
                { .key = change.key, .value = *change.value, .revision = change.revision });
    }
    return this->takeReading(std::move(next), at);
}

SharedListing::Change SharedListing::takeAnswer(const wire::StoredListing& answer, Instant askedAt)
{
    if (answer.digest() == 0 || answer.withheld())
        return Change::None;
    // The sibling computed the age after the request was sent, so the entries are at least this recent.
    const auto at = askedAt - durationFrom(answer.age_us());
    const bool withoutEntries = answer.entries_size() == 0 && answer.packed_entries().empty();
    if (answer.digest() == this->digest && withoutEntries)
        return this->take({ .revision = answer.revision() }, this->digest, at);
    StoreListing listing { .revision = answer.revision() };
    listing.entries = this->entriesFrom(answer);
    if (digestOf(listing.entries) != answer.digest()) {
        // A sibling with older entries sends none, and there is nothing to verify.
        if (answer.revision() < this->listing.revision)
            return Change::None;
        throw ListingError { "the entries do not match their digest" };
    }
    return this->take(std::move(listing), answer.digest(), at);
}

std::vector<StoreEntry> SharedListing::entriesFrom(const wire::StoredListing& answer) const
{
    std::map<std::string, StoreEntry> entries;
    if (answer.base() != 0) {
        if (answer.base() != this->digest)
            throw ListingError { "the sibling's difference is to entries that are not those here" };
        for (const auto& entry : this->listing.entries)
            entries.emplace(entry.key, entry);
        for (const auto& key : answer.removed())
            entries.erase(key);
    }
    wire::StoredListing unpacked;
    if (!answer.packed_entries().empty() && !unpacked.ParseFromString(unpack(answer.packed_entries())))
        throw ListingError { "the packed entries cannot be read" };
    const auto& sent = answer.packed_entries().empty() ? answer.entries() : unpacked.entries();
    for (const auto& entry : sent)
        entries.insert_or_assign(entry.key(), entryFrom(entry));
    std::vector<StoreEntry> result;
    result.reserve(entries.size());
    for (auto& [key, entry] : entries)
        result.push_back(std::move(entry));
    return result;
}

void SharedListing::writeKnown(wire::KnownListing& known) const
{
    known.set_revision(this->listing.revision);
    known.set_digest(this->digest);
}

/// The request's digest and revision are used because the listing here may have changed since the request.
void SharedListing::completeUnchanged(const wire::KnownListing& known, wire::StoredListing& answer)
{
    if (!answer.unchanged())
        return;
    answer.set_digest(known.digest());
    if (answer.revision() == 0)
        answer.set_revision(known.revision());
}

void SharedListing::withhold(wire::StoredListing& answer)
{
    answer.clear_entries();
    answer.clear_packed_entries();
    answer.clear_base();
    answer.clear_removed();
    answer.set_withheld(true);
}

void SharedListing::writeAll(bool packed, wire::StoredListing& answer) const
{
    if (!packed || this->listing.entries.empty()) {
        for (const auto& entry : this->listing.entries)
            write(entry, *answer.add_entries());
        return;
    }
    if (this->packedEntries.empty()) {
        wire::StoredListing all;
        for (const auto& entry : this->listing.entries)
            write(entry, *all.add_entries());
        this->packedEntries = pack(all.SerializeAsString());
    }
    answer.set_packed_entries(this->packedEntries);
}

void SharedListing::writeAnswer(
    const wire::KnownListing& known, const AnswerOptions& options, wire::StoredListing& answer) const
{
    this->isAsked = true;
    answer.set_age_us(wireAge(this->confirmed, options.now));
    answer.set_revision(this->listing.revision);
    answer.set_digest(this->digest);
    if (this->digest == known.digest() && this->digest != 0 && options.marksUnchanged) {
        answer.set_unchanged(true);
        answer.clear_digest();
        if (this->listing.revision == known.revision())
            answer.clear_revision();
        return;
    }
    if (this->digest == known.digest() || this->listing.revision < known.revision())
        return;
    const auto base = std::find_if(this->earlier.begin(), this->earlier.end(),
        [&known](const Earlier& candidate) { return candidate.digest == known.digest(); });
    if (base == this->earlier.end())
        return this->writeAll(options.packed, answer);
    answer.set_base(base->digest);
    auto removed = base->revisions;
    for (const auto& entry : this->listing.entries) {
        const auto before = removed.find(entry.key);
        if (before == removed.end() || before->second != entry.revision)
            write(entry, *answer.add_entries());
        if (before != removed.end())
            removed.erase(before);
    }
    for (const auto& [key, revision] : removed)
        answer.add_removed(key);
}

} // namespace cyclamendrift
