#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/leadership/leader_coordinator.h>
#include <cyclamendrift/limits/limit_shares.h>
#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/session_proxy/ports.h>
#include <cyclamendrift/session_proxy/session_traffic.h>

#include <asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cyclamendrift {

/// How often the control side does what.
struct ControlSettings {
    /// Between two reads of who leads; a view must outlive two of them.
    Duration leadershipInterval = std::chrono::milliseconds { 300 };
    /// While what is known is recordMayBeStale.
    Duration rereadInterval = std::chrono::milliseconds { 100 };
    /// Between two looks at the list of upstreams; with a listing that may be some seconds old a leaving
    /// upstream is known before it ends.
    Duration directoryInterval = std::chrono::milliseconds { 1000 };
    /// Entries of live upstreams lapse while the store is away and come back within two seconds of its
    /// return.
    Duration missingEntryRetention = std::chrono::milliseconds { 2500 };
    /// What nobody has confirmed for so long a VM reads from the store itself. Operators are promised that a
    /// configuration is in force within three seconds; siblings confirm it after a watch and a question.
    Duration maxConfigurationAge = std::chrono::milliseconds { 1900 };
    Duration maxDirectoryAge = std::chrono::milliseconds { 2500 };
    Duration maxVmListAge = std::chrono::milliseconds { 2200 };
    /// Between two reads of the list of VMs. With the age of the reading that proves a list, and a question
    /// to the reader, it bounds for how long two VMs may use the same part of a limit.
    Duration vmListInterval = std::chrono::milliseconds { 600 };
    /// A reading of who leads proves other listings for so long.
    Duration maxProofAge = std::chrono::milliseconds { 500 };
    /// Time to live of the lease under which duties are held, and the pause between renewals; two may fail
    /// before it lapses. It is how long a dead holder's duty stays taken.
    Duration leaseDuration = std::chrono::milliseconds { 1800 };
    Duration leaseRenewal = std::chrono::milliseconds { 500 };
    /// Time to live of the lease of this VM's record, and the pause between renewals. A VM that the store
    /// turns away goes on serving: were it taken off the list at once, the others would use its connections
    /// and its part of limits a second time. Store faults last up to some ten seconds.
    Duration recordLeaseDuration = std::chrono::seconds { 12 };
    Duration recordLeaseRenewal = std::chrono::seconds { 3 };
    /// Between two looks at whether demand has changed enough for the record to be written anew; each write
    /// is paid for, and the measured demand is a mean over two seconds anyway.
    Duration recordInterval = std::chrono::milliseconds { 1500 };
    /// How soon this VM stops to trust its lease, before the store would drop it.
    Duration leaseMargin = std::chrono::milliseconds { 150 };
    /// First and longest pause after the store failed.
    Duration minBackoff = std::chrono::milliseconds { 100 };
    Duration maxBackoff = std::chrono::milliseconds { 800 };
    /// One VM for so many reads who leads from the store, and the others ask it: each call to the store is
    /// paid for, and its rates grow more slowly than the fleet.
    std::size_t vmsPerReader = 128;
    /// What a sibling read longer ago than this is no use.
    Duration maxReadingsAge = std::chrono::milliseconds { 550 };
    /// A reader that did not answer, or had nothing of use, is not asked again for so long.
    Duration silentReaderBackoff = std::chrono::milliseconds { 1000 };
    /// The same for a reader that answers but is itself without the store.
    Duration storelessReaderBackoff = std::chrono::milliseconds { 600 };
    /// A VM that starts asks siblings for so long, this often, before it reads everything from the store.
    Duration bootstrapTimeout = std::chrono::milliseconds { 400 };
    Duration bootstrapRetryInterval = std::chrono::milliseconds { 25 };
    /// VMs that start for the first time do so within some 300 ms.
    Duration firstStartDelay = std::chrono::milliseconds { 350 };
    /// Ticks of the coordinators.
    Duration tickInterval = std::chrono::milliseconds { 50 };
};

/// Everything that this VM knows and agrees on with others, on the control thread: the operators'
/// configuration, the upstreams, who leads each group, the VMs and their shares of limits. Hands what it
/// learns to the traffic side.
class SessionControl {
public:
    struct Options {
        asio::io_context& context;
        VmName vm;
        ZoneName zone;
        /// Processor cores that this VM may use.
        double cores = 1;
        /// Bytes that its link bears in a second.
        double linkBytesPerSecond = 1.25e8;
        /// Unique to this process.
        std::uint64_t process = 0;
        /// Where siblings reach this VM; told in its record.
        std::string siblingHost;
        std::uint16_t siblingPort = 0;
        ControlSettings settings;
        Store& store;
        LeadershipPort& leadership;
        const PlatformFormat& format;
        SessionTraffic& traffic;
    };

    explicit SessionControl(Options options);
    ~SessionControl();
    SessionControl(const SessionControl&) = delete;
    SessionControl& operator=(const SessionControl&) = delete;

    /// Begins its work; `ready` is called once callers can be served.
    void start(std::function<void()> ready);
    /// Gives up duties and the lease, then calls `done`; for a planned stop.
    void leave(std::function<void()> done);

    /// True once callers can be served: routes, upstreams and leaders were read. On the control thread.
    [[nodiscard]] bool isReady() const;
    /// Answers a sibling that asks for what was read from the store; may be called on any thread.
    [[nodiscard]] asio::awaitable<std::string> shareReadings(std::string request);
    /// The figures for the metrics page. On the control thread.
    [[nodiscard]] std::string metricsText() const;

private:
    class State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
