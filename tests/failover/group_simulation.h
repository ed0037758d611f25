#pragma once

#include "simulated_slot.h"

#include <cyclamendrift/commits/confirmation_tracker.h>
#include <cyclamendrift/failover/failover_coordinator.h>
#include <cyclamendrift/sessions/replica_tracker.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Simulation in virtual time of one database group, the store and a few proxies, with the network between
/// them and sessions that write and read. Records the acknowledged writes itself and checks every guarantee
/// against them.
class GroupSimulation {
public:
    struct Options {
        std::size_t slots = 3;
        /// Home proxies, each with a coordinator.
        std::size_t homes = 2;
        /// Siblings without a coordinator, which only report on slots.
        std::size_t observers = 1;
        std::uint64_t seed = 1;
        cyclamendrift::Duration replicaLag = std::chrono::milliseconds { 2 };
        cyclamendrift::Duration writeInterval = std::chrono::milliseconds { 100 };
        cyclamendrift::Duration readInterval = std::chrono::milliseconds { 50 };
        /// How long a read may wait for a replica to catch up.
        cyclamendrift::Duration maxCatchUpWait = std::chrono::milliseconds { 5 };
        /// Percentage of events that reach a coordinator a second time, later.
        unsigned duplicatePercentage = 0;
        bool readsFromPrimaryOnly = false;
        std::size_t sessions = 16;
        /// How long a caller waits for an answer, and for how long its request may be held.
        cyclamendrift::Duration callerTimeout = std::chrono::seconds { 1 };
        cyclamendrift::FailoverSettings settings;
    };
    /// One end of a network link.
    struct Endpoint {
        enum class Kind : std::uint8_t { Proxy, Slot, Store };
        Kind kind = Kind::Store;
        std::size_t index = 0;
        friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    };
    /// Times at which the last failover reached its steps.
    struct Timeline {
        std::optional<cyclamendrift::Instant> claimed;
        std::optional<cyclamendrift::Instant> selected;
        std::optional<cyclamendrift::Instant> serving;
    };
    struct AcknowledgedWrite {
        std::uint64_t write = 0;
        cyclamendrift::Instant sentAt;
        cyclamendrift::Instant at;
    };
    struct ReadStatistics {
        std::uint64_t replica = 0;
        std::uint64_t primary = 0;
        /// Duration of each read from its arrival at the home proxy.
        std::vector<cyclamendrift::Duration> durations;
    };

    explicit GroupSimulation(Options options);

    static Endpoint proxy(std::size_t index) { return { Endpoint::Kind::Proxy, index }; }
    static Endpoint slot(std::size_t index) { return { Endpoint::Kind::Slot, index }; }
    static Endpoint store() { return {}; }

    void runFor(cyclamendrift::Duration duration);
    void cut(Endpoint one, Endpoint other);
    void heal(Endpoint one, Endpoint other);
    /// Cuts the links of a slot to the other slots.
    void isolate(std::size_t index);
    void kill(std::size_t slotIndex);
    void revive(std::size_t slotIndex);
    void pause(std::size_t proxyIndex, cyclamendrift::Duration duration);
    /// Pauses the proxy for this long just before its next order to a slot or change in the store.
    void pauseBeforeNextOrder(std::size_t proxyIndex, cyclamendrift::Duration duration);
    void killProxy(std::size_t proxyIndex);
    void restartProxy(std::size_t proxyIndex);
    void setLeaving(std::vector<std::size_t> slotIndices);
    void healEverything();

    bool storeUp = true;
    bool storeLosesAnswers = false;
    /// True while the sessions write and read.
    bool workload = true;

    [[nodiscard]] const std::vector<std::string>& violations() const { return this->violationList; }
    [[nodiscard]] const std::vector<AcknowledgedWrite>& acknowledged() const
    {
        return this->acknowledgedWrites;
    }
    [[nodiscard]] const ReadStatistics& reads() const { return this->readStatistics; }
    [[nodiscard]] const Timeline& timeline() const { return this->failoverTimeline; }
    [[nodiscard]] cyclamendrift::Instant now() const { return this->clock; }
    [[nodiscard]] SimulatedSlot& slotAt(std::size_t index) { return this->slots[index]; }
    [[nodiscard]] const cyclamendrift::GroupView& viewOf(std::size_t proxyIndex) const;
    [[nodiscard]] std::optional<cyclamendrift::GroupRecord> record() const;
    [[nodiscard]] std::size_t promotions() const { return this->primaryTerms.size(); }
    /// Index of the slot that was promoted in the highest term.
    [[nodiscard]] std::size_t primaryIndex() const;
    /// True if a write that was sent at or after `instant` has been acknowledged.
    [[nodiscard]] bool acknowledgedSince(cyclamendrift::Instant instant) const;

private:
    using Task = std::function<void()>;
    struct Scheduled {
        cyclamendrift::Instant at;
        std::uint64_t order = 0;
        Task task;
        friend bool operator<(const Scheduled& one, const Scheduled& other)
        {
            return std::pair { one.at, one.order } > std::pair { other.at, other.order };
        }
    };
    struct Session {
        cyclamendrift::Progress seen;
        std::set<std::uint64_t> knownWrites;
        /// A session runs one operation at a time, at this home proxy.
        bool busy = false;
        std::size_t home = 0;
        std::uint64_t operation = 0;
    };
    /// The operation that waits for an answer. Once the session has given up, answers to it are ignored.
    struct Caller {
        std::size_t session = 0;
        std::uint64_t operation = 0;
    };
    /// Callbacks of a commit or read that waits for confirmation.
    struct PendingConfirmation {
        std::function<void()> onConfirmed;
        std::function<void()> onGivenUp;
    };
    struct Proxy {
        std::unique_ptr<cyclamendrift::FailoverCoordinator> coordinator;
        cyclamendrift::ConfirmationTracker acknowledgements;
        std::unique_ptr<cyclamendrift::ReplicaTracker> tracker;
        std::map<cyclamendrift::ConfirmationTicket, PendingConfirmation> pendingConfirmations;
        std::deque<Task> heldTasks;
        cyclamendrift::Instant pausedUntil;
        cyclamendrift::Duration pauseAtOrder {};
        bool polling = false;
        bool alive = true;
        unsigned incarnation = 0;
    };
    /// A term and the slot that was promoted in it.
    struct PrimaryTerm {
        cyclamendrift::Term term {};
        std::size_t slot = 0;
    };

    // Network.
    void at(cyclamendrift::Instant when, Task task);
    [[nodiscard]] bool isLinked(Endpoint one, Endpoint other) const;
    cyclamendrift::Duration networkLatency();
    void runOnProxy(std::size_t index, Task task);
    void sendFromProxy(std::size_t index, bool isOrder, Task task);
    void callSlot(std::size_t proxyIndex, std::size_t slotIndex, bool isOrder,
        std::function<bool(SimulatedSlot&)> operation,
        std::function<void(std::optional<cyclamendrift::StatusSample>, bool done)> answer);
    void callStore(
        std::size_t proxyIndex, bool isOrder, Task effect, std::function<void(bool answered)> answer);
    void replicate(std::size_t index);
    void replicateAll();

    // Proxies.
    void startProxy(std::size_t index);
    void tick(std::size_t index);
    void deliver(std::size_t index, const cyclamendrift::FailoverEvent& event);
    void perform(std::size_t index, const cyclamendrift::FailoverActions& actions);
    void order(std::size_t index, const cyclamendrift::SlotName& name,
        std::function<bool(SimulatedSlot&)> what, bool isOrder);
    void askSiblings(std::size_t index, const cyclamendrift::SlotName& name);
    void readRecord(std::size_t index);
    void swapRecord(std::size_t index, const cyclamendrift::SwapRecord& swap);
    void publishView(std::size_t index, const cyclamendrift::GroupView& view);
    void observe(std::size_t index, const cyclamendrift::StatusSample& sample);
    void settle(std::size_t index);
    [[nodiscard]] std::size_t indexOf(const cyclamendrift::SlotName& name) const;

    // Sessions.
    void writeLoop();
    void readLoop();
    void poll(std::size_t proxyIndex);
    void pollReplicas(std::size_t proxyIndex);
    void awaitConfirmation(std::size_t proxyIndex, const cyclamendrift::ConfirmationTracker::Options& options,
        PendingConfirmation pendingConfirmations);
    void write(std::size_t proxyIndex, Caller caller);
    void writeUntil(std::size_t proxyIndex, Caller caller, cyclamendrift::Instant sentAt,
        cyclamendrift::Instant deadline);
    void read(std::size_t proxyIndex, Caller caller, const cyclamendrift::Access& access,
        cyclamendrift::Instant begunAt);
    void readAt(std::size_t proxyIndex, Caller caller, const cyclamendrift::ReplicaTracker::Request& request,
        const cyclamendrift::SlotName& name, bool onPrimary);
    std::optional<Caller> beginOperation(std::size_t home);
    void endOperation(Caller caller);
    void recordAcknowledgedWrite(
        Caller caller, std::uint64_t write, cyclamendrift::Instant sentAt, cyclamendrift::Progress progress);
    void checkRead(Caller caller, const cyclamendrift::Access& access, cyclamendrift::Instant sentAt,
        const std::set<std::uint64_t>& rows, cyclamendrift::Progress seen);
    void recordPromotion(std::size_t slotIndex, cyclamendrift::Term term);
    void recordViolation(std::string what);

    Options options;
    cyclamendrift::RandomSource random;
    cyclamendrift::Instant clock { std::chrono::seconds { 1000 } };
    std::uint64_t lastOrder = 0;
    std::priority_queue<Scheduled> tasks;
    std::set<std::pair<Endpoint, Endpoint>> cutLinks;
    std::vector<SimulatedSlot> slots;
    std::vector<Proxy> proxies;
    std::vector<Session> sessions;
    std::optional<cyclamendrift::VersionedRecord> storedRecord;
    std::vector<std::size_t> leaving;
    std::uint64_t lastWriteId = SimulatedSlot::noWriteId;
    std::vector<AcknowledgedWrite> acknowledgedWrites;
    std::vector<PrimaryTerm> primaryTerms;
    std::vector<std::string> violationList;
    ReadStatistics readStatistics;
    Timeline failoverTimeline;
};
