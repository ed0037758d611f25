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

/// A SessionEngine with a model of upstreams in place of the network, in virtual time.
namespace cyclamendrift {

/// One upstream of the model: a log of commits, and the connections to it.
struct ModelUpstream {
    UpstreamEntry entry;
    bool primary = false;
    std::uint64_t term = 1;
    std::uint64_t logPosition = 100;
    bool reachable = true;
};

/// One connection of the model, with what the engine put in place on it.
struct ModelConnection {
    UpstreamName upstream;
    TeamName team;
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
    bool inTransaction = false;
    bool readOnly = false;
    /// The term in which the open transaction was opened, and the position that it named.
    std::uint64_t term = 0;
    std::optional<Progress> after;
    /// Writes of the open transaction, by the id of their statement.
    std::vector<std::string> uncommittedWrites;
    /// Whose statements ran in the open transaction.
    std::set<std::string> callersInTransaction;
};

/// A statement of a caller as an upstream ran it.
struct ExecutedStatement {
    std::string id;
    std::string text;
    UpstreamName upstream;
    TeamName team;
    std::map<std::string, std::string> values;
    std::optional<PreparedShape> shape;
    std::optional<Progress> after;
    /// The term that the upstream knew of then, and whether it led it.
    std::uint64_t term = 0;
    bool atPrimary = false;
    /// True when no position was named, for it or for its transaction.
    bool dependsOnView = false;
};

/// The error of an answer that has to be a failure.
[[nodiscard]] StatementError errorOf(const Reply& reply);

class PoolSimulation {
public:
    struct Options {
        std::size_t replicas = 2;
        std::uint32_t connectionCap = 12;
        RouteFreshness freshness = PrimaryRoute {};
        std::map<TeamName, TeamLimit> limits {};
        /// Callers come to another VM, which hands their statements to this one as the home of the service.
        bool forwardToOwner = false;
        /// VMs that share the upstreams' connections, as the VM that callers come to knows them then.
        std::size_t vms = 4;
    };

    explicit PoolSimulation(Options options);

    // What callers do; each returns after everything that follows at once has happened.
    CallerId connect(const std::string& key = "key-a", const std::string& database = "beds");
    void submit(CallerId caller, const std::string& id, const std::string& text);
    void disconnect(CallerId caller);
    /// The answers that a caller has got since the last call.
    std::vector<Reply> takeReplies(CallerId caller);
    /// The only answer that a caller has got since the last call.
    Reply takeReply(CallerId caller);
    /// Asks and returns the answer.
    Reply run(CallerId caller, const std::string& id, const std::string& text);
    [[nodiscard]] std::optional<StatementFailure> closeFailure(CallerId caller) const;
    [[nodiscard]] bool isClosed(CallerId caller) const { return this->closedCallers.contains(caller); }

    /// Lets time pass, with a tick every 20 ms.
    void advanceTime(Duration duration);
    void renewView();
    void setPrimary(const std::string& upstream, std::uint64_t term);
    void setViewChanging();
    /// Lets an upstream lead the next term, with all others following it; the view of the primary stays.
    void promote(const std::string& upstream);
    void publishDirectory();
    /// Puts `routes` in force as their next version.
    void publishRoutes();

    ModelUpstream& upstream(const std::string& name) { return this->upstreams.at(UpstreamName { name }); }
    [[nodiscard]] std::size_t openConnections() const { return this->connections.size(); }
    [[nodiscard]] const std::vector<ExecutedStatement>& executed() const { return this->executedStatements; }
    /// The view of the primary that the engines have.
    [[nodiscard]] const LeaderView& leader() const { return this->view; }
    [[nodiscard]] std::size_t executionCount(const std::string& id) const;
    [[nodiscard]] bool committed(const std::string& id) const { return this->committedWrites.contains(id); }

    /// Holds back everything that the engine sends to upstreams until deliver().
    bool holdUpstreamActions = false;
    /// Carries out what was held back.
    void deliverHeldActions();
    /// Decides about a statement before it runs: a reply in its place, or none to run it.
    std::function<std::optional<Reply>(const ModelConnection&, const UpstreamStatement&)> interceptStatement;
    /// When it returns true, the connection is lost after the statement ran and before its answer.
    std::function<bool(const UpstreamStatement&)> shouldLoseReply;

    /// What becomes of a statement on its way to the home: none to let it arrive.
    std::function<std::optional<HandFailure>(const HandWork&)> failForwarding;
    /// Nothing gets through to the home; what is handed on waits until restoreOwnerLink().
    bool ownerUnreachable = false;
    void restoreOwnerLink();
    std::size_t livenessChecks = 0;
    /// Statements that were handed to the home.
    std::vector<HandedWork> forwarded;
    /// Guests that the home was told to let go.
    std::vector<CallerId> releasedRemoteSessions;

    /// The engine that holds the connections; callers come to it as well unless there is an entry.
    SessionEngine engine;
    /// The engine of the VM that callers come to, when that is another one.
    std::unique_ptr<SessionEngine> entryEngine;
    Instant now { std::chrono::seconds { 100 } };
    std::shared_ptr<RouteTable> routes = std::make_shared<RouteTable>();
    std::vector<AskForTokens> tokenRequests;
    /// The fields of each line of an event that was logged.
    [[nodiscard]] std::vector<std::map<std::string, std::string>> loggedEvents(
        const std::string& event) const;
    bool keepRenewingView = true;

private:
    /// A connection is its engine's; both engines number theirs from one.
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
    void forwardStatement(const HandWork& action);
    void replyToRemoteSession(const AnswerGuest& action);
    void expirePendingForwards();
    void open(const OpenConnection& action, SessionEngine& from);
    void send(const SendStatement& action, SessionEngine& from);
    Reply runOnConnection(ModelConnection& connection, const UpstreamStatement& statement);
    Reply runCallerStatement(ModelConnection& connection, const PassStatement& statement);
    [[nodiscard]] Reply replyFrom(const ModelConnection& connection) const;
    [[nodiscard]] Reply refusalFrom(const ModelConnection& connection, StatementError error) const;
    [[nodiscard]] bool isBehind(const ModelUpstream& upstream, const std::optional<Progress>& after) const;

    std::map<UpstreamName, ModelUpstream> upstreams;
    std::map<ConnectionKey, ModelConnection> connections;
    std::map<CallerId, PendingForward> pendingForwards;
    std::vector<HandedWork> undelivered;
    std::map<CallerId, std::vector<Reply>> pendingReplies;
    std::map<CallerId, std::optional<StatementFailure>> closedCallers;
    std::deque<std::pair<EngineAction, SessionEngine*>> heldActions;
    std::vector<ExecutedStatement> executedStatements;
    std::vector<LogDecision> logDecisions;
    std::set<std::string> committedWrites;
    std::uint64_t lastCallerId = 0;
    LeaderView view;
};

} // namespace cyclamendrift
