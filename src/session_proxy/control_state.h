#pragma once

#include <cyclamendrift/membership/missing_vms.h>
#include <cyclamendrift/membership/store_call_throttle.h>
#include <cyclamendrift/membership/store_reader_selector.h>
#include <cyclamendrift/runtime/asio_timer_service.h>
#include <cyclamendrift/session_proxy/byte_budget.h>
#include <cyclamendrift/session_proxy/metered_store.h>
#include <cyclamendrift/session_proxy/session_control.h>
#include <cyclamendrift/session_proxy/shared_listing.h>

#include <asio/awaitable.hpp>
#include <asio/cancellation_signal.hpp>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

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
}

namespace cyclamendrift {

/// Keys under which the VMs keep what they share.
namespace store_key {
inline constexpr auto leadershipPrefix = "cyclamendrift/leadership/";
inline constexpr auto recordPrefix = "cyclamendrift/leadership/record/";
inline constexpr auto coordinatorLeasePrefix = "cyclamendrift/leadership/duty/";
inline constexpr auto vmPrefix = "cyclamendrift/vms/";
inline constexpr auto siblingSecret = "cyclamendrift/sibling-secret";
} // namespace store_key

/// The VMs that the records in a listing describe; one that cannot be read is logged and left out.
[[nodiscard]] SiblingList siblingsFrom(const StoreListing& listing);

/// One dependency and how calls to it fare; logs when it is lost and when it is back.
class Dependency {
public:
    Dependency(std::string name, const ControlSettings& settings);

    void succeeded();
    /// Returns how long to wait before the next try.
    [[nodiscard]] Duration failed(const char* reason);
    [[nodiscard]] bool isLost() const noexcept { return this->lost; }

private:
    std::string name;
    const ControlSettings& settings;
    Duration backoff {};
    bool lost = false;
};

/// Sources: control_configuration (routes, upstreams and
/// evacuations), control_readings (what siblings have read, for a
/// start and after it), control_leadership (who leads), control_membership (lease, VMs, limits),
/// session_control (start and stop).
class SessionControl::State : public std::enable_shared_from_this<State> {
public:
    explicit State(Options options);

    void start(std::function<void()> ready);
    void stop();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] asio::awaitable<void> leave();
    [[nodiscard]] static asio::awaitable<std::string> shareReadings(
        std::shared_ptr<State> self, std::string request);

    Options options;
    MeteredStore store;
    AsioTimerService timers;
    bool stopped = false;

    // Configuration and upstreams.
    std::shared_ptr<const RouteTable> routes;
    UpstreamDirectory directory;
    bool directoryRead = false;
    std::set<ZoneName> evacuatedZones;
    // Leadership.
    std::map<ServiceName, LeaderCoordinator> coordinators;
    bool leadershipRead = false;
    // Membership and limits.
    /// The lease of duties, and the longer one of this VM's record.
    LeaseId lease = LeaseId::None;
    LeaseId recordLease = LeaseId::None;
    Instant leaseUntil = Instant::min();
    LimitShares shares;
    std::map<TeamName, TeamShare::Rule> publishedShares;
    DemandMeter demand;
    DemandByTeam publishedDemand;
    SiblingList siblings;
    LimitHolders holders;
    /// The VMs in the order in which they are to read the store for the others.
    StoreReaderSelector readerSelector;
    StoreCallThrottle storeThrottle;
    MissingVms missingVms;
    EngineCounters counters;
    std::size_t callers = 0;
    std::size_t connections = 0;
    SiblingTraffic siblingTraffic;

private:
    template <class Work> void spawn(Work work)
    {
        asio::co_spawn(this->options.context, std::move(work), asio::detached);
    }
    [[nodiscard]] asio::awaitable<void> sleep(Duration duration);
    /// What a key or prefix of the store is for, as the metrics name it.
    [[nodiscard]] std::string_view purposeOf(std::string_view key) const;

    // control_configuration
    struct ProvenListing {
        StoreListing listing;
        /// The entries hold everything that was acknowledged before.
        Instant provenAt;
    };
    /// Reads a prefix at the lower price where the answer shows that it lacks nothing, and in full otherwise.
    [[nodiscard]] asio::awaitable<ProvenListing> readProven(std::string prefix);
    [[nodiscard]] asio::awaitable<bool> readConfiguration();
    [[nodiscard]] asio::awaitable<void> watchConfiguration();
    [[nodiscard]] static asio::awaitable<void> followConfiguration(std::shared_ptr<State> self);
    [[nodiscard]] static asio::awaitable<void> followDirectory(std::shared_ptr<State> self);
    void applyConfiguration(const std::string& value, std::uint64_t revision);
    /// Takes in a change of what operators have written.
    void applyOperatorChange(const StoreChange& change);
    /// Puts the latest listing of evacuations into effect.
    void applyEvacuations();
    /// Returns how long to wait before the next try, when it failed.
    [[nodiscard]] asio::awaitable<std::optional<Duration>> readDirectory();
    void applyDirectory();
    void publishDirectory();

    // control_readings
    [[nodiscard]] bool isReader() const;
    /// The VM that reads the store for this one; empty when this one reads it itself.
    [[nodiscard]] std::optional<VmName> readerToAsk() const;
    enum class ReaderAnswer : std::uint8_t {
        /// The reader has read the store lately.
        Fresh,
        /// The store has not answered the reader lately.
        WithoutStore,
        /// The store answers the reader, but it has not read lately.
        Old,
        None,
    };
    /// Finds siblings in the store and takes what they have read, so that a VM which starts needs few calls;
    /// then keeps it up.
    [[nodiscard]] static asio::awaitable<void> bootstrap(std::shared_ptr<State> self);
    /// Looks for siblings in the store; false when it names none.
    [[nodiscard]] asio::awaitable<bool> findSiblings();
    /// False when siblings say that the store is away and it is not this VM's turn to try.
    [[nodiscard]] bool mayCallStore();
    /// Asks VMs that read the store what they have; false when none of them had read it lately. One that does
    /// not answer is passed over for `pause`.
    [[nodiscard]] asio::awaitable<bool> askReaders(Duration pause);
    [[nodiscard]] asio::awaitable<ReaderAnswer> askReader(SiblingAddress address);
    void applyReadings(const wire::ReadingsAnswer& answer, Instant askedAt);
    /// True when every group has a view that was vouched for less than `usable` ago.
    [[nodiscard]] bool viewsAreFresh(Duration usable) const;
    /// Writes the views that replicas have vouched for since the leadership was read.
    void writeViews(wire::ReadingsAnswer& answer) const;
    [[nodiscard]] const std::string& packedConfiguration();
    /// Leaves out of an answer what this VM's link has no room for now.
    void limitToBudget(wire::ReadingsAnswer& answer, Instant now);

    // control_leadership
    /// Returns how long to wait before the next try, when it failed.
    [[nodiscard]] asio::awaitable<std::optional<Duration>> readLeadership();
    [[nodiscard]] static asio::awaitable<void> followLeadership(std::shared_ptr<State> self);
    void applyLeadership(ViewSource source);
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

    // control_membership
    [[nodiscard]] static asio::awaitable<void> keepLease(std::shared_ptr<State> self);
    [[nodiscard]] bool needsLease(Instant now) const;
    [[nodiscard]] static asio::awaitable<void> keepRecord(std::shared_ptr<State> self);
    [[nodiscard]] asio::awaitable<void> writeOwnRecord(const DemandByTeam& told);
    /// What this VM tells of itself.
    [[nodiscard]] std::string ownRecord(const DemandByTeam& told) const;
    /// Goes on with the record and the lease of an earlier process of this VM, when they still stand.
    [[nodiscard]] asio::awaitable<void> adoptEarlierRecord();
    [[nodiscard]] static asio::awaitable<void> followVms(std::shared_ptr<State> self);
    [[nodiscard]] asio::awaitable<void> publishOwnRecord();
    [[nodiscard]] asio::awaitable<void> fetchSecret();
    void openSiblings(const std::string& secret);
    void applyVms();
    /// Puts VMs back whose records have lapsed with many others.
    void retainMissingVms(SiblingList& next);
    void chooseReaders(const std::map<VmName, VmCapacity>& capacities);
    void divideLimits();

    std::unique_ptr<TimerService::Subscription> ticks;
    std::unique_ptr<TimerService::Subscription> reports;
    std::uint64_t configurationRevision = 0;
    /// The store's revision when the configuration was read last.
    std::uint64_t configurationReadAt = 0;
    std::map<UpstreamName, Instant> missingSince;
    std::map<std::string, std::string> unreadable;
    FleetPlace place;
    Dependency configurationSource;
    Dependency directorySource;
    Dependency leadershipSource;
    Dependency leaseSource;
    Dependency vmSource;
    Dependency recordSource;
    bool siblingsOpen = false;
    /// What was read from the store, here or by a sibling, for siblings that ask.
    SharedListing leadership;
    ViewSource leadershipReadFrom = ViewSource::Store;
    SharedListing vms;
    SharedListing directoryListing;
    SharedListing evacuations;
    ByteBudget listingBudget;
    std::string configurationValue;
    /// The same, packed when a sibling first wants it; empty before.
    std::string configurationPacked;
    Instant configurationConfirmedAt = Instant::min();
    /// Ends the watch of the configuration.
    asio::cancellation_signal configurationWatch;
    std::uint64_t ownRecordRevision = 0;
    /// The record of an earlier process of this VM that was found at the start; without a lease if none was.
    StoreEntry earlierRecord;
    LeaseId publishedUnder = LeaseId::None;
    /// What is known is kept up; before that it is gathered from siblings.
    bool bootstrapped = false;
    /// No sibling had told its record when this VM started.
    bool isFirstStart = false;
    /// Counts questions to siblings while the store is away.
    std::size_t readerTurn = 0;
    std::function<void()> whenReady;
    Instant startedAt = Instant::min();
};

} // namespace cyclamendrift
