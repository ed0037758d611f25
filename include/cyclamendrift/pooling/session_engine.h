#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/limits/team_share.h>
#include <cyclamendrift/limits/token_queue.h>
#include <cyclamendrift/pooling/caller_statement.h>
#include <cyclamendrift/pooling/engine_actions.h>
#include <cyclamendrift/pooling/engine_settings.h>
#include <cyclamendrift/pooling/forwarded_statement.h>
#include <cyclamendrift/pooling/leader_view.h>
#include <cyclamendrift/pooling/route_table.h>
#include <cyclamendrift/pooling/service_owners.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace cyclamendrift {

/// What this VM has observed of an upstream through the statements that it sent there.
struct UpstreamHealth {
    ServiceName service;
    UpstreamName upstream;
    /// When it last answered anything.
    Instant lastAnswer = Instant::min();
    /// Start of the current series of failed attempts to reach it; empty when the last attempt succeeded.
    std::optional<Instant> failingSince;
    /// True when the upstream's group has shown a term above that of the view, or its primary has refused to
    /// act as one. The view is then no longer used.
    bool contradictsView = false;
};

/// Rank of this VM among the VMs that share the connections to the upstreams.
struct FleetPlace {
    /// Number of VMs; 0 while the other VMs are unknown. Then only one connection to each upstream is safe.
    std::size_t vms = 0;
    std::size_t rank = 0;
    /// The owners of each service; null while every VM holds a share of the connections.
    std::shared_ptr<ServiceOwners> owners;
    /// How much longer a round trip to another availability zone takes than one within this VM's zone.
    Duration zoneRoundTrip = std::chrono::milliseconds { 5 };
};

/// Why an owner VM has given no answer.
enum class ForwardFailure : std::uint8_t {
    /// The owner has not received the statement, or has not accepted it.
    NotAccepted,
    /// The statement may have run.
    Lost,
};

/// A sibling's request for tokens that waits at this VM.
struct SiblingTokenRequest {
    std::uint64_t number = 0;
    TeamName team;
    std::uint32_t priority = 0;
    std::uint32_t wanted = 0;
    /// When the sibling stops waiting; a request that ends now is answered at once.
    Instant until;
};

/// Operations of one priority by what became of them, and the tokens given to siblings for it.
struct AdmissionCounts {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// The part of those that was refused because the team was over its rate.
    std::uint64_t overRate = 0;
    std::uint64_t tokensGiven = 0;
};

/// Counts since the engine was created.
struct EngineCounters {
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    /// Of the refused sessions and operations, those that met an unconfirmed configuration.
    std::uint64_t refusedUnconfirmed = 0;
    std::uint64_t failed = 0;
    std::uint64_t inDoubt = 0;
    std::uint64_t retried = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t readsOnReplicas = 0;
    std::uint64_t readsOnPrimary = 0;
    /// Statements forwarded to owner VMs, and statements accepted from siblings.
    std::uint64_t forwarded = 0;
    std::uint64_t acceptedFromSiblings = 0;
    /// Those of `forwarded` that went to an owner in another availability zone.
    std::uint64_t forwardedAcrossZones = 0;
    std::array<AdmissionCounts, tokenPriorities> admissions {};
};

/// Serves callers' sessions from a pool of upstream connections. It checks keys and limits, keeps the
/// variables, prepared statements and transaction of each session, selects an upstream whose log is known to
/// cover what a read must see, and never sends a write twice. It does no I/O: its user reports events and
/// carries out the actions that takeActions() returns. Not thread-safe.
///
///     engine.callerStartedSession(caller, start, now);
///     engine.callerSentStatement(caller, query, now);
///     for (const auto& action : engine.takeActions()) perform(action);
class SessionEngine {
public:
    struct Options {
        ZoneName zone;
        EngineSettings settings;
        /// Seed for the ids of remote sessions; must be unique to this process.
        std::uint64_t seed = 0;
    };

    explicit SessionEngine(Options options);
    ~SessionEngine();
    SessionEngine(const SessionEngine&) = delete;
    SessionEngine& operator=(const SessionEngine&) = delete;

    // Events of callers.
    void callerConnected(CallerId caller, Instant now);
    void callerStartedSession(CallerId caller, const SessionStart& start, Instant now);
    void callerSentStatement(CallerId caller, CallerQuery query, Instant now);
    void callerDisconnected(CallerId caller, Instant now);

    // Events of connections.
    void connectionOpened(ConnectionId connection, std::optional<Progress> progress, Instant now);
    void connectionRefused(ConnectionId connection, StatementError error, Instant now);
    void connectionLost(ConnectionId connection, Instant now);
    void upstreamReplied(ConnectionId connection, Reply reply, Instant now);

    // Statements that siblings forward to this VM, and results of those that this VM has forwarded.
    void forwardedStatementReceived(ForwardedStatement work, Instant now);
    void remoteSessionReleased(CallerId remoteSession, Instant now);
    // `remoteSession` is the id that was forwarded; the session may have given up on that statement since.
    void forwardedStatementAnswered(CallerId caller, CallerId remoteSession, Reply reply, Instant now);
    void forwardingFailed(CallerId caller, CallerId remoteSession, ForwardFailure failure, Instant now);
    /// Reports whether an owner VM responded to a liveness check.
    void ownerLivenessChecked(const VmName& owner, bool alive, Instant now);

    // Updates from the control plane.
    void setRoutes(std::shared_ptr<const RouteTable> routes, Instant now);
    /// While the routes are known to be outdated, sessions and operations that begin are refused; open
    /// transactions go on.
    void setConfigurationOutdated(bool outdated, Instant now);
    /// From this instant on, sessions and operations that begin are refused, because nobody has confirmed the
    /// routes for too long; open transactions go on. There is no such instant until this is called.
    void setConfigurationValidUntil(Instant until);
    /// Limits the connections to upstreams in total; idle ones may still be replaced.
    void setMaxConnections(std::size_t connections);
    void setDirectory(const UpstreamDirectory& directory, Instant now);
    void setLeader(const ServiceName& service, const LeaderView& view, Instant now);
    /// Operators evacuate these availability zones: their upstreams get no new statements, and transactions
    /// that are open there are aborted after EngineSettings::evacuationGrace.
    void setEvacuatedZones(const std::set<ZoneName>& zones, Instant now);
    void setPlace(const FleetPlace& place, Instant now);
    void setShares(const std::map<TeamName, TeamShare::Rule>& shares, Instant now);

    /// Reports how many tokens siblings gave this VM; may be zero.
    void tokensReceived(const TeamName& team, std::uint32_t given, Instant now);
    /// Deducts up to `wanted` tokens from this VM's share for a sibling and returns their number.
    [[nodiscard]] std::uint32_t giveTokens(const TeamName& team, std::uint32_t wanted, Instant now);

    // With EngineSettings::urgentFirst, in place of the two above.
    /// Reports the end of a request for tokens, with the number that siblings gave; may be zero.
    void tokenRequestEnded(const RequestTokens& request, std::uint32_t given, Instant now);
    /// Queues a sibling's request, which an AnswerTokenRequest answers.
    void siblingRequestedTokens(const SiblingTokenRequest& request, Instant now);
    void siblingWithdrewRequest(const TeamName& team, std::uint64_t number, Instant now);
    /// A sibling does not need tokens that this VM gave.
    void siblingReturnedTokens(const TeamName& team, std::uint32_t count, Instant now);
    /// When serveWaitingRequests() has something to do; Instant::max() when nothing waits for tokens.
    [[nodiscard]] Instant nextTokenDue() const;
    void serveWaitingRequests(Instant now);

    /// Starts a graceful shutdown: idle sessions are closed from `closeIdleFrom` on, and open transactions
    /// are aborted at `abortAt`.
    void drain(Instant closeIdleFrom, Instant abortAt);

    /// Handles timeouts, waiting statements and idle connections; to be called about every 20 ms.
    void tick(Instant now);
    /// True while no time limit is running: nothing is waiting, open or in progress but idle callers.
    [[nodiscard]] bool isIdle() const;

    /// Returns the actions to be carried out, in order, and clears them.
    [[nodiscard]] std::vector<EngineAction> takeActions();

    /// Observations for the control plane, which decides on primaries.
    [[nodiscard]] std::vector<UpstreamHealth> upstreamHealth() const;

    /// Time for which a statement of the service that arrives now is expected to wait: the number of waiting
    /// statements, times the observed duration of one, over the concurrency. Zero while that is unknown.
    [[nodiscard]] Duration expectedWait(const ServiceName& service) const;

    /// Operations that each team has asked for since the last call, whether admitted or not.
    [[nodiscard]] std::map<TeamName, std::uint64_t> takeDemand();

    /// The longest time that a statement which arrives now is expected to wait at this VM for an upstream.
    [[nodiscard]] Duration longestExpectedWait() const;

    [[nodiscard]] const EngineCounters& counters() const noexcept;
    [[nodiscard]] std::size_t callers() const noexcept;
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    class State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift
