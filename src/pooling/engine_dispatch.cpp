#include "engine_state.h"

#include <cyclamendrift/core/stable_hash.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace cyclamendrift {

namespace {

// Costs of running a read at an upstream, in units of one statement that this VM already runs there. Opening
// a connection takes about half the upstream's time for a short statement, plus a round trip.
constexpr double connectionOpeningCost = 0.6;
// Only the primary can run writes, so reads prefer replicas while the load differs little.
constexpr double primaryReadCost = 0.8;
// Another availability zone adds a round trip of 2 ms, little against the 10 to 40 ms of a statement.
constexpr double crossZoneCost = 0.1;
// A refusal by a lagging replica costs a round trip, and the statement has to queue again at the next
// upstream.
constexpr double laggingReplicaCost = 0.6;

// One connection is reserved for status queries.
std::size_t usableConnections(std::uint32_t connectionCap)
{
    return connectionCap > 1 ? connectionCap - 1 : connectionCap;
}

} // namespace

void SessionEngine::State::enqueue(CallerSession& session)
{
    auto& group = this->group(session.route.service);
    this->trackIfDue(group);
    if (group.view.phase == LeaderView::Phase::Changing && this->isLeaderless(group, session)) {
        this->refuse(session, StatementError::Busy,
            adviceText("the primary is being replaced", this->options.settings.primaryChangeRetryAfter));
        return;
    }
    if (const auto* reason = this->stopReason(group, session)) {
        this->refuse(
            session, StatementError::Busy, adviceText(reason, this->options.settings.stoppedRetryAfter));
        return;
    }
    group.waiting.push_back(session.id);
    this->groupsWithWaiting.insert(group.name);
    this->dispatchWaiting(group);
}

void SessionEngine::State::trackIfDue(GroupState& group)
{
    if (this->now < group.trackAgainAt)
        return;
    group.trackAgainAt = this->now + this->options.settings.trackInterval;
    this->actions.emplace_back(TrackService { group.name });
}

bool SessionEngine::State::isLeaderless(const GroupState& group, const CallerSession& session) const
{
    // A read on a replica needs a position that was observed under a valid view of the primary. After a
    // restart there is none, and reads depend on the primary just as writes do.
    return !group.hasLeader(this->now) && !this->replicaRequirement(group, session);
}

void SessionEngine::State::dispatchWaiting(GroupState& group)
{
    if (group.waiting.empty())
        return;
    std::stable_sort(group.waiting.begin(), group.waiting.end(), [this](CallerId left, CallerId right) {
        const auto* one = this->findCaller(left);
        const auto* other = this->findCaller(right);
        if (one->route.priority != other->route.priority)
            return one->route.priority < other->route.priority;
        return one->work->arrivedAt < other->work->arrivedAt;
    });
    // Serving a statement may end sessions and add new waiting ones, so this iterates over a copy.
    const auto waiting = group.waiting;
    for (const auto id : waiting) {
        auto* session = this->findCaller(id);
        if (session == nullptr || !session->work || session->work->connection)
            continue;
        this->assignUpstream(group, *session);
    }
}

void SessionEngine::State::serveSameTeam(PooledConnection& connection)
{
    auto& group = this->group(connection.service);
    const auto& upstream = this->upstreamOf(connection);
    const CallerSession* first = nullptr;
    CallerSession* sameTeam = nullptr;
    for (const auto id : group.waiting) {
        auto* session = this->findCaller(id);
        if (session == nullptr || !session->work || session->work->connection
            || !this->canServe(group, upstream, *session, this->replicaRequirement(group, *session)))
            continue;
        if (first == nullptr)
            first = session;
        if (sameTeam == nullptr && session->team == connection.team)
            sameTeam = session;
    }
    if (sameTeam == nullptr || first->route.priority < sameTeam->route.priority)
        return;
    if (sameTeam->work->arrivedAt > first->work->arrivedAt + this->options.settings.teamAffinityWindow)
        return;
    std::erase(group.waiting, sameTeam->id);
    this->upstreamOf(connection).coldStart.recordStart(this->now);
    this->runOn(connection, *sameTeam);
}

void SessionEngine::State::assignUpstream(GroupState& group, CallerSession& session)
{
    const auto requirement = this->replicaRequirement(group, session);
    UpstreamState* best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto& [name, upstream] : group.upstreams) {
        if (!this->canServe(group, upstream, session, requirement))
            continue;
        const bool idle = this->idleConnection(upstream, session.team) != nullptr;
        if (!idle && !this->canOpenConnection(upstream))
            continue;
        const auto cost
            = this->costOf(group, upstream, session, requirement) + (idle ? 0 : connectionOpeningCost);
        if (cost < bestCost) {
            best = &upstream;
            bestCost = cost;
        }
    }
    if (best == nullptr)
        return;
    best->coldStart.recordStart(this->now);
    std::erase(group.waiting, session.id);
    if (auto* connection = this->idleConnection(*best, session.team))
        this->runOn(*connection, session);
    else
        this->openConnectionFor(group, *best, session);
}

bool SessionEngine::State::canServe(const GroupState& group, const UpstreamState& upstream,
    const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const
{
    if (!this->acceptsStatements(upstream))
        return false;
    if (this->now < upstream.unreachableUntil || this->now < upstream.busyUntil)
        return false;
    if (this->runningAt(upstream) >= upstream.limit.current() || !upstream.coldStart.mayStart(this->now))
        return false;
    if (session.work->skipped.contains(upstream.entry.name, this->now))
        return false;
    if (group.isLedBy(upstream.entry.name, this->now))
        return true;
    if (!requirement)
        return false;
    // A replica that seems to lag is still asked from time to time, as only its answer can show that it has
    // caught up.
    return this->hasCaughtUp(upstream, *requirement) || this->now >= upstream.laggingUntil;
}

std::size_t SessionEngine::State::runningAt(const UpstreamState& upstream) const
{
    return static_cast<std::size_t>(
        std::count_if(upstream.connections.begin(), upstream.connections.end(), [this](ConnectionId id) {
            const auto& connection = this->connections.at(static_cast<std::uint64_t>(id));
            return connection.phase == PooledConnection::Phase::Opening || !connection.sent.empty();
        }));
}

bool SessionEngine::State::hasCaughtUp(
    const UpstreamState& upstream, const ReplicaRequirement& requirement) const
{
    if (upstream.knownProgress >= requirement.progress)
        return true;
    const bool refusedLately = this->now < upstream.laggingUntil;
    return !refusedLately && this->now - upstream.lag >= requirement.at;
}

std::optional<ReplicaRequirement> SessionEngine::State::replicaRequirement(
    const GroupState& group, const CallerSession& session) const
{
    if (session.work->needsPrimary)
        return std::nullopt;
    const auto staleness = maxStalenessOf(session.route.freshness) - this->options.settings.stalenessMargin;
    if (staleness <= Duration {})
        return std::nullopt;
    const auto fresh = group.history.oldestCovering(this->now - staleness);
    if (!fresh)
        return std::nullopt;
    const ReplicaRequirement requirement { .progress = fresh->progress, .at = fresh->seenAt };
    const bool ownWrites = std::holds_alternative<ReadOwnWritesRoute>(session.route.freshness);
    if (!ownWrites || !session.requiredProgress || session.requiredProgressService != session.route.service)
        return requirement;
    // A write of an earlier term is either in the log of every upstream of the newer term or was lost in the
    // promotion. The position in the newer term therefore covers it.
    if (session.requiredProgress->term < requirement.progress.term
        || *session.requiredProgress <= requirement.progress)
        return requirement;
    return ReplicaRequirement { .progress = *session.requiredProgress, .at = session.requiredProgressAt };
}

double SessionEngine::State::costOf(const GroupState& group, const UpstreamState& upstream,
    const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const
{
    double cost = upstream.connectionsInUse;
    if (upstream.entry.zone != this->options.zone)
        cost += crossZoneCost;
    if (!session.work->needsPrimary && group.view.primary == upstream.entry.name)
        cost += primaryReadCost;
    // A replica that is known to lag is asked last, as it would only refuse.
    if (requirement && group.view.primary != upstream.entry.name
        && !this->hasCaughtUp(upstream, *requirement))
        cost += laggingReplicaCost;
    return cost;
}

PooledConnection* SessionEngine::State::idleConnection(UpstreamState& upstream, const TeamName& team)
{
    for (const auto id : upstream.connections) {
        auto* connection = this->findConnection(id);
        if (connection != nullptr && connection->phase == PooledConnection::Phase::Idle
            && connection->team == team)
            return connection;
    }
    return nullptr;
}

PooledConnection* SessionEngine::State::longestIdleConnection(const UpstreamState& upstream)
{
    PooledConnection* longestIdle = nullptr;
    for (const auto id : upstream.connections) {
        auto* candidate = this->findConnection(id);
        const bool idle = candidate != nullptr && candidate->phase == PooledConnection::Phase::Idle;
        if (idle && (longestIdle == nullptr || candidate->idleSince < longestIdle->idleSince))
            longestIdle = candidate;
    }
    return longestIdle;
}

bool SessionEngine::State::canOpenConnection(const UpstreamState& upstream)
{
    const bool hasIdle = this->longestIdleConnection(upstream) != nullptr;
    // A connection that replaces an idle one takes its place at a full upstream.
    const bool replacesIdle = hasIdle && upstream.connections.size() >= this->connectionsKeptAt(upstream);
    // After a refusal a single attempt shows whether the upstream has connections again.
    const bool isFull
        = this->now < upstream.fullUntil || (upstream.fullCount > 0 && this->isOpening(upstream));
    if ((isFull || this->connections.size() >= this->maxConnections) && !replacesIdle)
        return false;
    return hasIdle || upstream.connections.size() < this->maxConnectionsAt(upstream);
}

bool SessionEngine::State::isOpening(const UpstreamState& upstream) const
{
    return std::any_of(upstream.connections.begin(), upstream.connections.end(), [this](ConnectionId id) {
        return this->connections.at(static_cast<std::uint64_t>(id)).phase == PooledConnection::Phase::Opening;
    });
}

std::size_t SessionEngine::State::maxConnectionsAt(const UpstreamState& upstream) const
{
    const bool borrows = this->now >= upstream.noBorrowingUntil;
    return this->connectionShareOf(upstream) + (borrows ? this->options.settings.maxBorrowedConnections : 0);
}

std::size_t SessionEngine::State::connectionShareOf(const UpstreamState& upstream) const
{
    const auto cap = this->connectionCapOf(upstream.entry.service);
    if (auto* owners = this->ownersFor(cap))
        return owners->connectionShareOf(upstream.entry.service, cap);
    if (this->place.vms == 0)
        return 1;
    const auto vms = this->place.vms;
    // The remainder of the division goes to different VMs at each upstream.
    const auto turn = std::hash<std::string_view> {}(upstream.entry.name.view());
    const bool extra = (this->place.rank + turn) % vms < usableConnections(cap) % vms;
    return std::max<std::size_t>(this->evenShareOf(cap) + (extra ? 1 : 0), 1);
}

std::size_t SessionEngine::State::evenShareOf(std::uint32_t connectionCap) const
{
    return this->place.vms == 0 ? 0 : usableConnections(connectionCap) / this->place.vms;
}

std::size_t SessionEngine::State::connectionsKeptAt(const UpstreamState& upstream) const
{
    // When all VMs lose power, an upstream counts their open connections as taken for some more seconds. The
    // half that is kept free in quiet times serves the callers of the restarted VMs meanwhile; without it
    // they would be refused for lack of connections.
    return std::max<std::size_t>(this->connectionShareOf(upstream) / 2, 1);
}

void SessionEngine::State::openConnectionFor(
    GroupState& group, UpstreamState& upstream, CallerSession& session)
{
    if (upstream.connections.size() >= this->connectionsKeptAt(upstream)) {
        if (auto* longestIdle = this->longestIdleConnection(upstream))
            this->close(*longestIdle);
    }
    const ConnectionId id { ++this->lastConnection };
    auto& connection = this->connections[static_cast<std::uint64_t>(id)];
    connection.id = id;
    connection.upstream = upstream.entry.name;
    connection.service = group.name;
    connection.team = session.team;
    connection.user = session.id;
    connection.sentAt = this->now;
    connection.answerBy = this->now + this->options.settings.openTimeout;
    upstream.connections.push_back(id);
    ++upstream.connectionsInUse;
    session.work->connection = id;
    ++this->counters.connectionsOpened;
    this->actions.emplace_back(
        OpenConnection { .connection = id, .upstream = upstream.entry, .team = session.team });
}

void SessionEngine::State::runOn(PooledConnection& connection, CallerSession& session)
{
    auto& work = *session.work;
    if (connection.phase == PooledConnection::Phase::Idle)
        ++this->upstreamOf(connection).connectionsInUse;
    connection.phase = PooledConnection::Phase::Working;
    connection.user = session.id;
    work.connection = connection.id;
    for (auto& step : connection.state.stepsToMatch(session.state, work.shape ? &*work.shape : nullptr)) {
        auto statement = std::visit([](auto& what) { return UpstreamStatement { std::move(what) }; }, step);
        connection.steps.push_back({ .kind = StepKind::Setup, .statement = std::move(statement) });
    }
    if (work.opensTransaction)
        connection.steps.push_back({ .kind = StepKind::Open,
            .statement = OpenTransaction { .readOnly = session.transactionReadOnly } });
    RelayStatement main { .id = work.query.id, .text = work.query.text };
    if (const auto* execute = std::get_if<ExecutePrepared>(&work.query.statement);
        execute != nullptr && work.shape)
        main.execute = ExecutePrepared { .name = connection.state.nameOf(*work.shape),
            .arguments = execute->arguments };
    connection.steps.push_back({ .kind = StepKind::Main, .statement = std::move(main) });
    this->sendNext(connection);
}

void SessionEngine::State::runPinned(CallerSession& session)
{
    auto* connection = session.pinned ? this->findConnection(*session.pinned) : nullptr;
    if (connection == nullptr)
        return;
    auto& coldStart = this->upstreamOf(*connection).coldStart;
    if (!coldStart.mayStart(this->now)) {
        if (coldStart.startAt() >= session.work->deadline)
            return this->dropTransaction(session, "the upstream is cold");
        session.work->retryAt = coldStart.startAt();
        return;
    }
    session.work->retryAt = Instant::max();
    coldStart.recordStart(this->now);
    this->runOn(*connection, session);
}

void SessionEngine::State::updateColdStartLimits()
{
    for (auto& [service, group] : this->groups) {
        const auto rate = this->routes->coldStartRates.find(service);
        for (auto& [name, upstream] : group.upstreams) {
            if (rate == this->routes->coldStartRates.end() || this->now >= upstream.coldUntil)
                upstream.coldStart = {};
            else
                upstream.coldStart.setRate(rate->second, this->holderRankAt(upstream), upstream.coldUntil);
        }
    }
}

HolderRank SessionEngine::State::holderRankAt(const UpstreamState& upstream) const
{
    // Each upstream begins with another holder, so that the shares of several ones differ.
    const auto turn = static_cast<std::size_t>(stableHash(upstream.entry.name.view()));
    const auto cap = this->connectionCapOf(upstream.entry.service);
    if (auto* owners = this->ownersFor(cap)) {
        const auto& all = owners->ownersOf(upstream.entry.service, cap);
        const auto own = std::find(all.begin(), all.end(), owners->self());
        // A VM that is no owner holds a single connection for the case that it reaches no owner.
        if (own == all.end())
            return {};
        const auto index = static_cast<std::size_t>(std::distance(all.begin(), own));
        return { .rank = (index + turn % all.size()) % all.size(), .holders = all.size() };
    }
    const auto vms = this->place.vms;
    if (vms == 0)
        return {};
    return { .rank = (this->place.rank + turn % vms) % vms, .holders = vms };
}

void SessionEngine::State::refuseOverdueStatements(GroupState& group)
{
    const auto waiting = group.waiting;
    for (const auto id : waiting) {
        auto* session = this->findCaller(id);
        if (session == nullptr || !session->work || session->work->connection)
            continue;
        const auto& work = *session->work;
        const bool leaderless = this->isLeaderless(group, *session);
        const auto maxWait
            = (work.dispatchDeadline - work.arrivedAt) / this->options.settings.leaderlessWaitDivisor;
        const auto* stopped = this->stopReason(group, *session);
        const bool cannotBeServed = leaderless
            && (group.view.phase == LeaderView::Phase::Changing || this->now >= work.arrivedAt + maxWait);
        if (!cannotBeServed && stopped == nullptr && this->now < work.dispatchDeadline)
            continue;
        std::erase(group.waiting, id);
        if (stopped != nullptr)
            this->refuse(*session, StatementError::Busy,
                adviceText(stopped, this->options.settings.stoppedRetryAfter));
        else if (leaderless)
            this->refuse(*session, StatementError::Busy,
                adviceText("no primary is known to lead", this->options.settings.primaryChangeRetryAfter));
        else
            this->refuse(*session, StatementError::Busy,
                adviceText("all connections are taken", this->options.settings.overloadRetryAfter));
    }
}

} // namespace cyclamendrift
