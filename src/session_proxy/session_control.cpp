#include <cyclamendrift/session_proxy/session_control.h>

#include "control_state.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/core/random_duration.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/event_log.h>
#include <cyclamendrift/telemetry/metrics_registry.h>

#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Time to acquire a coordinator lease, find the primary and write the record on a new system, with one
// repetition.
constexpr Duration maxLeaderWait = std::chrono::seconds { 3 };

// Fraction of this VM's link for lists that are sent to siblings; the rest is for statements.
constexpr double listingLinkFraction = 0.25;

constexpr auto metricPrefix = "cyclamendrift_";

} // namespace

Dependency::Dependency(std::string name, const ControlSettings& settings)
    : name(std::move(name))
    , settings(settings)
{
}

void Dependency::succeeded()
{
    if (std::exchange(this->lost, false))
        logEvent(LogLevel::Info, "dependency_back", { { "dependency", this->name } });
    this->backoff = Duration {};
}

Duration Dependency::failed(const char* reason, Duration maxBackoff)
{
    if (!std::exchange(this->lost, true))
        logEvent(LogLevel::Warn, "dependency_lost", { { "dependency", this->name }, { "reason", reason } });
    this->backoff
        = this->backoff == Duration {} ? this->settings.minBackoff : std::min(this->backoff * 2, maxBackoff);
    return this->backoff;
}

SessionControl::State::State(Options given)
    : options(std::move(given))
    , store({ .store = this->options.store,
          .purposeOf = [this](std::string_view key) { return this->purposeOf(key); },
          .onListing = [this] { this->storeThrottle.answered(bootNow()); } })
    , timers(options.context.get_executor())
    , configurationValidity(options.configurationLimits)
    , configurationLacking(options.context)
    , directoryReader(options.format)
    , tracked(options.vm)
    , leadershipWanted(options.context)
    , zonePlacement(options.placementByZone)
    , siblingClient({ .context = options.context,
          .self = options.vm,
          .crossesZones
          = [this](const VmName& vm) { return crossesZones(this->siblings, vm, this->options.zone); } })
    , configurationSource("configuration", options.settings)
    , directorySource("directory", options.settings)
    , leadershipSource("leadership", options.settings)
    , leaseSource("lease", options.settings)
    , vmSource("vms", options.settings)
    , recordSource("record", options.settings)
    , listingBudget(options.linkBytesPerSecond * listingLinkFraction)
    , random(options.process)
{
}

std::string_view SessionControl::State::purposeOf(std::string_view key) const
{
    if (key.starts_with(store_key::recordPrefix))
        return "leadership_record";
    if (key.starts_with(store_key::coordinatorLeasePrefix))
        return "duty";
    if (key.starts_with(store_key::leadershipPrefix))
        return "leadership";
    if (key.starts_with(store_key::vmPrefix))
        return "vms";
    if (key.starts_with(store_key::siblingPrefix))
        return key == store_key::siblingSecret ? "secret" : "store_readers";
    return key == this->options.format.operatorPrefix() ? "configuration" : "directory";
}

Duration SessionControl::State::backoffAfter(Dependency& dependency, const StoreError& error)
{
    this->recordStoreFailure(error);
    const auto& settings = this->options.settings;
    auto maxBackoff = settings.maxBackoff;
    // Store readers and their standbys have to notice soon that the store answers again.
    if (!this->readerSelector.isReaderOrStandby(this->options.vm, bootNow()))
        maxBackoff = std::max(maxBackoff, this->storeThrottle.fairPause());
    const auto backoff = dependency.failed(error.what(), maxBackoff);
    return backoff - randomDuration(backoff / 4, this->random);
}

void SessionControl::State::reportLoopEnd(const std::exception_ptr& error)
{
    if (!error)
        return;
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& failure) {
        logEvent(LogLevel::Error, "control_work_failed", { { "reason", failure.what() } });
    }
}

void SessionControl::State::spawnLoop(Loop loop) { this->spawn(keepRunning(this->shared_from_this(), loop)); }

asio::awaitable<void> SessionControl::State::keepRunning(std::shared_ptr<State> self, Loop loop)
{
    while (!self->stopped) {
        try {
            co_await loop(self);
            co_return;
        } catch (const std::exception& error) {
            self->log.write("control_work_failed", { { "reason", error.what() } }, bootNow());
        }
        co_await self->sleep(self->options.settings.maxBackoff);
    }
}

asio::awaitable<void> SessionControl::State::sleep(Duration duration)
{
    if (duration <= Duration {})
        co_return;
    asio::steady_timer timer { this->options.context, duration };
    asio::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void SessionControl::State::start(std::function<void()> ready)
{
    this->whenReady = std::move(ready);
    this->startedAt = bootNow();
    this->spawnLoop(bootstrap);
    this->startTimers();
}

void SessionControl::State::checkLateness()
{
    if (const auto late = this->lateness.record(bootNow(), this->options.settings.latenessInterval))
        logEvent(LogLevel::Warn, "event_loop_late",
            { { "thread", "control" }, { "late_ms", millisecondsText(*late) } });
}

void SessionControl::State::startTimers()
{
    const auto& settings = this->options.settings;
    const std::weak_ptr<State> weak = this->weak_from_this();
    if (!this->latenessTicks) {
        this->checkLateness();
        this->latenessTicks = this->timers.every(settings.latenessInterval, [weak](Instant) {
            if (const auto alive = weak.lock())
                alive->checkLateness();
        });
    }
    this->ticks = this->timers.every(
        this->forwardsOnly ? settings.idleInterval : settings.tickInterval, [weak](Instant) {
            if (const auto alive = weak.lock())
                alive->tick();
        });
    const auto reportInterval = this->forwardsOnly ? settings.idleInterval : settings.reportInterval;
    this->reports = this->timers.every(reportInterval, [weak](Instant) {
        const auto alive = weak.lock();
        if (!alive)
            return;
        alive->options.traffic.report([weak](TrafficReport report) {
            const auto control = weak.lock();
            if (!control)
                return;
            asio::post(control->options.context,
                [control, report = std::move(report)] { control->applyReport(report); });
        });
    });
}

bool SessionControl::State::isReady() const
{
    if (!this->routes || this->configurationValidity.confirmedAt() == Instant::min())
        return false;
    if (this->needsUpstreams(bootNow()) && (!this->directoryRead || !this->leadershipRead))
        return false;
    // On the first start of a system no primary is recorded yet. A group that stays without one must not keep
    // the other groups from being served, so the wait is limited.
    const bool mayWaitForLeaders = bootNow() < this->startedAt + maxLeaderWait;
    // An evacuation may have been requested before this VM started.
    const bool evacuationsRead = this->evacuations.confirmedAt() != Instant::min();
    // Without the list of VMs no tokens can be requested, and callers would be refused within their team's
    // rate.
    const bool vmsRead = this->vms.confirmedAt() != Instant::min();
    return !mayWaitForLeaders || (vmsRead && evacuationsRead && this->everyServiceHasRecord());
}

void SessionControl::State::stop()
{
    this->stopped = true;
    this->configurationLacking.cancel();
    this->leadershipWanted.cancel();
    this->ticks.reset();
    this->reports.reset();
    this->latenessTicks.reset();
}

asio::awaitable<void> SessionControl::State::leave()
{
    const auto held
        = { std::exchange(this->lease, LeaseId::None), std::exchange(this->recordLease, LeaseId::None) };
    this->leaseUntil = Instant::min();
    this->stop();
    for (const auto one : held) {
        if (one == LeaseId::None)
            continue;
        try {
            co_await this->store.revokeLease(one);
        } catch (const StoreError& error) {
            logEvent(LogLevel::Warn, "lease_not_ended", { { "reason", error.what() } });
        }
    }
}

SessionControl::SessionControl(Options options)
    : state(std::make_shared<State>(std::move(options)))
{
}

SessionControl::~SessionControl() = default;

void SessionControl::start(std::function<void()> ready) { this->state->start(std::move(ready)); }

void SessionControl::leave(std::function<void()> done)
{
    auto work = [](std::shared_ptr<State> self, std::function<void()> then) -> asio::awaitable<void> {
        co_await self->leave();
        then();
    };
    asio::co_spawn(this->state->options.context, work(this->state, std::move(done)), asio::detached);
}

void SessionControl::recordUse(ServiceName service)
{
    asio::post(this->state->options.context,
        [own = this->state, service = std::move(service)] { own->recordUse(service); });
}

asio::awaitable<std::string> SessionControl::shareReadings(std::string request)
{
    auto started = State::shareReadings(this->state, std::move(request));
    co_return co_await asio::co_spawn(this->state->options.context, std::move(started), asio::use_awaitable);
}

asio::awaitable<std::string> SessionControl::shareConfiguration(VmName from, std::string request)
{
    auto started = State::shareConfiguration(this->state, std::move(from), std::move(request));
    co_return co_await asio::co_spawn(this->state->options.context, std::move(started), asio::use_awaitable);
}

bool SessionControl::isReady() const { return this->state->isReady(); }

std::string SessionControl::metricsText() const
{
    const auto& own = *this->state;
    MetricsRegistry registry;
    const auto count = [&registry](std::string_view name, std::string_view help, std::uint64_t value,
                           const MetricsRegistry::Labels& labels = {}) {
        registry.counter(metricPrefix + std::string { name }, help, labels).add(value);
    };
    const auto showReal = [&registry](std::string_view name, std::string_view help, double value) {
        registry.gauge(metricPrefix + std::string { name }, help).set(value);
    };
    const auto show = [&showReal](std::string_view name, std::string_view help, std::uint64_t value) {
        showReal(name, help, static_cast<double>(value));
    };
    count("answered_total", "Statements answered, failures included.", own.counters.answered);
    count("refused_total", "Statements given up on before any upstream ran them.", own.counters.refused);
    count("refused_unconfirmed_total",
        "Sessions and operations refused because nobody had confirmed the configuration.",
        own.counters.refusedUnconfirmed);
    constexpr auto lateHelp = "Ticks of an event loop that were more than 100 ms late.";
    count("event_loop_late_total", lateHelp, own.lateTrafficTicks, { { "thread", "traffic" } });
    count("event_loop_late_total", lateHelp, own.lateness.lateTicks(), { { "thread", "control" } });
    count("failed_total", "Statements that an upstream answered with a failure.", own.counters.failed);
    count("in_doubt_total", "Writes and commits whose effect is not known.", own.counters.inDoubt);
    count("retried_total", "Times a statement was offered to an upstream anew.", own.counters.retried);
    count("connections_opened_total", "Connections to upstreams opened.", own.counters.connectionsOpened);
    count("handed_on_total", "Statements handed to the home of their service.", own.counters.forwarded);
    constexpr auto zonesHelp = "Statements handed to the home of their service, by its availability zone.";
    count("handed_on_by_zone_total", zonesHelp, own.counters.forwarded - own.counters.forwardedAcrossZones,
        { { "availability_zone", "own" } });
    count("handed_on_by_zone_total", zonesHelp, own.counters.forwardedAcrossZones,
        { { "availability_zone", "other" } });
    count("taken_for_siblings_total", "Statements run here as the home of their service.",
        own.counters.acceptedFromSiblings);
    for (std::uint32_t priority = 0; priority < tokenPriorities; ++priority) {
        const auto& counts = own.counters.admissions.at(priority);
        const auto label = std::to_string(priority);
        if (counts.admitted + counts.refused + counts.tokensGiven == 0)
            continue;
        constexpr auto help = "Operations admitted and refused, by priority and cause.";
        count("admissions_total", help, counts.admitted, { { "priority", label }, { "result", "admitted" } });
        count(
            "admissions_total", help, counts.overRate, { { "priority", label }, { "result", "over_rate" } });
        count("admissions_total", help, counts.refused - counts.overRate,
            { { "priority", label }, { "result", "not_run" } });
        count("tokens_given_total", "Tokens of limits given to siblings, by priority.", counts.tokensGiven,
            { { "priority", label } });
    }
    constexpr auto readsHelp = "Reads answered, by the kind of upstream.";
    count("reads_total", readsHelp, own.counters.readsOnReplicas, { { "at", "replica" } });
    count("reads_total", readsHelp, own.counters.readsOnPrimary, { { "at", "primary" } });
    count("directory_entries_set_aside_total",
        "Entries of the directory that named no upstream to use, each counted once for each reason.",
        own.directoryReader.setAsideTotal());
    show("evacuated_availability_zones", "Availability zones that operators evacuate.",
        own.evacuatedZones.size());
    show("placed_by_zone", "1 while homes of services are placed by availability zone.",
        own.ownerPlan.byZone ? 1 : 0);
    show("expected_wait_milliseconds",
        "The longest time that a statement of any service is expected to wait here for an upstream.",
        static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(own.longestExpectedWait).count()));
    show("sessions", "Callers' sessions that are open.", own.callers);
    show("upstream_connections", "Connections to upstreams that are open.", own.connections);
    show("vms", "VMs that are listed.", own.siblings.size());
    const auto confirmedAt = own.configurationValidity.confirmedAt();
    const std::chrono::duration<double> configurationAge
        = confirmedAt == Instant::min() ? Duration {} : bootNow() - confirmedAt;
    showReal("configuration_age_seconds",
        "Seconds since the configuration was last confirmed; 0 before any was read.",
        configurationAge.count());
    show("services_tracked", "Services whose primary this VM tracks.", own.coordinators.size());
    show("configuration_version", "Version of the routes in force; 0 before any were read.",
        own.routes ? own.routes->version : 0);
    LeaderCoordinator::Counters views;
    for (const auto& [service, coordinator] : own.coordinators) {
        views.replicaConfirmations += coordinator.counters().replicaConfirmations;
        views.viewsExpired += coordinator.counters().viewsExpired;
    }
    count("view_confirmations_total", "Times a replica confirmed who leads while the store was silent.",
        views.replicaConfirmations);
    count("view_confirmations_not_requested_total",
        "Requests to replicas to confirm a view that were left out, as there were too many.",
        own.confirmationsNotRequested);
    count("views_ended_total", "Times a view of who leads ended before it was renewed.", views.viewsExpired);
    for (const auto& [kind, calls] : own.store.counts())
        count("store_calls_total", "Calls to the store, failed ones too, by what they do and for what.",
            calls, { { "call", std::string { kind.first } }, { "purpose", std::string { kind.second } } });
    auto siblingTraffic = own.siblingTraffic;
    for (const auto& [kind, bytes] : own.siblingClient.traffic())
        siblingTraffic[kind] += bytes;
    for (const auto& [kind, bytes] : siblingTraffic)
        count("sibling_bytes_total", "Bytes of questions to siblings and their answers, without frames.",
            bytes, { { "call", kind.method }, { "availability_zone", kind.crossesZones ? "other" : "own" } });
    auto wireBytes = own.siblingWireBytes;
    for (const auto& [crosses, bytes] : own.siblingClient.wireBytes())
        wireBytes[crosses] += bytes;
    for (const auto& [crosses, bytes] : wireBytes)
        count("sibling_wire_bytes_total",
            "Bytes on the connections that this VM opened to siblings, with headers and frames.", bytes,
            { { "availability_zone", crosses ? "other" : "own" } });
    return registry.prometheusText();
}

} // namespace cyclamendrift
