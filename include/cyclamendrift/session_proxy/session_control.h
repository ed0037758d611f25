#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/leadership/leader_coordinator.h>
#include <cyclamendrift/limits/limit_shares.h>
#include <cyclamendrift/membership/configuration_validity.h>
#include <cyclamendrift/membership/fleet_join.h>
#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/session_proxy/ports.h>
#include <cyclamendrift/session_proxy/session_traffic.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Intervals, timeouts and maximum ages of a SessionControl.
struct ControlSettings {
    /// Interval of reads of the leadership records; views must outlive two of them.
    Duration leadershipInterval = std::chrono::milliseconds { 300 };
    /// The same for a VM that tracks no primary and holds no share of a limit, as most VMs of a large fleet;
    /// also the interval of its other checks. A change of the configuration reaches it this much later.
    Duration idleInterval = std::chrono::milliseconds { 600 };
    /// Interval of reads while a record may be stale or the last read failed.
    Duration rereadInterval = std::chrono::milliseconds { 100 };
    /// Interval of reads of the upstreams. Upstreams announce their shutdown some seconds ahead.
    Duration directoryInterval = std::chrono::milliseconds { 1000 };
    /// Time for which an upstream without an entry stays listed. Entries expire while the store is
    /// unavailable and are written again within two seconds of its return.
    Duration missingEntryRetention = std::chrono::milliseconds { 2500 };
    /// A VM reads a listing from the store itself when no store reader has confirmed it for this long. The
    /// configuration must be in force within three seconds of a change.
    Duration maxConfigurationAge = std::chrono::milliseconds { 1900 };
    Duration maxDirectoryAge = std::chrono::milliseconds { 2500 };
    Duration maxVmListAge = std::chrono::milliseconds { 2200 };
    /// A VM that has known for this long that it lacks a later configuration refuses its callers' operations.
    Duration maxConfigurationLag = std::chrono::milliseconds { 2500 };
    /// Interval of reads of the list of VMs. It bounds, together with `maxProofAge` and the interval of
    /// requests to store readers, for how long two VMs may use the same share of a limit.
    Duration vmListInterval = std::chrono::milliseconds { 600 };
    /// Maximum age of the reading of the leadership records that proves another listing to be current.
    Duration maxProofAge = std::chrono::milliseconds { 500 };
    /// Time to live of the lease under which coordinator leases are held, and the interval of its renewals,
    /// of which two may fail. The coordinator leases of a failed VM expire after this time.
    Duration leaseDuration = std::chrono::milliseconds { 1800 };
    Duration leaseRenewal = std::chrono::milliseconds { 500 };
    /// Time to live of the lease of this VM's record, and the interval of its renewals. A VM that cannot
    /// reach the store continues to serve. It stays listed meanwhile, so that the other VMs do not use its
    /// connections and its shares of limits as well.
    Duration recordLeaseDuration = std::chrono::seconds { 12 };
    Duration recordLeaseRenewal = std::chrono::seconds { 3 };
    /// Interval of checks whether demand has changed enough to write the record again. Each write is charged.
    Duration recordInterval = std::chrono::milliseconds { 1500 };
    /// This VM treats its lease as expired this long before the store does.
    Duration leaseMargin = std::chrono::milliseconds { 150 };
    /// Backoff after a failed call to the store; doubles from the minimum to the maximum.
    Duration minBackoff = std::chrono::milliseconds { 100 };
    Duration maxBackoff = std::chrono::milliseconds { 800 };
    /// Number of VMs for each store reader. Calls to the store are charged and limited in rate, so most VMs
    /// get their readings from a sibling.
    std::size_t vmsPerReader = 128;
    /// Maximum age of readings that are accepted from a sibling.
    Duration maxReadingsAge = std::chrono::milliseconds { 550 };
    /// Time for which a store reader is skipped that did not answer.
    Duration silentReaderBackoff = std::chrono::milliseconds { 1000 };
    /// The same for one that answers but cannot reach the store.
    Duration storelessReaderBackoff = std::chrono::milliseconds { 600 };
    /// Time limit of a request to a store reader for changes of the readings. The time that the whole lists
    /// take over this VM's link is added.
    Duration readingsTimeout = std::chrono::milliseconds { 120 };
    /// Time limit of a request to a sibling for the configuration, which may be a large document, and pause
    /// before the next request when every sibling that has it was asked lately.
    Duration configurationTimeout = std::chrono::milliseconds { 2000 };
    Duration configurationRetry = std::chrono::milliseconds { 50 };
    /// Time limit of a request for lists that this VM lacks.
    Duration maxFirstListsTime = std::chrono::milliseconds { 2000 };
    /// Pauses of a VM that starts and looks for the store readers.
    FleetJoinSettings join;
    /// On the first start of a system, VMs write their records within this time, the strongest ones first:
    /// the store limits the calls of the whole fleet, and the strongest VMs read it for the others.
    Duration firstRecordSpread = std::chrono::milliseconds { 1000 };
    /// Interval at which a store reader compares the roster of store readers with the list of VMs; it doubles
    /// from the minimum to the maximum while they agree.
    Duration minRosterInterval = std::chrono::milliseconds { 600 };
    Duration maxRosterInterval = std::chrono::milliseconds { 10000 };
    /// Interval of the coordinators' ticks.
    Duration tickInterval = std::chrono::milliseconds { 50 };
    /// Interval of reports from the traffic thread; delays the detection of a failed primary by as much.
    Duration reportInterval = std::chrono::milliseconds { 150 };
    /// Interval of the checks that the event loop of the control thread is on time.
    Duration latenessInterval = std::chrono::milliseconds { 100 };
};

/// Keeps the shared state of the fleet current on the control thread: the operators' configuration, the
/// upstreams, the primary of each group, the VMs and their shares of limits. Passes changes to the traffic
/// thread.
class SessionControl {
public:
    struct Options {
        asio::io_context& context;
        VmName vm;
        ZoneName zone;
        PlacementByZone placementByZone = PlacementByZone::Auto;
        /// Processor cores that this VM may use.
        double cores = 1;
        /// Bandwidth of this VM's link in bytes per second.
        double linkBytesPerSecond = 1.25e8;
        /// Number that identifies this process.
        std::uint64_t process = 0;
        /// Address at which siblings reach this VM; part of its record.
        std::string siblingHost;
        std::uint16_t siblingPort = 0;
        ControlSettings settings;
        ConfigurationValidity::Options configurationLimits;
        Store& store;
        LeadershipPort& leadership;
        const PlatformFormat& format;
        SessionTraffic& traffic;
    };

    explicit SessionControl(Options options);
    ~SessionControl();
    SessionControl(const SessionControl&) = delete;
    SessionControl& operator=(const SessionControl&) = delete;

    /// Starts the loops; calls `ready` once callers can be served.
    void start(std::function<void()> ready);
    /// Releases the leases, then calls `done`; for a graceful shutdown.
    void leave(std::function<void()> done);

    /// True once routes, upstreams and primaries are known. On the control thread.
    [[nodiscard]] bool isReady() const;
    /// Keeps the view of a service's primary current for the traffic thread; may be called on any thread.
    void recordUse(ServiceName service);
    /// Answers a sibling's request for this VM's readings of the store; may be called on any thread.
    [[nodiscard]] asio::awaitable<std::string> shareReadings(std::string request);
    /// Answers a sibling's request for the configuration; may be called on any thread.
    [[nodiscard]] asio::awaitable<std::string> shareConfiguration(VmName from, std::string request);
    /// The text of the metrics page. On the control thread.
    [[nodiscard]] std::string metricsText() const;

private:
    class State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
