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
    std::uint64_t received = 100;
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
    std::vector<std::string> uncommitted;
    /// Whose statements ran in the open transaction.
    std::set<std::string> callersInTransaction;
};

/// A statement of a caller as an upstream ran it.
struct RunStatement {
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
    bool restsOnView = false;
};

/// The error of an answer that has to be a failure.
[[nodiscard]] StatementError errorOf(const Reply& reply);

class PoolWorld {
public:
    struct Options {
        std::size_t replicas = 2;
        std::uint32_t connectionCap = 12;
        RouteFreshness freshness = PrimaryRoute {};
        std::map<TeamName, TeamLimit> limits {};
        /// Callers come to another VM, which hands their statements to this one as the home of the service.
        bool throughHome = false;
        /// VMs that share the upstreams' connections, as the VM that callers come to knows them then.
        std::size_t vms = 4;
    };

    explicit PoolWorld(Options options);

    // What callers do; each returns after everything that follows at once has happened.
    CallerId connect(const std::string& key = "key-a", const std::string& database = "beds");
    void ask(CallerId caller, const std::string& id, const std::string& text);
    void leave(CallerId caller);
    /// The answers that a caller has got since the last call.
    std::vector<Reply> answers(CallerId caller);
    /// The only answer that a caller has got since the last call.
    Reply answer(CallerId caller);
    /// Asks and returns the answer.
    Reply run(CallerId caller, const std::string& id, const std::string& text);
    [[nodiscard]] std::optional<StatementFailure> closedWith(CallerId caller) const;
    [[nodiscard]] bool isClosed(CallerId caller) const { return this->closed.contains(caller); }

    /// Lets time pass, with a tick every 20 ms.
    void pass(Duration duration);
    void renewLeader();
    void lead(const std::string& upstream, std::uint64_t term);
    void setChanging();
    /// Lets an upstream lead the next term, with all others following it; the view of the primary stays.
    void promote(const std::string& upstream);
    void publishDirectory();
    /// Puts `routes` in force as their next version.
    void publishRoutes();

    ModelUpstream& upstream(const std::string& name) { return this->upstreams.at(UpstreamName { name }); }
    [[nodiscard]] std::size_t openConnections() const { return this->connections.size(); }
    [[nodiscard]] const std::vector<RunStatement>& runs() const { return this->history; }
    /// The view of the primary that the engines have.
    [[nodiscard]] const LeaderView& leader() const { return this->view; }
    [[nodiscard]] std::size_t timesRun(const std::string& id) const;
    [[nodiscard]] bool committed(const std::string& id) const { return this->commits.contains(id); }

    /// Holds back everything that the engine sends to upstreams until deliver().
    bool holding = false;
    /// Carries out what was held back.
    void deliver();
    /// Decides about a statement before it runs: a reply in its place, or none to run it.
    std::function<std::optional<Reply>(const ModelConnection&, const UpstreamStatement&)> interfere;
    /// When it returns true, the connection is lost after the statement ran and before its answer.
    std::function<bool(const UpstreamStatement&)> loseAnswer;

    /// What becomes of a statement on its way to the home: none to let it arrive.
    std::function<std::optional<HandFailure>(const HandWork&)> failHanding;
    /// Nothing gets through to the home; what is handed on waits until deliverToHome().
    bool homeUnreachable = false;
    void deliverToHome();
    std::size_t signsOfLifeAsked = 0;
    /// Statements that were handed to the home.
    std::vector<HandedWork> handed;
    /// Guests that the home was told to let go.
    std::vector<CallerId> letGo;

    /// The engine that holds the connections; callers come to it as well unless there is an entry.
    SessionEngine engine;
    /// The engine of the VM that callers come to, when that is another one.
    std::unique_ptr<SessionEngine> entry;
    Instant now { std::chrono::seconds { 100 } };
    std::shared_ptr<RouteTable> routes = std::make_shared<RouteTable>();
    std::vector<AskForTokens> tokenQuestions;
    /// The fields of each line of an event that was logged.
    [[nodiscard]] std::vector<std::map<std::string, std::string>> logged(const std::string& event) const;
    bool renewing = true;

private:
    /// A connection is its engine's; both engines number theirs from one.
    using ConnectionKey = std::pair<SessionEngine*, ConnectionId>;
    struct Handed {
        CallerId caller {};
        Instant until;
        bool answerLost = false;
    };

    [[nodiscard]] SessionEngine& front() { return this->entry ? *this->entry : this->engine; }
    void forEachEngine(const std::function<void(SessionEngine&)>& work);
    void perform();
    [[nodiscard]] bool performOf(SessionEngine& from);
    void carryOut(const EngineAction& action, SessionEngine& from);
    void handOn(const HandWork& action);
    void answerGuest(const AnswerGuest& action);
    void giveUpHanded();
    void open(const OpenConnection& action, SessionEngine& from);
    void send(const SendStatement& action, SessionEngine& from);
    Reply runOn(ModelConnection& connection, const UpstreamStatement& statement);
    Reply pass(ModelConnection& connection, const PassStatement& statement);
    [[nodiscard]] Reply replyFrom(const ModelConnection& connection) const;
    [[nodiscard]] Reply refusal(const ModelConnection& connection, StatementError error) const;
    [[nodiscard]] bool lacks(const ModelUpstream& upstream, const std::optional<Progress>& after) const;

    std::map<UpstreamName, ModelUpstream> upstreams;
    std::map<ConnectionKey, ModelConnection> connections;
    std::map<CallerId, Handed> waitingForHome;
    std::vector<HandedWork> underWay;
    std::map<CallerId, std::vector<Reply>> replies;
    std::map<CallerId, std::optional<StatementFailure>> closed;
    std::deque<std::pair<EngineAction, SessionEngine*>> held;
    std::vector<RunStatement> history;
    std::vector<LogDecision> lines;
    std::set<std::string> commits;
    std::uint64_t lastCaller = 0;
    LeaderView view;
};

} // namespace cyclamendrift
