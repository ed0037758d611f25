#pragma once

#include <cyclamendrift/pooling/session_engine.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Runs session engines in virtual time, with simulated upstreams in place of the network.
namespace cyclamendrift {

/// One simulated upstream: its directory entry, its role and the end of its log.
struct ModelUpstream {
    UpstreamEntry entry;
    bool primary = false;
    std::uint64_t term = 1;
    std::uint64_t logPosition = 100;
    bool reachable = true;
};

/// One simulated connection, with the session state that the engine has set on it.
struct ModelConnection {
    UpstreamName upstream;
    TeamName team;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    bool inTransaction = false;
    bool readOnly = false;
    /// The upstream's term when the open transaction was opened, and the position that the transaction
    /// required.
    std::uint64_t term = 0;
    std::optional<Progress> after;
    /// Statement ids of the open transaction's writes.
    std::vector<std::string> uncommittedWrites;
    /// The callers whose statements ran in the open transaction.
    std::set<std::string> callersInTransaction;
};

/// A caller's statement as an upstream executed it.
struct ExecutedStatement {
    std::string id;
    std::string text;
    UpstreamName upstream;
    TeamName team;
    std::map<std::string, std::string> values;
    std::optional<PreparedShape> shape;
    std::optional<Progress> after;
    /// The upstream's term at that time, and whether it was the primary of it.
    std::uint64_t term = 0;
    bool atPrimary = false;
    ServiceName service;
    /// The end of the upstream's log at that time.
    std::uint64_t logPosition = 0;
    /// True when neither the statement nor its transaction required a position.
    bool dependsOnView = false;
};

/// Returns the error of a reply; the test fails when the reply is a success.
[[nodiscard]] StatementError errorOf(const Reply& reply);

/// Performs the actions of one engine, or of two when statements are forwarded, on simulated upstreams. Time
/// passes in advanceTime() only, unless a test changes `now`.
class PoolSimulation {
public:
    struct Options {
        std::size_t replicas = 2;
        std::uint32_t connectionCap = 12;
        RouteFreshness freshness = PrimaryRoute {};
        std::map<TeamName, TeamLimit> limits {};
        /// Callers connect to another VM, which forwards their statements to this one, the service owner.
        bool forwardToOwner = false;
        /// Number of VMs that share the upstreams' connections, as the forwarding VM knows it.
        std::size_t vms = 4;
        /// Every service has its own upstreams; those after the first one keep their primary.
        std::size_t services = 1;
    };

    explicit PoolSimulation(Options options);

    // Operations of callers. Each performs all engine actions that follow at once before it returns.
    CallerId connect(const std::string& key = "key-a", const std::string& database = "beds");
    void submit(CallerId caller, const std::string& id, const std::string& text);
    void disconnect(CallerId caller);
    /// Returns the replies that a caller has received since the last call.
    std::vector<Reply> takeReplies(CallerId caller);
    /// Returns the only reply that a caller has received since the last call; the test fails on any other
    /// number.
    Reply takeReply(CallerId caller);
    /// Submits a statement and returns its reply.
    Reply run(CallerId caller, const std::string& id, const std::string& text);
    [[nodiscard]] std::optional<StatementFailure> closeFailure(CallerId caller) const;
    [[nodiscard]] bool isClosed(CallerId caller) const { return this->closedCallers.contains(caller); }

    /// Advances the virtual time, with a tick of the engines every 20 ms.
    void advanceTime(Duration duration);
    void renewView();
    void setPrimary(const std::string& upstream, std::uint64_t term);
    void setViewChanging();
    /// Makes an upstream the primary of the next term, which all others follow; the engines' view stays as it
    /// is.
    void promote(const std::string& upstream);
    void publishDirectory();
    void setEvacuatedZones(const std::set<ZoneName>& zones);
    /// Passes `routes` to the engines as their next version.
    void publishRoutes();
    /// Passes `routes` as the next version to the VM that callers connect to; the owner keeps its version.
    void publishRoutesToCallersVm();
    [[nodiscard]] static ServiceName serviceName(std::size_t index);
    /// Name of a service's primary or, from 1 on, of one of its replicas.
    [[nodiscard]] static std::string upstreamName(std::size_t serviceIndex, std::size_t index);
    /// Sets the service of the route of "beds" and publishes the routes.
    void moveRoute(std::size_t serviceIndex);

    ModelUpstream& upstream(const std::string& name) { return this->upstreams.at(UpstreamName { name }); }
    [[nodiscard]] std::size_t openConnections() const { return this->connections.size(); }
    [[nodiscard]] const std::vector<ExecutedStatement>& executed() const { return this->executedStatements; }
    /// The engines' view of the primary.
    [[nodiscard]] const LeaderView& leader() const { return this->view; }
    [[nodiscard]] std::size_t executionCount(const std::string& id) const;
    /// The latest execution of a statement; null when no upstream has executed it.
    [[nodiscard]] const ExecutedStatement* lastExecution(const std::string& id) const;
    /// Number of callers' statements that an upstream has executed.
    [[nodiscard]] std::size_t executionsAt(const std::string& upstream) const;
    /// Number of connections that were opened to an upstream.
    [[nodiscard]] std::size_t openingsAt(const std::string& upstream) const;
    [[nodiscard]] bool committed(const std::string& id) const { return this->committedWrites.contains(id); }

    /// Holds back all connection attempts and statements to upstreams until deliverHeldActions().
    bool holdUpstreamActions = false;
    /// Performs the actions that were held back.
    void deliverHeldActions();
    /// Called before an upstream runs a statement. A returned reply is sent in its place and the statement
    /// does not run.
    std::function<std::optional<Reply>(const ModelConnection&, const UpstreamStatement&)> interceptStatement;
    /// When it returns true, the connection is lost after the statement has run and before its reply.
    std::function<bool(const UpstreamStatement&)> shouldLoseReply;

    /// Returns how the forwarding of a statement fails, or nothing when it succeeds. When the reply is lost
    /// the owner still runs the statement.
    std::function<std::optional<ForwardFailure>(const ForwardStatement&)> failForwarding;
    /// True while the link to the owner is cut; forwarded statements wait until restoreOwnerLink().
    bool ownerUnreachable = false;
    void restoreOwnerLink();
    std::size_t livenessChecks = 0;
    /// Statements that were forwarded to the owner.
    std::vector<ForwardedStatement> forwarded;
    /// Remote sessions that the owner was told to release.
    std::vector<CallerId> releasedRemoteSessions;

    /// The engine that holds the connections. Callers connect to it unless there is an `entryEngine`.
    SessionEngine engine;
    /// The engine of the VM that callers connect to when it forwards their statements; null otherwise.
    std::unique_ptr<SessionEngine> entryEngine;
    Instant now { std::chrono::seconds { 100 } };
    std::shared_ptr<RouteTable> routes = std::make_shared<RouteTable>();
    std::vector<RequestTokens> tokenRequests;
    /// Returns the fields of each line that was logged for an event.
    [[nodiscard]] std::vector<std::map<std::string, std::string>> loggedEvents(
        const std::string& event) const;
    /// True while each tick of advanceTime() renews the engines' view of the primary.
    bool keepRenewingView = true;

private:
    /// Connection ids are unique within one engine only: both engines count from one.
    using ConnectionKey = std::pair<SessionEngine*, ConnectionId>;
    struct PendingForward {
        CallerId caller {};
        Instant until;
        bool replyLost = false;
    };

    [[nodiscard]] SessionEngine& callerEngine()
    {
        return this->entryEngine ? *this->entryEngine : this->engine;
    }
    void forEachEngine(const std::function<void(SessionEngine&)>& visitor);
    void performActions();
    [[nodiscard]] bool performActionsOf(SessionEngine& from);
    void performAction(const EngineAction& action, SessionEngine& from);
    void forwardStatement(const ForwardStatement& action);
    void replyToRemoteSession(const AnswerRemoteSession& action);
    void expirePendingForwards();
    void open(const OpenConnection& action, SessionEngine& from);
    void send(const SendStatement& action, SessionEngine& from);
    Reply runOnConnection(ModelConnection& connection, const UpstreamStatement& statement);
    Reply runCallerStatement(ModelConnection& connection, const RelayStatement& statement);
    [[nodiscard]] Reply replyFrom(const ModelConnection& connection) const;
    [[nodiscard]] Reply refusalFrom(const ModelConnection& connection, StatementError error) const;
    [[nodiscard]] bool isBehind(const ModelUpstream& upstream, const std::optional<Progress>& after) const;

    std::map<UpstreamName, ModelUpstream> upstreams;
    std::map<ConnectionKey, ModelConnection> connections;
    std::map<CallerId, PendingForward> pendingForwards;
    std::vector<ForwardedStatement> undelivered;
    std::map<CallerId, std::vector<Reply>> pendingReplies;
    std::map<CallerId, std::optional<StatementFailure>> closedCallers;
    std::deque<std::pair<EngineAction, SessionEngine*>> heldActions;
    std::vector<ExecutedStatement> executedStatements;
    std::map<UpstreamName, std::size_t> openings;
    std::vector<LogEvent> logDecisions;
    std::set<std::string> committedWrites;
    std::uint64_t lastCallerId = 0;
    std::size_t services = 1;
    LeaderView view;
};

} // namespace cyclamendrift
