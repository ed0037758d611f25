#include "engine_state.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

Duration exponentialBackoff(Duration first, int times, Duration maximum)
{
    return std::min(first * (1 << std::min(times, 10)), maximum);
}

} // namespace

void SessionEngine::State::opened(ConnectionId id, std::optional<Progress> progress)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    Reply greeting;
    greeting.progress = progress;
    this->recordAnswer(*connection, greeting);
    this->upstreamOf(*connection).fullCount = 0;
    auto* session = connection->user ? this->findCaller(*connection->user) : nullptr;
    if (session == nullptr) {
        this->release(*connection);
        return;
    }
    connection->phase = PooledConnection::Phase::Working;
    this->runOn(*connection, *session);
}

void SessionEngine::State::refusedToOpen(ConnectionId id, StatementError error)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& upstream = this->upstreamOf(*connection);
    upstream.lastAnswer = this->now;
    upstream.failingSince.reset();
    if (error == StatementError::TooManyConnections)
        this->recordFullUpstream(upstream);
    if (error == StatementError::Busy)
        this->recordSaturation(upstream);
    if (error == StatementError::WrongInstance)
        this->recordConnectFailure(upstream);
    auto* session = connection->user ? this->findCaller(*connection->user) : nullptr;
    const auto name = connection->upstream;
    this->erase(id);
    if (session != nullptr)
        this->retry(*session, name, this->options.settings.connectionLimitBackoff, error);
}

void SessionEngine::State::lost(ConnectionId id)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& upstream = this->upstreamOf(*connection);
    // The loss of an established connection says little about the upstream: the network may have cut it, and
    // a new connection may work at once. A connection that could not be opened says more.
    if (connection->phase == PooledConnection::Phase::Opening)
        this->recordConnectFailure(upstream);
    else if (connection->phase == PooledConnection::Phase::Working && !upstream.failingSince)
        upstream.failingSince = this->now;
    const auto name = connection->upstream;
    const auto user = connection->user;
    const auto step = connection->sent.empty() ? StepKind::Setup : connection->sent.front();
    this->erase(id);
    auto* session = user ? this->findCaller(*user) : nullptr;
    if (session == nullptr)
        return;
    if (session->pinned == id) {
        session->pinned.reset();
        if (!session->work) {
            this->abortTransaction(*session, "the upstream's connection was lost");
            return;
        }
    }
    if (!session->work)
        return;
    session->work->connection.reset();
    if (session->phase == SessionPhase::InTransaction && !session->work->opensTransaction
        && step != StepKind::Main) {
        // The statement itself was not sent, but its transaction is lost with the connection.
        this->log("transaction_lost", { { "id", session->work->query.id }, { "upstream", name.string() } });
        this->dropTransaction(*session, "the transaction's connection was lost");
        return;
    }
    if (step == StepKind::Main)
        this->handleLostAnswer(*session, step, "the connection was lost");
    else
        this->retry(*session, name, this->options.settings.reconnectBackoff, StatementError::Busy);
}

void SessionEngine::State::handleLostAnswer(CallerSession& session, StepKind step, const char* reason)
{
    const auto& work = *session.work;
    session.tokenSpent = false;
    this->log("answer_lost",
        { { "id", work.query.id }, { "service", session.route.service.string() }, { "reason", reason },
            { "sent", step == StepKind::Main ? "yes" : "no" } });
    const bool inTransaction = session.phase == SessionPhase::InTransaction;
    const bool mayHaveWritten = work.kind == StatementKind::Write || session.transactionWrote;
    if (work.kind == StatementKind::Commit) {
        session.phase = SessionPhase::Idle;
        // The transaction wrote nothing, so the outcome of the commit does not matter.
        if (!mayHaveWritten)
            return this->answer(session, failureReply(StatementError::Aborted, reason));
        ++this->counters.inDoubt;
        return this->answer(
            session, failureReply(StatementError::InDoubt, "the commit may have taken effect"));
    }
    if (inTransaction) {
        this->releaseRemoteSession(session);
        session.phase = SessionPhase::FailedTransaction;
        return this->answer(session, failureReply(StatementError::Aborted, reason));
    }
    if (work.kind == StatementKind::Write) {
        ++this->counters.inDoubt;
        return this->answer(
            session, failureReply(StatementError::InDoubt, "the write may have taken effect"));
    }
    // A read has no side effects and can be run again.
    if (this->now < work.deadline && work.attempts < this->options.settings.attempts)
        return this->retry(session, UpstreamName {}, Duration {}, StatementError::Busy);
    this->refuse(
        session, StatementError::Busy, adviceText(reason, this->options.settings.overloadRetryAfter));
}

void SessionEngine::State::retry(
    CallerSession& session, const UpstreamName& skipped, Duration pause, StatementError reason)
{
    auto& work = *session.work;
    work.connection.reset();
    // An upstream that had no connection left has not seen the statement. That is no failed attempt; the
    // statement waits as if this VM had no connection for it.
    if (reason != StatementError::TooManyConnections)
        ++work.attempts;
    ++this->counters.retried;
    if (!skipped.empty())
        work.skipped.add(skipped, this->now + pause);
    if (work.attempts >= this->options.settings.attempts || this->now >= work.deadline) {
        this->log("given_up",
            { { "id", work.query.id }, { "upstream", skipped.string() },
                { "error", std::to_string(static_cast<int>(reason)) } });
        this->refuse(session, StatementError::Busy,
            adviceText("no upstream could run the statement", this->drainAdvice(session)));
        return;
    }
    this->dispatch(session);
}

void SessionEngine::State::sendNext(PooledConnection& connection)
{
    if (!connection.sent.empty())
        return;
    if (connection.steps.empty()) {
        if (!connection.inTransaction)
            this->release(connection);
        return;
    }
    if (this->isEvacuated(this->upstreamOf(connection))) {
        // Closing the connection rolls the transaction back without a further statement.
        if (connection.steps.front().kind == StepKind::Drop)
            return this->close(connection);
        if (auto* user = connection.user ? this->findCaller(*connection.user) : nullptr) {
            if (!user->pinned)
                return this->requeueElsewhere(connection, *user);
            if (this->hasEvacuationGraceEnded(connection))
                return this->dropTransaction(*user, "the upstream's availability zone is evacuated");
        }
    }
    connection.sentAt = this->now;
    connection.answerBy = this->now + this->options.settings.setupTimeout;
    // All setup steps are sent at once; the statements after them wait for their success.
    while (!connection.steps.empty() && connection.steps.front().kind == StepKind::Setup)
        this->sendStep(connection);
    auto* session = connection.user ? this->findCaller(*connection.user) : nullptr;
    // Opening a transaction changes nothing, so it is sent without waiting for the setup, which saves a round
    // trip per transaction. If the setup fails, the connection is closed and the transaction with it.
    const bool opens = !connection.steps.empty() && connection.steps.front().kind == StepKind::Open;
    const bool mayJoin = opens && session != nullptr && this->mayStillSend(connection, *session);
    if (!connection.sent.empty() && !mayJoin)
        return;
    const bool drops = connection.steps.front().kind == StepKind::Drop;
    if (session != nullptr && !drops && !this->readyToSend(connection, *session))
        return;
    this->sendStep(connection);
}

void SessionEngine::State::sendStep(PooledConnection& connection)
{
    auto step = std::move(connection.steps.front());
    connection.steps.pop_front();
    connection.sent.push_back(step.kind);
    this->reindex(connection);
    this->actions.emplace_back(
        SendStatement { .connection = connection.id, .statement = std::move(step.statement) });
}

bool SessionEngine::State::readyToSend(PooledConnection& connection, CallerSession& session)
{
    // The view of the primary may have expired while the connection was opened and set up.
    if (!this->mayStillSend(connection, session)) {
        if (session.pinned)
            this->dropTransaction(session, "the primary no longer leads");
        else
            this->requeueElsewhere(connection, session);
        return false;
    }
    auto& step = connection.steps.front();
    auto& group = this->group(connection.service);
    const bool leads = group.isLedBy(connection.upstream, this->now);
    const bool covered = leads || session.pinned;
    const auto requirement
        = covered ? std::optional<ReplicaRequirement> {} : this->replicaRequirement(group, session);
    const auto position = requirement ? std::optional { requirement->progress } : std::nullopt;
    if (!session.pinned)
        connection.viewTerm = leads ? std::optional { group.view.term } : std::nullopt;
    if (auto* open = std::get_if<OpenTransaction>(&step.statement))
        open->after = position;
    if (auto* pass = std::get_if<RelayStatement>(&step.statement))
        pass->after = position;
    connection.answerBy = std::max(session.work->deadline, this->now);
    return true;
}

void SessionEngine::State::dropTransaction(CallerSession& session, const char* reason)
{
    session.phase = phaseAfterFailure(session.work->kind);
    this->endTransaction(session);
    this->answer(session, failureReply(StatementError::Aborted, reason));
}

void SessionEngine::State::requeueElsewhere(PooledConnection& connection, CallerSession& session)
{
    const auto name = connection.upstream;
    connection.steps.clear();
    connection.user.reset();
    this->release(connection);
    this->retry(session, name, this->options.settings.busyBackoff, StatementError::Busy);
}

bool SessionEngine::State::mayStillSend(const PooledConnection& connection, const CallerSession& session)
{
    const auto& group = this->group(connection.service);
    // Within an open transaction, an upstream that is no longer the primary refuses writes by itself, and a
    // read sees the state as of the start of the transaction. A newer primary may already have led at that
    // time.
    if (session.pinned && session.work->kind == StatementKind::Read)
        return !connection.viewTerm || *connection.viewTerm >= group.newestTerm;
    if (session.pinned)
        return group.isLedBy(connection.upstream, this->now) || session.transactionReadOnly;
    if (group.isLedBy(connection.upstream, this->now))
        return true;
    return !session.work->needsPrimary && this->replicaRequirement(group, session).has_value();
}

void SessionEngine::State::replied(ConnectionId id, Reply reply)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    if (connection->sent.empty()) {
        this->log("unasked_answer", { { "upstream", connection->upstream.string() } });
        this->actions.emplace_back(CloseConnection { id });
        this->lost(id);
        return;
    }
    this->recordAnswer(*connection, reply);
    const auto kind = connection->sent.front();
    if (kind == StepKind::Setup && reply.failure) {
        // The state of the connection is unknown now, so no statement may run on it.
        this->log("setup_failed",
            { { "upstream", connection->upstream.string() }, { "reason", reply.failure->text } });
        connection->sent.assign(1, StepKind::Setup);
        this->actions.emplace_back(CloseConnection { id });
        this->lost(id);
        return;
    }
    connection->sent.pop_front();
    connection->answeredAt = this->now;
    this->reindex(*connection);
    switch (kind) {
    case StepKind::Setup:
        break;
    case StepKind::Open:
        this->finishOpen(*connection, reply);
        return;
    case StepKind::Drop:
        connection->inTransaction = false;
        if (reply.failure || reply.phase != SessionPhase::Idle) {
            this->close(*connection);
            return;
        }
        break;
    case StepKind::Main:
        this->finishMain(*connection, std::move(reply));
        return;
    }
    this->sendNext(*connection);
}

void SessionEngine::State::finishOpen(PooledConnection& connection, const Reply& reply)
{
    auto* session = connection.user ? this->findCaller(*connection.user) : nullptr;
    if (reply.failure) {
        this->recordNotRun(connection, reply.failure->error);
        const auto name = connection.upstream;
        const auto error = reply.failure->error;
        const bool clean = reply.phase == SessionPhase::Idle;
        connection.steps.clear();
        connection.user.reset();
        if (clean)
            this->release(connection);
        else
            this->close(connection);
        if (session != nullptr)
            this->retry(*session, name, this->options.settings.busyBackoff, error);
        return;
    }
    connection.inTransaction = true;
    const bool laterTerm = connection.isFromLaterTerm(reply);
    if (session == nullptr || laterTerm) {
        connection.user.reset();
        connection.steps.assign(1, { .kind = StepKind::Drop, .statement = DropTransaction {} });
    } else {
        session->tokenSpent = false;
        session->pinned = connection.id;
        session->work->opensTransaction = false;
    }
    this->sendNext(connection);
    // No statement has run in the transaction yet, so it can be opened again elsewhere.
    if (session != nullptr && laterTerm)
        this->retry(*session, UpstreamName {}, Duration {}, StatementError::Busy);
}

void SessionEngine::State::release(PooledConnection& connection)
{
    connection.phase = PooledConnection::Phase::Idle;
    connection.idleSince = this->now;
    connection.user.reset();
    connection.inTransaction = false;
    this->reindex(connection);
    auto& upstream = this->upstreamOf(connection);
    const bool beyondShare = upstream.connections.size() > this->connectionShareOf(upstream);
    const bool mustShrink = beyondShare && this->now < upstream.noBorrowingUntil;
    const auto id = connection.id;
    const auto service = connection.service;
    if (mustShrink || !this->acceptsStatements(upstream))
        this->close(connection);
    else
        this->serveSameTeam(connection);
    this->dispatchWaiting(this->group(service));
    // The statements that come before those of its team may be unable to open a connection now.
    auto* remaining = this->findConnection(id);
    if (remaining != nullptr && remaining->phase == PooledConnection::Phase::Idle)
        this->serveSameTeam(*remaining, TeamAffinity::Unlimited);
}

void SessionEngine::State::close(PooledConnection& connection)
{
    this->actions.emplace_back(CloseConnection { connection.id });
    this->erase(connection.id);
}

void SessionEngine::State::erase(ConnectionId id)
{
    auto* connection = this->findConnection(id);
    auto& group = this->group(connection->service);
    auto& upstream = this->upstreamOf(*connection);
    const auto& indexed = connection->indexed.value_or(ConnectionStatus {});
    upstream.connections.remove(id, connection->team, indexed);
    this->answerDeadlines.erase({ indexed.answerBy, id });
    if (!upstream.listed && upstream.connections.empty())
        group.upstreams.erase(connection->upstream);
    this->connections.erase(static_cast<std::uint64_t>(id));
}

void SessionEngine::State::reindex(PooledConnection& connection)
{
    const auto status = connection.status();
    if (connection.indexed == status)
        return;
    auto& index = this->upstreamOf(connection).connections;
    if (connection.indexed) {
        index.update(connection.id, connection.team, *connection.indexed, status);
        this->answerDeadlines.erase({ connection.indexed->answerBy, connection.id });
    } else {
        index.add(connection.id, connection.team, status);
    }
    if (status.answerBy != Instant::max())
        this->answerDeadlines.emplace(status.answerBy, connection.id);
    connection.indexed = status;
}

void SessionEngine::State::recordFullUpstream(UpstreamState& upstream)
{
    const auto& settings = this->options.settings;
    upstream.noBorrowingUntil = this->now + settings.borrowBackoff;
    // Attempts that were already in progress are part of the same refusal.
    if (this->now < upstream.fullUntil)
        return;
    upstream.fullUntil = this->now
        + exponentialBackoff(
            settings.fullUpstreamBackoff, upstream.fullCount, settings.maxFullUpstreamBackoff);
    ++upstream.fullCount;
}

void SessionEngine::State::recordConnectFailure(UpstreamState& upstream)
{
    upstream.unreachableUntil = this->now
        + exponentialBackoff(this->options.settings.reconnectBackoff, upstream.failures,
            this->options.settings.maxReconnectBackoff);
    ++upstream.failures;
    if (!upstream.failingSince)
        upstream.failingSince = this->now;
}

void SessionEngine::State::recordAnswer(PooledConnection& connection, const Reply& reply)
{
    auto& group = this->group(connection.service);
    auto& upstream = this->upstreamOf(connection);
    upstream.lastAnswer = this->now;
    upstream.failures = 0;
    upstream.failingSince.reset();
    const bool ran = !connection.sent.empty() && connection.sent.front() == StepKind::Main && !reply.failure;
    if (ran)
        upstream.limit.onAnswer(this->now - connection.sentAt);
    if (!reply.progress)
        return;
    upstream.knownProgress = std::max(upstream.knownProgress, *reply.progress);
    upstream.lag = group.history.lagOf(upstream.knownProgress, this->now);
    if (upstream.lag < this->options.settings.laggingBackoff) {
        upstream.laggingCount = 0;
        upstream.laggingUntil = Instant::min();
    }
    this->recordTerm(group, this->sourceOf(connection), reply.progress->term);
    // The position applies to the time at which the statement was sent, provided that the view was valid
    // then.
    if (group.isLedBy(connection.upstream, connection.sentAt) && reply.progress->term == group.view.term)
        group.history.record({ .progress = *reply.progress, .seenAt = connection.sentAt });
}

void SessionEngine::State::recordNotRun(PooledConnection& connection, StatementError error)
{
    auto& upstream = this->upstreamOf(connection);
    if (error == StatementError::Busy)
        this->recordSaturation(upstream);
    if (error == StatementError::Lagging) {
        upstream.laggingUntil = this->now
            + exponentialBackoff(this->options.settings.laggingBackoff, upstream.laggingCount,
                this->options.settings.maxLaggingBackoff);
        ++upstream.laggingCount;
    }
    if (error == StatementError::ReadOnly)
        this->recordLeadRefusal(connection);
}

void SessionEngine::State::recordSaturation(UpstreamState& upstream)
{
    upstream.busyUntil = this->now + this->options.settings.busyBackoff;
    upstream.saturatedUntil = this->now + this->options.settings.saturationHold;
    upstream.limit.onCapacityRefusal(this->now);
}

void SessionEngine::State::checkTimeouts()
{
    std::vector<ConnectionId> overdue;
    for (const auto& [deadline, id] : this->answerDeadlines) {
        if (this->now < deadline)
            break;
        overdue.push_back(id);
    }
    for (const auto id : overdue) {
        if (this->findConnection(id) == nullptr)
            continue;
        this->actions.emplace_back(CloseConnection { id });
        this->lost(id);
    }
}

void SessionEngine::State::closeIdleConnections()
{
    const auto& settings = this->options.settings;
    std::vector<ConnectionId> due;
    for (const auto& [service, group] : this->groups) {
        const bool hasOwners = this->ownersFor(this->connectionCapOf(service)) != nullptr;
        const auto timeout = hasOwners ? settings.ownerIdleTimeout : settings.idleTimeout;
        for (const auto& [name, upstream] : group.upstreams) {
            const bool closesAll = !this->acceptsStatements(upstream);
            for (const auto& [since, id] : upstream.connections.idle()) {
                if (!closesAll && this->now - since < timeout)
                    break;
                due.push_back(id);
            }
        }
    }
    for (const auto id : due)
        this->close(this->connections.at(static_cast<std::uint64_t>(id)));
}

} // namespace cyclamendrift
