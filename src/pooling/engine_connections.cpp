#include "engine_state.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

Duration doubled(Duration first, int times, Duration most)
{
    return std::min(first * (1 << std::min(times, 10)), most);
}

} // namespace

void SessionEngine::State::opened(ConnectionId id, std::optional<Progress> progress)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    Reply greeting;
    greeting.progress = progress;
    this->noteAnswer(*connection, greeting);
    auto* session = connection->user ? this->findCaller(*connection->user) : nullptr;
    if (session == nullptr) {
        this->release(*connection);
        return;
    }
    connection->phase = PooledConnection::Phase::Working;
    this->serveOn(*connection, *session);
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
        upstream.keepToShareUntil = this->now + this->options.settings.borrowPause;
    if (error == StatementError::WrongInstance)
        this->noteFailure(upstream);
    auto* session = connection->user ? this->findCaller(*connection->user) : nullptr;
    const auto name = connection->upstream;
    this->erase(id);
    if (session != nullptr)
        this->retry(*session, name, this->options.settings.fullPause, error);
}

void SessionEngine::State::lost(ConnectionId id)
{
    auto* connection = this->findConnection(id);
    if (connection == nullptr)
        return;
    auto& upstream = this->upstreamOf(*connection);
    // A connection that was open and is cut says little of its upstream: something between may have cut it,
    // and a new one works at once. One that could not be opened says more.
    if (connection->phase == PooledConnection::Phase::Opening)
        this->noteFailure(upstream);
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
        // The statement itself had not gone out, but its transaction is gone with the connection.
        this->log("transaction_lost", { { "id", session->work->query.id }, { "upstream", name.string() } });
        this->dropTransaction(*session, "the transaction's connection was lost");
        return;
    }
    if (step == StepKind::Main)
        this->loseWork(*session, step, "the connection was lost");
    else
        this->retry(*session, name, this->options.settings.downPause, StatementError::Busy);
}

void SessionEngine::State::loseWork(CallerSession& session, StepKind step, const char* reason)
{
    const auto& work = *session.work;
    session.charged = false;
    this->log("answer_lost",
        { { "id", work.query.id }, { "service", session.route.service.string() }, { "reason", reason },
            { "sent", step == StepKind::Main ? "yes" : "no" } });
    const bool inTransaction = session.phase == SessionPhase::InTransaction;
    const bool mayHaveWritten = work.kind == WorkKind::Write || session.transactionWrote;
    if (work.kind == WorkKind::Commit) {
        session.phase = SessionPhase::Idle;
        // Without a write there was nothing to keep, whatever became of the commit.
        if (!mayHaveWritten)
            return this->answer(session, failureReply(StatementError::Aborted, reason));
        ++this->counters.inDoubt;
        return this->answer(
            session, failureReply(StatementError::InDoubt, "the commit may have taken effect"));
    }
    if (inTransaction) {
        this->letGuestGo(session);
        session.phase = SessionPhase::FailedTransaction;
        return this->answer(session, failureReply(StatementError::Aborted, reason));
    }
    if (work.kind == WorkKind::Write) {
        ++this->counters.inDoubt;
        return this->answer(
            session, failureReply(StatementError::InDoubt, "the write may have taken effect"));
    }
    // A read leaves nothing behind and may run again.
    if (this->now < work.deadline && work.attempts < this->options.settings.attempts)
        return this->retry(session, UpstreamName {}, Duration {}, StatementError::Busy);
    this->refuse(session, StatementError::Busy, adviceText(reason, this->options.settings.overloadAdvice));
}

void SessionEngine::State::retry(
    CallerSession& session, const UpstreamName& avoided, Duration pause, StatementError reason)
{
    auto& work = *session.work;
    work.connection.reset();
    // An upstream without a free connection has not looked at the statement; the work waits on like work that
    // this VM has no connection for.
    if (reason != StatementError::TooManyConnections)
        ++work.attempts;
    ++this->counters.retried;
    if (!avoided.empty())
        work.avoided.add(avoided, this->now + pause);
    if (work.attempts >= this->options.settings.attempts || this->now >= work.deadline) {
        this->log("given_up",
            { { "id", work.query.id }, { "upstream", avoided.string() },
                { "error", std::to_string(static_cast<int>(reason)) } });
        this->refuse(session, StatementError::Busy,
            adviceText("no upstream could run it", this->options.settings.overloadAdvice));
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
    connection.sentAt = this->now;
    connection.answerBy = this->now + this->options.settings.setupTimeout;
    // All that sets the connection up goes out together; what follows waits for its success.
    while (!connection.steps.empty() && connection.steps.front().kind == StepKind::Setup)
        this->sendStep(connection);
    auto* session = connection.user ? this->findCaller(*connection.user) : nullptr;
    // The opening of a transaction changes nothing, so it need not wait for the set-up to succeed; that
    // spares each transaction a round trip. If the set-up fails the connection is closed, and the transaction
    // with it.
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
    this->actions.emplace_back(
        SendStatement { .connection = connection.id, .statement = std::move(step.statement) });
}

bool SessionEngine::State::readyToSend(PooledConnection& connection, CallerSession& session)
{
    // Opening the connection and setting it up took time, in which the view of the primary may have ended.
    if (!this->mayStillSend(connection, session)) {
        if (session.pinned)
            this->dropTransaction(session, "the primary no longer leads");
        else
            this->takeBack(connection, session);
        return false;
    }
    auto& step = connection.steps.front();
    auto& group = this->group(connection.service);
    const bool leads = group.isLedBy(connection.upstream, this->now);
    const bool covered = leads || session.pinned;
    const auto needed = covered ? std::optional<NeededProgress> {} : this->neededProgress(group, session);
    const auto position = needed ? std::optional { needed->progress } : std::nullopt;
    if (!session.pinned)
        connection.restsOn = leads ? std::optional { group.view.term } : std::nullopt;
    if (auto* open = std::get_if<OpenTransaction>(&step.statement))
        open->after = position;
    if (auto* pass = std::get_if<PassStatement>(&step.statement))
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

void SessionEngine::State::takeBack(PooledConnection& connection, CallerSession& session)
{
    const auto name = connection.upstream;
    connection.steps.clear();
    connection.user.reset();
    this->release(connection);
    this->retry(session, name, this->options.settings.busyPause, StatementError::Busy);
}

bool SessionEngine::State::mayStillSend(const PooledConnection& connection, const CallerSession& session)
{
    const auto& group = this->group(connection.service);
    // Inside an open transaction the upstream itself refuses what its lost lead forbids, and a read sees what
    // the transaction saw when it was opened. A newer primary may have led then already.
    if (session.pinned && session.work->kind == WorkKind::Read)
        return !connection.restsOn || *connection.restsOn >= group.newestTerm;
    if (session.pinned)
        return group.isLedBy(connection.upstream, this->now) || session.transactionReadOnly;
    if (group.isLedBy(connection.upstream, this->now))
        return true;
    return !session.work->needsPrimary && this->neededProgress(group, session).has_value();
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
    this->noteAnswer(*connection, reply);
    const auto kind = connection->sent.front();
    if (kind == StepKind::Setup && reply.failure) {
        // What is in place on the connection is not known any more; a statement must not run there.
        this->log("setup_failed",
            { { "upstream", connection->upstream.string() }, { "reason", reply.failure->text } });
        connection->sent.assign(1, StepKind::Setup);
        this->actions.emplace_back(CloseConnection { id });
        this->lost(id);
        return;
    }
    connection->sent.pop_front();
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
        this->noteNotRun(connection, reply.failure->error);
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
            this->retry(*session, name, this->options.settings.busyPause, error);
        return;
    }
    connection.inTransaction = true;
    const bool outlived = connection.outlivedView(reply);
    if (session == nullptr || outlived) {
        connection.user.reset();
        connection.steps.assign(1, { .kind = StepKind::Drop, .statement = DropTransaction {} });
    } else {
        session->charged = false;
        session->pinned = connection.id;
        session->work->opensTransaction = false;
    }
    this->sendNext(connection);
    // Nothing has run in the transaction, which may be opened anew elsewhere.
    if (session != nullptr && outlived)
        this->retry(*session, UpstreamName {}, Duration {}, StatementError::Busy);
}

void SessionEngine::State::release(PooledConnection& connection)
{
    if (connection.phase != PooledConnection::Phase::Idle)
        --this->upstreamOf(connection).working;
    connection.phase = PooledConnection::Phase::Idle;
    connection.idleSince = this->now;
    connection.user.reset();
    connection.inTransaction = false;
    auto& upstream = this->upstreamOf(connection);
    const bool beyondShare = upstream.connections.size() > this->shareOf(upstream);
    const bool mustShrink = beyondShare && this->now < upstream.keepToShareUntil;
    const bool unusable = !upstream.listed || upstream.entry.draining;
    const auto service = connection.service;
    if (mustShrink || unusable)
        this->close(connection);
    else
        this->serveOwnTeam(connection);
    this->pump(this->group(service));
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
    if (connection->phase != PooledConnection::Phase::Idle)
        --upstream.working;
    std::erase(upstream.connections, id);
    if (!upstream.listed && upstream.connections.empty())
        group.upstreams.erase(connection->upstream);
    this->connections.erase(static_cast<std::uint64_t>(id));
}

void SessionEngine::State::noteFailure(UpstreamState& upstream)
{
    upstream.downUntil = this->now
        + doubled(
            this->options.settings.downPause, upstream.failures, this->options.settings.downPauseAtMost);
    ++upstream.failures;
    if (!upstream.failingSince)
        upstream.failingSince = this->now;
}

void SessionEngine::State::noteAnswer(PooledConnection& connection, const Reply& reply)
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
    upstream.known = std::max(upstream.known, *reply.progress);
    upstream.lag = group.history.lagOf(upstream.known, this->now);
    if (upstream.lag < this->options.settings.laggingPause) {
        upstream.laggingTimes = 0;
        upstream.laggingUntil = Instant::min();
    }
    this->noteTerm(group, this->sourceOf(connection), reply.progress->term);
    // The position speaks for the time at which the statement went out, if the view held then.
    if (group.isLedBy(connection.upstream, connection.sentAt) && reply.progress->term == group.view.term)
        group.history.note({ .progress = *reply.progress, .seenAt = connection.sentAt });
}

void SessionEngine::State::noteNotRun(PooledConnection& connection, StatementError error)
{
    auto& upstream = this->upstreamOf(connection);
    if (error == StatementError::Busy) {
        upstream.busyUntil = this->now + this->options.settings.busyPause;
        upstream.limit.onCapacityRefusal(this->now);
    }
    if (error == StatementError::Lagging) {
        upstream.laggingUntil = this->now
            + doubled(this->options.settings.laggingPause, upstream.laggingTimes,
                this->options.settings.laggingPauseAtMost);
        ++upstream.laggingTimes;
    }
    if (error == StatementError::ReadOnly)
        this->noteRefusedLead(connection);
}

void SessionEngine::State::checkTimeouts()
{
    std::vector<ConnectionId> overdue;
    for (const auto& [key, connection] : this->connections) {
        const bool waits = connection.phase == PooledConnection::Phase::Opening || !connection.sent.empty();
        if (waits && this->now >= connection.answerBy)
            overdue.push_back(connection.id);
    }
    for (const auto id : overdue) {
        if (this->findConnection(id) == nullptr)
            continue;
        this->actions.emplace_back(CloseConnection { id });
        this->lost(id);
    }
}

void SessionEngine::State::closeSpareConnections()
{
    const auto& settings = this->options.settings;
    std::vector<ConnectionId> idle;
    for (const auto& [key, connection] : this->connections) {
        if (connection.phase == PooledConnection::Phase::Idle)
            idle.push_back(connection.id);
    }
    for (const auto id : idle) {
        auto& connection = this->connections.at(static_cast<std::uint64_t>(id));
        const auto& upstream = this->upstreamOf(connection);
        const bool atHome = this->homesFor(this->connectionCapOf(connection.service)) != nullptr;
        const auto kept = atHome ? settings.idleTimeAtHome : settings.idleTime;
        const bool spare = this->now - connection.idleSince >= kept;
        if (spare || !upstream.listed || upstream.entry.draining)
            this->close(connection);
    }
}

} // namespace cyclamendrift
