#include "control_state.h"

#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <string_view>

namespace cyclamendrift {

namespace {

// Interval of checks for services whose primary no longer has to be tracked here.
constexpr Duration trackedUpdateInterval = std::chrono::milliseconds { 1000 };

} // namespace

asio::awaitable<std::optional<Duration>> SessionControl::State::readLeadership()
{
    const auto askedAt = bootNow();
    try {
        auto listing = co_await this->store.listing(store_key::leadershipPrefix, ReadFreshness::Linearizable);
        this->leadershipSource.succeeded();
        this->leadershipReadingTime.record(bootNow() - askedAt);
        static_cast<void>(this->leadership.takeReading(std::move(listing), askedAt));
        this->applyLeadership(ViewSource::Store);
        co_return std::nullopt;
    } catch (const StoreError& error) {
        co_return this->backoffAfter(this->leadershipSource, error);
    }
}

asio::awaitable<void> SessionControl::State::followLeadership(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    Instant storeAgainAt = Instant::min();
    while (!self->stopped) {
        const auto askedAt = bootNow();
        const bool told = co_await self->askReaders(settings.silentReaderBackoff);
        if (!told && !self->forwardsOnly && askedAt >= storeAgainAt && self->allowOwnReading()) {
            if (const auto failed = co_await self->readLeadership())
                storeAgainAt = askedAt + *failed;
        }
        // A record that may be stale, such as one that this VM has just changed, is read again early.
        const auto next = askedAt + self->readingsInterval();
        if (self->forwardsOnly) {
            self->leadershipWanted.expires_at(next);
            asio::error_code ignored;
            co_await self->leadershipWanted.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        co_await self->sleep(settings.rereadInterval);
        const auto recordMayBeStale = [&self] {
            return std::any_of(self->coordinators.begin(), self->coordinators.end(),
                [](const auto& item) { return item.second.needsSnapshot(); });
        };
        while (
            !self->stopped && bootNow() < next && !(recordMayBeStale() && !self->leadershipSource.isLost()))
            co_await self->sleep(settings.rereadInterval);
    }
}

std::map<ServiceName, LeadershipSnapshot> SessionControl::State::snapshotsOf(
    const std::set<ServiceName>& wanted) const
{
    std::map<ServiceName, LeadershipSnapshot> snapshots;
    for (const auto& service : wanted) {
        auto& snapshot = snapshots[service];
        snapshot.askedAt = this->leadership.confirmedAt();
        snapshot.source = this->leadershipReadFrom;
        if (this->leadershipReadFrom == ViewSource::Store)
            snapshot.expectedMaxAge
                = this->leadershipReadingTime.expectedMaxAge(this->options.settings.leadershipInterval);
    }
    for (const auto& entry : this->leadership.current().entries) {
        const bool isRecord = entry.key.starts_with(store_key::recordPrefix);
        if (!isRecord && !entry.key.starts_with(store_key::coordinatorLeasePrefix))
            continue;
        const std::string_view prefix { isRecord ? store_key::recordPrefix
                                                 : store_key::coordinatorLeasePrefix };
        const auto match = snapshots.find(ServiceName { entry.key.substr(prefix.size()) });
        // Reading only what is tracked here keeps the work of a VM independent of the number of services.
        if (match == snapshots.end())
            continue;
        auto& snapshot = match->second;
        if (isRecord) {
            try {
                snapshot.record = LeadershipRecord::decode(entry.value);
                snapshot.recordRevision = entry.revision;
            } catch (const LeadershipError& error) {
                logEvent(LogLevel::Error, "record_unreadable",
                    { { "key", entry.key }, { "reason", error.what() } });
            }
        } else {
            // The key is never rewritten, so its revision is that of its creation and increases with each
            // holder.
            snapshot.coordinatorLease = CoordinatorLease {
                .holder = VmName { entry.value }, .token = entry.revision, .revision = entry.revision
            };
        }
    }
    return snapshots;
}

void SessionControl::State::applyLeadership(ViewSource source)
{
    this->leadershipReadFrom = source;
    std::set<ServiceName> wanted;
    for (const auto& [service, coordinator] : this->coordinators)
        wanted.insert(service);
    const auto snapshots = this->snapshotsOf(wanted);
    const auto now = bootNow();
    for (auto& [service, coordinator] : this->coordinators)
        coordinator.onSnapshot(snapshots.at(service), now);
    this->leadershipRead = !this->services.empty();
    this->tick();
}

bool SessionControl::State::everyServiceHasRecord() const
{
    // A VM that forwards all statements has no records.
    if (this->forwardsOnly)
        return true;
    std::set<ServiceName> recorded;
    for (const auto& entry : this->leadership.current().entries) {
        if (entry.key.starts_with(store_key::recordPrefix))
            recorded.emplace(entry.key.substr(std::string_view { store_key::recordPrefix }.size()));
    }
    return std::includes(recorded.begin(), recorded.end(), this->services.begin(), this->services.end());
}

LeaderCoordinator* SessionControl::State::coordinatorOf(const ServiceName& service)
{
    const auto match = this->coordinators.find(service);
    return match == this->coordinators.end() ? nullptr : &match->second;
}

void SessionControl::State::tick()
{
    if (this->whenReady && this->isReady())
        std::exchange(this->whenReady, nullptr)();
    const auto now = bootNow();
    this->reportConfigurationAge(now);
    this->checkConfigurationLag(now);
    if (now >= this->trackedUpdatedAt + trackedUpdateInterval)
        this->updateTracked(now);
    for (auto& [service, coordinator] : this->coordinators) {
        coordinator.setVmLeaseExpiry(this->leaseUntil);
        for (const auto& action : coordinator.tick(now))
            this->perform(service, action);
    }
}

void SessionControl::State::applyReport(const TrafficReport& report)
{
    for (const auto& upstreamHealth : report.upstreamHealth) {
        const auto coordinator = this->coordinators.find(upstreamHealth.service);
        if (coordinator != this->coordinators.end())
            coordinator->second.onTraffic(upstreamHealth.upstream, upstreamHealth.lastAnswer,
                upstreamHealth.failingSince, upstreamHealth.contradictsView);
    }
    this->demand.note(report.demand, bootNow());
    this->counters = report.counters;
    this->siblingTraffic = report.siblingTraffic;
    this->siblingWireBytes = report.siblingWireBytes;
    this->callers = report.callers;
    this->connections = report.connections;
    this->longestExpectedWait = report.longestExpectedWait;
    this->applyMeasuredZones(report.measuredZones);
    this->lateTrafficTicks = report.lateTicks;
    // A share grows only some time after the list of VMs from which it is computed.
    auto shares = this->shares.current();
    if (shares == this->publishedShares)
        return;
    this->publishedShares = std::move(shares);
    this->options.traffic.setShares(this->publishedShares);
}

void SessionControl::State::perform(const ServiceName& service, const LeadershipAction& action)
{
    const auto self = this->shared_from_this();
    struct Visitor {
        State& control;
        const std::shared_ptr<State>& self;
        const ServiceName& service;

        void operator()(const AskStatus& ask) const
        {
            if (this->control.confirmationThrottle.allow(ask, bootNow()))
                this->send(ask.upstream, ReportStatus {});
            else
                ++this->control.confirmationsNotRequested;
        }
        void operator()(const PauseReplica& pause) const
        {
            this->send(pause.upstream, PauseReplication { pause.term });
        }
        void operator()(const ResumeReplica& resume) const
        {
            this->send(resume.upstream, ResumeReplication {});
        }
        void operator()(const DemotePrimary& demote) const
        {
            this->send(demote.upstream, StepDown { demote.term });
        }
        void operator()(const AcquireCoordinatorLease&) const
        {
            this->control.spawn(State::acquireCoordinatorLease(this->self, this->service));
        }
        void operator()(const ReleaseCoordinatorLease& coordinatorLease) const
        {
            this->control.spawn(
                State::releaseCoordinatorLease(this->self, this->service, coordinatorLease.revision));
        }
        void operator()(const WriteLeadershipRecord& change) const
        {
            this->control.spawn(State::writeRecord(this->self, this->service, change));
        }
        void operator()(const PromoteUpstream& change) const
        {
            this->control.spawn(State::promote(this->self, this->service, change));
        }
        void operator()(const PublishView& leader) const
        {
            if (this->control.tracked.isUsed(this->service, bootNow()))
                this->control.options.traffic.setLeader(this->service, leader.view);
        }
        void operator()(const LogLeadershipEvent& note) const
        {
            BoundedLog::Fields fields { { "service", this->service.string() } };
            fields.insert(fields.end(), note.fields.begin(), note.fields.end());
            this->control.log.write(note.event, fields, bootNow());
        }

        void send(const UpstreamName& upstream, UpstreamOrder order) const
        {
            this->control.spawn(State::order(this->self, this->service, upstream, order));
        }
    };
    std::visit(Visitor { *this, self, service }, action);
}

asio::awaitable<void> SessionControl::State::order(
    std::shared_ptr<State> self, ServiceName service, UpstreamName upstream, UpstreamOrder order)
{
    const auto entry = std::lower_bound(self->directory.begin(), self->directory.end(), upstream,
        [](const UpstreamEntry& candidate, const UpstreamName& name) { return candidate.name < name; });
    if (entry == self->directory.end() || entry->name != upstream)
        co_return;
    const auto askedAt = bootNow();
    const auto status = co_await self->options.leadership.order(*entry, order);
    auto* coordinator = self->coordinatorOf(service);
    if (coordinator == nullptr)
        co_return;
    if (status)
        coordinator->onStatus(upstream, *status, askedAt, bootNow());
    else
        coordinator->onStatusFailed(upstream, bootNow());
}

asio::awaitable<void> SessionControl::State::acquireCoordinatorLease(
    std::shared_ptr<State> self, ServiceName service)
{
    if (self->lease == LeaseId::None)
        co_return;
    try {
        SwapOptions swap { .key = store_key::coordinatorLeasePrefix + service.string(),
            .expectedRevision = 0,
            .value = self->options.vm.string(),
            .lease = self->lease };
        const auto outcome = co_await self->store.compareAndSwap(std::move(swap));
        const bool taken = std::holds_alternative<Swapped>(outcome);
        logEvent(LogLevel::Info, "duty_tried",
            { { "service", service.string() }, { "taken", taken ? "yes" : "no" } });
    } catch (const StoreError& error) {
        // The next reading shows whether the write took effect.
        logEvent(
            LogLevel::Warn, "duty_unknown", { { "service", service.string() }, { "reason", error.what() } });
    }
}

asio::awaitable<void> SessionControl::State::releaseCoordinatorLease(
    std::shared_ptr<State> self, ServiceName service, std::uint64_t revision)
{
    try {
        SwapOptions swap { .key = store_key::coordinatorLeasePrefix + service.string(),
            .expectedRevision = revision };
        static_cast<void>(co_await self->store.compareAndSwap(std::move(swap)));
    } catch (const StoreError& error) {
        logEvent(LogLevel::Warn, "duty_not_yielded",
            { { "service", service.string() }, { "reason", error.what() } });
    }
}

asio::awaitable<void> SessionControl::State::writeRecord(
    std::shared_ptr<State> self, ServiceName service, WriteLeadershipRecord change)
{
    try {
        SwapOptions swap { .key = store_key::recordPrefix + service.string(),
            .expectedRevision = change.expectedRevision,
            .value = change.record.encode() };
        // Fails the write when another VM has acquired the coordinator lease.
        swap.guards.push_back({ .key = store_key::coordinatorLeasePrefix + service.string(),
            .revision = change.leaseRevision });
        const auto outcome = co_await self->store.compareAndSwap(std::move(swap));
        const auto* swapped = std::get_if<Swapped>(&outcome);
        logEvent(LogLevel::Info, "record_written",
            { { "service", service.string() }, { "change", change.record.changeId },
                { "outcome", swapped != nullptr ? "done" : "conflict" } });
        auto* coordinator = self->coordinatorOf(service);
        if (swapped != nullptr && coordinator != nullptr)
            coordinator->onRecordWritten(change.record, swapped->revision, bootNow());
    } catch (const StoreError& error) {
        // The next reading shows whether the write took effect.
        logEvent(LogLevel::Warn, "record_unknown",
            { { "service", service.string() }, { "change", change.record.changeId },
                { "reason", error.what() } });
    }
    self->tick();
}

asio::awaitable<void> SessionControl::State::promote(
    std::shared_ptr<State> self, ServiceName service, PromoteUpstream change)
{
    // The lease may have expired since the coordinator decided, for example while this VM was suspended.
    if (bootNow() >= self->leaseUntil)
        co_return;
    using Answer = LeadershipPort::PromotionAnswer;
    const auto sentAt = bootNow();
    const auto answer
        = co_await self->options.leadership.promote(service, change.upstream, self->options.vm, change.token);
    logEvent(LogLevel::Info, "promotion_sent",
        { { "service", service.string() }, { "upstream", change.upstream.string() },
            { "token", std::to_string(change.token) },
            { "answer",
                answer == Answer::Accepted         ? "accepted"
                    : answer == Answer::NotRunning ? "not running"
                                                   : "none" } });
    auto* coordinator = self->coordinatorOf(service);
    if (coordinator == nullptr)
        co_return;
    if (answer == Answer::Accepted)
        coordinator->onPromotionAccepted(change.upstream, sentAt, bootNow());
    if (answer == Answer::NotRunning)
        coordinator->onPromotionRefused(change.upstream);
}

} // namespace cyclamendrift
