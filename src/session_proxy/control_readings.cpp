#include "control_state.h"
#include "sibling_methods.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/schema/duration_codec.h>
#include <cyclamendrift/session_proxy/packing.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <sharing.pb.h>

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cyclamendrift {

namespace {

// Maximum number of siblings without an answer in one round. After three of them there is still time to read
// the store before this VM's views of primaries expire.
constexpr int silentReadersAsked = 3;
// Maximum number of siblings asked in one round. Readers that answer with old readings all have the same
// difficulty with the store, and further VMs of the order have no readings of their own.
constexpr int readersAsked = 6;

// Upper bound of the age of a configuration that was confirmed.
constexpr Duration maxPlausibleAge = std::chrono::hours { 1 };

// Size up to which the configuration is sent together with the lists, as one packet or a few.
constexpr std::size_t maxConfigurationInReadings = 4096;

// Size up to which a listing is sent regardless of the budget: one without entries, or a small difference.
constexpr std::size_t smallListing = 256;

void completeUnchanged(const wire::ReadingsRequest& request, wire::ReadingsAnswer& answer)
{
    SharedListing::completeUnchanged(request.leadership(), *answer.mutable_leadership());
    SharedListing::completeUnchanged(request.vms(), *answer.mutable_vms());
    SharedListing::completeUnchanged(request.directory(), *answer.mutable_directory());
    SharedListing::completeUnchanged(request.evacuations(), *answer.mutable_evacuations());
}

} // namespace

std::optional<VmName> SessionControl::State::readerToAsk() const
{
    if (!this->siblingsOpen)
        return std::nullopt;
    return this->readerSelector.readerFor(this->options.vm, this->place.rank, bootNow());
}

bool SessionControl::State::isReader() const { return !this->readerToAsk(); }

bool SessionControl::State::mayCallStore()
{
    const auto now = bootNow();
    return !this->siblingsOpen || this->readerSelector.isReaderOrStandby(this->options.vm, now)
        || !this->readerSelector.storeSeemsUnavailable(now) || this->storeThrottle.allowCall(now);
}

bool SessionControl::State::mayReadList(Instant confirmedAt, Duration maxAge, Instant withheldAt)
{
    if (this->isReader())
        return true;
    const auto now = bootNow();
    if (now < confirmedAt + maxAge)
        return false;
    // The reader has the list and sends it as soon as its link has capacity. If every VM that waits read the
    // list from the store instead, they would take the store's link from everybody.
    if (now < withheldAt + maxAge)
        return false;
    return this->allowOwnReading();
}

std::vector<const SharedListing*> SessionControl::State::neededListings() const
{
    if (this->forwardsOnly)
        return { &this->vms };
    return { &this->leadership, &this->vms, &this->directoryListing };
}

bool SessionControl::State::allowOwnReading()
{
    if (!this->mayCallStore())
        return false;
    // The store readers and their standbys are few, and one of them has to replace a reader that fails.
    if (this->isReader() || this->readerSelector.isReaderOrStandby(this->options.vm, bootNow()))
        return true;
    // What an entry of a list takes in an answer of the store.
    constexpr std::size_t bytesPerEntry = 250;
    std::size_t entries = 0;
    for (const auto* listing : this->neededListings())
        entries += listing->current().entries.size();
    this->listThrottle.setLoad({ .vms = this->siblings.size(),
        .listBytes = entries * bytesPerEntry + this->configurationValue.size() });
    return this->listThrottle.allowRead(bootNow(), this->random);
}

Duration SessionControl::State::readingsTimeLimit() const
{
    const auto& settings = this->options.settings;
    // What an entry of a list takes on the wire, packed.
    constexpr double bytesPerEntry = 64;
    std::size_t entries = 0;
    auto oldest = Instant::max();
    for (const auto* listing : this->neededListings()) {
        if (listing->confirmedAt() == Instant::min())
            return settings.maxFirstListsTime;
        oldest = std::min(oldest, listing->confirmedAt());
        entries += listing->current().entries.size();
    }
    // The reader sends whole lists to a VM that lacks too many changes, and the lists may have grown.
    const bool outdated = bootNow() >= oldest + settings.maxVmListAge;
    const std::chrono::duration<double> transfer { (outdated ? 4 : 1) * static_cast<double>(entries)
        * bytesPerEntry / this->options.linkBytesPerSecond };
    return settings.readingsTimeout + std::chrono::duration_cast<Duration>(transfer);
}

Duration SessionControl::State::readingsInterval() const
{
    // Two VMs may use the same share of a limit for as long as their lists of VMs differ.
    const bool mayHoldLimits = this->holders.includesAllVms() || this->holders.mayHold(this->options.vm);
    // The reader may have failed; at the longer interval the configuration could become invalid before
    // another one has confirmed it.
    const bool mustConfirm
        = this->configurationOverdue && !this->readerSelector.storeSeemsUnavailable(bootNow());
    return this->forwardsOnly && !mayHoldLimits && !mustConfirm ? this->options.settings.idleInterval
                                                                : this->options.settings.leadershipInterval;
}

asio::awaitable<bool> SessionControl::State::askReaders(Duration pause)
{
    const auto& settings = this->options.settings;
    // While the store is unavailable, siblings still pass on views that replicas have confirmed.
    const bool away = this->readerSelector.storeSeemsUnavailable(bootNow());
    int silent = 0;
    for (int asked = 0; asked < readersAsked && silent < silentReadersAsked; ++asked) {
        // A store reader must not rely on siblings, which rely on its readings.
        auto reader = this->readerToAsk();
        if (!reader) {
            if (this->isReaderWithoutStore())
                co_await this->askInsteadOfStore();
            co_return false;
        }
        if (away) {
            const auto turn = this->place.rank + this->readerTurn++;
            reader = this->readerSelector.candidateToAsk(this->options.vm, turn, bootNow());
            if (!reader)
                break;
        }
        const auto address = this->siblings.at(*reader).address;
        const auto askedAt = bootNow();
        const auto answer = co_await this->askReader(address);
        this->recordReaderAnswer(*reader, answer, askedAt, pause);
        if (answer == ReaderAnswer::Fresh) {
            this->listThrottle.served();
            co_return true;
        }
        if (answer == ReaderAnswer::None)
            ++silent;
        if (away || this->readerSelector.storeSeemsUnavailable(bootNow()))
            break;
    }
    // Readers that cannot reach the store pass on views that replicas have confirmed.
    co_return this->viewsAreFresh(settings.maxReadingsAge);
}

bool SessionControl::State::isReaderWithoutStore() const
{
    return this->leadershipSource.isLost()
        || bootNow() > this->configurationValidity.confirmedAt() + this->options.settings.maxConfigurationAge;
}

asio::awaitable<void> SessionControl::State::askInsteadOfStore()
{
    // The store may refuse just this VM; then its siblings know of a later configuration. A store reader goes
    // on to call the store itself, so two readers never rely on each other alone.
    const auto askedAt = bootNow();
    const auto turn = this->place.rank + this->readerTurn++;
    const auto sibling = this->readerSelector.candidateToAsk(this->options.vm, turn, askedAt);
    const auto listed = sibling ? this->siblings.find(*sibling) : this->siblings.end();
    if (!this->siblingsOpen || listed == this->siblings.end())
        co_return;
    const auto address = listed->second.address;
    const auto answer = co_await this->askReader(address);
    this->recordReaderAnswer(address.vm, answer, askedAt, this->options.settings.silentReaderBackoff);
}

void SessionControl::State::recordReaderAnswer(
    const VmName& reader, ReaderAnswer answer, Instant askedAt, Duration pause)
{
    const auto now = bootNow();
    const auto& settings = this->options.settings;
    switch (answer) {
    case ReaderAnswer::Fresh:
        this->readerSelector.recordStoreRead(reader);
        break;
    case ReaderAnswer::WithoutStore:
        this->readerSelector.skipWithoutStore(reader, now + settings.storelessReaderBackoff);
        // A single reader without the store may be overloaded itself.
        if (this->readerSelector.storeSeemsUnavailable(now))
            this->recordStoreOutage(askedAt);
        break;
    case ReaderAnswer::Old:
        this->readerSelector.skipUntil(reader, now + settings.leadershipInterval);
        break;
    case ReaderAnswer::None:
        this->readerSelector.skipWithBackoff(reader, pause, now);
        break;
    }
}

asio::awaitable<SessionControl::State::ReaderAnswer> SessionControl::State::askReader(SiblingAddress address)
{
    wire::ReadingsRequest request;
    request.set_configuration_revision(this->configurationRevision);
    request.set_takes_packed(true);
    request.set_requests_configuration(true);
    request.set_takes_unchanged(true);
    request.set_without_upstreams(!this->needsUpstreams(bootNow()));
    this->leadership.writeKnown(*request.mutable_leadership());
    this->vms.writeKnown(*request.mutable_vms());
    this->directoryListing.writeKnown(*request.mutable_directory());
    this->evacuations.writeKnown(*request.mutable_evacuations());
    const auto askedAt = bootNow();
    const auto timeLimit = this->readingsTimeLimit();
    wire::ReadingsAnswer answer;
    SiblingCall call { .method = sibling_method::shareReadings,
        .body = request.SerializeAsString(),
        .deadline = std::chrono::steady_clock::now() + timeLimit };
    try {
        const auto body = co_await this->siblingClient.call(address, std::move(call));
        if (!answer.ParseFromString(body))
            throw Error { "the answer cannot be read" };
        completeUnchanged(request, answer);
        this->siblingHeardAt = std::max(this->siblingHeardAt, askedAt);
        this->applyReadings(address.vm, answer, askedAt);
    } catch (const RequestError& error) {
        this->siblingHeardAt = std::max(this->siblingHeardAt, askedAt);
        logEvent(this->bootstrapped ? LogLevel::Info : LogLevel::Debug, "reader_not_ready",
            { { "vm", address.vm.string() }, { "reason", error.what() } });
        co_return ReaderAnswer::Old;
    } catch (const Error& error) {
        // While all VMs start, readers may not be listening yet.
        logEvent(this->bootstrapped ? LogLevel::Info : LogLevel::Debug, "reader_not_reached",
            { { "vm", address.vm.string() }, { "reason", error.what() },
                { "waited_ms", millisecondsText(bootNow() - askedAt) },
                { "limit_ms", millisecondsText(timeLimit) } });
        co_return ReaderAnswer::None;
    }
    const auto usable = this->options.settings.maxReadingsAge;
    if (durationFrom(answer.leadership().age_us()) < usable)
        co_return ReaderAnswer::Fresh;
    co_return durationFrom(answer.store_age_us()) < usable ? ReaderAnswer::Old : ReaderAnswer::WithoutStore;
}

bool SessionControl::State::viewsAreFresh(Duration usable) const
{
    const auto now = bootNow();
    if (this->forwardsOnly)
        return true;
    return !this->services.empty()
        && std::all_of(this->coordinators.begin(), this->coordinators.end(), [now, usable](const auto& item) {
               const auto viewConfirmedAt = item.second.viewConfirmedAt(now);
               return viewConfirmedAt && now - *viewConfirmedAt < usable;
           });
}

void SessionControl::State::applyReadings(
    const VmName& sibling, const wire::ReadingsAnswer& answer, Instant askedAt)
{
    // Upstreams come first, because leadership records are assigned to their groups.
    if (this->directoryListing.takeAnswer(answer.directory(), askedAt) == SharedListing::Change::Entries)
        this->applyDirectory();
    if (answer.directory().withheld())
        this->directoryWithheldAt = askedAt;
    if (answer.vms().withheld())
        this->vmsWithheldAt = askedAt;
    const auto confirmedBefore = this->leadership.confirmedAt();
    const auto change = this->leadership.takeAnswer(answer.leadership(), askedAt);
    if (change == SharedListing::Change::Entries || this->leadership.confirmedAt() > confirmedBefore)
        this->applyLeadership(ViewSource::Sibling);
    for (const auto& view : answer.views()) {
        const auto coordinator = this->coordinators.find(ServiceName { view.service() });
        if (coordinator != this->coordinators.end())
            coordinator->second.onSiblingView(view.record_revision(), askedAt - durationFrom(view.age_us()));
    }
    if (this->vms.takeAnswer(answer.vms(), askedAt) == SharedListing::Change::Entries)
        this->applyVms();
    if (this->evacuations.takeAnswer(answer.evacuations(), askedAt) == SharedListing::Change::Entries)
        this->applyEvacuations();
    const auto& configuration = answer.configuration();
    if (configuration.entries_size() == 0) {
        this->onConfigurationAnnounced(sibling, configuration.revision());
    } else {
        const auto& document = configuration.entries(0);
        this->applyConfiguration(
            document.packed() ? unpack(document.value()) : document.value(), configuration.revision());
    }
    if (configuration.revision() == this->configurationRevision) {
        // A greater age stands for a configuration that was never confirmed.
        if (configuration.age_us() < wireMicroseconds(maxPlausibleAge))
            this->confirmConfiguration(askedAt - durationFrom(configuration.age_us()));
        if (answer.configuration_latest_until() > this->configurationLatestUntil) {
            this->configurationLatestUntil = answer.configuration_latest_until();
            this->configurationWatchable = true;
        }
    }
    if (bootNow() < this->configurationValidity.confirmedAt() + this->options.settings.maxConfigurationAge)
        this->configurationThrottle.served();
}

void SessionControl::State::writeViews(wire::ReadingsAnswer& answer) const
{
    const auto now = bootNow();
    for (const auto& [service, coordinator] : this->coordinators) {
        if (coordinator.replicasConfirmedView() <= this->leadership.confirmedAt())
            continue;
        const auto viewConfirmedAt = coordinator.viewConfirmedAt(now);
        if (!viewConfirmedAt)
            continue;
        auto& view = *answer.add_views();
        view.set_service(service.string());
        view.set_record_revision(coordinator.recordRevision());
        view.set_age_us(wireAge(*viewConfirmedAt, now));
    }
}

void SessionControl::State::limitToBudget(wire::ReadingsAnswer& answer, Instant now)
{
    // Leadership records are small and are always sent, because views of primaries depend on them.
    for (auto* listing : { answer.mutable_directory(), answer.mutable_vms() }) {
        if (listing->ByteSizeLong() > smallListing && !this->listingBudget.take(listing->ByteSizeLong(), now))
            SharedListing::withhold(*listing);
    }
    auto& configuration = *answer.mutable_configuration();
    if (configuration.entries_size() > 0 && !this->listingBudget.take(configuration.ByteSizeLong(), now))
        configuration.clear_entries();
}

bool SessionControl::State::hasAllReadings() const
{
    const auto listings = { &this->leadership, &this->vms, &this->directoryListing, &this->evacuations };
    return std::all_of(listings.begin(), listings.end(),
        [](const SharedListing* listing) { return listing->confirmedAt() != Instant::min(); });
}

asio::awaitable<std::string> SessionControl::State::shareReadings(
    std::shared_ptr<State> self, std::string body)
{
    wire::ReadingsRequest request;
    if (!request.ParseFromString(body) || !self->hasAllReadings()) {
        throw notRun(RefusalReason::StoreUnavailable, "nothing was read here yet");
    }
    const auto now = bootNow();
    self->siblingHeardAt = std::max(self->siblingHeardAt, self->lateness.onTimeAt());
    wire::ReadingsAnswer answer;
    answer.set_store_age_us(wireAge(self->storeThrottle.lastAnswer(), now));
    const SharedListing::AnswerOptions how {
        .now = now, .packed = request.takes_packed(), .marksUnchanged = request.takes_unchanged()
    };
    if (request.without_upstreams()) {
        answer.mutable_leadership()->set_age_us(wireAge(self->leadership.confirmedAt(), now));
    } else {
        self->leadership.writeAnswer(request.leadership(), how, *answer.mutable_leadership());
        self->directoryListing.writeAnswer(request.directory(), how, *answer.mutable_directory());
    }
    self->vms.writeAnswer(request.vms(), how, *answer.mutable_vms());
    self->evacuations.writeAnswer(request.evacuations(), how, *answer.mutable_evacuations());
    if (!request.without_upstreams())
        self->writeViews(answer);
    auto& configuration = *answer.mutable_configuration();
    configuration.set_age_us(wireAge(self->configurationValidity.confirmedAt(), now));
    configuration.set_revision(self->configurationRevision);
    answer.set_configuration_latest_until(self->configurationLatestUntil);
    const bool lacking = self->configurationRevision > request.configuration_revision();
    // A large document in this answer would delay the views, or cause the whole answer to be given up.
    if (lacking
        && (!request.requests_configuration()
            || self->packedConfiguration().size() <= maxConfigurationInReadings)) {
        auto& document = *configuration.add_entries();
        document.set_packed(request.takes_packed());
        document.set_value(request.takes_packed() ? self->packedConfiguration() : self->configurationValue);
        document.set_revision(self->configurationRevision);
    }
    if (request.takes_packed())
        self->limitToBudget(answer, now);
    co_return answer.SerializeAsString();
}

} // namespace cyclamendrift
