#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/limits/team_share.h>
#include <cyclamendrift/pooling/caller_statement.h>
#include <cyclamendrift/pooling/engine_actions.h>
#include <cyclamendrift/pooling/engine_settings.h>
#include <cyclamendrift/pooling/forwarded_statement.h>
#include <cyclamendrift/pooling/leader_view.h>
#include <cyclamendrift/pooling/route_table.h>
#include <cyclamendrift/pooling/service_owners.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace cyclamendrift {

/// What this VM saw of an upstream through the work it sent there.
struct UpstreamHealth {
    ServiceName service;
    UpstreamName upstream;
    /// When it last answered anything.
    Instant lastAnswer = Instant::min();
    /// Since when every try to reach it has failed; empty when the last one did not.
    std::optional<Instant> failingSince;
    /// A term above that of the view, or a refusal of its primary to act as one, was seen in the upstream's
    /// group; the view is not acted on any more.
    bool contradictsView = false;
};

/// This VM among those that share the connections of upstreams.
struct FleetPlace {
    /// 0 while nothing is known of the others; one connection to each upstream is all that is safe then.
    std::size_t vms = 0;
    std::size_t rank = 0;
    /// Who holds the connections of which service; null while every VM holds a part.
    std::shared_ptr<ServiceOwners> owners;
};

/// Why there is no answer from a home.
enum class ForwardFailure : std::uint8_t {
    /// The home has not seen the statement, or has not taken it.
    NotAccepted,
    /// It may have run.
    Lost,
};

/// What an engine has counted since it was made.
struct EngineCounters {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t inDoubt = 0;
    std::uint64_t retried = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t readsOnReplicas = 0;
    std::uint64_t readsOnPrimary = 0;
    /// Statements handed to a home, and those that siblings handed to this VM.
    std::uint64_t forwarded = 0;
    std::uint64_t acceptedFromSiblings = 0;
};

/// Serves callers' sessions from a pool of upstream connections: checks keys and limits, keeps each session's
/// values, names and transaction, chooses an upstream whose log is known to cover what a read must see, and
/// never sends a write twice. Does no I/O: its owner reports what happens and carries out what takeActions()
/// returns.
///
///     engine.callerStartedSession(caller, start, now);
///     engine.callerSentStatement(caller, query, now);
///     for (const auto& action : engine.takeActions()) perform(action);
class SessionEngine {
public:
    struct Options {
        ZoneName zone;
        EngineSettings settings;
        /// Source of numbers for guests; unique to this process.
        std::uint64_t seed = 0;
    };

    explicit SessionEngine(Options options);
    ~SessionEngine();
    SessionEngine(const SessionEngine&) = delete;
    SessionEngine& operator=(const SessionEngine&) = delete;

    // What callers do.
    void callerConnected(CallerId caller, Instant now);
    void callerStartedSession(CallerId caller, const SessionStart& start, Instant now);
    void callerSentStatement(CallerId caller, CallerQuery query, Instant now);
    void callerDisconnected(CallerId caller, Instant now);

    // What happens to connections.
    void connectionOpened(ConnectionId connection, std::optional<Progress> progress, Instant now);
    void connectionRefused(ConnectionId connection, StatementError error, Instant now);
    void connectionLost(ConnectionId connection, Instant now);
    void upstreamReplied(ConnectionId connection, Reply reply, Instant now);

    // What siblings hand on, and what becomes of what this VM has handed on.
    void forwardedStatementReceived(ForwardedStatement work, Instant now);
    void remoteSessionReleased(CallerId remoteSession, Instant now);
    // `guest` is that of the work, which may have been given up meanwhile.
    void forwardedStatementAnswered(CallerId caller, CallerId remoteSession, Reply reply, Instant now);
    void forwardingFailed(CallerId caller, CallerId remoteSession, ForwardFailure failure, Instant now);
    /// A home was asked for a sign of life.
    void ownerLivenessChecked(const VmName& owner, bool alive, Instant now);

    // What the control side knows.
    void setRoutes(std::shared_ptr<const RouteTable> routes, Instant now);
    void setDirectory(const UpstreamDirectory& directory, Instant now);
    void setLeader(const ServiceName& service, const LeaderView& view, Instant now);
    void setPlace(const FleetPlace& place, Instant now);
    void setShares(const std::map<TeamName, TeamShare::Rule>& shares, Instant now);

    /// Siblings gave this VM part of their shares, or nothing.
    void tokensReceived(const TeamName& team, std::uint32_t given, Instant now);
    /// Takes up to `wanted` operations out of this VM's share, for a sibling.
    [[nodiscard]] std::uint32_t giveTokens(const TeamName& team, std::uint32_t wanted, Instant now);

    /// Begins a planned stop: sessions are closed when they are idle, open transactions may go on until
    /// `abortAt`.
    void drain(Instant closeIdleFrom, Instant abortAt);

    /// To be called every 20 ms or so: timeouts, refusals of what waited too long, idle connections.
    void tick(Instant now);

    /// Everything to be done now, in order.
    [[nodiscard]] std::vector<EngineAction> takeActions();

    /// What was seen of upstreams; for the control side, which decides about primaries.
    [[nodiscard]] std::vector<UpstreamHealth> upstreamHealth() const;

    /// Operations that each team asked for since the last call, admitted or not.
    [[nodiscard]] std::map<TeamName, std::uint64_t> takeDemand();

    [[nodiscard]] const EngineCounters& counters() const noexcept;
    [[nodiscard]] std::size_t callers() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift
