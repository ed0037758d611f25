#pragma once

#include "caller_session.h"
#include "pooled_connection.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/pooling/owner_health.h>
#include <cyclamendrift/pooling/owner_load.h>
#include <cyclamendrift/pooling/session_engine.h>

#include <array>
#include <cstdint>
#include <deque>
#include <limits>
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

/// How much of a pass over waiting statements is made.
enum class DispatchScope : std::uint8_t {
    /// The pass ends early when many statements suit no upstream that has capacity.
    FirstStatements,
    AllStatements,
};

/// Whether statements of other teams may come before one of a connection's own team.
enum class TeamAffinity : std::uint8_t {
    /// More urgent ones may, and those that arrived earlier by more than EngineSettings::teamAffinityWindow.
    Limited,
    Unlimited,
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
        , jitterNumbers(this->options.seed)
    {
    }

    // session_engine
    void tickGroups();
    /// Visits the sessions whose time limits may have ended.
    void tickSessions();
    void tickSession(CallerSession& session);
    /// Aborts transactions that are idle for too long and hold connections that other statements wait for.
    void abortIdleTransactions();
    /// Appends the sessions whose idle transactions at the upstream are to be aborted.
    void findIdleTransactions(
        const GroupState& group, const UpstreamState& upstream, std::vector<CallerId>& due);
    /// The session that uses the connection, or null.
    [[nodiscard]] const CallerSession* userOf(ConnectionId id);
    void abortEvacuatedTransactions();
    /// Resolves withheld replies, of one service unless it is null.
    void resolveAllUnconfirmed(const ServiceName* service);
    void resumeIfDue(CallerSession& session);

    // engine_callers
    void startSession(CallerId id, const SessionStart& start);
    /// Logs when the time for which the configuration is valid ends, and when it is valid again.
    void checkConfigurationValidity();
    void receiveStatement(CallerId id, CallerQuery query);
    void removeSession(CallerId id);
    void answer(CallerSession& session, Reply reply);
    void refuse(CallerSession& session, StatementError error, std::string text);
    void closeSession(CallerId id, std::optional<StatementFailure> failure);
    /// Ends the session's current statement.
    void finishWork(CallerSession& session);
    /// Refunds the current operation's token to its team's limit, unless an upstream has run part of it.
    void refundToken(CallerSession& session);
    /// Records a write of the session to its route's service, with the progress that its answer reported.
    void recordOwnWrite(CallerSession& session, const std::optional<Progress>& progress, Instant sentAt);
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
    /// Runs waiting statements as long as an upstream can take any of them.
    void dispatchWaiting(GroupState& group, DispatchScope scope = DispatchScope::FirstStatements);
    /// Removes the session's statement from those that wait for a connection.
    void stopWaiting(CallerSession& session);
    void runPinned(CallerSession& session);
    /// Sends the statement of the session's transaction again at that time.
    void scheduleRetry(CallerSession& session, Instant at);
    /// Runs the first waiting statement of the connection's team on it.
    void serveSameTeam(PooledConnection& connection, TeamAffinity affinity = TeamAffinity::Limited);
    /// Divides the rates of cold upstreams among the VMs that hold connections to them.
    void updateColdStartLimits();
    void refuseOverdueStatements(GroupState& group);
    /// Time that the waiting statements of the service need at the observed rate; zero while it is unknown.
    [[nodiscard]] Duration expectedWait(const GroupState& group) const;
    /// Number of waiting statements that the upstream could run if it had connections left for them.
    [[nodiscard]] std::size_t waitingForConnections(
        const GroupState& group, const UpstreamState& upstream) const;
    /// Retry advice from the observed rate at which the upstreams answer, with jitter.
    [[nodiscard]] Duration drainAdvice(const CallerSession& session);

    // engine_evacuation
    void setEvacuatedZones(const std::set<ZoneName>& zones);
    [[nodiscard]] bool isEvacuated(const UpstreamState& upstream) const;
    /// True when new statements may be sent to the upstream: it is in service, and its zone is not evacuated.
    [[nodiscard]] bool acceptsStatements(const UpstreamState& upstream) const;
    /// Why no upstream may get a statement with this demand from this VM, however long it waits; null when
    /// one may.
    [[nodiscard]] const char* stopReason(const GroupState& group, const UpstreamDemand& demand) const;
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
    /// True while the session's statement that was forwarded at that time awaits the owner's answer.
    [[nodiscard]] bool isForwarded(const VmName& owner, const std::pair<Instant, CallerId>& statement);
    /// Ends a remote session whose transaction is lost; its next statement is refused.
    void endRemoteSession(CallerSession& session, const char* reason);

    // engine_connections
    void opened(ConnectionId id, std::optional<Progress> progress);
    void refusedToOpen(ConnectionId id, StatementError error);
    void lost(ConnectionId id);
    void replied(ConnectionId id, Reply reply);
    /// Brings the indexes up to date with the connection; to be called after each change of its status.
    void reindex(PooledConnection& connection);
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
    Instant configurationValidUntil = Instant::max();
    /// True once it was logged that the configuration is no longer valid.
    bool configurationExpired = false;
    std::size_t maxConnections = std::numeric_limits<std::size_t>::max();
    std::map<ServiceName, GroupState> groups;
    /// Groups with statements that wait for a connection, so that a tick does not visit all groups.
    std::set<ServiceName> groupsWithWaiting;
    std::unordered_map<std::uint64_t, CallerSession> callers;
    std::unordered_map<std::uint64_t, PooledConnection> connections;
    /// Connections with something unanswered, by deadline.
    std::set<std::pair<Instant, ConnectionId>> answerDeadlines;
    /// Sessions that may have a withheld reply.
    std::set<CallerId> unconfirmedSessions;
    /// Sessions with a statement to be sent again, by time. An entry whose session has moved on is ignored.
    std::set<std::pair<Instant, CallerId>> retries;
    /// Forwarded statements that may be unanswered, by owner and time.
    std::map<VmName, std::set<std::pair<Instant, CallerId>>> forwardedWork;
    std::map<TeamName, Budget> budgets;
    /// Teams for which requests wait, by the time when the queue is served next.
    std::set<std::pair<Instant, TeamName>> tokensDue;
    std::map<TeamName, std::uint64_t> demand;
    FleetPlace place;
    /// Owner VMs that did not answer.
    PassedOver<VmName> skippedOwners;
    OwnerHealth ownerHealth;
    /// What answers have told about owner VMs; used while owners are placed by availability zone.
    OwnerLoad ownerLoad;
    std::mt19937_64 remoteSessionNumbers;
    std::mt19937_64 jitterNumbers;
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
    /// The text of the refusal of what begins now; empty when the configuration may be acted on.
    [[nodiscard]] std::optional<std::string> refusalByConfiguration();
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
    /// The same while owners are placed by availability zone.
    [[nodiscard]] std::optional<VmName> selectOwnerByZone(
        const CallerSession& session, ServiceOwners& owners) const;
    /// What this VM knows of the service's upstreams and primary, from the directory and its view or else
    /// from answers of owners.
    [[nodiscard]] std::optional<PlacementHint> placementOf(const ServiceName& service) const;
    /// What this VM knows of them by itself, without the expected wait.
    [[nodiscard]] PlacementHint ownPlacementOf(const GroupState& group) const;
    [[nodiscard]] bool placesByZone() const;
    /// Requests the position of a primary in another availability zone when reads on replicas need a newer
    /// one soon.
    void refreshPosition(const CallerSession& session);
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
    /// Runs the session's waiting statement if an upstream can take it; returns true when one has.
    bool assignUpstream(GroupState& group, CallerSession& session);
    [[nodiscard]] UpstreamDemand demandOf(const CallerSession& session) const;
    /// The session of a waiting statement; null, and the statement removed, when it no longer waits.
    [[nodiscard]] CallerSession* findWaiting(GroupState& group, const WaitingStatement& statement);
    /// The first waiting statement that `accepts` returns true for, of those that `nextAfter` returns for the
    /// position of the last one; null when there is none.
    template <class Accepts, class Next>
    [[nodiscard]] CallerSession* firstWaiting(
        GroupState& group, const Accepts& accepts, const Next& nextAfter);
    /// Refuses a waiting statement when those ahead of it need too long for its target latency.
    void refuseIfTooLate(const GroupState& group, CallerSession& session);
    /// Number of waiting statements that compete for the same upstreams and are at least as urgent.
    [[nodiscard]] std::size_t waitingBeside(
        const GroupState& group, const UpstreamDemand& demand, std::uint32_t priority) const;
    /// Time in which upstreams answer so many statements; empty for none, or while that is unknown.
    [[nodiscard]] std::optional<Duration> drainTime(
        const GroupState& group, const UpstreamDemand& demand, std::size_t statements) const;
    /// Statements that an upstream answers this VM in a second; empty before its first answer.
    [[nodiscard]] std::optional<double> drainRateOf(const UpstreamState& upstream) const;
    /// True when the service has owners and this VM is none of them.
    [[nodiscard]] bool hasNoShareOf(const UpstreamState& upstream) const;
    /// Statements that no upstream will be able to run in time, with the text of their refusal.
    [[nodiscard]] std::vector<std::pair<CallerId, std::string>> unservableStatements(
        const GroupState& group) const;
    /// True when an upstream has capacity for some statement with this demand.
    [[nodiscard]] bool canTakeAny(const GroupState& group, const UpstreamDemand& demand) const;
    /// True when no upstream may run a statement with this demand before a valid view of the primary is
    /// available.
    [[nodiscard]] bool isLeaderless(const GroupState& group, const UpstreamDemand& demand) const;
    /// `requirement` is the result of replicaRequirement() for the session.
    [[nodiscard]] bool canServe(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const;
    /// What a replica must have reached to run the session's statement; empty when no replica may run it.
    [[nodiscard]] std::optional<ReplicaRequirement> replicaRequirement(
        const GroupState& group, const CallerSession& session) const;
    /// The same without regard to the session's own writes.
    [[nodiscard]] std::optional<ReplicaRequirement> replicaRequirement(
        const GroupState& group, const UpstreamDemand& demand) const;
    /// True when the upstream may be sent another statement now.
    [[nodiscard]] bool hasCapacity(const UpstreamState& upstream) const;
    /// True when the upstream is the primary, or a replica that may meet the requirement.
    [[nodiscard]] bool isSuitable(const GroupState& group, const UpstreamState& upstream,
        const std::optional<ReplicaRequirement>& requirement) const;
    [[nodiscard]] bool hasCaughtUp(
        const UpstreamState& upstream, const ReplicaRequirement& requirement) const;
    [[nodiscard]] double costOf(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const;
    [[nodiscard]] PooledConnection* idleConnection(const UpstreamState& upstream, const TeamName& team);
    /// Each VM's share of an upstream's connections if they were divided evenly among all VMs.
    [[nodiscard]] std::size_t evenShareOf(std::uint32_t connectionCap) const;
    /// This VM's share of an upstream's connections, including what it may borrow from other VMs.
    [[nodiscard]] std::size_t maxConnectionsAt(const UpstreamState& upstream) const;
    /// From this number of connections on, an idle one is closed for each one that is opened.
    [[nodiscard]] std::size_t connectionsKeptAt(const UpstreamState& upstream) const;
    /// True when a connection can be opened, possibly in place of an idle one.
    [[nodiscard]] bool canOpenConnection(const UpstreamState& upstream) const;
    /// The same for this session's statement, which may instead wait for a connection of its team.
    [[nodiscard]] bool canOpenConnectionFor(
        const UpstreamState& upstream, const CallerSession& session) const;
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
    /// Records that the upstream refused something for lack of capacity.
    void recordSaturation(UpstreamState& upstream);
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
