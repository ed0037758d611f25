#pragma once

#include "caller_session.h"
#include "pooled_connection.h"

#include <cyclamendrift/pooling/owner_health.h>
#include <cyclamendrift/pooling/session_engine.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamendrift {

/// A team's limit at this VM.
struct Budget {
    TeamShare share;
    /// Sessions whose operation waits to be let in.
    std::deque<CallerId> waiting;
    bool requestingTokens = false;
    Instant nextTokenRequestAt = Instant::min();
};

/// Whose answer told a term.
struct TermSource {
    /// An upstream, or a sibling that passes on what one has told.
    std::string_view source;
    std::string_view statementId;
};

/// Where and when a statement ran.
struct RunPlace {
    UpstreamName upstream;
    Instant sentAt;
    /// The term of the view under which it was sent, or its transaction was opened.
    std::optional<Term> viewTerm;
};

/// Everything that a SessionEngine holds. Sources: engine_callers (statements of callers), engine_dispatch
/// (which upstream gets which work), engine_homes (work handed to a home, and work for siblings),
/// engine_connections (connections, sending and losses), engine_contradictions (what answers show against the
/// view of the primary), engine_answers (what upstreams answered), session_engine (knowledge and time).
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
    /// Puts back what the operation under way took out of its team's limit, when no upstream has run it.
    void refundToken(CallerSession& session);
    /// Remembers what the session has written, and that the primary had come so far at that time.
    static void recordOwnWrite(CallerSession& session, const Progress& progress, Instant at);
    /// Lets waiting operations in as far as the budget goes, and asks siblings for what is missing.
    void admitWaiting(const TeamName& team, Budget& budget);
    /// Closes the session when it is idle and this VM is stopping; true when it did.
    bool closeIfDraining(CallerSession& session);

    // engine_dispatch
    void enqueue(CallerSession& session);
    void dispatchWaiting(GroupState& group);
    void runPinned(CallerSession& session);
    void serveSameTeam(PooledConnection& connection);
    void refuseOverdueStatements(GroupState& group);

    // engine_homes
    void forwardedStatementReceived(ForwardedStatement work);
    void forwardedStatementAnswered(CallerId caller, CallerId remoteSession, Reply reply);
    void forwardingFailed(CallerId caller, CallerId remoteSession, ForwardFailure failure);
    void ownerLivenessChecked(const VmName& owner, bool alive);
    /// Asks homes for a sign of life that have not answered for a while.
    void checkSilentOwners();
    /// Ends a guest whose transaction is gone; a later statement of it is told so.
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
    /// Gives an answer that was held back to its caller, once it is known whether it stands.
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
    std::map<ServiceName, GroupState> groups;
    std::unordered_map<std::uint64_t, CallerSession> callers;
    std::unordered_map<std::uint64_t, PooledConnection> connections;
    std::map<TeamName, Budget> budgets;
    std::map<TeamName, std::uint64_t> demand;
    FleetPlace place;
    /// Homes that did not answer.
    PassedOver<VmName> skippedOwners;
    OwnerHealth ownerHealth;
    std::mt19937_64 remoteSessionNumbers;
    EngineCounters counters;
    std::uint64_t lastConnection = 0;
    /// Instant::max() while no stop is under way.
    Instant closeIdleFrom = Instant::max();
    Instant abortAt = Instant::max();
    std::vector<EngineAction> actions;

private:
    // engine_callers
    void runNextStatement(CallerSession& session);
    void runStatement(CallerSession& session, CallerQuery query);
    void startOperation(CallerSession& session, CallerQuery query);
    [[nodiscard]] bool checkPermission(CallerSession& session);
    void queueForToken(CallerSession& session, Budget& budget, CallerQuery query);
    /// Where an operation of that priority comes in among those that wait for their team's limit.
    [[nodiscard]] std::deque<CallerId>::iterator queuePosition(Budget& budget, std::uint32_t priority);
    /// Refuses what has waited for its team's limit as long as it may.
    void refuseOverdueOperations(Budget& budget);
    void runOperation(CallerSession& session, CallerQuery query);
    void begin(CallerSession& session, const BeginTransaction& wanted);
    void rollback(CallerSession& session);
    void runOnUpstream(CallerSession& session, CallerQuery query, StatementKind kind);
    void endTransaction(CallerSession& session);

    // engine_homes
    /// Has the session's work run where the connections of its service are.
    void dispatch(CallerSession& session);
    [[nodiscard]] std::optional<VmName> selectOwner(const CallerSession& session) const;
    void forwardTo(CallerSession& session, const VmName& owner);
    void releaseRemoteSession(CallerSession& session);
    void finishForwardedInTransaction(CallerSession& session);
    void answerRemoteSession(CallerSession& session, Reply reply);
    /// The homes of services whose upstreams bear so many connections each; null where every VM serves its
    /// callers by itself.
    [[nodiscard]] ServiceOwners* ownersFor(std::uint32_t connectionCap) const;
    [[nodiscard]] std::uint32_t connectionCapOf(const ServiceName& service) const;

    // engine_dispatch
    void assignUpstream(GroupState& group, CallerSession& session);
    /// True when no upstream may run the session's work before a primary is known to lead.
    [[nodiscard]] bool isLeaderless(const GroupState& group, const CallerSession& session) const;
    /// `needed` is what replicaRequirement() says of the session.
    [[nodiscard]] bool canServe(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const;
    /// What a replica must have to serve the session's work; empty when no replica may serve it.
    [[nodiscard]] std::optional<ReplicaRequirement> replicaRequirement(
        const GroupState& group, const CallerSession& session) const;
    [[nodiscard]] std::size_t runningAt(const UpstreamState& upstream) const;
    [[nodiscard]] bool hasCaughtUp(
        const UpstreamState& upstream, const ReplicaRequirement& requirement) const;
    [[nodiscard]] double costOf(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const;
    [[nodiscard]] PooledConnection* idleConnection(UpstreamState& upstream, const TeamName& team);
    [[nodiscard]] PooledConnection* longestIdleConnection(const UpstreamState& upstream);
    /// What every VM may hold of the connections that an upstream bears, were they divided evenly.
    [[nodiscard]] std::size_t evenShareOf(std::uint32_t connectionCap) const;
    /// This VM's share of an upstream's connections, with what it may borrow of other VMs'.
    [[nodiscard]] std::size_t maxConnectionsAt(const UpstreamState& upstream) const;
    /// Connections beyond which an idle one is closed for each that is opened.
    [[nodiscard]] std::size_t connectionsKeptAt(const UpstreamState& upstream) const;
    /// True when a connection may be opened, if need be in the place of an idle one.
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
    void recordConnectFailure(UpstreamState& upstream);
    void recordAnswer(PooledConnection& connection, const Reply& reply);
    void recordNotRun(PooledConnection& connection, StatementError error);

    // engine_contradictions
    /// Takes in that some upstream of the group has come to that term.
    void recordTerm(GroupState& group, const TermSource& source, Term term);
    /// Takes in that an upstream refused what only a primary may do.
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
    /// True while a view may come that shows that the commit stands.
    [[nodiscard]] bool canBeConfirmed(const GroupState& group, const UnconfirmedReply& unconfirmed) const;
    void logIfLate(const CallerSession& session, const RunPlace& place);
    void logFailure(
        const CallerSession& session, const UpstreamName& upstream, const StatementFailure& failure);
    void handleLostAnswer(CallerSession& session, StepKind step, const char* reason);
};

/// A reply with a failure alone.
[[nodiscard]] Reply failureReply(StatementError error, std::string text);

/// How a session goes on after work of that kind failed inside its transaction: a commit ends it either way.
[[nodiscard]] SessionPhase phaseAfterFailure(StatementKind kind) noexcept;

/// Whole milliseconds, as the log has them.
[[nodiscard]] std::string millisecondsText(Duration duration);

/// "retry after 100 ms", as the text of a refusal.
[[nodiscard]] std::string adviceText(std::string_view reason, Duration retryAfter);

} // namespace cyclamendrift
