#include "control_state.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <sharing.pb.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

using Entries = google::protobuf::RepeatedPtrField<wire::StoredEntry>;

void write(const StoreEntry& entry, wire::StoredEntry& message)
{
    message.set_key(entry.key);
    message.set_value(entry.value);
    message.set_revision(entry.revision);
}

StoreListing listingFrom(const Entries& entries, std::uint64_t revision)
{
    StoreListing listing;
    listing.revision = revision;
    for (const auto& entry : entries)
        listing.entries.push_back({ .key = entry.key(), .value = entry.value(), .revision = entry.revision() });
    return listing;
}

} // namespace

bool SessionControl::State::isReader() const
{
    const auto own = this->siblings.find(this->options.vm);
    if (!this->siblingsOpen || own == this->siblings.end())
        return true;
    const auto rank = static_cast<std::size_t>(std::distance(this->siblings.begin(), own));
    return rank < this->readers();
}

std::size_t SessionControl::State::readers() const
{
    return 1 + this->siblings.size() / this->options.settings.vmsPerReader;
}

const SiblingInfo* SessionControl::State::readerToAsk() const
{
    const auto now = bootNow();
    std::vector<const SiblingInfo*> usable;
    auto sibling = this->siblings.begin();
    for (std::size_t rank = 0; rank < this->readers() && sibling != this->siblings.end(); ++rank, ++sibling) {
        const auto failed = this->readerFailedUntil.find(sibling->first);
        const bool paused = failed != this->readerFailedUntil.end() && now < failed->second;
        if (sibling->first != this->options.vm && !paused)
            usable.push_back(&sibling->second);
    }
    // The VMs spread over the readers.
    return usable.empty() ? nullptr : usable[this->place.rank % usable.size()];
}

asio::awaitable<bool> SessionControl::State::askReader()
{
    const auto* reader = this->readerToAsk();
    if (reader == nullptr)
        co_return false;
    const auto address = reader->address;
    wire::ReadingsRequest request;
    request.set_configuration_revision(this->configurationRevision);
    request.set_vms_revision(this->vmListing.revision);
    request.set_wants_configuration(this->configurationSource.isLost());
    const auto askedAt = bootNow();
    wire::ReadingsAnswer answer;
    try {
        const auto body = co_await this->options.traffic.askForReadings(address, request.SerializeAsString());
        ++this->storeCalls["asked_of_sibling"];
        if (!answer.ParseFromString(body))
            throw Error { "the answer cannot be read" };
    } catch (const Error& error) {
        logEvent(LogLevel::Info, "reader_not_reached", { { "vm", address.vm.string() }, { "reason", error.what() } });
        this->readerFailedUntil[address.vm] = bootNow() + this->options.settings.readerPause;
        co_return false;
    }
    const Duration age = std::chrono::microseconds { static_cast<std::int64_t>(answer.leadership_age_us()) };
    // The reader reckoned the age after this VM had asked, so the reading is no older than this.
    this->takeReadings(answer, askedAt - age);
    co_return age < this->options.settings.readingsUsable;
}

void SessionControl::State::takeReadings(const wire::ReadingsAnswer& answer, Instant readAt)
{
    if (readAt > this->leadershipAskedAt) {
        this->leadershipListing = listingFrom(answer.leadership(), answer.leadership_revision());
        this->leadershipAskedAt = readAt;
        this->takeLeadership(this->leadershipListing, readAt);
    }
    if (answer.vms_revision() == this->vmListing.revision) {
        this->vmsConfirmedAt = bootNow();
    } else if (answer.vms_size() > 0 && answer.vms_revision() > this->vmListing.revision) {
        this->vmsConfirmedAt = bootNow();
        this->takeVms(listingFrom(answer.vms(), answer.vms_revision()));
    }
    if (answer.has_configuration())
        this->takeConfiguration(answer.configuration().value(), answer.configuration().revision());
    this->configurationWanted = answer.configuration_revision() > this->configurationRevision;
}

asio::awaitable<std::string> SessionControl::State::shareReadings(std::shared_ptr<State> self, std::string body)
{
    wire::ReadingsRequest request;
    if (!request.ParseFromString(body) || self->leadershipAskedAt == Instant::min()) {
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::StoreUnavailable,
            .message = "nothing was read here yet" } };
    }
    wire::ReadingsAnswer answer;
    const auto age = std::chrono::ceil<std::chrono::microseconds>(bootNow() - self->leadershipAskedAt);
    answer.set_leadership_age_us(static_cast<std::uint64_t>(std::max<std::int64_t>(age.count(), 0)));
    answer.set_leadership_revision(self->leadershipListing.revision);
    for (const auto& entry : self->leadershipListing.entries)
        write(entry, *answer.add_leadership());
    answer.set_configuration_revision(self->configurationRevision);
    const bool newer = self->configurationRevision > request.configuration_revision();
    if (newer && request.wants_configuration()) {
        write({ .key = {}, .value = self->configurationValue, .revision = self->configurationRevision },
            *answer.mutable_configuration());
    }
    answer.set_vms_revision(self->vmListing.revision);
    if (self->vmListing.revision > request.vms_revision()) {
        for (const auto& entry : self->vmListing.entries)
            write(entry, *answer.add_vms());
    }
    co_return answer.SerializeAsString();
}

} // namespace cyclamendrift
