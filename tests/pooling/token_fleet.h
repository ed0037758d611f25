#pragma once

#include <virtual_events.h>

#include <cyclamendrift/limits/donor_selector.h>
#include <cyclamendrift/limits/limit_holders.h>
#include <cyclamendrift/limits/token_search.h>
#include <cyclamendrift/pooling/session_engine.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Runs the session engines of a fleet in virtual time, with the network between them simulated. Operations
/// are transactions that begin, which need a token but no upstream.
namespace cyclamendrift {

/// One operation and what became of it.
struct FleetOperation {
    TeamName team;
    std::uint32_t priority = 0;
    std::size_t vm = 0;
    Instant arrivedAt;
    Instant endedAt = Instant::max();
    bool admitted = false;
};

class TokenFleet {
public:
    /// What an operation of a priority may take; a quarter of it is spent on waiting for a token.
    static constexpr Duration urgentTarget = std::chrono::milliseconds { 150 };
    static constexpr Duration patientTarget = std::chrono::milliseconds { 800 };

    struct Options {
        std::size_t vms = 75;
        std::size_t zones = 3;
        std::map<TeamName, TeamLimit> limits;
        /// The priorities for which there are databases; the first has the urgent target.
        std::vector<std::uint32_t> priorities { 0, 1, 2 };
        Duration oneWay = std::chrono::microseconds { 900 };
        /// VMs of an earlier build: they know neither priorities nor requests that wait.
        std::set<std::size_t> earlierBuilds;
        bool urgentFirst = true;
    };

    explicit TokenFleet(Options options);
    ~TokenFleet();

    /// An operation of a team arrives at a VM.
    void schedule(Instant at, const TeamName& team, std::uint32_t priority, std::size_t vm);
    void at(Instant at, std::function<void()> run) { this->events.schedule(at, std::move(run)); }
    void runUntil(Instant end);

    /// Ends the process of a VM; its tokens and what waited there are lost.
    void stop(std::size_t vm);
    /// Starts a new process of the VM.
    void start(std::size_t vm);
    /// Removes a team's limit from the configuration, and its keys as well if asked to.
    void removeTeam(const TeamName& team, bool withKeys);

    [[nodiscard]] const std::vector<FleetOperation>& operations() const { return this->all; }
    [[nodiscard]] Instant now() const { return this->events.now(); }
    [[nodiscard]] std::vector<std::size_t> holdersOf(const TeamName& team) const;
    /// The most that a team was admitted in any window, beyond what its rate allows in the window.
    [[nodiscard]] double mostBeyondRate(const TeamName& team) const;
    /// The number of operations that were admitted although a more urgent one of the team waited throughout
    /// the two round trips around that moment and was refused in the end.
    [[nodiscard]] std::size_t overtaken(const TeamName& team) const;
    [[nodiscard]] std::size_t messages() const { return this->sent; }

private:
    struct Vm;
    struct Search;

    [[nodiscard]] VmName nameOf(std::size_t vm) const;
    [[nodiscard]] std::vector<VmName> donorsFor(const TeamName& team, std::size_t vm) const;
    void perform(std::size_t vm);
    void search(std::size_t vm, const RequestTokens& request);
    void carryOut(const std::shared_ptr<Search>& search, const TokenSearch::Step& step);
    void call(const std::shared_ptr<Search>& search, const TokenSearch::Call& call);
    void askInOrder(
        std::size_t vm, const RequestTokens& request, std::vector<VmName> donors, std::uint32_t given);
    /// Asks a VM for tokens; `answered` gets what it gives, and is not called when it does not answer.
    void ask(std::size_t from, std::size_t to, const RequestTokens& request, Duration wait,
        std::uint64_t number, std::function<void(std::uint32_t, bool waits)> answered);
    void send(std::size_t to, std::function<void()> arrive);
    void returnTokens(std::size_t to, const TeamName& team, std::uint32_t count);
    void tick(std::size_t vm);

    Options options;
    VirtualEvents events { Instant { std::chrono::seconds { 100 } } };
    std::shared_ptr<RouteTable> routes = std::make_shared<RouteTable>();
    std::map<VmName, VmCapacity> listed;
    std::map<VmName, std::size_t> indexes;
    LimitHolders holders;
    std::vector<std::unique_ptr<Vm>> vms;
    std::vector<FleetOperation> all;
    std::size_t sent = 0;
};

} // namespace cyclamendrift
