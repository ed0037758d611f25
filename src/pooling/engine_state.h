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
    bool asking = false;
    Instant askAgainAt = Instant::min();
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
    std::optional<Term> restsOn;
};

/// Everything that a SessionEngine holds. Sources: engine_callers (statements of callers), engine_dispatch
/// (which upstream gets which work), engine_homes (work handed to a home, and work for siblings),
/// engine_connections (connections, sending and losses), engine_contradictions (what answers show against the
/// view of the primary), engine_answers (what upstreams answered), session_engine (knowledge and time).
class SessionEngine::State {
public:
    explicit State(Options options)
        : options(std::move(options))
        , guestNumbers(this->options.seed)
    {
    }

    // session_engine
    void tickGroups();
    void tickSession(CallerSession& session);
    void resumeIfDue(CallerSession& session);

    // engine_callers
    void startCaller(CallerId id, const SessionStart& start);
    void ask(CallerId id, CallerQuery query);
    void leave(CallerId id);
    void answer(CallerSession& session, Reply reply);
    void refuse(CallerSession& session, StatementError error, std::string text);
    void endCaller(CallerId id, std::optional<StatementFailure> failure);
    /// Puts back what the operation under way took out of its team's limit, when no upstream has run it.
    void giveBackCharge(CallerSession& session);
    /// Remembers what the session has written, and that the primary had come so far at that time.
    static void noteOwnWrite(CallerSession& session, const Progress& progress, Instant at);
    /// Lets waiting operations in as far as the budget goes, and asks siblings for what is missing.
    void admitWaiting(const TeamName& team, Budget& budget);
    /// Closes the session when it is idle and this VM is stopping; true when it did.
    bool closeIfDraining(CallerSession& session);

    // engine_dispatch
    void enqueue(CallerSession& session);
    void pump(GroupState& group);
    void runPinned(CallerSession& session);
    void serveOwnTeam(PooledConnection& connection);
    void refuseOverdue(GroupState& group);

    // engine_homes
    void forwardedStatementReceived(ForwardedStatement work);
    void forwardedStatementAnswered(CallerId caller, CallerId remoteSession, Reply reply);
    void forwardingFailed(CallerId caller, CallerId remoteSession, ForwardFailure failure);
    void ownerLivenessChecked(const VmName& owner, bool alive);
    /// Asks homes for a sign of life that have not answered for a while.
    void askSilentHomes();
    /// Ends a guest whose transaction is gone; a later statement of it is told so.
    void endGuest(CallerSession& session, const char* reason);

    // engine_connections
    void opened(ConnectionId id, std::optional<Progress> progress);
    void refusedToOpen(ConnectionId id, StatementError error);
    void lost(ConnectionId id);
    void replied(ConnectionId id, Reply reply);
    void checkTimeouts();
    void closeSpareConnections();
    void abortTransaction(CallerSession& session, const char* reason);

    // engine_answers
    /// Gives an answer that was held back to its caller, once it is known whether it stands.
    void releaseHeld(CallerSession& session);

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
    PassedOver<VmName> pausedHomes;
    OwnerHealth homeHealth;
    std::mt19937_64 guestNumbers;
    EngineCounters counters;
    std::uint64_t lastConnection = 0;
    /// Instant::max() while no stop is under way.
    Instant closeIdleFrom = Instant::max();
    Instant abortAt = Instant::max();
    std::vector<EngineAction> actions;

private:
    // engine_callers
    void takeNext(CallerSession& session);
    void run(CallerSession& session, CallerQuery query);
    void startOperation(CallerSession& session, CallerQuery query);
    [[nodiscard]] bool checkPermission(CallerSession& session);
    void waitForBudget(CallerSession& session, Budget& budget, CallerQuery query);
    /// Where an operation of that priority comes in among those that wait for their team's limit.
    [[nodiscard]] std::deque<CallerId>::iterator placeInLine(Budget& budget, std::uint32_t priority);
    /// Refuses what has waited for its team's limit as long as it may.
    void refuseOverRate(Budget& budget);
    void runOperation(CallerSession& session, CallerQuery query);
    void begin(CallerSession& session, const BeginTransaction& wanted);
    void rollback(CallerSession& session);
    void runData(CallerSession& session, CallerQuery query, StatementKind kind);
    void endTransaction(CallerSession& session);

    // engine_homes
    /// Has the session's work run where the connections of its service are.
    void dispatch(CallerSession& session);
    [[nodiscard]] std::optional<VmName> homeFor(const CallerSession& session) const;
    void handOn(CallerSession& session, const VmName& owner);
    void letGuestGo(CallerSession& session);
    void finishHandedInTransaction(CallerSession& session);
    void answerGuest(CallerSession& session, Reply reply);
    /// The homes of services whose upstreams bear so many connections each; null where every VM serves its
    /// callers by itself.
    [[nodiscard]] ServiceOwners* homesFor(std::uint32_t connectionCap) const;
    [[nodiscard]] std::uint32_t connectionCapOf(const ServiceName& service) const;

    // engine_dispatch
    void assign(GroupState& group, CallerSession& session);
    /// True when no upstream may run the session's work before a primary is known to lead.
    [[nodiscard]] bool isLeaderless(const GroupState& group, const CallerSession& session) const;
    /// `needed` is what neededProgress() says of the session.
    [[nodiscard]] bool canServe(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<NeededProgress>& needed) const;
    /// What a replica must have to serve the session's work; empty when no replica may serve it.
    [[nodiscard]] std::optional<NeededProgress> neededProgress(
        const GroupState& group, const CallerSession& session) const;
    [[nodiscard]] std::size_t runningAt(const UpstreamState& upstream) const;
    [[nodiscard]] bool hasCaughtUp(const UpstreamState& upstream, const NeededProgress& needed) const;
    [[nodiscard]] double costOf(const GroupState& group, const UpstreamState& upstream,
        const CallerSession& session, const std::optional<NeededProgress>& needed) const;
    [[nodiscard]] PooledConnection* idleConnection(UpstreamState& upstream, const TeamName& team);
    [[nodiscard]] PooledConnection* oldestIdle(const UpstreamState& upstream);
    /// What every VM may hold of the connections that an upstream bears, were they divided evenly.
    [[nodiscard]] std::size_t ownPartOf(std::uint32_t connectionCap) const;
    /// This VM's share of an upstream's connections, with what it may borrow of other VMs'.
    [[nodiscard]] std::size_t allowedAt(const UpstreamState& upstream) const;
    /// Connections beyond which an idle one is closed for each that is opened.
    [[nodiscard]] std::size_t keptAt(const UpstreamState& upstream) const;
    /// True when a connection may be opened, if need be in the place of an idle one.
    [[nodiscard]] bool hasRoom(const UpstreamState& upstream);
    void openFor(GroupState& group, UpstreamState& upstream, CallerSession& session);
    void serveOn(PooledConnection& connection, CallerSession& session);

    // engine_connections
    void sendNext(PooledConnection& connection);
    [[nodiscard]] bool mayStillSend(const PooledConnection& connection, const CallerSession& session);
    void sendStep(PooledConnection& connection);
    [[nodiscard]] bool readyToSend(PooledConnection& connection, CallerSession& session);
    void dropTransaction(CallerSession& session, const char* reason);
    void takeBack(PooledConnection& connection, CallerSession& session);
    void finishOpen(PooledConnection& connection, const Reply& reply);
    void retry(CallerSession& session, const UpstreamName& avoided, Duration pause, StatementError reason);
    void release(PooledConnection& connection);
    void close(PooledConnection& connection);
    void erase(ConnectionId id);
    void noteFailure(UpstreamState& upstream);
    void noteAnswer(PooledConnection& connection, const Reply& reply);
    void noteNotRun(PooledConnection& connection, StatementError error);

    // engine_contradictions
    /// Takes in that some upstream of the group has come to that term.
    void noteTerm(GroupState& group, const TermSource& source, Term term);
    /// Takes in that an upstream refused what only a primary may do.
    void noteRefusedLead(const PooledConnection& connection);
    [[nodiscard]] TermSource sourceOf(const PooledConnection& connection);
    void logContradiction(
        const GroupState& group, const TermSource& source, Term term, std::string_view reason);

    // engine_answers
    void finishMain(PooledConnection& connection, Reply reply);
    void finishUnheard(PooledConnection& connection, const Reply& reply);
    void finishSingle(PooledConnection& connection, CallerSession& session, Reply reply);
    void finishInTransaction(PooledConnection& connection, CallerSession& session, Reply reply);
    void failTransaction(
        PooledConnection& connection, CallerSession& session, StatementFailure failure, SessionPhase phase);
    void conclude(CallerSession& session, Reply reply, const RunPlace& place, bool keeps);
    /// True while a view may come that shows that the commit stands.
    [[nodiscard]] bool canBeConfirmed(const GroupState& group, const HeldReply& held) const;
    void logIfLate(const CallerSession& session, const RunPlace& place);
    void logFailure(
        const CallerSession& session, const UpstreamName& upstream, const StatementFailure& failure);
    void loseWork(CallerSession& session, StepKind step, const char* reason);
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
