#include "engine_state.h"

#include <utility>

namespace cyclamendrift {

namespace {

// An answer that is ready waits no longer than this to learn that the view held; renewals come three times a
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
    // The caller is gone; what its transaction did is dropped.
    connection.inTransaction = reply.phase != SessionPhase::Idle;
    connection.steps.clear();
    if (connection.inTransaction)
        connection.steps.push_back({ .kind = StepKind::Drop, .statement = DropTransaction {} });
    this->sendNext(connection);
}

void SessionEngine::State::finishSingle(PooledConnection& connection, CallerSession& session, Reply reply)
{
    // Letting go of the connection may close it or give it to other work.
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
    // A read leaves nothing behind and may run again.
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
        // The upstream was full and the transaction stands as before.
        ++work.attempts;
        work.retryAt = this->now + this->options.settings.busyBackoff;
        return;
    }
    // Nothing was committed yet, so nothing of the transaction is kept.
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
    // While its caller thinks, the upstream has room for somebody else's statement.
    this->dispatchWaiting(this->group(connection.service));
    this->finishStatement(session, std::move(reply), place, false);
}

void SessionEngine::State::failTransaction(
    PooledConnection& connection, CallerSession& session, StatementFailure failure, SessionPhase phase)
{
    // What fails inside a transaction takes all of it along.
    const bool commits = session.work->kind == StatementKind::Commit;
    const bool dropped = meansNotRun(failure.error) && (!commits || phase != SessionPhase::InTransaction);
    this->logFailure(session, connection.upstream, failure);
    // A caller may send a write within its transaction for reading, which any upstream refuses.
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
    if (reply.progress)
        recordOwnWrite(session, *reply.progress, place.sentAt);
    // Without a position the answer speaks for the term of the view under which its statement was sent.
    const auto term = reply.progress ? reply.progress->term : place.viewTerm.value_or(Term {});
    if (group.isLedBy(place.upstream, this->now) && group.view.term == term)
        return this->answer(session, std::move(reply));
    // The commit is there, but a new primary may have been promoted meanwhile, with a log that lacks it. The
    // caller is told of success only once it is known that this was not so.
    session.unconfirmed = std::make_unique<UnconfirmedReply>(UnconfirmedReply { .reply = std::move(reply),
        .upstream = place.upstream,
        .term = term,
        .until = this->now + maxUnconfirmedTime });
    session.work.reset();
    this->resolveUnconfirmed(session);
}

bool SessionEngine::State::canBeConfirmed(const GroupState& group, const UnconfirmedReply& unconfirmed) const
{
    const auto& view = group.view;
    // A view of an earlier term may only be late: one of the answer's own term still shows that it stands.
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
