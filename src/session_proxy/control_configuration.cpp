#include "control_state.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/runtime/descriptor_limit.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <asio/bind_cancellation_slot.hpp>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <iterator>
#include <memory>
#include <set>
#include <utility>

namespace cyclamendrift {

namespace {

// A VM that no sibling has asked or answered for this long may be cut off.
constexpr Duration maxSiblingSilence = std::chrono::seconds { 2 };

} // namespace

void SessionControl::State::applyConfiguration(const std::string& value, std::uint64_t revision)
{
    if (revision <= this->configurationRevision)
        return;
    this->configurationRevision = revision;
    this->configurationValue = value;
    this->configurationPacked.clear();
    this->configurationHolders.clear();
    this->configurationFetch.taken(revision);
    std::shared_ptr<const RouteTable> table;
    try {
        table = std::make_shared<const RouteTable>(this->options.format.readRoutes(value));
    } catch (const std::exception& error) {
        logEvent(LogLevel::Error, "configuration_unreadable",
            { { "revision", std::to_string(revision) }, { "reason", error.what() } });
        return;
    }
    if (this->routes && table->version <= this->routes->version)
        return;
    logEvent(LogLevel::Info, "configuration_taken",
        { { "version", std::to_string(table->version) }, { "revision", std::to_string(revision) },
            { "routes", std::to_string(table->routes.size()) },
            { "keys", std::to_string(table->keys.size()) } });
    this->routes = std::move(table);
    this->directoryReader.addServices(*this->routes);
    this->options.traffic.setRoutes(this->routes);
    this->checkConfigurationLag(bootNow());
    this->updateTracked(bootNow());
    this->divideLimits();
    // Entries of a service may have been read before the configuration that names it.
    if (this->directoryRead)
        this->applyDirectory();
}

void SessionControl::State::confirmConfiguration(Instant at)
{
    this->configurationValidity.confirmed(at, bootNow());
    this->publishConfigurationValidity();
}

void SessionControl::State::recordStoreOutage(Instant at)
{
    this->configurationValidity.storeUnavailable(at, bootNow());
    this->publishConfigurationValidity();
}

void SessionControl::State::recordStoreFailure(const StoreError& error)
{
    // With these errors the store has answered.
    if (error.kind() == StoreError::Kind::LeaseGone || error.kind() == StoreError::Kind::Compacted)
        return;
    // A VM that is late, or has no file descriptors, fails to reach a store that serves the others.
    const auto now = bootNow();
    const auto tickDueBy
        = this->lateness.onTimeAt() + this->options.settings.latenessInterval + LoopLateness::tolerance;
    if (now > tickDueBy || !hasFreeDescriptor())
        return;
    // So does a VM that the network has cut off.
    const auto others = this->siblings.size() - this->siblings.count(this->options.vm);
    if (others > 0 && now > this->siblingHeardAt + maxSiblingSilence)
        return;
    this->recordStoreOutage(now);
}

void SessionControl::State::publishConfigurationValidity()
{
    const auto until = this->configurationValidity.validUntil();
    if (until == std::exchange(this->publishedValidUntil, until))
        return;
    this->options.traffic.setConfigurationValidUntil(until);
}

void SessionControl::State::reportConfigurationAge(Instant now)
{
    if (!this->routes)
        return;
    const auto age = now - std::max(this->configurationValidity.confirmedAt(), this->startedAt);
    const bool overdue = age >= this->options.settings.maxConfigurationAge;
    if (overdue == this->configurationOverdue)
        return;
    this->configurationOverdue = overdue;
    if (!overdue) {
        logEvent(LogLevel::Info, "configuration_confirmed",
            { { "revision", std::to_string(this->configurationRevision) } });
        return;
    }
    const auto lackingSince = this->configurationFetch.lackingSince();
    logEvent(LogLevel::Warn, "configuration_overdue",
        { { "age_ms", millisecondsText(age) }, { "revision", std::to_string(this->configurationRevision) },
            { "known_revision", std::to_string(this->configurationFetch.knownRevision()) },
            { "lacking_ms",
                lackingSince == Instant::max() ? "none" : millisecondsText(now - lackingSince) } });
}

void SessionControl::State::checkConfigurationLag(Instant now)
{
    const auto& fetch = this->configurationFetch;
    const bool outdated = this->routes && fetch.isLacking()
        && now >= fetch.lackingSince() + this->options.settings.maxConfigurationLag;
    if (outdated == this->configurationOutdated)
        return;
    this->configurationOutdated = outdated;
    this->options.traffic.setConfigurationOutdated(outdated);
    logEvent(outdated ? LogLevel::Warn : LogLevel::Info,
        outdated ? "configuration_outdated" : "configuration_current",
        { { "revision", std::to_string(this->configurationRevision) },
            { "known_revision", std::to_string(fetch.knownRevision()) } });
}

asio::awaitable<SessionControl::State::ProvenListing> SessionControl::State::readProven(std::string prefix)
{
    // A listing that may lag costs a tenth. The leadership records are read with linearizable reads, so a
    // listing of the same or a later revision lacks nothing that was acknowledged before that reading.
    const auto provenAt = this->leadership.confirmedAt();
    const auto revision = this->leadership.current().revision;
    if (bootNow() < provenAt + this->options.settings.maxProofAge) {
        auto listing = co_await this->store.listing(prefix, ReadFreshness::MayLag);
        if (listing.revision >= revision)
            co_return ProvenListing { .listing = std::move(listing), .provenAt = provenAt };
        logEvent(LogLevel::Info, "listing_lags",
            { { "prefix", prefix }, { "revision", std::to_string(listing.revision) },
                { "expected", std::to_string(revision) } });
    }
    const auto askedAt = bootNow();
    auto listing = co_await this->store.listing(std::move(prefix), ReadFreshness::Linearizable);
    co_return ProvenListing { .listing = std::move(listing), .provenAt = askedAt };
}

asio::awaitable<bool> SessionControl::State::readConfiguration()
{
    const auto key = this->options.format.configurationKey();
    try {
        const auto [listing, provenAt] = co_await this->readProven(this->options.format.operatorPrefix());
        this->configurationSource.succeeded();
        const auto entry = std::find_if(listing.entries.begin(), listing.entries.end(),
            [&key](const StoreEntry& candidate) { return candidate.key == key; });
        const bool found = entry != listing.entries.end();
        if (found)
            this->applyConfiguration(entry->value, entry->revision);
        this->confirmConfiguration(provenAt);
        this->configurationLatestUntil = std::max(this->configurationLatestUntil, listing.revision);
        this->configurationWatchable = true;
        StoreListing requests { .revision = listing.revision };
        std::copy_if(listing.entries.begin(), listing.entries.end(), std::back_inserter(requests.entries),
            [prefix = this->options.format.evacuationPrefix()](
                const StoreEntry& candidate) { return candidate.key.starts_with(prefix); });
        if (this->evacuations.takeReading(std::move(requests), provenAt) == SharedListing::Change::Entries)
            this->applyEvacuations();
        co_return found;
    } catch (const StoreError& error) {
        this->configurationBackoff = this->backoffAfter(this->configurationSource, error);
        co_return false;
    }
}

void SessionControl::State::applyOperatorChange(const StoreChange& change)
{
    const auto now = bootNow();
    if (change.key == this->options.format.configurationKey() && change.value)
        this->applyConfiguration(*change.value, change.revision);
    // After a suspension, answers that arrived before it are handled now.
    this->confirmConfiguration(std::min(now, this->lateness.onTimeAt()));
    this->configurationLatestUntil = std::max(this->configurationLatestUntil, change.revision);
    const auto prefix = this->options.format.evacuationPrefix();
    if (this->evacuations.takeChange(change, prefix, now) == SharedListing::Change::Entries)
        this->applyEvacuations();
    // One answer of the store suffices a VM that only stands in for its store reader.
    if (change.key.empty() && !this->isReader())
        this->endConfigurationWatch();
}

void SessionControl::State::endConfigurationWatch()
{
    // The watch may be what calls this; it can be cancelled while it waits for the store.
    asio::post(this->options.context, [self = this->shared_from_this()] {
        self->configurationWatchEnded = true;
        self->configurationWatch.emit(asio::cancellation_type::all);
    });
}

void SessionControl::State::applyEvacuations()
{
    std::set<ZoneName> zones;
    std::string names;
    for (const auto& entry : this->evacuations.current().entries) {
        try {
            auto request = this->options.format.readEvacuation(entry.key, entry.value);
            if (!request.wellFormed)
                logEvent(LogLevel::Warn, "evacuation_malformed", { { "key", entry.key } });
            names += (names.empty() ? "" : ",") + request.zone.string();
            zones.insert(std::move(request.zone));
        } catch (const FormatError& error) {
            logEvent(
                LogLevel::Warn, "evacuation_set_aside", { { "key", entry.key }, { "reason", error.what() } });
        }
    }
    if (zones == this->evacuatedZones)
        return;
    this->evacuatedZones = std::move(zones);
    const auto affected = std::count_if(this->directory.begin(), this->directory.end(),
        [this](const UpstreamEntry& entry) { return this->evacuatedZones.contains(entry.zone); });
    logEvent(LogLevel::Info, "evacuations_taken",
        { { "availability_zones", names }, { "upstreams", std::to_string(affected) },
            { "revision", std::to_string(this->evacuations.current().revision) } });
    for (auto& [service, coordinator] : this->coordinators)
        coordinator.setEvacuatedZones(this->evacuatedZones);
    this->options.traffic.setEvacuatedZones(this->evacuatedZones);
    this->tick();
}

asio::awaitable<void> SessionControl::State::watchConfiguration()
{
    const auto onChange = [this](const StoreChange& change) { this->applyOperatorChange(change); };
    const auto prefix = this->options.format.operatorPrefix();
    this->configurationWatchEnded = false;
    try {
        // The watch starts where the configuration was last known to be the latest, not at its last change,
        // because the store discards its history after some seconds and rejects a watch from an earlier
        // revision.
        auto watch = this->store.watch(prefix, this->configurationLatestUntil + 1, onChange);
        co_await asio::co_spawn(this->options.context, std::move(watch),
            asio::bind_cancellation_slot(this->configurationWatch.slot(), asio::use_awaitable));
    } catch (const StoreError& error) {
        logEvent(LogLevel::Debug, "configuration_watch_ended", { { "reason", error.what() } });
        // After an error of the store the configuration is read again before the next watch, so no change is
        // missed.
        this->configurationWatchable = this->configurationWatchEnded;
    }
}

bool SessionControl::State::mayConfirmConfiguration()
{
    if (this->isReader())
        return true;
    const auto now = bootNow();
    const auto& settings = this->options.settings;
    const auto confirmedAt
        = std::min(this->configurationValidity.confirmedAt(), this->evacuations.confirmedAt());
    if (now < confirmedAt + settings.maxConfigurationAge)
        return false;
    // Siblings that have the document send it as soon as their links have capacity. If every VM that waits
    // read it from the store instead, they would take the store's link from everybody.
    const auto& fetch = this->configurationFetch;
    if (fetch.isLacking() && now < fetch.lackingSince() + settings.maxConfigurationAge)
        return false;
    if (!this->mayCallStore())
        return false;
    // A watch answers with the document only if it has changed.
    this->configurationThrottle.setLoad({ .vms = this->siblings.size(),
        .listBytes = fetch.isLacking() ? this->configurationValue.size() : 0 });
    return this->configurationThrottle.allowRead(now, this->random);
}

asio::awaitable<void> SessionControl::State::followConfiguration(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    while (!self->stopped) {
        // Store readers may have lost the store themselves, so a configuration that nobody has confirmed for
        // a while is confirmed here. A VM that got it from siblings can watch from the revision that they
        // have read, and does not need the whole document again.
        bool current = false;
        if (self->mayConfirmConfiguration())
            current = self->configurationWatchable || co_await self->readConfiguration();
        if (current) {
            co_await self->watchConfiguration();
            // Limits the rate of watches when the store ends each of them at once.
            co_await self->sleep(settings.rereadInterval);
        } else {
            co_await self->sleep(self->configurationSource.isLost()
                    ? std::max(self->configurationBackoff, settings.maxBackoff / 2)
                    : self->forwardsOnly ? settings.idleInterval
                                         : settings.rereadInterval);
        }
    }
}

asio::awaitable<void> SessionControl::State::followDirectory(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    while (!self->stopped) {
        auto pause = settings.directoryInterval;
        if (self->forwardsOnly) {
            co_await self->sleep(pause);
            continue;
        }
        if (self->mayReadList(
                self->directoryListing.confirmedAt(), settings.maxDirectoryAge, self->directoryWithheldAt)) {
            if (const auto failed = co_await self->readDirectory())
                pause = *failed;
        } else if (!self->missingSince.empty()) {
            // Drops entries that have been missing for `missingEntryRetention`, even if nothing else changes.
            self->applyDirectory();
        }
        co_await self->sleep(pause);
    }
}

asio::awaitable<std::optional<Duration>> SessionControl::State::readDirectory()
{
    const auto prefix = this->options.format.upstreamPrefix();
    try {
        // The first reading must be complete. Later ones may lag, because an upstream announces its shutdown
        // some seconds ahead.
        const auto askedAt = bootNow();
        auto change = SharedListing::Change::None;
        if (!this->directoryRead) {
            auto [listing, provenAt] = co_await this->readProven(prefix);
            change = this->directoryListing.takeReading(std::move(listing), provenAt);
        } else {
            auto listing = co_await this->store.listing(prefix, ReadFreshness::MayLag);
            change = this->directoryListing.takeReading(std::move(listing), askedAt);
        }
        const bool changed = change == SharedListing::Change::Entries;
        this->directorySource.succeeded();
        if (changed || !this->directoryRead || !this->missingSince.empty())
            this->applyDirectory();
        co_return std::nullopt;
    } catch (const StoreError& error) {
        co_return this->backoffAfter(this->directorySource, error);
    }
}

void SessionControl::State::applyDirectory()
{
    const auto now = bootNow();
    auto [next, setAside] = this->directoryReader.read(this->directoryListing.current().entries);
    for (const auto& [key, reason] : setAside)
        this->log.write("upstream_entry_set_aside", { { "key", key }, { "reason", reason } }, now);
    std::set<UpstreamName> present;
    for (const auto& upstream : next)
        present.insert(upstream.name);
    for (const auto& known : this->directory) {
        if (present.contains(known.name)) {
            this->missingSince.erase(known.name);
            continue;
        }
        const auto since = this->missingSince.try_emplace(known.name, now).first->second;
        if (now < since + this->options.settings.missingEntryRetention)
            next.push_back(known);
        else
            this->missingSince.erase(known.name);
    }
    std::sort(next.begin(), next.end(),
        [](const UpstreamEntry& left, const UpstreamEntry& right) { return left.name < right.name; });
    this->directoryRead = true;
    if (next == this->directory)
        return;
    this->directory = std::move(next);
    this->publishDirectory();
}

void SessionControl::State::publishDirectory()
{
    std::map<ServiceName, UpstreamDirectory> groups;
    for (const auto& entry : this->directory)
        groups[entry.service].push_back(entry);
    std::string leaving;
    for (const auto& entry : this->directory) {
        if (entry.draining)
            leaving += (leaving.empty() ? "" : ",") + entry.name.string();
    }
    logEvent(LogLevel::Info, "directory_taken",
        { { "upstreams", std::to_string(this->directory.size()) }, { "leaving", leaving },
            { "revision", std::to_string(this->directoryListing.current().revision) } });
    this->services.clear();
    for (const auto& [service, members] : groups)
        this->services.insert(service);
    for (auto& [service, coordinator] : this->coordinators)
        coordinator.onDirectory(groups[service], bootNow());
    this->options.traffic.setDirectory(this->directory);
    this->updateTracked(bootNow());
    // The leadership record of a new group may have been read already.
    if (this->leadership.confirmedAt() != Instant::min())
        this->applyLeadership(this->leadershipReadFrom);
}

} // namespace cyclamendrift
