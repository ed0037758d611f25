#pragma once

#include "model_slot.h"

#include <cyclamendrift/commits/acknowledgements.h>
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

/// One database group, the store and a few proxies in virtual time, with the network between them and
/// sessions that write and read. It keeps its own account of what was acknowledged and notes every breach.
class GroupWorld {
public:
    struct Options {
        std::size_t slots = 3;
        std::size_t homes = 2;
        /// Siblings that only give opinions.
        std::size_t observers = 1;
        std::uint64_t seed = 1;
        cyclamendrift::Duration replicaLag = std::chrono::milliseconds { 2 };
        cyclamendrift::Duration writeInterval = std::chrono::milliseconds { 100 };
        cyclamendrift::Duration readInterval = std::chrono::milliseconds { 50 };
        cyclamendrift::Duration maxCatchUpWait = std::chrono::milliseconds { 5 };
        /// Each event reaches a coordinator a second time, later, with this chance in 100.
        unsigned duplicatesInHundred = 0;
        bool readsFromPrimaryOnly = false;
        std::size_t sessions = 16;
        /// How long a caller waits, and its request may be held.
        cyclamendrift::Duration callerTimeout = std::chrono::seconds { 1 };
        cyclamendrift::FailoverSettings settings;
    };
    /// An end of a link.
    struct Node {
        enum class Kind : std::uint8_t { Proxy, Slot, Store };
        Kind kind = Kind::Store;
        std::size_t index = 0;
        friend auto operator<=>(const Node&, const Node&) = default;
    };
    /// When a failover reached its steps; the last of each.
    struct Timeline {
        std::optional<cyclamendrift::Instant> claimed;
        std::optional<cyclamendrift::Instant> chosen;
        std::optional<cyclamendrift::Instant> serving;
    };
    struct Acknowledged {
        std::uint64_t write = 0;
        cyclamendrift::Instant sentAt;
        cyclamendrift::Instant at;
    };
    struct ReadCounts {
        std::uint64_t replica = 0;
        std::uint64_t primary = 0;
        /// How long each took from its arrival at the home.
        std::vector<cyclamendrift::Duration> took;
    };

    explicit GroupWorld(Options options);

    static Node proxy(std::size_t index) { return { Node::Kind::Proxy, index }; }
    static Node slot(std::size_t index) { return { Node::Kind::Slot, index }; }
    static Node store() { return {}; }

    void runFor(cyclamendrift::Duration duration);
    void cut(Node one, Node other);
    void heal(Node one, Node other);
    /// Cuts a slot from the other slots.
    void isolate(std::size_t index);
    void kill(std::size_t slotIndex);
    void revive(std::size_t slotIndex);
    void pause(std::size_t proxyIndex, cyclamendrift::Duration duration);
    /// Its next order to a slot or the store waits this long, with all else that it does.
    void pauseBeforeNextOrder(std::size_t proxyIndex, cyclamendrift::Duration duration);
    void killProxy(std::size_t proxyIndex);
    void restartProxy(std::size_t proxyIndex);
    void setLeaving(std::vector<std::size_t> slotIndices);
    void healEverything();

    bool storeUp = true;
    bool storeLosesAnswers = false;
    /// Lets the sessions write and read.
    bool workload = true;

    [[nodiscard]] const std::vector<std::string>& breaches() const { return this->breachList; }
    [[nodiscard]] const std::vector<Acknowledged>& acknowledged() const { return this->acks; }
    [[nodiscard]] const ReadCounts& reads() const { return this->readCounts; }
    [[nodiscard]] const Timeline& timeline() const { return this->times; }
    [[nodiscard]] cyclamendrift::Instant now() const { return this->clock; }
    [[nodiscard]] ModelSlot& slotAt(std::size_t index) { return this->slots[index]; }
    [[nodiscard]] const cyclamendrift::GroupView& viewOf(std::size_t proxyIndex) const;
    [[nodiscard]] std::optional<cyclamendrift::GroupRecord> record() const;
    [[nodiscard]] std::size_t promotions() const { return this->reigns.size(); }
    /// Index of the slot that reigns last.
    [[nodiscard]] std::size_t primaryIndex() const;
    /// True when a write that was sent after an instant has been acknowledged.
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
        std::set<std::uint64_t> known;
        /// It does one thing after the other, at this home.
        bool busy = false;
        std::size_t home = 0;
        std::uint64_t operation = 0;
    };
    /// Who waits for an answer; one who has given up is not told any more.
    struct Caller {
        std::size_t session = 0;
        std::uint64_t operation = 0;
    };
    struct Waiting {
        std::function<void()> onConfirmed;
        std::function<void()> onGivenUp;
    };
    struct Proxy {
        std::unique_ptr<cyclamendrift::FailoverCoordinator> coordinator;
        cyclamendrift::Acknowledgements acknowledgements;
        std::unique_ptr<cyclamendrift::ReplicaTracker> tracker;
        std::map<cyclamendrift::ConfirmationTicket, Waiting> waiting;
        std::deque<Task> held;
        cyclamendrift::Instant pausedUntil;
        cyclamendrift::Duration pauseAtOrder {};
        bool polling = false;
        bool alive = true;
        unsigned life = 0;
    };
    struct Reign {
        cyclamendrift::Term term {};
        std::size_t slot = 0;
    };

    // The network.
    void at(cyclamendrift::Instant when, Task task);
    [[nodiscard]] bool linked(Node one, Node other) const;
    cyclamendrift::Duration delay();
    void atProxy(std::size_t index, Task task);
    void fromProxy(std::size_t index, bool isOrder, Task task);
    void callSlot(std::size_t proxyIndex, std::size_t slotIndex, bool isOrder,
        std::function<bool(ModelSlot&)> operation,
        std::function<void(std::optional<cyclamendrift::StatusSample>, bool done)> answer);
    void callStore(
        std::size_t proxyIndex, bool isOrder, Task effect, std::function<void(bool answered)> answer);
    void replicate(std::size_t index);
    void replicateAll();

    // The proxies.
    void startProxy(std::size_t index);
    void tick(std::size_t index);
    void give(std::size_t index, const cyclamendrift::FailoverEvent& event);
    void perform(std::size_t index, const cyclamendrift::FailoverActions& actions);
    void order(std::size_t index, const cyclamendrift::SlotName& name, std::function<bool(ModelSlot&)> what,
        bool isOrder);
    void performAsk(std::size_t index, const cyclamendrift::SlotName& name);
    void performRead(std::size_t index);
    void performSwap(std::size_t index, const cyclamendrift::SwapRecord& swap);
    void performPublish(std::size_t index, const cyclamendrift::GroupView& view);
    void observe(std::size_t index, const cyclamendrift::StatusSample& sample);
    void settle(std::size_t index);
    [[nodiscard]] std::size_t indexOf(const cyclamendrift::SlotName& name) const;

    // The sessions.
    void writeLoop();
    void readLoop();
    void poll(std::size_t proxyIndex);
    void pollReplicas(std::size_t proxyIndex);
    void awaitConfirmation(
        std::size_t proxyIndex, const cyclamendrift::Acknowledgements::Options& options, Waiting waiting);
    void write(std::size_t proxyIndex, Caller caller);
    void writeUntil(std::size_t proxyIndex, Caller caller, cyclamendrift::Instant sentAt,
        cyclamendrift::Instant deadline);
    void read(std::size_t proxyIndex, Caller caller, const cyclamendrift::Access& access,
        cyclamendrift::Instant begunAt);
    void readAt(std::size_t proxyIndex, Caller caller, const cyclamendrift::ReplicaTracker::Request& request,
        const cyclamendrift::SlotName& name, bool onPrimary);
    std::optional<Caller> beginOperation(std::size_t home);
    void endOperation(Caller caller);
    void noteAcknowledged(
        Caller caller, std::uint64_t write, cyclamendrift::Instant sentAt, cyclamendrift::Progress progress);
    void noteRead(Caller caller, const cyclamendrift::Access& access, cyclamendrift::Instant sentAt,
        const std::set<std::uint64_t>& rows, cyclamendrift::Progress seen);
    void notePromotion(std::size_t slotIndex, cyclamendrift::Term term);
    void breach(std::string what);

    Options options;
    cyclamendrift::RandomSource random;
    cyclamendrift::Instant clock { std::chrono::seconds { 1000 } };
    std::uint64_t lastOrder = 0;
    std::priority_queue<Scheduled> tasks;
    std::set<std::pair<Node, Node>> cuts;
    std::vector<ModelSlot> slots;
    std::vector<Proxy> proxies;
    std::vector<Session> sessions;
    std::optional<cyclamendrift::RevisedRecord> stored;
    std::vector<std::size_t> leaving;
    std::uint64_t lastWrite = ModelSlot::noWrite;
    std::vector<Acknowledged> acks;
    std::vector<Reign> reigns;
    std::vector<std::string> breachList;
    ReadCounts readCounts;
    Timeline times;
};
