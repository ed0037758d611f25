#pragma once

#include <cyclamendrift/core/loop_lateness.h>
#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/leadership/confirmation_throttle.h>
#include <cyclamendrift/leadership/reading_time.h>
#include <cyclamendrift/leadership/tracked_services.h>
#include <cyclamendrift/membership/configuration_fetch.h>
#include <cyclamendrift/membership/configuration_validity.h>
#include <cyclamendrift/membership/fleet_join.h>
#include <cyclamendrift/membership/list_read_throttle.h>
#include <cyclamendrift/membership/missing_vms.h>
#include <cyclamendrift/membership/store_call_throttle.h>
#include <cyclamendrift/membership/store_reader_selector.h>
#include <cyclamendrift/pooling/owner_load.h>
#include <cyclamendrift/runtime/asio_timer_service.h>
#include <cyclamendrift/session_proxy/byte_budget.h>
#include <cyclamendrift/session_proxy/counted_sibling_client.h>
#include <cyclamendrift/session_proxy/directory_reader.h>
#include <cyclamendrift/session_proxy/metered_store.h>
#include <cyclamendrift/session_proxy/session_control.h>
#include <cyclamendrift/session_proxy/shared_listing.h>
#include <cyclamendrift/telemetry/bounded_log.h>

#include <asio/awaitable.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/co_spawn.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <exception>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamendrift::wire {
class ReadingsAnswer;
class VmRecord;
} // namespace cyclamendrift::wire

namespace cyclamendrift {

class StoreError;

/// Keys of the store that the VMs share.
namespace store_key {
inline constexpr auto leadershipPrefix = "cyclamendrift/leadership/";
inline constexpr auto recordPrefix = "cyclamendrift/leadership/record/";
inline constexpr auto coordinatorLeasePrefix = "cyclamendrift/leadership/duty/";
inline constexpr auto vmPrefix = "cyclamendrift/vms/";
/// Prefix of the two keys after it, which a VM that starts reads with one call.
inline constexpr auto siblingPrefix = "cyclamendrift/sibling-";
inline constexpr auto siblingSecret = "cyclamendrift/sibling-secret";
inline constexpr auto readerRoster = "cyclamendrift/sibling-readers";
} // namespace store_key

/// Parses the VM records of a listing. A record that cannot be read is logged and skipped.
[[nodiscard]] SiblingList siblingsFrom(const StoreListing& listing);
/// The sibling that a VM record describes.
[[nodiscard]] SiblingInfo siblingFrom(const wire::VmRecord& record);
/// Writes a sibling's address and capacity, without its demand.
void writeSibling(const SiblingInfo& sibling, wire::VmRecord& record);

/// Availability of one dependency, as the outcomes of calls show it. Logs when it is lost and when it is
/// back.
class Dependency {
public:
    Dependency(std::string name, const ControlSettings& settings);

    void succeeded();
    /// Returns the backoff before the next attempt; it doubles up to `maxBackoff`.
    [[nodiscard]] Duration failed(const char* reason, Duration maxBackoff);
    [[nodiscard]] bool isLost() const noexcept { return this->lost; }

private:
    std::string name;
    const ControlSettings& settings;
    Duration backoff {};
    bool lost = false;
};

/// State of a SessionControl. Its functions are defined in control_configuration (routes, evacuations and
/// upstreams), control_spread (the configuration between siblings), control_join (search for the store
/// readers at the start), control_readings (exchange of store readings with siblings), control_leadership
/// (primaries), control_services (which services have their primary tracked here), control_membership
/// (leases, VMs and limits) and session_control (start and stop).
class SessionControl::State : public std::enable_shared_from_this<State> {
public:
    explicit State(Options options);

    void start(std::function<void()> ready);
    void stop();
    /// Starts the periodic work, less often where this VM tracks no primary.
    void startTimers();
    /// False when this VM forwards all statements to others and therefore needs neither upstreams nor
    /// leadership records.
    [[nodiscard]] bool needsUpstreams(Instant now) const;
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] asio::awaitable<void> leave();
    void recordUse(const ServiceName& service);
    [[nodiscard]] static asio::awaitable<std::string> shareReadings(
        std::shared_ptr<State> self, std::string request);
    [[nodiscard]] static asio::awaitable<std::string> shareConfiguration(
        std::shared_ptr<State> self, VmName from, std::string request);

    /// Log lines per second for each event; an outage changes the view of every service.
    static constexpr std::uint64_t linesPerSecond = 20;

    Options options;
    MeteredStore store;
    AsioTimerService timers;
    bool stopped = false;

    // Configuration and upstreams.
    std::shared_ptr<const RouteTable> routes;
    ConfigurationValidity configurationValidity;
    ConfigurationFetch configurationFetch;
    /// Cancelled when this VM learns of a configuration that it lacks.
    asio::steady_timer configurationLacking;
    DirectoryReader directoryReader;
    UpstreamDirectory directory;
    bool directoryRead = false;
    std::set<ZoneName> evacuatedZones;
    // Leadership.
    /// All services of the directory.
    std::set<ServiceName> services;
    TrackedServices tracked;
    /// Of the services that are tracked here.
    std::map<ServiceName, LeaderCoordinator> coordinators;
    bool leadershipRead = false;
    /// Cancelled to end the pause before the next reading of the leadership records.
    asio::steady_timer leadershipWanted;
    /// True while this VM has no use for upstreams and leadership records, and does not hold them.
    bool forwardsOnly = true;
    // Membership and limits.
    /// The lease of coordinator leases, and the longer one of this VM's record.
    LeaseId lease = LeaseId::None;
    LeaseId recordLease = LeaseId::None;
    Instant leaseUntil = Instant::min();
    LimitShares shares;
    std::map<TeamName, TeamShare::Rule> publishedShares;
    DemandMeter demand;
    DemandByTeam publishedDemand;
    /// In a large fleet, in operations per second.
    std::uint32_t publishedLoad = 0;
    ZonePlacementRecord publishedPlacement;
    SiblingList siblings;
    LimitHolders holders;
    /// Selects the VMs that read the store for the others.
    StoreReaderSelector readerSelector;
    StoreCallThrottle storeThrottle;
    ListReadThrottle listThrottle;
    ListReadThrottle configurationThrottle;
    BoundedLog log { linesPerSecond };
    MissingVms missingVms;
    EngineCounters counters;
    LoopLateness lateness;
    /// Ticks of the traffic thread that were late.
    std::uint64_t lateTrafficTicks = 0;
    std::size_t callers = 0;
    std::size_t connections = 0;
    SiblingTraffic siblingTraffic;
    std::uint64_t confirmationsNotRequested = 0;
    SiblingWireBytes siblingWireBytes;
    Duration longestExpectedWait {};
    /// What the owners of services are selected by, besides the list of VMs.
    OwnerPlan ownerPlan;
    ZonePlacement zonePlacement;
    /// As this VM has measured it last.
    std::optional<Duration> zoneDifference;
    /// Requests readings and the configuration, over connections of its own, so that these requests do not
    /// wait behind statements.
    CountedSiblingClient siblingClient;

private:
    template <class Work> void spawn(Work work)
    {
        asio::co_spawn(this->options.context, std::move(work), &State::reportLoopEnd);
    }
    /// Logs an error that has ended work on the control thread; nothing would show it otherwise.
    static void reportLoopEnd(const std::exception_ptr& error);
    /// Work that goes on until this VM stops.
    using Loop = asio::awaitable<void> (*)(std::shared_ptr<State>);
    /// Runs a loop, and starts it again when it fails.
    void spawnLoop(Loop loop);
    [[nodiscard]] static asio::awaitable<void> keepRunning(std::shared_ptr<State> self, Loop loop);
    [[nodiscard]] asio::awaitable<void> sleep(Duration duration);
    /// The purpose of a key or prefix of the store, as a label of the metrics.
    [[nodiscard]] std::string_view purposeOf(std::string_view key) const;
    /// Notes that a call of that dependency failed and returns the backoff before the next attempt. Where
    /// many VMs could call an overloaded store, it grows with the fleet.
    [[nodiscard]] Duration backoffAfter(Dependency& dependency, const StoreError& error);
    void checkLateness();

    // control_configuration
    struct ProvenListing {
        StoreListing listing;
        /// The entries include every change that was acknowledged before this instant.
        Instant provenAt;
    };
    /// Lists a prefix with a read that may lag and costs less, or with a linearizable one when the first
    /// turns out to lag.
    [[nodiscard]] asio::awaitable<ProvenListing> readProven(std::string prefix);
    [[nodiscard]] asio::awaitable<bool> readConfiguration();
    [[nodiscard]] asio::awaitable<void> watchConfiguration();
    /// True when this VM is a store reader, or may confirm the configuration by itself because no sibling has
    /// for too long.
    [[nodiscard]] bool mayConfirmConfiguration();
    [[nodiscard]] static asio::awaitable<void> followConfiguration(std::shared_ptr<State> self);
    [[nodiscard]] static asio::awaitable<void> followDirectory(std::shared_ptr<State> self);
    void applyConfiguration(const std::string& value, std::uint64_t revision);
    /// The configuration in force was the latest one at that time.
    void confirmConfiguration(Instant at);
    /// The store served nobody at that time.
    void recordStoreOutage(Instant at);
    /// Takes a failed call of this VM for an outage of the store unless the cause may be this VM itself.
    void recordStoreFailure(const StoreError& error);
    void publishConfigurationValidity();
    /// Logs when the configuration was not confirmed for too long, and when it is again.
    void reportConfigurationAge(Instant now);
    /// Refuses callers' operations while this VM lacks a later configuration for too long.
    void checkConfigurationLag(Instant now);
    /// Applies a change of a key that operators write.
    void applyOperatorChange(const StoreChange& change);
    void endConfigurationWatch();
    /// Puts the latest listing of evacuations into effect.
    void applyEvacuations();
    /// Returns the backoff before the next attempt, or nothing on success.
    [[nodiscard]] asio::awaitable<std::optional<Duration>> readDirectory();
    void applyDirectory();
    void publishDirectory();

    // control_spread
    /// Requests the configuration from siblings while one is lacking.
    [[nodiscard]] static asio::awaitable<void> fetchConfiguration(std::shared_ptr<State> self);
    [[nodiscard]] asio::awaitable<void> requestConfiguration(VmName sibling);
    /// A sibling has the configuration of that revision.
    void onConfigurationAnnounced(const VmName& sibling, std::uint64_t revision);
    [[nodiscard]] const std::string& packedConfiguration();

    // control_join
    /// Takes the first readings from the store readers, or becomes one; then starts the loops that keep the
    /// readings current.
    [[nodiscard]] static asio::awaitable<void> bootstrap(std::shared_ptr<State> self);
    [[nodiscard]] asio::awaitable<void> perform(FleetJoin& join, FleetJoin::Step step);
    [[nodiscard]] asio::awaitable<void> readRoster(FleetJoin& join, ReadFreshness freshness);
    [[nodiscard]] asio::awaitable<void> writeOwnRoster(FleetJoin& join, FleetJoin::WriteRoster step);
    /// Reads the siblings' secret and the roster; opens the siblings' server when the secret is there.
    [[nodiscard]] asio::awaitable<ReaderRoster> fetchRoster(ReadFreshness freshness);
    /// Starts to publish this VM's record once the secret is known or known to be missing. Siblings cannot
    /// reach this VM before.
    [[nodiscard]] asio::awaitable<void> beginRecord();
    /// Finds the record of an earlier process of this VM.
    [[nodiscard]] asio::awaitable<void> findEarlierRecord();
    /// Writes the roster if it still has that revision.
    [[nodiscard]] asio::awaitable<void> writeRoster(const ReaderRoster& next);
    /// Logs, now and then, what this VM still waits for while it looks for the store readers.
    void reportJoin();
    /// Keeps the roster equal to the store readers that the list of VMs implies.
    [[nodiscard]] static asio::awaitable<void> followRoster(std::shared_ptr<State> self);

    // control_readings
    [[nodiscard]] bool isReader() const;
    /// The VM that reads the store for this one; empty when this VM is a store reader itself.
    [[nodiscard]] std::optional<VmName> readerToAsk() const;
    enum class ReaderAnswer : std::uint8_t {
        /// The reader's readings are recent.
        Fresh,
        /// The store does not answer the reader.
        WithoutStore,
        /// The store answers the reader, but the readings are old or not complete yet.
        Old,
        None,
    };
    /// True when this VM, a store reader, has not been answered by the store for too long.
    [[nodiscard]] bool isReaderWithoutStore() const;
    /// Requests the readings of one store reader or standby.
    [[nodiscard]] asio::awaitable<void> askInsteadOfStore();
    /// Applies the outcome of a request for readings to the selection of readers.
    void recordReaderAnswer(const VmName& reader, ReaderAnswer answer, Instant askedAt, Duration pause);
    /// False when siblings report that the store is unavailable and it is not this VM's turn to probe it.
    [[nodiscard]] bool mayCallStore();
    /// Requests the readings of store readers; returns false when none of them has recent ones. A reader that
    /// does not answer is skipped for `pause`.
    [[nodiscard]] asio::awaitable<bool> askReaders(Duration pause);
    [[nodiscard]] asio::awaitable<ReaderAnswer> askReader(SiblingAddress address);
    [[nodiscard]] Duration readingsTimeLimit() const;
    /// Interval of requests to store readers.
    [[nodiscard]] Duration readingsInterval() const;
    /// False until every list was read. A sibling that got only some of them would read the rest itself.
    [[nodiscard]] bool hasAllReadings() const;
    /// True when this VM is a store reader, or may read a list that no store reader has confirmed for
    /// `maxAge` and none is about to send.
    [[nodiscard]] bool mayReadList(Instant confirmedAt, Duration maxAge, Instant withheldAt);
    /// The lists that this VM keeps current.
    [[nodiscard]] std::vector<const SharedListing*> neededListings() const;
    /// True when this VM may read a list from the store although no store reader serves it.
    [[nodiscard]] bool allowOwnReading();
    void applyReadings(const VmName& sibling, const wire::ReadingsAnswer& answer, Instant askedAt);
    /// True when every group has a view that was confirmed less than `maxAge` ago.
    [[nodiscard]] bool viewsAreFresh(Duration usable) const;
    /// Adds the views that replicas have confirmed since the leadership records were read.
    void writeViews(wire::ReadingsAnswer& answer) const;
    /// Removes from an answer the lists for which this VM's link has no capacity at the moment.
    void limitToBudget(wire::ReadingsAnswer& answer, Instant now);

    // control_leadership
    /// Returns the backoff before the next attempt, or nothing on success.
    [[nodiscard]] asio::awaitable<std::optional<Duration>> readLeadership();
    [[nodiscard]] static asio::awaitable<void> followLeadership(std::shared_ptr<State> self);
    void applyLeadership(ViewSource source);
    /// The latest reading for each of these services.
    [[nodiscard]] std::map<ServiceName, LeadershipSnapshot> snapshotsOf(
        const std::set<ServiceName>& wanted) const;
    [[nodiscard]] bool everyServiceHasRecord() const;
    /// The coordinator of a service; null when its primary is not tracked here.
    [[nodiscard]] LeaderCoordinator* coordinatorOf(const ServiceName& service);
    void tick();
    void perform(const ServiceName& service, const LeadershipAction& action);
    [[nodiscard]] static asio::awaitable<void> order(
        std::shared_ptr<State> self, ServiceName service, UpstreamName upstream, UpstreamOrder order);
    [[nodiscard]] static asio::awaitable<void> acquireCoordinatorLease(
        std::shared_ptr<State> self, ServiceName service);
    [[nodiscard]] static asio::awaitable<void> releaseCoordinatorLease(
        std::shared_ptr<State> self, ServiceName service, std::uint64_t revision);
    [[nodiscard]] static asio::awaitable<void> writeRecord(
        std::shared_ptr<State> self, ServiceName service, WriteLeadershipRecord change);
    [[nodiscard]] static asio::awaitable<void> promote(
        std::shared_ptr<State> self, ServiceName service, PromoteUpstream change);
    void applyReport(const TrafficReport& report);

    // control_services
    /// Starts and ends the tracking of primaries as `tracked` demands.
    void updateTracked(Instant now);
    void track(const std::set<ServiceName>& added, Instant now);
    /// Sets what depends on this VM's part in the fleet.
    void configure(const ServiceName& service, LeaderCoordinator& coordinator);
    /// Discards the upstreams and leadership records, which would become outdated.
    void discardUpstreams();

    // control_membership
    [[nodiscard]] static asio::awaitable<void> keepLease(std::shared_ptr<State> self);
    [[nodiscard]] bool needsLease(Instant now) const;
    [[nodiscard]] static asio::awaitable<void> keepRecord(std::shared_ptr<State> self);
    /// What this VM's record tells of its callers' operations.
    struct RecordedLoad {
        DemandByTeam demand;
        std::uint32_t operationsPerSecond = 0;
    };
    [[nodiscard]] asio::awaitable<void> writeOwnRecord(const RecordedLoad& told);
    /// What the record is to tell now.
    [[nodiscard]] RecordedLoad currentLoad() const;
    /// This VM as its siblings see it.
    [[nodiscard]] SiblingInfo ownSibling() const;
    /// The value of this VM's record.
    [[nodiscard]] std::string ownRecord(const RecordedLoad& told) const;
    /// Adopts the record and the lease of an earlier process of this VM if they still exist.
    [[nodiscard]] asio::awaitable<void> adoptEarlierRecord();
    [[nodiscard]] static asio::awaitable<void> followVms(std::shared_ptr<State> self);
    [[nodiscard]] asio::awaitable<void> publishOwnRecord();
    void openSiblings(const std::string& secret);
    void applyVms();
    /// Records whether the availability zones are far apart, for this VM's record.
    void applyMeasuredZones(const SiblingExchange::MeasuredZones& measured);
    /// Decides from the listed VMs whether owners are placed by availability zone.
    void updateZonePlacement();
    void onZonePlacementChanged(const std::optional<Duration>& difference);
    /// Selects the owners again after a change of the VMs or of the plan, and passes on what depends on them.
    void publishPlace(const std::map<VmName, VmCapacity>& capacities);
    /// Sets the number of owners that the load of all VMs requires.
    void updateOwnerCount();
    /// Logs when owners are selected among other VMs than before.
    void reportOwners();
    /// Keeps VMs listed whose records expired together with many others.
    void retainMissingVms(SiblingList& next);
    void chooseReaders(const std::map<VmName, VmCapacity>& capacities);
    void divideLimits();

    std::unique_ptr<TimerService::Subscription> ticks;
    std::unique_ptr<TimerService::Subscription> reports;
    std::unique_ptr<TimerService::Subscription> latenessTicks;
    /// The instant that the traffic thread was told last.
    Instant publishedValidUntil = Instant::min();
    /// When a sibling last answered this VM, or asked it for something.
    Instant siblingHeardAt = Instant::min();
    std::uint64_t configurationRevision = 0;
    /// The store's revision up to which the configuration in force is known to be the latest.
    std::uint64_t configurationLatestUntil = 0;
    /// True when a watch may continue from there.
    bool configurationWatchable = false;
    /// True when this VM has ended the latest watch itself.
    bool configurationWatchEnded = false;
    std::map<UpstreamName, Instant> missingSince;
    FleetPlace place;
    OwnerCount ownerCount;
    std::set<VmName> reportedCandidates;
    Dependency configurationSource;
    Dependency directorySource;
    Dependency leadershipSource;
    Dependency leaseSource;
    Dependency vmSource;
    Dependency recordSource;
    bool siblingsOpen = false;
    /// Latest readings of the store, by this VM or by a sibling, which are passed on to siblings.
    SharedListing leadership;
    ViewSource leadershipReadFrom = ViewSource::Store;
    ReadingTime leadershipReadingTime;
    ConfirmationThrottle confirmationThrottle;
    SharedListing vms;
    SharedListing directoryListing;
    SharedListing evacuations;
    ByteBudget listingBudget;
    std::string configurationValue;
    /// The configuration in compressed form; empty until a sibling requests it.
    std::string configurationPacked;
    /// VMs that were sent the configuration in force, the latest ones last.
    std::deque<VmName> configurationHolders;
    bool configurationOverdue = false;
    bool configurationOutdated = false;
    /// Backoff after the last attempt to read the configuration failed.
    Duration configurationBackoff {};
    /// Cancels the watch of the configuration.
    asio::cancellation_signal configurationWatch;
    /// When a store reader last answered that it has a list which its link had no capacity to send.
    Instant directoryWithheldAt = Instant::min();
    Instant vmsWithheldAt = Instant::min();
    /// The VMs of the roster, and its revision in the store.
    SiblingList rosterVms;
    ReaderRoster roster;
    RandomSource random;
    Instant trackedUpdatedAt = Instant::min();
    std::uint64_t ownRecordRevision = 0;
    /// The record of an earlier process of this VM, found at the start; its lease is None when there was
    /// none.
    StoreEntry earlierRecord;
    LeaseId publishedUnder = LeaseId::None;
    /// The last answer of each VM that was asked for the lists while this VM starts.
    std::map<VmName, FleetJoin::Answer> joinAnswers;
    Instant joinReportedAt = Instant::min();
    /// True once the first readings have been taken and the loops that keep them current run.
    bool bootstrapped = false;
    bool recordBegun = false;
    /// True when there was no secret yet when this VM started.
    bool isFirstStart = false;
    /// Number of requests to siblings while the store was unavailable; rotates among them.
    std::size_t readerTurn = 0;
    std::function<void()> whenReady;
    Instant startedAt = Instant::min();
};

} // namespace cyclamendrift
