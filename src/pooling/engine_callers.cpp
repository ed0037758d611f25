#include "engine_state.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr auto ownProof = "-";

Reply ownReply() { return { .proof = ownProof }; }

/// Team name of callers without a key, on routes that need none.
const TeamName& publicTeam()
{
    static const TeamName team { "-" };
    return team;
}

} // namespace

Reply failureReply(StatementError error, std::string text)
{
    return { .failure = StatementFailure { .error = error, .text = std::move(text) } };
}

SessionPhase phaseAfterFailure(StatementKind kind) noexcept
{
    return kind == StatementKind::Commit ? SessionPhase::Idle : SessionPhase::FailedTransaction;
}

std::string adviceText(std::string_view reason, Duration retryAfter)
{
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(retryAfter).count();
    return std::string { reason } + ", retry after " + std::to_string(count) + " ms";
}

void SessionEngine::State::startSession(CallerId id, const SessionStart& start)
{
    auto& session = this->callers[static_cast<std::uint64_t>(id)];
    session.id = id;
    session.lastActive = this->now;
    if (auto text = this->refusalByConfiguration()) {
        this->closeSession(id, StatementFailure { StatementError::Busy, *std::move(text) });
        return;
    }
    const auto* route = this->routes->findRoute(start.database);
    if (route == nullptr) {
        this->closeSession(
            id, StatementFailure { StatementError::UnknownDatabase, "there is no such database" });
        return;
    }
    const auto* team = this->routes->findTeam(start.key);
    if (team == nullptr && !route->isPublic) {
        this->closeSession(id, StatementFailure { StatementError::UnknownKey, "the key is not known" });
        return;
    }
    session.started = true;
    session.database = start.database;
    session.key = start.key;
    session.team = team == nullptr ? publicTeam() : *team;
    session.route = *route;
    this->actions.emplace_back(AcceptCaller { id });
}

void SessionEngine::State::receiveStatement(CallerId id, CallerQuery query)
{
    auto* session = this->findCaller(id);
    if (session == nullptr)
        return;
    session->lastActive = this->now;
    if (!session->started || session->pipelined.size() >= this->options.settings.maxPipelinedStatements) {
        this->closeSession(id,
            StatementFailure { StatementError::Malformed,
                session->started ? "too many statements ahead of their answers"
                                 : "the session was not started" });
        return;
    }
    session->pipelined.push_back(std::move(query));
    this->runNextStatement(*session);
}

void SessionEngine::State::runNextStatement(CallerSession& session)
{
    // Answering may end the session, so it is looked up again each time.
    const auto id = session.id;
    for (auto* current = &session; current != nullptr; current = this->findCaller(id)) {
        if (current->work || current->unconfirmed || current->waiting || current->pipelined.empty())
            return;
        auto query = std::move(current->pipelined.front());
        current->pipelined.pop_front();
        this->runStatement(*current, std::move(query));
    }
}

void SessionEngine::State::runStatement(CallerSession& session, CallerQuery query)
{
    session.statementId = query.id;
    const bool ends = std::holds_alternative<CommitTransaction>(query.statement)
        || std::holds_alternative<RollbackTransaction>(query.statement);
    if (session.phase == SessionPhase::FailedTransaction) {
        const bool unreported = std::exchange(session.abortUnreported, false);
        if (ends) {
            session.phase = SessionPhase::Idle;
            const bool commit = std::holds_alternative<CommitTransaction>(query.statement);
            this->answer(session,
                commit ? failureReply(StatementError::Aborted, "the transaction had failed") : ownReply());
        } else if (unreported) {
            this->answer(session, failureReply(StatementError::Aborted, "the transaction was dropped"));
        } else {
            this->answer(session, failureReply(StatementError::Malformed, "the transaction has failed"));
        }
        return;
    }
    if (ends && session.phase == SessionPhase::Idle)
        return this->answer(session, failureReply(StatementError::Malformed, "there is no open transaction"));
    if (std::holds_alternative<RollbackTransaction>(query.statement))
        return this->rollback(session);
    if (std::holds_alternative<CommitTransaction>(query.statement)) {
        session.arrivedAt = this->now;
        return this->runOnUpstream(session, std::move(query), StatementKind::Commit);
    }
    const bool begins = std::holds_alternative<BeginTransaction>(query.statement);
    const auto* execute = std::get_if<ExecutePrepared>(&query.statement);
    const bool needsUpstream = std::holds_alternative<ReadItem>(query.statement)
        || std::holds_alternative<WriteItem>(query.statement) || execute != nullptr;
    if (begins && session.phase != SessionPhase::Idle)
        return this->answer(session, failureReply(StatementError::Malformed, "a transaction is open"));
    if (execute != nullptr && !session.state.prepared.contains(execute->name))
        return this->answer(
            session, failureReply(StatementError::UnknownStatement, "no statement has that name"));
    if (begins || (needsUpstream && session.phase == SessionPhase::Idle))
        return this->startOperation(session, std::move(query));
    if (needsUpstream) {
        session.arrivedAt = this->now;
        return this->runOperation(session, std::move(query));
    }
    if (auto* value = std::get_if<SetSessionValue>(&query.statement)) {
        session.state.values[value->name] = std::move(value->value);
        return this->answer(session, ownReply());
    }
    if (auto* prepare = std::get_if<PrepareStatement>(&query.statement)) {
        session.state.prepared[prepare->name] = std::move(prepare->shape);
        return this->answer(session, ownReply());
    }
    if (const auto* deallocate = std::get_if<DeallocateStatement>(&query.statement)) {
        const bool known = session.state.prepared.erase(deallocate->name) > 0;
        return this->answer(session,
            known ? ownReply()
                  : failureReply(StatementError::UnknownStatement, "no statement has that name"));
    }
    this->answer(session, failureReply(StatementError::Malformed, "the statement cannot be read"));
}

std::optional<std::string> SessionEngine::State::refusalByConfiguration()
{
    const auto retryAfter = this->options.settings.outdatedRetryAfter;
    if (this->configurationOutdated)
        return adviceText("this VM lacks a later configuration", retryAfter);
    this->checkConfigurationValidity();
    if (!this->configurationExpired)
        return std::nullopt;
    ++this->counters.refusedUnconfirmed;
    return adviceText("nobody has confirmed this VM's configuration", retryAfter);
}

void SessionEngine::State::checkConfigurationValidity()
{
    const bool expired = this->now >= this->configurationValidUntil;
    if (expired == this->configurationExpired)
        return;
    this->configurationExpired = expired;
    // A VM that starts has not been confirmed yet, which is no event.
    if (this->configurationValidUntil == Instant::min())
        return;
    this->log(expired ? "configuration_unconfirmed" : "configuration_valid",
        { { "version", std::to_string(this->routes->version) } });
}

bool SessionEngine::State::checkPermission(CallerSession& session)
{
    if (auto text = this->refusalByConfiguration()) {
        this->refuse(session, StatementError::Busy, *std::move(text));
        return false;
    }
    const auto* route = this->routes->findRoute(session.database);
    if (route == nullptr) {
        this->refuse(session, StatementError::UnknownDatabase, "there is no such database any more");
        return false;
    }
    const auto* team = this->routes->findTeam(session.key);
    if (!route->isPublic && (team == nullptr || *team != session.team)) {
        this->refuse(session, StatementError::UnknownKey, "the key was withdrawn");
        return false;
    }
    session.route = *route;
    const auto* ownWritesRoute = std::get_if<ReadOwnWritesRoute>(&route->freshness);
    // Until every read covers it, a write without known progress is certain to be visible only at the
    // primary.
    if (ownWritesRoute != nullptr
        && session.ownWrites.mayLack(route->service, this->now - ownWritesRoute->maxStaleness))
        session.route.freshness = PrimaryRoute {};
    return true;
}

void SessionEngine::State::startOperation(CallerSession& session, CallerQuery query)
{
    session.arrivedAt = this->now;
    if (!this->checkPermission(session))
        return;
    ++this->demand[session.team];
    if (!this->routes->limits.contains(session.team))
        return this->runOperation(session, std::move(query));
    auto& budget = this->budgets[session.team];
    if (this->options.settings.urgentFirst)
        return this->queueByPriority(session, budget, std::move(query));
    if (budget.waiting.empty() && budget.share.tryAcquire(this->now)) {
        session.tokenSpent = true;
        this->countAdmission(session);
        return this->runOperation(session, std::move(query));
    }
    this->queueForToken(session, budget, std::move(query));
}

void SessionEngine::State::queueForToken(CallerSession& session, Budget& budget, CallerQuery query)
{
    const auto maxWait = session.route.targetLatency / this->options.settings.admissionWaitDivisor;
    const auto position = this->queuePosition(budget, session.route.priority);
    const auto ahead = std::distance(budget.waiting.begin(), position);
    // While a token request backs off, siblings have no tokens either. What this VM's own share cannot admit
    // in time is refused at once.
    const auto ownWait = budget.share.timeToNext(this->now) * static_cast<int>(ahead + 1);
    const bool siblingsHaveNone = !budget.requestingTokens && this->now < budget.nextTokenRequestAt;
    if (siblingsHaveNone && ownWait > maxWait) {
        this->refuseOverRate(session, ownWait);
        return;
    }
    session.waiting = std::make_unique<WaitingOperation>(
        WaitingOperation { .query = std::move(query), .until = this->now + maxWait });
    budget.waiting.insert(position, session.id);
    this->admitWaiting(session.team, budget);
}

std::deque<CallerId>::iterator SessionEngine::State::queuePosition(Budget& budget, std::uint32_t priority)
{
    // Most operations of a team that asks for several times its rate are refused. In order of arrival, the
    // ones that can wait longest would be admitted, and the urgent ones, which can wait least, refused first.
    return std::find_if(budget.waiting.begin(), budget.waiting.end(), [this, priority](CallerId id) {
        const auto* other = this->findCaller(id);
        return other != nullptr && other->route.priority > priority;
    });
}

void SessionEngine::State::admitWaiting(const TeamName& team, Budget& budget)
{
    while (!budget.waiting.empty()) {
        auto* session = this->findCaller(budget.waiting.front());
        if (session == nullptr || !session->waiting) {
            budget.waiting.pop_front();
            continue;
        }
        if (!budget.share.tryAcquire(this->now))
            break;
        budget.waiting.pop_front();
        auto query = std::move(session->waiting->query);
        session->waiting.reset();
        session->tokenSpent = true;
        this->countAdmission(*session);
        this->runOperation(*session, std::move(query));
    }
    this->refuseOverdueOperations(budget);
    if (budget.waiting.empty() || budget.requestingTokens || this->now < budget.nextTokenRequestAt)
        return;
    budget.requestingTokens = true;
    // One spare token saves the next caller the round trip. A VM without a share of its own asks for no more
    // than it needs: if each of 70 VMs kept a spare token, a team could exceed its limit by far at once.
    const std::size_t spare = budget.share.rate() > 0 ? 1 : 0;
    const auto wanted = static_cast<std::uint32_t>(budget.waiting.size() + spare);
    this->actions.emplace_back(RequestTokens { .team = team, .wanted = wanted });
}

void SessionEngine::State::refuseOverdueOperations(Budget& budget)
{
    std::vector<CallerId> overdue;
    for (const auto id : budget.waiting) {
        const auto* session = this->findCaller(id);
        if (session == nullptr || !session->waiting || this->now >= session->waiting->until)
            overdue.push_back(id);
    }
    for (const auto id : overdue) {
        std::erase(budget.waiting, id);
        auto* session = this->findCaller(id);
        if (session == nullptr || !session->waiting)
            continue;
        session->waiting.reset();
        this->refuseOverRate(*session, budget.share.timeToNext(this->now));
    }
}

void SessionEngine::State::countAdmission(const CallerSession& session)
{
    ++this->counters.admissions.at(clampPriority(session.route.priority)).admitted;
}

void SessionEngine::State::refuseOverRate(CallerSession& session, Duration retryAfter)
{
    ++this->counters.admissions.at(clampPriority(session.route.priority)).overRate;
    this->refuse(session, StatementError::Busy, adviceText("the team is over its rate", retryAfter));
}

void SessionEngine::State::runOperation(CallerSession& session, CallerQuery query)
{
    if (const auto* wanted = std::get_if<BeginTransaction>(&query.statement))
        return this->begin(session, *wanted);
    const auto* execute = std::get_if<ExecutePrepared>(&query.statement);
    const bool writes = execute != nullptr ? session.state.prepared.at(execute->name).writes
                                           : std::holds_alternative<WriteItem>(query.statement);
    this->runOnUpstream(session, std::move(query), writes ? StatementKind::Write : StatementKind::Read);
}

void SessionEngine::State::begin(CallerSession& session, const BeginTransaction& wanted)
{
    // The transaction is opened on an upstream with its first statement. Until then the caller may be idle,
    // and a connection would be held for nothing.
    session.phase = SessionPhase::InTransaction;
    session.transactionReadOnly = wanted.readOnly;
    session.transactionWrote = false;
    this->answer(session, ownReply());
}

void SessionEngine::State::rollback(CallerSession& session)
{
    this->endTransaction(session);
    session.phase = SessionPhase::Idle;
    this->answer(session, ownReply());
}

void SessionEngine::State::runOnUpstream(CallerSession& session, CallerQuery query, StatementKind kind)
{
    const bool inTransaction = session.phase == SessionPhase::InTransaction;
    const bool primaryRoute = std::holds_alternative<PrimaryRoute>(session.route.freshness);
    const bool plainTransaction = inTransaction && !session.transactionReadOnly;
    Work work { .query = std::move(query),
        .kind = kind,
        .needsPrimary = primaryRoute || plainTransaction || kind == StatementKind::Write,
        .opensTransaction = inTransaction && !session.pinned && !session.owner,
        .arrivedAt = session.arrivedAt,
        .dispatchDeadline
        = session.arrivedAt + std::min(session.route.targetLatency, session.route.statementTimeout),
        .deadline = session.arrivedAt + session.route.statementTimeout };
    if (const auto* execute = std::get_if<ExecutePrepared>(&work.query.statement))
        work.shape = session.state.prepared.at(execute->name);
    session.work = std::make_unique<Work>(std::move(work));
    if (session.pinned)
        this->runPinned(session);
    else
        this->dispatch(session);
}

void SessionEngine::State::endTransaction(CallerSession& session)
{
    this->releaseRemoteSession(session);
    if (!session.pinned)
        return;
    auto* connection = this->findConnection(*session.pinned);
    session.pinned.reset();
    if (connection == nullptr)
        return;
    connection->user.reset();
    connection->steps.clear();
    connection->steps.push_back({ .kind = StepKind::Drop, .statement = DropTransaction {} });
    if (connection->sent.empty())
        this->sendNext(*connection);
}

void SessionEngine::State::abortTransaction(CallerSession& session, const char* reason)
{
    if (session.remoteSession)
        return this->endRemoteSession(session, reason);
    this->endTransaction(session);
    session.phase = SessionPhase::FailedTransaction;
    session.abortUnreported = true;
    this->log("transaction_aborted",
        { { "id", session.statementId }, { "database", session.database }, { "reason", reason } });
}

void SessionEngine::State::refuse(CallerSession& session, StatementError error, std::string text)
{
    ++this->counters.refused;
    ++this->counters.admissions.at(clampPriority(session.route.priority)).refused;
    this->refundToken(session);
    if (session.work) {
        this->log("refused",
            { { "id", session.work->query.id }, { "service", session.route.service.string() },
                { "reason", text }, { "attempts", std::to_string(session.work->attempts) },
                { "waited_ms", millisecondsText(this->now - session.work->arrivedAt) } });
    } else {
        this->log("refused",
            { { "id", session.statementId }, { "team", session.team.string() },
                { "database", session.database }, { "reason", text } });
    }
    if (session.phase == SessionPhase::InTransaction) {
        this->endTransaction(session);
        session.phase = SessionPhase::FailedTransaction;
    }
    this->answer(session, failureReply(error, std::move(text)));
}

void SessionEngine::State::refundToken(CallerSession& session)
{
    // An operation that no upstream has run does not count against the limit; otherwise a caller that retries
    // would be charged twice.
    if (!std::exchange(session.tokenSpent, false))
        return;
    auto& budget = this->budgets[session.team];
    budget.share.receive(1, this->now);
    if (this->options.settings.urgentFirst)
        this->setTokensDue(session.team, budget, this->now);
}

void SessionEngine::State::recordOwnWrite(
    CallerSession& session, const std::optional<Progress>& progress, Instant sentAt)
{
    const auto& service = session.route.service;
    if (progress)
        session.ownWrites.record(service, { .progress = *progress, .seenAt = sentAt }, this->now);
    else
        session.ownWrites.recordUnknown(service, this->now);
}

void SessionEngine::State::answer(CallerSession& session, Reply reply)
{
    if (session.remoteSession)
        return this->answerRemoteSession(session, std::move(reply));
    this->finishWork(session);
    session.waiting.reset();
    reply.phase = session.phase;
    ++this->counters.answered;
    this->actions.emplace_back(AnswerCaller { .caller = session.id, .reply = std::move(reply) });
    if (!this->closeIfDraining(session))
        this->runNextStatement(session);
}

void SessionEngine::State::finishWork(CallerSession& session)
{
    this->stopWaiting(session);
    session.work.reset();
    session.unconfirmed.reset();
    session.lastActive = this->now;
}

bool SessionEngine::State::closeIfDraining(CallerSession& session)
{
    if (this->now < this->closeIdleFrom || !session.isIdle())
        return false;
    // A caller that has just connected is about to start its session and would take the close for a failure.
    if (!session.started && this->now < session.lastActive + this->options.settings.sessionStartTimeout)
        return false;
    this->closeSession(session.id, std::nullopt);
    return true;
}

void SessionEngine::State::closeSession(CallerId id, std::optional<StatementFailure> failure)
{
    this->actions.emplace_back(CloseCaller { .caller = id, .failure = std::move(failure) });
    this->removeSession(id);
}

void SessionEngine::State::removeSession(CallerId id)
{
    auto* session = this->findCaller(id);
    if (session == nullptr)
        return;
    this->releaseRemoteSession(*session);
    const auto connectionId = session->pinned ? session->pinned
        : session->work                       ? session->work->connection
                                              : std::optional<ConnectionId> {};
    if (auto* connection = connectionId ? this->findConnection(*connectionId) : nullptr) {
        connection->user.reset();
        // A running statement is not interrupted, as that would cost the upstream just as much. Its
        // transaction is rolled back afterwards.
        connection->steps.clear();
        if (connection->inTransaction)
            connection->steps.push_back({ .kind = StepKind::Drop, .statement = DropTransaction {} });
        if (connection->sent.empty() && connection->phase == PooledConnection::Phase::Working)
            this->sendNext(*connection);
    }
    this->stopWaiting(*session);
    if (session->waiting && this->options.settings.urgentFirst)
        this->budgets[session->team].queue.remove({ .number = static_cast<std::uint64_t>(id) });
    this->callers.erase(static_cast<std::uint64_t>(id));
}

} // namespace cyclamendrift
