#include "control_state.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/schema/duration_codec.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <sharing.pb.h>

#include <algorithm>
#include <cstddef>

namespace cyclamendrift {

namespace {

std::uint64_t microsecondsSince(Instant instant)
{
    // What was never read is older than anything that is of use.
    constexpr Duration never = std::chrono::hours { 1 };
    return wireMicroseconds(instant == Instant::min() ? never : bootNow() - instant);
}

Duration ageOf(const wire::StoredListing& message) { return durationFrom(message.age_us()); }

void write(const StoreEntry& entry, wire::StoredEntry& message)
{
    message.set_key(entry.key);
    message.set_value(entry.value);
    message.set_revision(entry.revision);
}

void writeRevision(std::uint64_t revision, Instant confirmedAt, wire::StoredListing& message)
{
    message.set_age_us(microsecondsSince(confirmedAt));
    message.set_revision(revision);
}

/// Writes a listing; its entries only when they are wanted.
void write(const StoreListing& listing, Instant confirmedAt, bool withEntries, wire::StoredListing& message)
{
    writeRevision(listing.revision, confirmedAt, message);
    if (!withEntries)
        return;
    for (const auto& entry : listing.entries)
        write(entry, *message.add_entries());
}

StoreListing listingFrom(const wire::StoredListing& message)
{
    StoreListing listing;
    listing.revision = message.revision();
    for (const auto& entry : message.entries())
        listing.entries.push_back(
            { .key = entry.key(), .value = entry.value(), .revision = entry.revision() });
    return listing;
}

} // namespace

std::optional<VmName> SessionControl::State::readerToAsk() const
{
    if (!this->siblingsOpen)
        return std::nullopt;
    return this->readerChoice.readerFor(this->options.vm, this->place.rank, bootNow());
}

bool SessionControl::State::isReader() const { return !this->readerToAsk(); }

asio::awaitable<bool> SessionControl::State::askReaders()
{
    // A second question still leaves time to read the store before this VM's views of primaries end.
    constexpr int readersTried = 2;
    for (int tried = 0; tried < readersTried; ++tried) {
        const auto reader = this->readerToAsk();
        if (!reader)
            break;
        const auto address = this->siblings.at(*reader).address;
        if (co_await this->askReader(address))
            co_return true;
        this->readerChoice.passOver(*reader, bootNow() + this->options.settings.readerPause);
    }
    co_return false;
}

asio::awaitable<bool> SessionControl::State::askReader(SiblingAddress address)
{
    wire::ReadingsRequest request;
    request.set_configuration_revision(this->configurationRevision);
    request.set_vms_revision(this->vmListing.revision);
    request.set_directory_revision(this->directoryListing.revision);
    request.set_wants_configuration(this->configurationSource.isLost());
    request.set_wants_directory(this->directorySource.isLost());
    const auto askedAt = bootNow();
    wire::ReadingsAnswer answer;
    try {
        const auto body = co_await this->options.traffic.askForReadings(address, request.SerializeAsString());
        if (!answer.ParseFromString(body))
            throw Error { "the answer cannot be read" };
    } catch (const Error& error) {
        logEvent(LogLevel::Info, "reader_not_reached",
            { { "vm", address.vm.string() }, { "reason", error.what() } });
        co_return false;
    }
    this->takeReadings(answer, askedAt);
    const auto usable = this->options.settings.readingsUsable;
    co_return ageOf(answer.leadership()) < usable || this->viewsAreFresh(usable);
}

bool SessionControl::State::viewsAreFresh(Duration usable) const
{
    const auto now = bootNow();
    return std::all_of(this->coordinators.begin(), this->coordinators.end(), [now, usable](const auto& item) {
        const auto vouchedAt = item.second.vouchedAt(now);
        return vouchedAt && now - *vouchedAt < usable;
    });
}

void SessionControl::State::takeReadings(const wire::ReadingsAnswer& answer, Instant askedAt)
{
    // The sibling reckoned each age after this VM had asked, so nothing is older than these instants say.
    const auto leadershipAt = askedAt - ageOf(answer.leadership());
    if (leadershipAt > this->leadershipAskedAt) {
        this->leadershipListing = listingFrom(answer.leadership());
        this->leadershipAskedAt = leadershipAt;
        this->takeLeadership(this->leadershipListing, leadershipAt, ViewSource::Sibling);
    }
    for (const auto& view : answer.views()) {
        const auto coordinator = this->coordinators.find(ServiceName { view.service() });
        if (coordinator != this->coordinators.end())
            coordinator->second.onSiblingView(view.record_revision(), askedAt - durationFrom(view.age_us()));
    }
    const auto& vms = answer.vms();
    if (vms.entries_size() > 0 && vms.revision() > this->vmListing.revision)
        this->takeVms(listingFrom(vms));
    if (vms.revision() == this->vmListing.revision)
        this->vmsConfirmedAt = std::max(this->vmsConfirmedAt, askedAt - ageOf(vms));
    const auto& configuration = answer.configuration();
    if (configuration.entries_size() > 0)
        this->takeConfiguration(configuration.entries(0).value(), configuration.revision());
    if (configuration.revision() == this->configurationRevision)
        this->configurationConfirmedAt
            = std::max(this->configurationConfirmedAt, askedAt - ageOf(configuration));
    this->configurationWanted = configuration.revision() > this->configurationRevision;
    const auto& directory = answer.directory();
    if (directory.entries_size() > 0 && directory.revision() > this->directoryListing.revision)
        this->takeDirectory(listingFrom(directory));
}

void SessionControl::State::writeViews(wire::ReadingsAnswer& answer) const
{
    const auto now = bootNow();
    for (const auto& [service, coordinator] : this->coordinators) {
        const auto vouchedAt = coordinator.vouchedAt(now);
        if (!vouchedAt || *vouchedAt <= this->leadershipAskedAt)
            continue;
        auto& view = *answer.add_views();
        view.set_service(service.string());
        view.set_record_revision(coordinator.recordRevision());
        view.set_age_us(microsecondsSince(*vouchedAt));
    }
}

asio::awaitable<std::string> SessionControl::State::shareReadings(
    std::shared_ptr<State> self, std::string body)
{
    wire::ReadingsRequest request;
    if (!request.ParseFromString(body) || self->leadershipAskedAt == Instant::min()) {
        throw notRun(RefusalReason::StoreUnavailable, "nothing was read here yet");
    }
    wire::ReadingsAnswer answer;
    write(self->leadershipListing, self->leadershipAskedAt, true, *answer.mutable_leadership());
    self->writeViews(answer);
    auto& configuration = *answer.mutable_configuration();
    writeRevision(self->configurationRevision, self->configurationConfirmedAt, configuration);
    const bool newer = self->configurationRevision > request.configuration_revision();
    if (newer && request.wants_configuration()) {
        auto& document = *configuration.add_entries();
        document.set_value(self->configurationValue);
        document.set_revision(self->configurationRevision);
    }
    write(self->vmListing, self->vmsConfirmedAt, self->vmListing.revision > request.vms_revision(),
        *answer.mutable_vms());
    const bool newerDirectory = self->directoryListing.revision > request.directory_revision();
    write(self->directoryListing, self->directoryConfirmedAt, newerDirectory && request.wants_directory(),
        *answer.mutable_directory());
    co_return answer.SerializeAsString();
}

} // namespace cyclamendrift
