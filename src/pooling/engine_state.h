#pragma once

#include "caller_session.h"
#include "pooled_connection.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/pooling/owner_health.h>
#include <cyclamendrift/pooling/session_engine.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// A team's share of its limit at this VM.
struct Budget {
    TeamShare share;
    /// Sessions whose operation waits for a token.
    std::deque<CallerId> waiting;
    bool requestingTokens = false;
    Instant nextTokenRequestAt = Instant::min();

    // With EngineSettings::urgentFirst, in place of the three above.
    TokenQueue queue;
    /// Tokens requested from siblings by requests that have not ended, and the number of these, by priority.
    TokenQueue::CountByPriority requested {};
    TokenQueue::CountByPriority openRequests {};
    /// When the next request may be sent, by priority.
    std::array<Instant, tokenPriorities> requestAllowedAt {};
    /// When the queue is served next.
    Instant due = Instant::max();
};

/// The answer from which a term was learned.
struct TermSource {
    /// Name of the upstream, or of the sibling that reported the upstream's answer.
    std::string_view source;
    std::string_view statementId;
};

/// Where and when a statement ran.
struct RunPlace {
    UpstreamName upstream;
    Instant sentAt;
    /// The term of the view under which the statement was sent or its transaction was opened.
    std::optional<Term> viewTerm;
};

/// State of a SessionEngine. Its functions are defined in engine_callers (statements of callers),
/// engine_admission (tokens by priority),
/// engine_dispatch (selection of upstreams), engine_evacuation (evacuated availability zones),
/// engine_forwarding (statements forwarded to owner VMs, and statements of siblings), engine_connections
/// (connections, sending and connection losses), engine_contradictions (answers that contradict the view of
/// the primary), engine_answers (answers of upstreams) and session_engine (configuration, views and timers).
class SessionEngine::State {
public:
    explicit State(Options options)
        : options(std::move(options))
        , remoteSessionNumbers(this->options.seed)
    {
    }

    // session_engine
    void tickGroups();
    void tickSession(CallerSession& session);
    void resumeIfDue(CallerSession& session);

    // engine_callers
    void startSession(CallerId id, const SessionStart& start);
    void receiveStatement(CallerId id, CallerQuery query);
    void removeSession(CallerId id);
    void answer(CallerSession& session, Reply reply);
    void refuse(CallerSession& session, StatementError error, std::string text);
    void closeSession(CallerId id, std::optional<StatementFailure> failure);
    /// Refunds the current operation's token to its team's limit, unless an upstream has run part of it.
    void refundToken(CallerSession& session);
    /// Records the progress of the session's write, which the primary had reached at that time.
    static void recordOwnWrite(CallerSession& session, const Progress& progress, Instant at);
    /// Admits waiting operations while tokens last, and requests missing tokens from siblings.
    void admitWaiting(const TeamName& team, Budget& budget);

    // engine_admission
    /// Hands out the team's tokens by priority, and requests missing ones from siblings.
    void serveTokens(const TeamName& team, Budget& budget);
    void serveDueTokens();
    void setTokensDue(const TeamName& team, Budget& budget, Instant due);

    // engine_callers
    /// Closes the session if it is idle and this VM is shutting down; returns true when it did.
    bool closeIfDraining(CallerSession& session);

    // engine_dispatch
    void enqueue(CallerSession& session);
    /// Requests the view of the group's primary, unless that was done recently.
    void trackIfDue(GroupState& group);
    void dispatchWaiting(GroupState& group);
    void runPinned(CallerSession& session);
    void serveSameTeam(PooledConnection& connection);
    /// Divides the rates of cold upstreams among the VMs that hold connections to them.
    void updateColdStartLimits();
    void refuseOverdueStatements(GroupState& group);

    // engine_evacuation
    void setEvacuatedZones(const std::set<ZoneName>& zones);
    [[nodiscard]] bool isEvacuated(const UpstreamState& upstream) const;
    /// True when new statements may be sent to the upstream: it is in service, and its zone is not evacuated.
    [[nodiscard]] bool acceptsStatements(const UpstreamState& upstream) const;
    /// Why no upstream may get the session's statement from this VM, however long it waits; null when one
    /// may.
    [[nodiscard]] const char* stopReason(const GroupState& group, const CallerSession& session) const;
    /// True when no statement may be sent on a connection that holds a transaction, because the zone of its
    /// upstream has been under evacuation for too long.
    [[nodiscard]] bool hasEvacuationGraceEnded(const PooledConnection& connection) const;
    /// True when the session's transaction is open on such a connection.
    [[nodiscard]] bool isTransactionEvacuated(const CallerSession& session);

    // engine_forwarding
    void forwardedStatementReceived(ForwardedStatement work);
    void forwardedStatementAnswered(CallerId caller, CallerId remoteSession, Reply reply);
    void forwardingFailed(CallerId caller, CallerId remoteSession, ForwardFailure failure);
    void ownerLivenessChecked(const VmName& owner, bool alive);
    /// Starts liveness checks of owner VMs that have not answered for a while.
    void checkSilentOwners();
    /// Ends a remote session whose transaction is lost; its next statement is refused.
    void endRemoteSession(CallerSession& session, const char* reason);

    // engine_connections
    void opened(ConnectionId id, std::optional<Progress> progress);
    void refusedToOpen(ConnectionId id, StatementError error);
    void lost(ConnectionId id);
    void replied(ConnectionId id, Reply reply);
    void checkTimeouts();
    void closeIdleConnections();
    void abortTransaction(CallerSession& session, const char* reason);

    // engine_answers
    /// Sends or fails a withheld reply once it is known whether its commit is confirmed.
    void resolveUnconfirmed(CallerSession& session);

    [[nodiscard]] CallerSession* findCaller(CallerId id);
    [[nodiscard]] PooledConnection* findConnection(ConnectionId id);
    [[nodiscard]] GroupState& group(const ServiceName& name);
    [[nodiscard]] UpstreamState& upstreamOf(const PooledConnection& connection);
    [[nodiscard]] std::size_t connectionShareOf(const UpstreamState& upstream) const;
    void log(std::string_view event, std::vector<std::pair<std::string, std::string>> fields);

    Options options;
    Instant now;
    std::shared_ptr<const RouteTable> routes = std::make_shared<const RouteTable>();
    bool configurationOutdated = false;
    std::map<ServiceName, GroupState> groups;
    /// Groups with statements that wait for a connection, so that a tick does not visit all groups.
    std::set<ServiceName> groupsWithWaiting;
    std::unordered_map<std::uint64_t, CallerSession> callers;
    std::unordered_map<std::uint64_t, PooledConnection> connections;
    std::map<TeamName, Budget> budgets;
    /// Teams for which requests wait, by the time when the queue is served next.
    std::set<std::pair<Instant, TeamName>> tokensDue;
    std::map<TeamName, std::uint64_t> demand;
    FleetPlace place;
    /// Owner VMs that did not answer.
    PassedOver<VmName> skippedOwners;
    OwnerHealth ownerHealth;
    std::mt19937_64 remoteSessionNumbers;
    EngineCounters counters;
    std::uint64_t lastConnection = 0;
    /// Instant::max() unless this VM is shutting down.
    Instant closeIdleFrom = Instant::max();
    Instant abortAt = Instant::max();
    /// The availability zones that are evacuated, and since when this VM has known it.
    std::map<ZoneName, Instant> evacuatedSince;
    std::vector<EngineAction> actions;

private:
    // engine_callers
    [[nodiscard]] std::string outdatedText() const;
    void runNextStatement(CallerSession& session);
    void runStatement(CallerSession& session, CallerQuery query);
    void startOperation(CallerSession& session, CallerQuery query);
    [[nodiscard]] bool checkPermission(CallerSession& session);
    void queueForToken(CallerSession& session, Budget& budget, CallerQuery query);
    /// Where an operation of that priority is inserted among those that wait for the team's limit.
    [[nodiscard]] std::deque<CallerId>::iterator queuePosition(Budget& budget, std::uint32_t priority);
    /// Refuses operations that have waited for a token for the maximum time.
    void refuseOverdueOperations(Budget& budget);
    void runOperation(CallerSession& session, CallerQuery query);
    void countAdmission(const CallerSession& session);
    void refuseOverRate(CallerSession& session, Duration retryAfter);
    void begin(CallerSession& session, const BeginTransaction& wanted);
    void rollback(CallerSession& session);
    void runOnUpstream(CallerSession& session, CallerQuery query, StatementKind kind);
    void endTransaction(CallerSession& session);

    // engine_admission
    void queueByPriority(CallerSession& session, Budget& budget, CallerQuery query);
    void finishWait(const TeamName& team, Budget& budget, const TokenQueue::Outcome& outcome);
    /// Lets the operations of a team that has no limit any more go on, and refuses siblings' requests.
    void releaseWaiting(const TeamName& team, Budget& budget);
    void requestMissingTokens(const TeamName& team, Budget& budget);

    // engine_forwarding
    /// Runs the session's statement on this VM, or forwards it to an owner VM of its service.
    void dispatch(CallerSession& session);
    [[nodiscard]] std::optional<VmName> selectOwner(const CallerSession& session) const;
    void forwardTo(CallerSession& session, const VmName& owner);
    void releaseRemoteSession(CallerSession& session);
    void finishForwardedInTransaction(CallerSession& session);
    void answerRemoteSession(CallerSession& session, Reply reply);
    /// The owners of services with that connection cap; null where every VM serves its callers by itself.
    [[nodiscard]] ServiceOwners* ownersFor(std::uint32_t connectionCap) const;
    /// Position of this VM among the VMs that hold connections to an upstream.
    [[nodiscard]] HolderRank holderRankAt(const UpstreamState& upstream) const;
    [[nodiscard]] std::uint32_t connectionCapOf(const ServiceName& service) const;

    // engine_dispatch
    void assignUpstream(GroupState& group, CallerSession& session);
    /// True when no upstream may run the session's statement before a valid view of the primary is available.
    [[nodiscard]] bool isLeaderless(const GroupState& group, const CallerSession& session) const;
    /// `requirement` is the result of replicaRequirement() for the session.
    [[nodiscard]] bool canServe(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const;
    /// What a replica must have reached to run the session's statement; empty when no replica may run it.
    [[nodiscard]] std::optional<ReplicaRequirement> replicaRequirement(
        const GroupState& group, const CallerSession& session) const;
    [[nodiscard]] std::size_t runningAt(const UpstreamState& upstream) const;
    [[nodiscard]] bool hasCaughtUp(
        const UpstreamState& upstream, const ReplicaRequirement& requirement) const;
    [[nodiscard]] double costOf(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const;
    [[nodiscard]] PooledConnection* idleConnection(UpstreamState& upstream, const TeamName& team);
    [[nodiscard]] PooledConnection* longestIdleConnection(const UpstreamState& upstream);
    /// Each VM's share of an upstream's connections if they were divided evenly among all VMs.
    [[nodiscard]] std::size_t evenShareOf(std::uint32_t connectionCap) const;
    /// This VM's share of an upstream's connections, including what it may borrow from other VMs.
    [[nodiscard]] std::size_t maxConnectionsAt(const UpstreamState& upstream) const;
    /// From this number of connections on, an idle one is closed for each one that is opened.
    [[nodiscard]] std::size_t connectionsKeptAt(const UpstreamState& upstream) const;
    [[nodiscard]] bool isOpening(const UpstreamState& upstream) const;
    /// True when a connection can be opened, possibly in place of an idle one.
    [[nodiscard]] bool canOpenConnection(const UpstreamState& upstream);
    void openConnectionFor(GroupState& group, UpstreamState& upstream, CallerSession& session);
    void runOn(PooledConnection& connection, CallerSession& session);

    // engine_connections
    void sendNext(PooledConnection& connection);
    [[nodiscard]] bool mayStillSend(const PooledConnection& connection, const CallerSession& session);
    void sendStep(PooledConnection& connection);
    [[nodiscard]] bool readyToSend(PooledConnection& connection, CallerSession& session);
    void dropTransaction(CallerSession& session, const char* reason);
    void requeueElsewhere(PooledConnection& connection, CallerSession& session);
    void finishOpen(PooledConnection& connection, const Reply& reply);
    void retry(CallerSession& session, const UpstreamName& skipped, Duration pause, StatementError reason);
    void release(PooledConnection& connection);
    void close(PooledConnection& connection);
    void erase(ConnectionId id);
    /// Records that the upstream had no connection left for this VM.
    void recordFullUpstream(UpstreamState& upstream);
    void recordConnectFailure(UpstreamState& upstream);
    void recordAnswer(PooledConnection& connection, const Reply& reply);
    void recordNotRun(PooledConnection& connection, StatementError error);

    // engine_contradictions
    /// Records that an upstream of the group has reached this term.
    void recordTerm(GroupState& group, const TermSource& source, Term term);
    /// Records that an upstream refused a statement that only a primary may run.
    void recordLeadRefusal(const PooledConnection& connection);
    [[nodiscard]] TermSource sourceOf(const PooledConnection& connection);
    void logContradiction(
        const GroupState& group, const TermSource& source, Term term, std::string_view reason);

    // engine_answers
    void finishMain(PooledConnection& connection, Reply reply);
    void finishAbandoned(PooledConnection& connection, const Reply& reply);
    void finishSingle(PooledConnection& connection, CallerSession& session, Reply reply);
    void finishInTransaction(PooledConnection& connection, CallerSession& session, Reply reply);
    void failTransaction(
        PooledConnection& connection, CallerSession& session, StatementFailure failure, SessionPhase phase);
    void finishStatement(CallerSession& session, Reply reply, const RunPlace& place, bool commitsWrite);
    /// True while a later view may still confirm the commit.
    [[nodiscard]] bool canBeConfirmed(const GroupState& group, const UnconfirmedReply& unconfirmed) const;
    void logIfLate(const CallerSession& session, const RunPlace& place);
    void logFailure(
        const CallerSession& session, const UpstreamName& upstream, const StatementFailure& failure);
    void handleLostAnswer(CallerSession& session, StepKind step, const char* reason);
};

/// A reply that consists of a failure only.
[[nodiscard]] Reply failureReply(StatementError error, std::string text);

/// State of a session after a statement of this kind failed in its transaction. A commit ends the transaction
/// in any case.
[[nodiscard]] SessionPhase phaseAfterFailure(StatementKind kind) noexcept;

/// The text of a refusal: the reason followed by "retry after 100 ms".
[[nodiscard]] std::string adviceText(std::string_view reason, Duration retryAfter);

} // namespace cyclamendrift
