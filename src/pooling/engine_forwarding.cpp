#include "engine_state.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

// Ids of remote sessions have the highest bit set; ids of a VM's own callers count up from one.
constexpr std::uint64_t remoteSessionBit = std::uint64_t { 1 } << 63U;

// A second owner is tried when the first one cannot be reached. After that the statement runs on this VM,
// over the one connection that every VM may open.
constexpr std::size_t maxOwnersTried = 2;
// The same with owners in every availability zone: two in the zone of choice and two in the next one.
constexpr std::size_t maxOwnersTriedByZone = 4;

// Above the round trip to another availability zone, so that only one request is under way.
constexpr Duration positionRequestInterval = std::chrono::milliseconds { 100 };

} // namespace

void SessionEngine::State::dispatch(CallerSession& session)
{
    if (session.owner && this->ownerHealth.isUnreachable(*session.owner))
        return this->dropTransaction(session, "the transaction's owner VM cannot be reached");
    if (session.owner)
        return this->forwardTo(session, *session.owner);
    if (const auto owner = this->selectOwner(session))
        return this->forwardTo(session, *owner);
    this->refreshPosition(session);
    this->enqueue(session);
}

std::uint32_t SessionEngine::State::connectionCapOf(const ServiceName& service) const
{
    const auto cap = this->routes->connectionCaps.find(service);
    return cap == this->routes->connectionCaps.end() ? 1 : cap->second;
}

ServiceOwners* SessionEngine::State::ownersFor(std::uint32_t connectionCap) const
{
    // Forwarding costs time and traffic between availability zones, and an owner that fails loses the
    // transactions of all VMs. Both are only worth it where this VM cannot serve its callers by itself.
    const bool alone = this->evenShareOf(connectionCap) >= this->options.settings.minShareWithoutOwners;
    return alone ? nullptr : this->place.owners.get();
}

std::optional<VmName> SessionEngine::State::selectOwner(const CallerSession& session) const
{
    const auto& service = session.route.service;
    const auto cap = this->connectionCapOf(service);
    auto* owners = session.remoteSession ? nullptr : this->ownersFor(cap);
    if (owners == nullptr)
        return std::nullopt;
    if (owners->areByZone())
        return this->selectOwnerByZone(session, *owners);
    std::size_t tried = 0;
    for (const auto& vm : owners->rankedOwners(service, session.team, cap)) {
        if (vm == owners->self())
            return std::nullopt;
        if (this->ownerHealth.isUnreachable(vm))
            continue;
        if (tried++ == maxOwnersTried)
            return std::nullopt;
        if (!this->skippedOwners.contains(vm, this->now))
            return vm;
    }
    return std::nullopt;
}

bool SessionEngine::State::placesByZone() const
{
    return this->place.owners != nullptr && this->place.owners->areByZone();
}

std::optional<VmName> SessionEngine::State::selectOwnerByZone(
    const CallerSession& session, ServiceOwners& owners) const
{
    const auto& service = session.route.service;
    const auto cap = this->connectionCapOf(service);
    const auto placement = this->placementOf(service);
    const ZonePreference preference {
        .ownZone = this->options.zone, .team = session.team, .needsPrimary = session.work->needsPrimary
    };
    std::vector<ZoneOwners> zones;
    for (auto& zone : rankZones(owners.zones(), preference, placement ? &*placement : nullptr)) {
        const auto& ranked = owners.rankedOwnersIn(zone, service, session.team, cap);
        zones.push_back({ .zone = std::move(zone), .owners = ranked });
    }
    const auto group = this->groups.find(service);
    const OwnerLoad::Self self { .vm = owners.self(),
        .ownWait = group == this->groups.end() ? Duration {} : this->expectedWait(group->second) };
    std::size_t tried = 0;
    const auto isUsable = [this, &tried](const VmName& vm) {
        if (this->ownerHealth.isUnreachable(vm))
            return false;
        const bool skipped = this->skippedOwners.contains(vm, this->now);
        tried += skipped ? 1 : 0;
        return !skipped && tried < maxOwnersTriedByZone;
    };
    auto owner = this->ownerLoad.choose(service, zones, self, this->place.zoneRoundTrip, isUsable, this->now);
    return owner == owners.self() ? std::nullopt : std::move(owner);
}

void SessionEngine::State::refreshPosition(const CallerSession& session)
{
    if (!this->placesByZone() || session.work->needsPrimary)
        return;
    auto& group = this->group(session.route.service);
    const auto primary = group.upstreams.find(group.view.primary);
    if (!group.hasLeader(this->now) || primary == group.upstreams.end())
        return;
    auto& upstream = primary->second;
    if (upstream.entry.zone == this->options.zone || !this->acceptsStatements(upstream))
        return;
    // A replica may run a read only when a position of the primary is known that is recent enough. Owners in
    // zones without the primary run few statements there, and without this every read that comes after the
    // last known position has become too old would cross zones.
    const auto staleness = this->demandOf(session).staleness;
    if (staleness <= Duration {} || this->now < group.positionRequestAgainAt
        || group.history.oldestCovering(this->now - staleness / 2))
        return;
    if (!upstream.connections.hasIdle())
        return;
    auto* connection = this->findConnection(upstream.connections.idle().begin()->second);
    group.positionRequestAgainAt = this->now + positionRequestInterval;
    // A reset takes none of the upstream's concurrency, and its answer reports the position.
    connection->state = {};
    connection->phase = PooledConnection::Phase::Working;
    connection->steps.push_back({ .kind = StepKind::Setup, .statement = ResetConnection {} });
    this->reindex(*connection);
    this->sendNext(*connection);
}

PlacementHint SessionEngine::State::ownPlacementOf(const GroupState& group) const
{
    std::vector<ZoneKey> zones;
    const UpstreamEntry* primary = nullptr;
    for (const auto& item : group.upstreams) {
        const auto& upstream = item.second;
        if (!this->acceptsStatements(upstream))
            continue;
        const auto zone = zoneKeyOf(upstream.entry.zone);
        if (std::find(zones.begin(), zones.end(), zone) == zones.end())
            zones.push_back(zone);
        if (group.isLedBy(upstream.entry.name, this->now))
            primary = &upstream.entry;
    }
    PlacementHint placement;
    placement.zonesInService = std::move(zones);
    if (primary != nullptr)
        placement.primaryZone = zoneKeyOf(primary->zone);
    return placement;
}

std::optional<PlacementHint> SessionEngine::State::placementOf(const ServiceName& service) const
{
    const auto* hint = this->ownerLoad.placementOf(service, this->now);
    const auto group = this->groups.find(service);
    auto own = group == this->groups.end() ? PlacementHint {} : this->ownPlacementOf(group->second);
    if (own.zonesInService.empty())
        return hint == nullptr ? std::nullopt : std::optional { *hint };
    if (!own.primaryZone && hint != nullptr)
        own.primaryZone = hint->primaryZone;
    return own;
}

void SessionEngine::State::forwardTo(CallerSession& session, const VmName& owner)
{
    auto& work = *session.work;
    work.forwardedTo = owner;
    work.forwardedAt = this->now;
    this->forwardedWork[owner].emplace(this->now, session.id);
    if (!session.owner)
        session.sessionAtOwner = CallerId { this->remoteSessionNumbers() | remoteSessionBit };
    ForwardedStatement forwarded;
    forwarded.remoteSession = session.sessionAtOwner;
    forwarded.continuesTransaction = session.owner.has_value();
    forwarded.query = work.query;
    forwarded.kind = work.kind;
    forwarded.team = session.team;
    forwarded.route = session.route;
    forwarded.state.values = session.state.values;
    if (const auto* execute = std::get_if<ExecutePrepared>(&work.query.statement);
        execute != nullptr && work.shape)
        forwarded.state.prepared.emplace(execute->name, *work.shape);
    forwarded.inTransaction = session.phase == SessionPhase::InTransaction;
    forwarded.readOnly = session.transactionReadOnly;
    if (const auto* written = session.ownWrites.latestTo(session.route.service)) {
        forwarded.requiredProgress = written->progress;
        forwarded.requiredProgressAge = this->now - written->seenAt;
    }
    forwarded.waited = this->now - work.arrivedAt;
    ++this->counters.forwarded;
    const auto* zone = this->place.owners ? this->place.owners->zoneOf(owner) : nullptr;
    if (zone != nullptr && *zone != this->options.zone)
        ++this->counters.forwardedAcrossZones;
    const auto timeLimit = work.deadline - this->now + this->options.settings.ownerReplyGrace;
    this->actions.emplace_back(ForwardStatement {
        .caller = session.id, .owner = owner, .work = std::move(forwarded), .timeLimit = timeLimit });
}

void SessionEngine::State::forwardedStatementAnswered(CallerId caller, CallerId remoteSession, Reply reply)
{
    auto* session = this->findCaller(caller);
    const auto owner = session != nullptr && session->work ? session->work->forwardedTo : std::nullopt;
    if (!owner)
        return;
    // A late answer to an abandoned statement must not be taken for the answer to the statement after it.
    if (remoteSession != session->sessionAtOwner)
        return;
    this->ownerHealth.answered(*owner, this->now);
    if (reply.placement && this->placesByZone())
        this->ownerLoad.answered(session->route.service, *owner, *reply.placement, this->now);
    reply.placement.reset();
    const auto kind = session->work->kind;
    const bool inTransaction = session->phase == SessionPhase::InTransaction;
    if (reply.progress)
        this->recordTerm(this->group(session->route.service),
            { .source = owner->view(), .statementId = session->work->query.id }, reply.progress->term);
    if (reply.failure) {
        if (meansNotRun(reply.failure->error))
            this->refundToken(*session);
        session->tokenSpent = false;
        this->logFailure(*session, UpstreamName { owner->string() }, *reply.failure);
        if (inTransaction) {
            // The owner has rolled back the transaction along with the failed statement.
            session->owner.reset();
            session->phase = phaseAfterFailure(kind);
        }
        return this->answer(*session, std::move(reply));
    }
    session->tokenSpent = false;
    const bool commitsWrite = inTransaction ? kind == StatementKind::Commit && session->transactionWrote
                                            : kind == StatementKind::Write;
    if (commitsWrite)
        this->recordOwnWrite(*session, reply.progress, session->work->forwardedAt);
    if (inTransaction)
        this->finishForwardedInTransaction(*session);
    this->answer(*session, std::move(reply));
}

void SessionEngine::State::finishForwardedInTransaction(CallerSession& session)
{
    if (session.work->kind == StatementKind::Commit) {
        session.owner.reset();
        session.phase = SessionPhase::Idle;
        return;
    }
    session.owner = session.work->forwardedTo;
    session.transactionWrote = session.transactionWrote || session.work->kind == StatementKind::Write;
}

void SessionEngine::State::checkSilentOwners()
{
    // Entries of statements that have been answered are dropped here, once they are the oldest.
    std::map<VmName, Instant> oldest;
    for (auto& [owner, statements] : this->forwardedWork) {
        while (!statements.empty() && !this->isForwarded(owner, *statements.begin()))
            statements.erase(statements.begin());
        if (!statements.empty())
            oldest.emplace(owner, statements.begin()->first);
    }
    std::erase_if(this->forwardedWork, [](const auto& item) { return item.second.empty(); });
    this->ownerHealth.recordWaiting(oldest);
    for (auto& owner : this->ownerHealth.beginDueChecks(this->now))
        this->actions.emplace_back(CheckOwnerLiveness { std::move(owner) });
}

bool SessionEngine::State::isForwarded(const VmName& owner, const std::pair<Instant, CallerId>& statement)
{
    const auto* session = this->findCaller(statement.second);
    const auto* at = session != nullptr && session->work ? session->work->owner() : nullptr;
    return at != nullptr && *at == owner && session->work->forwardedAt == statement.first;
}

void SessionEngine::State::ownerLivenessChecked(const VmName& owner, bool alive)
{
    const bool wasUnreachable = this->ownerHealth.isUnreachable(owner);
    const bool becameUnreachable = this->ownerHealth.checkEnded(owner, alive, this->now);
    if (wasUnreachable && alive)
        this->log("home_back", { { "vm", owner.string() } });
    if (!becameUnreachable)
        return;
    this->log("home_out_of_reach", { { "vm", owner.string() } });
    if (const auto* owners = this->place.owners.get())
        this->ownerHealth.suspect(owners->candidatesBeside(owner), this->now);
}

void SessionEngine::State::forwardingFailed(CallerId caller, CallerId remoteSession, ForwardFailure failure)
{
    auto* session = this->findCaller(caller);
    const auto owner = session != nullptr && session->work ? session->work->forwardedTo : std::nullopt;
    if (!owner || remoteSession != session->sessionAtOwner)
        return;
    session->work->forwardedTo.reset();
    this->skippedOwners.add(*owner, this->now + this->options.settings.ownerBackoff);
    this->log("home_failed",
        { { "id", session->work->query.id }, { "vm", owner->string() },
            { "service", session->route.service.string() },
            { "taken", failure == ForwardFailure::Lost ? "perhaps" : "no" } });
    if (failure == ForwardFailure::Lost) {
        const bool commits = session->work->kind == StatementKind::Commit;
        if (commits)
            session->owner.reset();
        else if (session->phase == SessionPhase::InTransaction)
            session->owner = owner;
        return this->handleLostAnswer(*session, StepKind::Main, "the owner VM's answer was lost");
    }
    if (session->owner)
        return this->dropTransaction(*session, "the transaction's owner VM cannot be reached");
    this->dispatch(*session);
}

void SessionEngine::State::releaseRemoteSession(CallerSession& session)
{
    const auto owner = session.owner ? session.owner
        : session.work               ? session.work->forwardedTo
                                     : std::optional<VmName> {};
    session.owner.reset();
    if (owner && session.phase == SessionPhase::InTransaction)
        this->actions.emplace_back(
            ReleaseRemoteSession { .owner = *owner, .remoteSession = session.sessionAtOwner });
}

void SessionEngine::State::forwardedStatementReceived(ForwardedStatement work)
{
    const auto* known = this->findCaller(work.remoteSession);
    const bool open = known != nullptr && known->phase == SessionPhase::InTransaction && !known->work;
    if (work.continuesTransaction != open) {
        auto gone
            = failureReply(StatementError::Aborted, "the transaction is no longer open on the owner VM");
        this->actions.emplace_back(
            AnswerRemoteSession { .remoteSession = work.remoteSession, .reply = std::move(gone) });
        return;
    }
    ++this->counters.acceptedFromSiblings;
    auto& session = this->callers[static_cast<std::uint64_t>(work.remoteSession)];
    session.id = work.remoteSession;
    session.remoteSession = true;
    session.started = true;
    session.team = std::move(work.team);
    session.route = std::move(work.route);
    session.state = std::move(work.state);
    session.phase = work.inTransaction ? SessionPhase::InTransaction : SessionPhase::Idle;
    session.transactionReadOnly = work.readOnly;
    session.ownWrites = {};
    if (work.requiredProgress) {
        this->recordOwnWrite(session, work.requiredProgress, this->now - work.requiredProgressAge);
        // The write was committed in this term, so a primary of it leads or has led.
        this->recordTerm(this->group(session.route.service),
            { .source = "a sibling", .statementId = work.query.id }, work.requiredProgress->term);
    }
    session.arrivedAt = this->now - work.waited;
    session.lastActive = this->now;
    session.statementId = work.query.id;
    this->runOnUpstream(session, std::move(work.query), work.kind);
}

void SessionEngine::State::answerRemoteSession(CallerSession& session, Reply reply)
{
    this->finishWork(session);
    reply.phase = session.phase;
    if (this->placesByZone()) {
        const auto& group = this->group(session.route.service);
        auto placement = this->ownPlacementOf(group);
        placement.expectedWait = this->expectedWait(group);
        reply.placement = std::move(placement);
    }
    this->actions.emplace_back(
        AnswerRemoteSession { .remoteSession = session.id, .reply = std::move(reply) });
    // Only within an open transaction does the sibling's next statement have to come to this VM.
    if (session.phase != SessionPhase::InTransaction)
        this->removeSession(session.id);
}

void SessionEngine::State::endRemoteSession(CallerSession& session, const char* reason)
{
    this->log("guest_ended",
        { { "id", session.statementId }, { "service", session.route.service.string() },
            { "team", session.team.string() }, { "reason", reason } });
    this->removeSession(session.id);
}

} // namespace cyclamendrift
