#include "pool_simulation.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

CallerStatement parseStatement(const std::string& text)
{
    std::vector<std::string> words;
    for (std::size_t from = 0; from < text.size();) {
        const auto blank = std::min(text.find(' ', from), text.size());
        words.push_back(text.substr(from, blank - from));
        from = blank + 1;
    }
    if (words[0] == "BEGIN")
        return BeginTransaction { .readOnly = words.size() > 1 };
    if (words[0] == "COMMIT")
        return CommitTransaction {};
    if (words[0] == "ROLLBACK")
        return RollbackTransaction {};
    if (words[0] == "READ")
        return ReadItem {};
    if (words[0] == "WRITE")
        return WriteItem {};
    if (words[0] == "SET")
        return SetSessionValue { .name = words[1], .value = words[2] };
    if (words[0] == "PREPARE")
        return PrepareStatement { .name = words[1],
            .shape = { .writes = words[2] == "WRITE", .text = words[3] } };
    if (words[0] == "EXECUTE")
        return ExecutePrepared { .name = words[1], .arguments = words[2] };
    if (words[0] == "DEALLOCATE")
        return DeallocateStatement { .name = words[1] };
    return MalformedStatement {};
}

bool isWrite(const ModelConnection& connection, const RelayStatement& statement)
{
    if (statement.execute)
        return connection.prepared.at(statement.execute->name).writes;
    return statement.text.starts_with("WRITE");
}

} // namespace

StatementError errorOf(const Reply& reply)
{
    REQUIRE(reply.failure);
    return reply.failure->error;
}

PoolSimulation::PoolSimulation(Options options)
    : engine({ .zone = ZoneName { "palermo" } })
    , services(options.services)
{
    for (std::size_t serviceIndex = 0; serviceIndex < this->services; ++serviceIndex) {
        for (std::size_t index = 0; index <= options.replicas; ++index) {
            ModelUpstream model;
            model.entry = { .name = UpstreamName { upstreamName(serviceIndex, index) },
                .service = serviceName(serviceIndex),
                .host = "10.0.0.1",
                .port = static_cast<std::uint16_t>(8000 + 10 * serviceIndex + index),
                .zone = ZoneName { "palermo" },
                .maxConcurrency = 3 };
            model.primary = index == 0;
            this->upstreams.emplace(model.entry.name, model);
        }
        this->routes->connectionCaps[serviceName(serviceIndex)] = options.connectionCap;
    }
    this->routes->routes["beds"] = { .service = serviceName(0),
        .freshness = options.freshness,
        .statementTimeout = std::chrono::seconds { 1 },
        .targetLatency = std::chrono::milliseconds { 200 } };
    this->routes->keys = { { "key-a", TeamName { "a" } }, { "key-b", TeamName { "b" } } };
    this->routes->limits = options.limits;
    if (options.forwardToOwner)
        this->entryEngine = std::make_unique<SessionEngine>(
            SessionEngine::Options { .zone = ZoneName { "catania" }, .seed = 1 });
    this->publishRoutes();
    this->forEachEngine(
        [this](SessionEngine& sessionEngine) { sessionEngine.setPlace({ .vms = 1, .rank = 0 }, this->now); });
    if (this->entryEngine) {
        // The owner is the only listed VM, so it owns every service.
        const auto owners = std::make_shared<ServiceOwners>(
            VmName { "entry" }, std::map<VmName, VmCapacity> { { VmName { "home" }, {} } });
        this->entryEngine->setPlace({ .vms = options.vms, .rank = 0, .owners = owners }, this->now);
    }
    this->publishDirectory();
    this->setPrimary("primary", 1);
}

void PoolSimulation::publishRoutes()
{
    ++this->routes->version;
    this->forEachEngine([this](SessionEngine& sessionEngine) {
        sessionEngine.setRoutes(std::make_shared<RouteTable>(*this->routes), this->now);
    });
}

void PoolSimulation::publishRoutesToCallersVm()
{
    ++this->routes->version;
    this->callerEngine().setRoutes(std::make_shared<RouteTable>(*this->routes), this->now);
}

ServiceName PoolSimulation::serviceName(std::size_t index)
{
    return ServiceName { index == 0 ? "register" : "register-" + std::to_string(index) };
}

std::string PoolSimulation::upstreamName(std::size_t serviceIndex, std::size_t index)
{
    const auto name = index == 0 ? "primary" : "replica-" + std::to_string(index);
    return serviceIndex == 0 ? name : serviceName(serviceIndex).string() + '/' + name;
}

void PoolSimulation::moveRoute(std::size_t serviceIndex)
{
    this->routes->routes["beds"].service = serviceName(serviceIndex);
    this->publishRoutes();
}

void PoolSimulation::publishDirectory()
{
    UpstreamDirectory directory;
    for (const auto& [name, model] : this->upstreams)
        directory.push_back(model.entry);
    this->forEachEngine(
        [&](SessionEngine& sessionEngine) { sessionEngine.setDirectory(directory, this->now); });
    this->performActions();
}

void PoolSimulation::setEvacuatedZones(const std::set<ZoneName>& zones)
{
    this->forEachEngine(
        [&](SessionEngine& sessionEngine) { sessionEngine.setEvacuatedZones(zones, this->now); });
    this->performActions();
}

void PoolSimulation::setPrimary(const std::string& upstream, std::uint64_t term)
{
    this->view = {
        .phase = LeaderView::Phase::Settled, .primary = UpstreamName { upstream }, .term = Term { term }
    };
    this->renewView();
}

void PoolSimulation::setViewChanging()
{
    this->view.phase = LeaderView::Phase::Changing;
    this->renewView();
}

void PoolSimulation::promote(const std::string& upstream)
{
    for (auto& [name, model] : this->upstreams) {
        if (model.entry.service != serviceName(0))
            continue;
        ++model.term;
        model.primary = name == UpstreamName { upstream };
    }
}

void PoolSimulation::renewView()
{
    this->view.expiresAt = this->now + std::chrono::seconds { 1 };
    this->forEachEngine([this](SessionEngine& sessionEngine) {
        sessionEngine.setLeader(serviceName(0), this->view, this->now);
        for (std::size_t index = 1; index < this->services; ++index)
            sessionEngine.setLeader(serviceName(index),
                { .phase = LeaderView::Phase::Settled,
                    .primary = UpstreamName { upstreamName(index, 0) },
                    .term = Term { 1 },
                    .expiresAt = this->view.expiresAt },
                this->now);
    });
    this->performActions();
}

CallerId PoolSimulation::connect(const std::string& key, const std::string& database)
{
    const CallerId caller { ++this->lastCallerId };
    this->callerEngine().callerConnected(caller, this->now);
    this->callerEngine().callerStartedSession(caller, { .database = database, .key = key }, this->now);
    this->performActions();
    return caller;
}

void PoolSimulation::submit(CallerId caller, const std::string& id, const std::string& text)
{
    this->callerEngine().callerSentStatement(
        caller, { .id = id, .text = text, .statement = parseStatement(text) }, this->now);
    this->performActions();
}

void PoolSimulation::disconnect(CallerId caller)
{
    this->callerEngine().callerDisconnected(caller, this->now);
    this->performActions();
}

std::vector<Reply> PoolSimulation::takeReplies(CallerId caller)
{
    return std::exchange(this->pendingReplies[caller], {});
}

Reply PoolSimulation::takeReply(CallerId caller)
{
    auto all = this->takeReplies(caller);
    REQUIRE(all.size() == 1);
    return all.front();
}

Reply PoolSimulation::run(CallerId caller, const std::string& id, const std::string& text)
{
    this->submit(caller, id, text);
    return this->takeReply(caller);
}

std::optional<StatementFailure> PoolSimulation::closeFailure(CallerId caller) const
{
    const auto match = this->closedCallers.find(caller);
    return match == this->closedCallers.end() ? std::nullopt : match->second;
}

void PoolSimulation::advanceTime(Duration duration)
{
    constexpr Duration step = std::chrono::milliseconds { 20 };
    for (const auto end = this->now + duration; this->now < end;) {
        this->now = std::min(this->now + step, end);
        if (this->keepRenewingView)
            this->renewView();
        this->forEachEngine([this](SessionEngine& sessionEngine) { sessionEngine.tick(this->now); });
        this->performActions();
        this->expirePendingForwards();
    }
}

std::size_t PoolSimulation::executionCount(const std::string& id) const
{
    return static_cast<std::size_t>(std::count_if(this->executedStatements.begin(),
        this->executedStatements.end(), [&id](const ExecutedStatement& run) { return run.id == id; }));
}

const ExecutedStatement* PoolSimulation::lastExecution(const std::string& id) const
{
    const auto last = std::find_if(this->executedStatements.rbegin(), this->executedStatements.rend(),
        [&id](const ExecutedStatement& run) { return run.id == id; });
    return last == this->executedStatements.rend() ? nullptr : &*last;
}

std::size_t PoolSimulation::executionsAt(const std::string& upstream) const
{
    return static_cast<std::size_t>(std::count_if(this->executedStatements.begin(),
        this->executedStatements.end(),
        [name = UpstreamName { upstream }](const ExecutedStatement& run) { return run.upstream == name; }));
}

std::size_t PoolSimulation::openingsAt(const std::string& upstream) const
{
    const auto match = this->openings.find(UpstreamName { upstream });
    return match == this->openings.end() ? 0 : match->second;
}

std::vector<std::map<std::string, std::string>> PoolSimulation::loggedEvents(const std::string& event) const
{
    std::vector<std::map<std::string, std::string>> found;
    for (const auto& line : this->logDecisions) {
        if (line.event == event)
            found.emplace_back(line.fields.begin(), line.fields.end());
    }
    return found;
}

void PoolSimulation::forEachEngine(const std::function<void(SessionEngine&)>& visitor)
{
    visitor(this->engine);
    if (this->entryEngine)
        visitor(*this->entryEngine);
}

void PoolSimulation::performActions()
{
    bool more = true;
    while (more) {
        more = this->performActionsOf(this->engine);
        more = (this->entryEngine && this->performActionsOf(*this->entryEngine)) || more;
    }
}

bool PoolSimulation::performActionsOf(SessionEngine& from)
{
    const auto actions = from.takeActions();
    for (const auto& action : actions) {
        const bool toUpstream
            = std::holds_alternative<OpenConnection>(action) || std::holds_alternative<SendStatement>(action);
        if (this->holdUpstreamActions && toUpstream)
            this->heldActions.emplace_back(action, &from);
        else
            this->performAction(action, from);
    }
    return !actions.empty();
}

void PoolSimulation::deliverHeldActions()
{
    for (auto actions = std::exchange(this->heldActions, {}); !actions.empty(); actions.pop_front())
        this->performAction(actions.front().first, *actions.front().second);
    this->performActions();
}

void PoolSimulation::forwardStatement(const ForwardStatement& action)
{
    this->forwarded.push_back(action.work);
    const auto failure = this->failForwarding ? this->failForwarding(action) : std::nullopt;
    if (failure == ForwardFailure::NotAccepted)
        return this->entryEngine->forwardingFailed(
            action.caller, action.work.remoteSession, *failure, this->now);
    this->pendingForwards[action.work.remoteSession] = { .caller = action.caller,
        .until = this->now + action.timeLimit,
        .replyLost = failure == ForwardFailure::Lost };
    if (this->ownerUnreachable) {
        this->undelivered.push_back(action.work);
        return;
    }
    this->engine.forwardedStatementReceived(action.work, this->now);
}

void PoolSimulation::restoreOwnerLink()
{
    this->ownerUnreachable = false;
    // Statements that the forwarding VM has given up are lost with the old link.
    for (const auto& work : std::exchange(this->undelivered, {})) {
        if (this->pendingForwards.contains(work.remoteSession))
            this->engine.forwardedStatementReceived(work, this->now);
    }
    this->performActions();
}

void PoolSimulation::replyToRemoteSession(const AnswerRemoteSession& action)
{
    const auto match = this->pendingForwards.find(action.remoteSession);
    if (match == this->pendingForwards.end())
        return;
    const auto waiting = match->second;
    this->pendingForwards.erase(match);
    if (waiting.replyLost)
        this->entryEngine->forwardingFailed(
            waiting.caller, action.remoteSession, ForwardFailure::Lost, this->now);
    else
        this->entryEngine->forwardedStatementAnswered(
            waiting.caller, action.remoteSession, action.reply, this->now);
}

void PoolSimulation::expirePendingForwards()
{
    std::vector<CallerId> overdue;
    for (const auto& [remoteSession, waiting] : this->pendingForwards) {
        if (this->now >= waiting.until)
            overdue.push_back(remoteSession);
    }
    for (const auto remoteSession : overdue) {
        const auto waiting = this->pendingForwards.at(remoteSession);
        this->pendingForwards.erase(remoteSession);
        this->entryEngine->forwardingFailed(waiting.caller, remoteSession, ForwardFailure::Lost, this->now);
    }
    this->performActions();
}

void PoolSimulation::performAction(const EngineAction& action, SessionEngine& from)
{
    if (const auto* open = std::get_if<OpenConnection>(&action))
        return this->open(*open, from);
    if (const auto* send = std::get_if<SendStatement>(&action))
        return this->send(*send, from);
    if (const auto* work = std::get_if<ForwardStatement>(&action))
        return this->forwardStatement(*work);
    if (const auto* answered = std::get_if<AnswerRemoteSession>(&action))
        return this->replyToRemoteSession(*answered);
    if (const auto* asked = std::get_if<CheckOwnerLiveness>(&action)) {
        ++this->livenessChecks;
        this->entryEngine->ownerLivenessChecked(asked->owner, !this->ownerUnreachable, this->now);
        return;
    }
    if (const auto* gone = std::get_if<ReleaseRemoteSession>(&action)) {
        this->releasedRemoteSessions.push_back(gone->remoteSession);
        this->engine.remoteSessionReleased(gone->remoteSession, this->now);
    }
    if (const auto* close = std::get_if<CloseConnection>(&action))
        this->connections.erase({ &from, close->connection });
    if (const auto* answered = std::get_if<AnswerCaller>(&action))
        this->pendingReplies[answered->caller].push_back(answered->reply);
    if (const auto* ended = std::get_if<CloseCaller>(&action))
        this->closedCallers[ended->caller] = ended->failure;
    if (const auto* line = std::get_if<LogEvent>(&action))
        this->logDecisions.push_back(*line);
    if (const auto* tokens = std::get_if<RequestTokens>(&action))
        this->tokenRequests.push_back(*tokens);
}

void PoolSimulation::open(const OpenConnection& action, SessionEngine& from)
{
    const auto& upstream = this->upstreams.at(action.upstream.name);
    ++this->openings[action.upstream.name];
    if (!upstream.reachable)
        return;
    this->connections[{ &from, action.connection }]
        = { .upstream = action.upstream.name, .team = action.team };
    from.connectionOpened(action.connection,
        Progress { .term = Term { upstream.term }, .position = LogPosition { upstream.logPosition } },
        this->now);
}

void PoolSimulation::send(const SendStatement& action, SessionEngine& from)
{
    const auto match = this->connections.find({ &from, action.connection });
    if (match == this->connections.end() || !this->upstreams.at(match->second.upstream).reachable)
        return;
    auto& connection = match->second;
    std::optional<Reply> reply;
    if (this->interceptStatement)
        reply = this->interceptStatement(connection, action.statement);
    if (!reply)
        reply = this->runOnConnection(connection, action.statement);
    if (this->shouldLoseReply && this->shouldLoseReply(action.statement)) {
        this->connections.erase(match);
        from.connectionLost(action.connection, this->now);
        return;
    }
    from.upstreamReplied(action.connection, *std::move(reply), this->now);
}

Reply PoolSimulation::replyFrom(const ModelConnection& connection) const
{
    const auto& upstream = this->upstreams.at(connection.upstream);
    Reply reply { .proof = "proof" };
    reply.phase = connection.inTransaction ? SessionPhase::InTransaction : SessionPhase::Idle;
    reply.progress
        = Progress { .term = Term { upstream.term }, .position = LogPosition { upstream.logPosition } };
    return reply;
}

Reply PoolSimulation::refusalFrom(const ModelConnection& connection, StatementError error) const
{
    auto reply = this->replyFrom(connection);
    reply.failure = StatementFailure { .error = error, .text = "refused" };
    return reply;
}

bool PoolSimulation::isBehind(const ModelUpstream& upstream, const std::optional<Progress>& after) const
{
    return after
        && Progress { .term = Term { upstream.term }, .position = LogPosition { upstream.logPosition } }
        < *after;
}

Reply PoolSimulation::runOnConnection(ModelConnection& connection, const UpstreamStatement& statement)
{
    const auto& upstream = this->upstreams.at(connection.upstream);
    if (std::holds_alternative<ResetConnection>(statement)) {
        connection.values.clear();
        connection.prepared.clear();
    } else if (const auto* value = std::get_if<ApplyValue>(&statement)) {
        connection.values[value->name] = value->value;
    } else if (const auto* prepared = std::get_if<ApplyPrepared>(&statement)) {
        connection.prepared[prepared->name] = prepared->shape;
    } else if (const auto* open = std::get_if<OpenTransaction>(&statement)) {
        CHECK_FALSE(connection.inTransaction);
        if (!open->readOnly && !upstream.primary)
            return this->refusalFrom(connection, StatementError::ReadOnly);
        if (this->isBehind(upstream, open->after))
            return this->refusalFrom(connection, StatementError::Lagging);
        connection.inTransaction = true;
        connection.readOnly = open->readOnly;
        connection.term = upstream.term;
        connection.after = open->after;
    } else if (std::holds_alternative<DropTransaction>(statement)) {
        connection.inTransaction = false;
        connection.uncommittedWrites.clear();
        connection.callersInTransaction.clear();
    } else {
        return this->runCallerStatement(connection, std::get<RelayStatement>(statement));
    }
    return this->replyFrom(connection);
}

Reply PoolSimulation::runCallerStatement(ModelConnection& connection, const RelayStatement& statement)
{
    auto& upstream = this->upstreams.at(connection.upstream);
    const bool isCommit = statement.text == "COMMIT";
    const bool writes = !isCommit && isWrite(connection, statement);
    if (writes && !upstream.primary)
        return this->refusalFrom(connection, StatementError::ReadOnly);
    const bool hasLostLeadership = !upstream.primary || upstream.term != connection.term;
    const bool isReadWrite = connection.inTransaction && !connection.readOnly;
    const bool hasNoWrites = isCommit && connection.uncommittedWrites.empty();
    if (isReadWrite && hasLostLeadership && !hasNoWrites) {
        auto reply = this->refusalFrom(connection, StatementError::ReadOnly);
        reply.phase = SessionPhase::FailedTransaction;
        return reply;
    }
    if (this->isBehind(upstream, statement.after))
        return this->refusalFrom(connection, StatementError::Lagging);
    ExecutedStatement run { .id = statement.id,
        .text = statement.text,
        .upstream = connection.upstream,
        .team = connection.team,
        .values = connection.values,
        .after = statement.after,
        .term = upstream.term,
        .atPrimary = upstream.primary,
        .service = upstream.entry.service,
        .logPosition = upstream.logPosition,
        .dependsOnView = !(connection.inTransaction ? connection.after : statement.after) };
    if (statement.execute)
        run.shape = connection.prepared.at(statement.execute->name);
    this->executedStatements.push_back(std::move(run));
    if (writes)
        connection.uncommittedWrites.push_back(statement.id);
    // The part of the id before the slash names the caller.
    if (connection.inTransaction)
        connection.callersInTransaction.insert(statement.id.substr(0, statement.id.find('/')));
    CHECK(connection.callersInTransaction.size() <= 1);
    if (isCommit || !connection.inTransaction) {
        for (const auto& id : connection.uncommittedWrites)
            this->committedWrites.insert(id);
        upstream.logPosition += connection.uncommittedWrites.empty() ? 0 : 1;
        connection.uncommittedWrites.clear();
        connection.callersInTransaction.clear();
        connection.inTransaction = false;
    }
    auto reply = this->replyFrom(connection);
    reply.rows = { "row of " + statement.id };
    return reply;
}

} // namespace cyclamendrift
