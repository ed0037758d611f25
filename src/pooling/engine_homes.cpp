#include "engine_state.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

// Numbers of guests have the highest bit set, numbers of a VM's own callers count up from one.
constexpr std::uint64_t guestBit = std::uint64_t { 1 } << 63U;

// Another home is tried when the first one is out of reach; after that the work runs here, over the one
// connection that every VM may open.
constexpr std::size_t homesTried = 2;

} // namespace

void SessionEngine::State::dispatch(CallerSession& session)
{
    if (session.home && this->homeHealth.isOutOfReach(*session.home))
        return this->dropTransaction(session, "the home of the transaction cannot be reached");
    if (session.home)
        return this->handOn(session, *session.home);
    if (const auto home = this->homeFor(session))
        return this->handOn(session, *home);
    this->enqueue(session);
}

std::uint32_t SessionEngine::State::connectionCapOf(const ServiceName& service) const
{
    const auto cap = this->routes->connectionCaps.find(service);
    return cap == this->routes->connectionCaps.end() ? 1 : cap->second;
}

GroupHomes* SessionEngine::State::homesFor(std::uint32_t connectionCap) const
{
    // A hop to a home costs time and bytes between availability zones, and a home that dies takes along what
    // all VMs had there. Both are paid only where this VM could not serve its callers by itself.
    const bool alone = this->ownPartOf(connectionCap) >= this->options.settings.ownPartSuffices;
    return alone ? nullptr : this->place.homes.get();
}

std::optional<VmName> SessionEngine::State::homeFor(const CallerSession& session) const
{
    const auto& service = session.route.service;
    const auto cap = this->connectionCapOf(service);
    auto* homes = session.guest ? nullptr : this->homesFor(cap);
    if (homes == nullptr)
        return std::nullopt;
    std::size_t tried = 0;
    for (const auto& vm : homes->orderFor(service, session.team, cap)) {
        if (vm == homes->self())
            return std::nullopt;
        if (this->homeHealth.isOutOfReach(vm))
            continue;
        if (tried++ == homesTried)
            return std::nullopt;
        if (!this->pausedHomes.contains(vm, this->now))
            return vm;
    }
    return std::nullopt;
}

void SessionEngine::State::handOn(CallerSession& session, const VmName& home)
{
    auto& work = *session.work;
    work.handedTo = home;
    work.handedAt = this->now;
    if (!session.home)
        session.guestAtHome = CallerId { this->guestNumbers() | guestBit };
    HandedWork handed;
    handed.guest = session.guestAtHome;
    handed.continues = session.home.has_value();
    handed.query = work.query;
    handed.kind = work.kind;
    handed.team = session.team;
    handed.route = session.route;
    handed.state.values = session.state.values;
    if (const auto* execute = std::get_if<ExecutePrepared>(&work.query.statement);
        execute != nullptr && work.shape)
        handed.state.prepared.emplace(execute->name, *work.shape);
    handed.inTransaction = session.phase == SessionPhase::InTransaction;
    handed.readOnly = session.transactionReadOnly;
    if (session.floor && session.floorService == session.route.service) {
        handed.floor = session.floor;
        handed.floorAge = this->now - session.floorAt;
    }
    handed.waited = this->now - work.arrivedAt;
    ++this->counters.handedOn;
    const auto timeLimit = work.deadline - this->now + this->options.settings.homeGrace;
    this->actions.emplace_back(
        HandWork { .caller = session.id, .home = home, .work = std::move(handed), .timeLimit = timeLimit });
}

void SessionEngine::State::handedWorkAnswered(CallerId caller, CallerId guest, Reply reply)
{
    auto* session = this->findCaller(caller);
    const auto home = session != nullptr && session->work ? session->work->handedTo : std::nullopt;
    if (!home)
        return;
    // What a home answers to work that was given up is no answer to the work that followed.
    if (guest != session->guestAtHome)
        return;
    this->homeHealth.answered(*home, this->now);
    const auto kind = session->work->kind;
    const bool inTransaction = session->phase == SessionPhase::InTransaction;
    if (reply.progress)
        this->noteTerm(this->group(session->route.service),
            { .source = home->view(), .statementId = session->work->query.id }, reply.progress->term);
    if (reply.failure) {
        if (meansNotRun(reply.failure->error))
            this->giveBackCharge(*session);
        session->charged = false;
        this->logFailure(*session, UpstreamName { home->string() }, *reply.failure);
        if (inTransaction) {
            // The home has dropped the transaction with the statement that failed.
            session->home.reset();
            session->phase = phaseAfterFailure(kind);
        }
        return this->answer(*session, std::move(reply));
    }
    session->charged = false;
    const bool keeps
        = inTransaction ? kind == WorkKind::Commit && session->transactionWrote : kind == WorkKind::Write;
    if (keeps && reply.progress)
        noteOwnWrite(*session, *reply.progress, session->work->handedAt);
    if (inTransaction)
        this->finishHandedInTransaction(*session);
    this->answer(*session, std::move(reply));
}

void SessionEngine::State::finishHandedInTransaction(CallerSession& session)
{
    if (session.work->kind == WorkKind::Commit) {
        session.home.reset();
        session.phase = SessionPhase::Idle;
        return;
    }
    session.home = session.work->handedTo;
    session.transactionWrote = session.transactionWrote || session.work->kind == WorkKind::Write;
}

void SessionEngine::State::askSilentHomes()
{
    std::map<VmName, Instant> oldest;
    for (const auto& [id, session] : this->callers) {
        const auto* home = session.work ? session.work->home() : nullptr;
        if (home == nullptr)
            continue;
        auto& since = oldest.try_emplace(*home, session.work->handedAt).first->second;
        since = std::min(since, session.work->handedAt);
    }
    this->homeHealth.noteWaiting(oldest);
    for (auto& home : this->homeHealth.due(this->now))
        this->actions.emplace_back(AskHome { std::move(home) });
}

void SessionEngine::State::homeAsked(const VmName& home, bool gaveSign)
{
    const bool wasOutOfReach = this->homeHealth.isOutOfReach(home);
    const bool newlyOutOfReach = this->homeHealth.askEnded(home, gaveSign, this->now);
    if (wasOutOfReach && gaveSign)
        this->log("home_back", { { "vm", home.string() } });
    if (!newlyOutOfReach)
        return;
    this->log("home_out_of_reach", { { "vm", home.string() } });
}

void SessionEngine::State::handedWorkFailed(CallerId caller, CallerId guest, HandFailure failure)
{
    auto* session = this->findCaller(caller);
    const auto home = session != nullptr && session->work ? session->work->handedTo : std::nullopt;
    if (!home || guest != session->guestAtHome)
        return;
    session->work->handedTo.reset();
    this->pausedHomes.add(*home, this->now + this->options.settings.homePause);
    this->log("home_failed",
        { { "id", session->work->query.id }, { "vm", home->string() },
            { "service", session->route.service.string() },
            { "taken", failure == HandFailure::Lost ? "perhaps" : "no" } });
    if (failure == HandFailure::Lost) {
        const bool commits = session->work->kind == WorkKind::Commit;
        if (commits)
            session->home.reset();
        else if (session->phase == SessionPhase::InTransaction)
            session->home = home;
        return this->loseWork(*session, StepKind::Main, "the home's answer was lost");
    }
    if (session->home)
        return this->dropTransaction(*session, "the home of the transaction cannot be reached");
    this->dispatch(*session);
}

void SessionEngine::State::letGuestGo(CallerSession& session)
{
    const auto home = session.home ? session.home
        : session.work             ? session.work->handedTo
                                   : std::optional<VmName> {};
    session.home.reset();
    if (home && session.phase == SessionPhase::InTransaction)
        this->actions.emplace_back(LetGuestGo { .home = *home, .guest = session.guestAtHome });
}

void SessionEngine::State::guestAsked(HandedWork work)
{
    const auto* known = this->findCaller(work.guest);
    const bool open = known != nullptr && known->phase == SessionPhase::InTransaction && !known->work;
    if (work.continues != open) {
        auto gone = failureReply(StatementError::Aborted, "the transaction is gone");
        this->actions.emplace_back(AnswerGuest { .guest = work.guest, .reply = std::move(gone) });
        return;
    }
    ++this->counters.takenForSiblings;
    auto& session = this->callers[static_cast<std::uint64_t>(work.guest)];
    session.id = work.guest;
    session.guest = true;
    session.started = true;
    session.team = std::move(work.team);
    session.route = std::move(work.route);
    session.state = std::move(work.state);
    session.phase = work.inTransaction ? SessionPhase::InTransaction : SessionPhase::Idle;
    session.transactionReadOnly = work.readOnly;
    session.floor.reset();
    if (work.floor) {
        noteOwnWrite(session, *work.floor, this->now - work.floorAge);
        // Where it was written, a primary of that term leads.
        this->noteTerm(this->group(session.route.service),
            { .source = "a sibling", .statementId = work.query.id }, work.floor->term);
    }
    session.arrivedAt = this->now - work.waited;
    session.lastActive = this->now;
    session.statementId = work.query.id;
    this->runData(session, std::move(work.query), work.kind);
}

void SessionEngine::State::answerGuest(CallerSession& session, Reply reply)
{
    session.work.reset();
    session.held.reset();
    session.lastActive = this->now;
    reply.phase = session.phase;
    this->actions.emplace_back(AnswerGuest { .guest = session.id, .reply = std::move(reply) });
    // Only an open transaction binds the sibling's next statement to this VM.
    if (session.phase != SessionPhase::InTransaction)
        this->leave(session.id);
}

void SessionEngine::State::endGuest(CallerSession& session, const char* reason)
{
    this->log("guest_ended",
        { { "id", session.statementId }, { "service", session.route.service.string() },
            { "team", session.team.string() }, { "reason", reason } });
    this->leave(session.id);
}

} // namespace cyclamendrift
