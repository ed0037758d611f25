#include "engine_state.h"

#include <utility>

namespace cyclamendrift {

namespace {

// Maximum time for which a reply is withheld until the view is confirmed. Views are renewed three times a
// second.
constexpr Duration maxUnconfirmedTime = std::chrono::milliseconds { 800 };

} // namespace

void SessionEngine::State::finishMain(PooledConnection& connection, Reply reply)
{
    auto* session = connection.user ? this->findCaller(*connection.user) : nullptr;
    if (session == nullptr || !session->work)
        return this->finishAbandoned(connection, reply);
    const bool notRun = reply.failure && meansNotRun(reply.failure->error);
    session->tokenSpent = session->tokenSpent && notRun;
    if (session->pinned)
        this->finishInTransaction(connection, *session, std::move(reply));
    else
        this->finishSingle(connection, *session, std::move(reply));
}

void SessionEngine::State::finishAbandoned(PooledConnection& connection, const Reply& reply)
{
    // The caller has left, so its transaction is rolled back.
    connection.inTransaction = reply.phase != SessionPhase::Idle;
    connection.steps.clear();
    if (connection.inTransaction)
        connection.steps.push_back({ .kind = StepKind::Drop, .statement = DropTransaction {} });
    this->sendNext(connection);
}

void SessionEngine::State::finishSingle(PooledConnection& connection, CallerSession& session, Reply reply)
{
    // Copied first: releasing the connection may close it or assign it to another statement.
    const RunPlace place {
        .upstream = connection.upstream, .sentAt = connection.sentAt, .viewTerm = connection.viewTerm
    };
    const bool notRun = reply.failure && meansNotRun(reply.failure->error);
    const bool mayBeStale = session.work->kind == StatementKind::Read && connection.isFromLaterTerm(reply);
    if (notRun)
        this->recordNotRun(connection, reply.failure->error);
    connection.user.reset();
    if (reply.phase == SessionPhase::Idle)
        this->release(connection);
    else
        this->close(connection);
    // A read has no side effects and can be run again.
    if (mayBeStale)
        return this->retry(session, UpstreamName {}, Duration {}, StatementError::Busy);
    if (!notRun)
        return this->finishStatement(
            session, std::move(reply), place, session.work->kind == StatementKind::Write);
    const bool lags = reply.failure->error == StatementError::Lagging;
    const auto pause = lags ? this->options.settings.laggingBackoff : this->options.settings.busyBackoff;
    this->retry(session, place.upstream, pause, reply.failure->error);
}

void SessionEngine::State::finishInTransaction(
    PooledConnection& connection, CallerSession& session, Reply reply)
{
    auto& work = *session.work;
    if (reply.failure) {
        const bool full = reply.failure->error == StatementError::Busy;
        const bool stands = full && reply.phase == SessionPhase::InTransaction;
        const bool mayTry = work.attempts + 1 < this->options.settings.attempts && this->now < work.deadline;
        if (!stands || !mayTry)
            return this->failTransaction(connection, session, *reply.failure, reply.phase);
        // The upstream was at its maximum concurrency, and the transaction is still open.
        ++work.attempts;
        this->scheduleRetry(session, this->now + this->options.settings.busyBackoff);
        return;
    }
    // The read may have missed commits of the newer primary. Nothing has been committed yet, so the whole
    // transaction can be rolled back.
    if (work.kind == StatementKind::Read && connection.isFromLaterTerm(reply))
        return this->dropTransaction(session, "a newer primary leads");
    const RunPlace place {
        .upstream = connection.upstream, .sentAt = connection.sentAt, .viewTerm = connection.viewTerm
    };
    if (work.kind == StatementKind::Commit) {
        const bool wrote = session.transactionWrote;
        session.pinned.reset();
        session.phase = SessionPhase::Idle;
        connection.user.reset();
        this->release(connection);
        return this->finishStatement(session, std::move(reply), place, wrote);
    }
    session.transactionWrote = session.transactionWrote || work.kind == StatementKind::Write;
    connection.inTransaction = true;
    // While the transaction is idle, the upstream can run another statement.
    this->dispatchWaiting(this->group(connection.service));
    this->finishStatement(session, std::move(reply), place, false);
}

void SessionEngine::State::failTransaction(
    PooledConnection& connection, CallerSession& session, StatementFailure failure, SessionPhase phase)
{
    // A failed statement aborts its whole transaction.
    const bool commits = session.work->kind == StatementKind::Commit;
    const bool dropped = meansNotRun(failure.error) && (!commits || phase != SessionPhase::InTransaction);
    this->logFailure(session, connection.upstream, failure);
    // A write within a read-only transaction is refused by every upstream, so it says nothing about the
    // primary.
    if (failure.error == StatementError::ReadOnly && !session.transactionReadOnly)
        this->recordLeadRefusal(connection);
    connection.inTransaction = phase != SessionPhase::Idle;
    if (connection.inTransaction) {
        this->endTransaction(session);
    } else {
        session.pinned.reset();
        connection.user.reset();
        this->release(connection);
    }
    session.phase = phaseAfterFailure(session.work->kind);
    if (dropped)
        failure.error = StatementError::Aborted;
    this->answer(session, failureReply(failure.error, std::move(failure.text)));
}

void SessionEngine::State::logFailure(
    const CallerSession& session, const UpstreamName& upstream, const StatementFailure& failure)
{
    ++this->counters.failed;
    this->log("failed",
        { { "id", session.work->query.id }, { "upstream", upstream.string() }, { "reason", failure.text },
            { "error", std::to_string(static_cast<int>(failure.error)) } });
}

void SessionEngine::State::logIfLate(const CallerSession& session, const RunPlace& place)
{
    const auto& work = *session.work;
    if (this->now < work.arrivedAt + session.route.targetLatency)
        return;
    this->log("late",
        { { "id", work.query.id }, { "service", session.route.service.string() },
            { "upstream", place.upstream.string() },
            { "waited_ms", millisecondsText(place.sentAt - work.arrivedAt) },
            { "upstream_ms", millisecondsText(this->now - place.sentAt) },
            { "attempts", std::to_string(work.attempts) },
            { "transaction", session.phase == SessionPhase::InTransaction ? "yes" : "no" } });
}

void SessionEngine::State::finishStatement(
    CallerSession& session, Reply reply, const RunPlace& place, bool commitsWrite)
{
    if (reply.failure) {
        this->logFailure(session, place.upstream, *reply.failure);
        return this->answer(session, std::move(reply));
    }
    this->logIfLate(session, place);
    auto& group = this->group(session.route.service);
    if (session.work->kind == StatementKind::Read) {
        const bool atPrimary = group.view.primary == place.upstream;
        ++(atPrimary ? this->counters.readsOnPrimary : this->counters.readsOnReplicas);
    }
    if (!commitsWrite)
        return this->answer(session, std::move(reply));
    this->recordOwnWrite(session, reply.progress, place.sentAt);
    // An answer without a position belongs to the term of the view under which its statement was sent.
    const auto term = reply.progress ? reply.progress->term : place.viewTerm.value_or(Term {});
    if (group.isLedBy(place.upstream, this->now) && group.view.term == term)
        return this->answer(session, std::move(reply));
    // The write is committed, but a new primary whose log lacks it may have been promoted meanwhile. Success
    // is only reported once this is known not to be the case.
    session.unconfirmed = std::make_unique<UnconfirmedReply>(UnconfirmedReply { .reply = std::move(reply),
        .upstream = place.upstream,
        .term = term,
        .until = this->now + maxUnconfirmedTime });
    this->unconfirmedSessions.insert(session.id);
    session.work.reset();
    this->resolveUnconfirmed(session);
}

bool SessionEngine::State::canBeConfirmed(const GroupState& group, const UnconfirmedReply& unconfirmed) const
{
    const auto& view = group.view;
    // A view of an earlier term may merely be late: a view of the reply's own term can still confirm the
    // commit.
    const bool viewIsLate = view.term < unconfirmed.term;
    const bool confirmedByView = view.term == unconfirmed.term && view.primary == unconfirmed.upstream
        && !group.isContradicted(this->now);
    return view.phase == LeaderView::Phase::Settled && group.newestTerm <= unconfirmed.term
        && (viewIsLate || confirmedByView);
}

void SessionEngine::State::resolveUnconfirmed(CallerSession& session)
{
    const auto& group = this->group(session.route.service);
    const auto& unconfirmed = *session.unconfirmed;
    const bool confirmed
        = group.isLedBy(unconfirmed.upstream, this->now) && group.view.term == unconfirmed.term;
    if (!confirmed && this->canBeConfirmed(group, unconfirmed) && this->now < unconfirmed.until)
        return;
    auto reply = std::move(session.unconfirmed->reply);
    if (!confirmed) {
        ++this->counters.inDoubt;
        this->log("commit_unconfirmed",
            { { "id", session.statementId }, { "service", session.route.service.string() },
                { "upstream", unconfirmed.upstream.string() } });
        reply = failureReply(StatementError::InDoubt, "the primary may have been replaced meanwhile");
    }
    this->answer(session, std::move(reply));
}

} // namespace cyclamendrift
