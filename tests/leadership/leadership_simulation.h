#pragma once

#include <cyclamendrift/leadership/leader_coordinator.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

/// Simulates several VMs with a LeaderCoordinator each, one group of upstreams, a store and a platform, in
/// virtual time.
namespace cyclamendrift {

struct SimulatedUpstream {
    UpstreamEntry entry;
    bool running = true;
    /// It keeps running, but neither VMs nor other upstreams reach it.
    bool cutOff = false;
    bool primary = false;
    /// It was told to step down. Replicas still receive what it has written.
    bool demoted = false;
    std::uint64_t term = 1;
    std::uint64_t received = 100;
    std::uint64_t pausedBelowTerm = 0;
    /// The first log entries from a new primary, and with them the new term, arrive this much later.
    Duration lag {};
    /// Since when it has been able to receive from the current primary.
    Instant canReceiveSince = Instant::min();
};

struct SimulatedVm {
    VmName name;
    LeaderCoordinator coordinator;
    /// The VM executes nothing before this instant.
    Instant frozenUntil = Instant::min();
    /// The VM cannot reach the store before this instant.
    Instant storeUnreachableUntil = Instant::min();
    /// Upstreams that it cannot reach.
    std::set<UpstreamName> unreachableUpstreams;
    Instant nextRead = Instant::min();
    Instant vmLeaseExpiresAt = Instant::min();
    /// No caller's statements are sent from this VM.
    bool idle = false;
};

class LeadershipSimulation {
public:
    struct Options {
        std::size_t vms = 3;
        std::size_t replicas = 2;
        std::uint64_t seed = 1;
        /// A VM that cannot reach the store asks another VM for its view.
        bool siblingsShareViews = false;
    };

    explicit LeadershipSimulation(Options options);

    /// A replica restarts with its log; its pause is forgotten.
    void restart(const std::string& name);
    /// An upstream that crashed comes back with its log, as a replica if another one was promoted meanwhile.
    void recover(const std::string& name);
    /// A running upstream starts to lead the next term, as after a promotion that no VM waits for.
    void becomePrimary(const std::string& name);
    /// Operators evacuate these availability zones from now on; every VM learns of it within `maxTime`. The
    /// zone of each upstream bears the upstream's name.
    void setEvacuatedZones(
        const std::set<ZoneName>& zones, Duration maxTime = std::chrono::milliseconds { 300 });
    /// Advances virtual time in steps of 10 ms.
    void advance(Duration duration);
    /// Advances virtual time until the condition is true; returns how long that took, or nothing when it
    /// stayed false for `maxTime`.
    std::optional<Duration> advanceUntil(Duration maxTime, const std::function<bool()>& condition);

    SimulatedUpstream& member(const std::string& name) { return this->members.at(UpstreamName { name }); }
    SimulatedVm& vm(std::size_t index) { return this->vms.at(index); }
    /// The running upstream that leads the highest term, or null.
    [[nodiscard]] const SimulatedUpstream* leader() const;
    /// True when every VM has a valid view that names the leader.
    [[nodiscard]] bool allFollowLeader() const;
    /// The primaries that VMs may act on now.
    [[nodiscard]] std::set<UpstreamName> primariesInUse() const;
    /// How often VMs have logged the event.
    [[nodiscard]] std::size_t logged(const std::string& event) const;
    [[nodiscard]] std::size_t promotions() const { return this->tokens.size(); }
    /// The upstream that the record names to lead the claimed term; empty when there is none.
    [[nodiscard]] UpstreamName chosen() const
    {
        return this->record ? this->record->record.chosen : UpstreamName {};
    }

    Instant now { std::chrono::seconds { 1000 } };
    bool storeDown = false;
    /// One in this many writes to the store takes effect without an answer; 0 for none.
    std::size_t writesPerLostAnswer = 0;
    /// Logged events, as "<vm> <event>".
    std::vector<std::string> loggedEvents;
    /// Limits of the time that an upstream's answer, and the platform's execution of a promotion, take.
    Duration maxAnswerTime = std::chrono::milliseconds { 30 };
    Duration maxPromotionTime = std::chrono::milliseconds { 30 };
    Duration minPromotionTime = std::chrono::milliseconds { 2 };
    /// Violations found: a view of an old primary that was still valid after a promotion had taken effect, a
    /// fencing token that decreased, or a promotion of an upstream that the record does not name or whose
    /// availability zone the coordinator knows to be evacuated.
    std::vector<std::string> violations;

private:
    struct Event {
        Instant at;
        std::function<void()> run;
    };
    struct KnownEvacuations {
        /// The number of the latest change that the VM has read.
        std::uint64_t change = 0;
        std::set<ZoneName> zones;
    };
    struct StoredRecord {
        LeadershipRecord record;
        std::uint64_t revision = 0;
    };
    struct StoredLease {
        VmName holder;
        std::uint64_t revision = 0;
        Instant expiresAt;
    };

    void step();
    void runVm(SimulatedVm& vm);
    void readStore(SimulatedVm& vm);
    void askSibling(SimulatedVm& vm);
    void performAction(SimulatedVm& vm, const LeadershipAction& action);
    void sendOrder(
        SimulatedVm& vm, const UpstreamName& upstream, const std::function<void(SimulatedUpstream&)>& order);
    void writeRecord(SimulatedVm& vm, const WriteLeadershipRecord& change);
    void carryOutPromotion(SimulatedVm& vm, const PromoteUpstream& change);
    void schedule(std::function<void()> run, Duration maxTime = std::chrono::milliseconds { 30 },
        Duration minTime = std::chrono::milliseconds { 2 });
    void replicate();
    void replicateFromDemoted();
    /// Ends a replica's pause.
    void endPause(SimulatedUpstream& member) const;
    void checkInvariants();
    [[nodiscard]] bool storeReachable(const SimulatedVm& vm) const;
    [[nodiscard]] bool isReached(const SimulatedVm& vm, const SimulatedUpstream& member) const;
    /// True for the upstream that was promoted last, or the initial primary. Promoting it changes nothing.
    [[nodiscard]] bool isPresentPrimary(const SimulatedUpstream& member) const;
    [[nodiscard]] UpstreamStatus statusOf(const SimulatedUpstream& member) const;

    std::mt19937_64 random;
    bool siblingsShareViews = false;
    std::map<UpstreamName, SimulatedUpstream> members;
    std::deque<SimulatedVm> vms;
    std::deque<Event> events;
    std::optional<StoredRecord> record;
    std::optional<StoredLease> coordinatorLease;
    std::map<VmName, KnownEvacuations> knownEvacuations;
    std::uint64_t evacuationChanges = 0;
    std::uint64_t revision = 10;
    std::vector<std::uint64_t> tokens;
    UpstreamName presentPrimary { "primary" };
    /// The highest term that an upstream has led.
    std::uint64_t newestTerm = 1;
};

/// Waits until all VMs follow the leader; the test fails when that takes more than five seconds.
void awaitLeader(LeadershipSimulation& simulation);

} // namespace cyclamendrift
