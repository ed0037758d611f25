#include "engine_state.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// Removes the entries up to `until` and returns their sessions.
std::vector<CallerId> takeDue(std::set<std::pair<Instant, CallerId>>& timers, Instant until)
{
    std::vector<CallerId> due;
    while (!timers.empty() && timers.begin()->first <= until) {
        due.push_back(timers.begin()->second);
        timers.erase(timers.begin());
    }
    return due;
}

} // namespace

SessionEngine::SessionEngine(Options options)
    : state(std::make_unique<State>(std::move(options)))
{
}

SessionEngine::~SessionEngine() = default;

CallerSession* SessionEngine::State::findCaller(CallerId id)
{
    const auto match = this->callers.find(static_cast<std::uint64_t>(id));
    return match == this->callers.end() ? nullptr : &match->second;
}

PooledConnection* SessionEngine::State::findConnection(ConnectionId id)
{
    const auto match = this->connections.find(static_cast<std::uint64_t>(id));
    return match == this->connections.end() ? nullptr : &match->second;
}

GroupState& SessionEngine::State::group(const ServiceName& name)
{
    auto& group = this->groups[name];
    group.name = name;
    return group;
}

UpstreamState& SessionEngine::State::upstreamOf(const PooledConnection& connection)
{
    return this->group(connection.service).upstreams.at(connection.upstream);
}

void SessionEngine::State::log(
    std::string_view event, std::vector<std::pair<std::string, std::string>> fields)
{
    this->actions.emplace_back(LogEvent { .event = std::string { event }, .fields = std::move(fields) });
}

void SessionEngine::callerConnected(CallerId caller, Instant now)
{
    this->state->now = now;
    auto& session = this->state->callers[static_cast<std::uint64_t>(caller)];
    session.id = caller;
    session.lastActive = now;
}

void SessionEngine::callerStartedSession(CallerId caller, const SessionStart& start, Instant now)
{
    this->state->now = now;
    this->state->startSession(caller, start);
}

void SessionEngine::callerSentStatement(CallerId caller, CallerQuery query, Instant now)
{
    this->state->now = now;
    this->state->receiveStatement(caller, std::move(query));
}

void SessionEngine::callerDisconnected(CallerId caller, Instant now)
{
    this->state->now = now;
    this->state->removeSession(caller);
}

void SessionEngine::connectionOpened(ConnectionId connection, std::optional<Progress> progress, Instant now)
{
    this->state->now = now;
    this->state->opened(connection, progress);
}

void SessionEngine::connectionRefused(ConnectionId connection, StatementError error, Instant now)
{
    this->state->now = now;
    this->state->refusedToOpen(connection, error);
}

void SessionEngine::connectionLost(ConnectionId connection, Instant now)
{
    this->state->now = now;
    this->state->lost(connection);
}

void SessionEngine::upstreamReplied(ConnectionId connection, Reply reply, Instant now)
{
    this->state->now = now;
    this->state->replied(connection, std::move(reply));
}

void SessionEngine::forwardedStatementReceived(ForwardedStatement work, Instant now)
{
    this->state->now = now;
    this->state->forwardedStatementReceived(std::move(work));
}

void SessionEngine::remoteSessionReleased(CallerId remoteSession, Instant now)
{
    this->state->now = now;
    this->state->removeSession(remoteSession);
}

void SessionEngine::forwardedStatementAnswered(
    CallerId caller, CallerId remoteSession, Reply reply, Instant now)
{
    this->state->now = now;
    this->state->forwardedStatementAnswered(caller, remoteSession, std::move(reply));
}

void SessionEngine::forwardingFailed(
    CallerId caller, CallerId remoteSession, ForwardFailure failure, Instant now)
{
    this->state->now = now;
    this->state->forwardingFailed(caller, remoteSession, failure);
}

void SessionEngine::ownerLivenessChecked(const VmName& owner, bool alive, Instant now)
{
    this->state->now = now;
    this->state->ownerLivenessChecked(owner, alive);
}

void SessionEngine::setRoutes(std::shared_ptr<const RouteTable> routes, Instant now)
{
    this->state->now = now;
    if (routes->version <= this->state->routes->version)
        return;
    this->state->routes = std::move(routes);
    this->state->updateColdStartLimits();
}

void SessionEngine::setConfigurationOutdated(bool outdated, Instant now)
{
    this->state->now = now;
    this->state->configurationOutdated = outdated;
}

void SessionEngine::setConfigurationValidUntil(Instant until)
{
    this->state->configurationValidUntil = until;
}

void SessionEngine::setMaxConnections(std::size_t connections) { this->state->maxConnections = connections; }

void SessionEngine::setDirectory(const UpstreamDirectory& directory, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    for (auto& [service, group] : engine.groups) {
        for (auto& [name, upstream] : group.upstreams)
            upstream.listed = false;
    }
    for (const auto& entry : directory) {
        auto& upstream = engine.group(entry.service).upstreams[entry.name];
        upstream.listed = true;
        if (upstream.entry != entry)
            upstream.coldUntil = now + entry.coldFor;
        upstream.entry = entry;
    }
    engine.updateColdStartLimits();
    for (auto& [service, group] : engine.groups) {
        std::erase_if(group.upstreams,
            [](const auto& item) { return !item.second.listed && item.second.connections.empty(); });
        engine.dispatchWaiting(group);
    }
}

void SessionEngine::setLeader(const ServiceName& service, const LeaderView& view, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    auto& group = engine.group(service);
    const bool changed = view.primary != group.view.primary || view.term != group.view.term;
    // Positions that were observed under another primary do not apply to the log of this one.
    if (changed)
        group.history.clear();
    group.view = view;
    engine.resolveAllUnconfirmed(&service);
    engine.dispatchWaiting(group);
}

void SessionEngine::setEvacuatedZones(const std::set<ZoneName>& zones, Instant now)
{
    this->state->now = now;
    this->state->setEvacuatedZones(zones);
}

void SessionEngine::setPlace(const FleetPlace& place, Instant now)
{
    this->state->now = now;
    this->state->place = place;
    this->state->updateColdStartLimits();
}

void SessionEngine::setShares(const std::map<TeamName, TeamShare::Rule>& shares, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    for (const auto& [team, rule] : shares)
        engine.budgets[team].share.setRule(rule, now);
}

void SessionEngine::tokensReceived(const TeamName& team, std::uint32_t given, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    auto& budget = engine.budgets[team];
    budget.requestingTokens = false;
    budget.share.receive(given, now);
    if (given == 0)
        budget.nextTokenRequestAt = now + engine.options.settings.tokenRequestBackoff;
    engine.admitWaiting(team, budget);
}

std::uint32_t SessionEngine::giveTokens(const TeamName& team, std::uint32_t wanted, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    const auto budget = engine.budgets.find(team);
    if (budget == engine.budgets.end() || !budget->second.waiting.empty())
        return 0;
    return budget->second.share.give(wanted, now);
}

void SessionEngine::drain(Instant closeIdleFrom, Instant abortAt)
{
    this->state->closeIdleFrom = closeIdleFrom;
    this->state->abortAt = abortAt;
}

void SessionEngine::tick(Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    engine.checkConfigurationValidity();
    engine.checkTimeouts();
    engine.tickGroups();
    engine.closeIdleConnections();
    engine.checkSilentOwners();
    engine.tickSessions();
}

bool SessionEngine::isIdle() const
{
    const auto& engine = *this->state;
    if (!engine.connections.empty() || engine.closeIdleFrom != Instant::max())
        return false;
    return std::all_of(
        engine.callers.begin(), engine.callers.end(), [](const auto& item) { return item.second.isIdle(); });
}

void SessionEngine::State::tickGroups()
{
    // Serving a statement may add groups with new waiting ones, so this iterates over a copy.
    const auto services = this->groupsWithWaiting;
    for (const auto& service : services) {
        auto& group = this->group(service);
        this->dispatchWaiting(group, DispatchScope::AllStatements);
        this->refuseOverdueStatements(group);
        if (group.waiting.empty())
            this->groupsWithWaiting.erase(service);
    }
    if (this->options.settings.urgentFirst)
        return this->serveDueTokens();
    for (auto& [team, budget] : this->budgets) {
        if (!budget.waiting.empty())
            this->admitWaiting(team, budget);
    }
}

void SessionEngine::State::tickSessions()
{
    this->abortIdleTransactions();
    // A shutdown ends sessions that nothing else would visit.
    if (this->now >= this->closeIdleFrom || this->now >= this->abortAt) {
        std::vector<CallerId> ids;
        ids.reserve(this->callers.size());
        for (const auto& entry : this->callers)
            ids.push_back(entry.second.id);
        for (const auto id : ids) {
            if (auto* session = this->findCaller(id))
                this->tickSession(*session);
        }
        return;
    }
    this->resolveAllUnconfirmed(nullptr);
    for (const auto id : takeDue(this->retries, this->now)) {
        if (auto* session = this->findCaller(id); session != nullptr && session->work)
            this->resumeIfDue(*session);
    }
    this->abortEvacuatedTransactions();
}

void SessionEngine::State::abortIdleTransactions()
{
    std::vector<CallerId> due;
    for (const auto& item : this->groups) {
        const auto& group = item.second;
        for (const auto& member : group.upstreams)
            this->findIdleTransactions(group, member.second, due);
    }
    for (const auto id : due) {
        if (auto* session = this->findCaller(id))
            this->abortTransaction(*session, "idle for too long");
    }
}

void SessionEngine::State::findIdleTransactions(
    const GroupState& group, const UpstreamState& upstream, std::vector<CallerId>& due)
{
    const auto maxIdle = this->routes->maxTransactionIdleTime;
    const auto maxRemoteIdle = maxIdle * this->options.settings.remoteTransactionIdleFactor;
    auto needed = this->waitingForConnections(group, upstream);
    for (const auto& entry : upstream.connections.idleTransactions()) {
        const auto since = entry.first;
        if (this->now < since + (needed > 0 ? maxIdle : maxRemoteIdle))
            break;
        const auto* session = this->userOf(entry.second);
        if (session == nullptr || session->work || session->unconfirmed
            || this->now < session->lastActive + maxIdle)
            continue;
        // A sibling that fails does not release its transactions, which hold locks at the upstream.
        const bool abandoned = session->remoteSession && this->now >= since + maxRemoteIdle;
        if (needed == 0 && !abandoned)
            continue;
        due.push_back(session->id);
        needed -= needed > 0 ? 1 : 0;
    }
}

const CallerSession* SessionEngine::State::userOf(ConnectionId id)
{
    const auto* connection = this->findConnection(id);
    if (connection == nullptr || !connection->user)
        return nullptr;
    return this->findCaller(*connection->user);
}

void SessionEngine::State::abortEvacuatedTransactions()
{
    if (this->evacuatedSince.empty())
        return;
    std::vector<CallerId> users;
    for (const auto& item : this->groups) {
        const auto& group = item.second;
        for (const auto& member : group.upstreams) {
            const auto& upstream = member.second;
            if (!this->isEvacuated(upstream))
                continue;
            for (const auto id : upstream.connections.ids()) {
                if (const auto* user = this->userOf(id))
                    users.push_back(user->id);
            }
        }
    }
    for (const auto id : users) {
        auto* session = this->findCaller(id);
        if (session != nullptr && !session->work && !session->unconfirmed)
            this->tickSession(*session);
    }
}

void SessionEngine::State::resolveAllUnconfirmed(const ServiceName* service)
{
    const auto ids = this->unconfirmedSessions;
    for (const auto id : ids) {
        auto* session = this->findCaller(id);
        if (session != nullptr && session->unconfirmed && service != nullptr
            && session->route.service != *service)
            continue;
        if (session != nullptr && session->unconfirmed)
            this->resolveUnconfirmed(*session);
        session = this->findCaller(id);
        if (session == nullptr || !session->unconfirmed)
            this->unconfirmedSessions.erase(id);
    }
}

void SessionEngine::State::tickSession(CallerSession& session)
{
    if (session.unconfirmed)
        return this->resolveUnconfirmed(session);
    if (session.work)
        return this->resumeIfDue(session);
    if (this->isTransactionEvacuated(session))
        return this->abortTransaction(session, "the upstream's availability zone is evacuated");
    if (session.phase == SessionPhase::InTransaction && this->now >= this->abortAt)
        return this->abortTransaction(session, "this VM is shutting down");
    static_cast<void>(this->closeIfDraining(session));
}

void SessionEngine::State::resumeIfDue(CallerSession& session)
{
    if (!session.pinned || this->now < session.work->retryAt)
        return;
    this->runPinned(session);
}

std::vector<EngineAction> SessionEngine::takeActions() { return std::exchange(this->state->actions, {}); }

std::vector<UpstreamHealth> SessionEngine::upstreamHealth() const
{
    std::vector<UpstreamHealth> all;
    for (const auto& [service, group] : this->state->groups) {
        // A contradiction that has ended is reported as well.
        const bool contradictedOnce = group.contradictedAt != Instant::min();
        for (const auto& [name, upstream] : group.upstreams) {
            if (!contradictedOnce && !upstream.wasObserved())
                continue;
            all.push_back({ .service = service,
                .upstream = name,
                .lastAnswer = upstream.lastAnswer,
                .failingSince = upstream.failingSince,
                .contradictsView = group.isContradicted(this->state->now) });
        }
    }
    return all;
}

Duration SessionEngine::expectedWait(const ServiceName& service) const
{
    const auto group = this->state->groups.find(service);
    return group == this->state->groups.end() ? Duration {} : this->state->expectedWait(group->second);
}

std::map<TeamName, std::uint64_t> SessionEngine::takeDemand()
{
    return std::exchange(this->state->demand, {});
}

Duration SessionEngine::longestExpectedWait() const
{
    Duration longest {};
    for (const auto& service : this->state->groupsWithWaiting)
        longest = std::max(longest, this->state->expectedWait(this->state->groups.at(service)));
    return longest;
}

const EngineCounters& SessionEngine::counters() const noexcept { return this->state->counters; }

std::size_t SessionEngine::callers() const noexcept { return this->state->callers.size(); }

std::size_t SessionEngine::connections() const noexcept { return this->state->connections.size(); }

} // namespace cyclamendrift
