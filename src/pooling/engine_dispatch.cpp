#include "engine_state.h"

#include <cyclamendrift/core/stable_hash.h>

#include <algorithm>
#include <iterator>
#include <limits>
#include <optional>
#include <string>
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
// Where owners are placed by availability zone, the round trip takes about as long as a statement. An
// upstream in this VM's zone is preferred unless it runs at least two more statements.
constexpr double farZoneCost = 1.9;
// A refusal by a lagging replica costs a round trip, and the statement has to queue again at the next
// upstream.
constexpr double laggingReplicaCost = 0.6;

// Statements that a pass over the waiting ones may find unsuitable for every upstream before it ends, for
// example because each has skipped the upstreams that have capacity. A tick makes a pass without this limit.
constexpr std::size_t maxPassFailures = 8;

// Statements behind a waiting one that are counted to find out how many are ahead of it.
constexpr std::size_t maxCountedBehind = 32;
constexpr int maxJitterPercent = 25;
// Longest expected wait, which keeps it within the range of a Duration.
constexpr std::chrono::hours maxDrainTime { 1 };

// Time that a statement is assumed to take while no upstream of its service has answered.
constexpr Duration assumedStatementTime = std::chrono::milliseconds { 10 };

/// Statements that the upstreams of a group that are in service run at a time.
std::size_t concurrencyOf(const GroupState& group)
{
    std::size_t sum = 0;
    for (const auto& [name, upstream] : group.upstreams)
        sum += upstream.isInService() ? upstream.entry.maxConcurrency : 0;
    return sum;
}

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
    const auto demand = this->demandOf(session);
    if (group.view.phase == LeaderView::Phase::Changing && this->isLeaderless(group, demand)) {
        this->refuse(session, StatementError::Busy,
            adviceText("the primary is being replaced", this->options.settings.primaryChangeRetryAfter));
        return;
    }
    if (const auto* reason = this->stopReason(group, demand)) {
        this->refuse(
            session, StatementError::Busy, adviceText(reason, this->options.settings.stoppedRetryAfter));
        return;
    }
    const auto& work = *session.work;
    const WaitingPosition position {
        .priority = session.route.priority, .arrivedAt = work.arrivedAt, .caller = session.id
    };
    session.work->waiting = group.waiting.add(
        { .position = position, .demand = demand, .team = session.team, .deadline = work.dispatchDeadline });
    this->groupsWithWaiting.insert(group.name);
    const auto id = session.id;
    this->dispatchWaiting(group, DispatchScope::FirstStatements);
    // The pass may have ended before it reached this statement, whose team may have an idle connection.
    auto* added = this->findCaller(id);
    if (added == nullptr || !added->work || !added->work->waiting || this->assignUpstream(group, *added))
        return;
    this->refuseIfTooLate(group, *added);
}

void SessionEngine::State::refuseIfTooLate(const GroupState& group, CallerSession& session)
{
    const auto* waiting = session.work->waitingStatement();
    if (waiting == nullptr)
        return;
    const auto& statement = *waiting;
    // A statement that is tried again waits before those that arrived after it.
    const auto behind = group.waiting.countBehind(statement, maxCountedBehind);
    if (behind == maxCountedBehind)
        return;
    // The statement itself is among those that are counted.
    const auto ahead = this->waitingBeside(group, statement.demand, statement.position.priority) - 1 - behind;
    const auto wait = this->drainTime(group, statement.demand, ahead);
    const auto left
        = std::max(session.work->arrivedAt + session.route.targetLatency - this->now, Duration {});
    if (!wait || *wait <= left + left / 2)
        return;
    this->refuse(session, StatementError::Busy, adviceText("the statement would wait for too long", *wait));
}

std::size_t SessionEngine::State::waitingBeside(
    const GroupState& group, const UpstreamDemand& demand, std::uint32_t priority) const
{
    // Reads that replicas may run do not wait for statements that only the primary can run.
    if (demand.staleness <= Duration {})
        return group.waiting.count(demand, priority);
    std::size_t sum = 0;
    for (const auto& [other, queue] : group.waiting.byDemand())
        sum += other.staleness > Duration {} ? group.waiting.count(other, priority) : 0;
    return sum;
}

std::optional<Duration> SessionEngine::State::drainTime(
    const GroupState& group, const UpstreamDemand& demand, std::size_t statements) const
{
    if (statements == 0)
        return std::nullopt;
    const bool primaryIsShared
        = demand.staleness > Duration {} && group.waiting.byDemand().contains(UpstreamDemand {});
    const bool replicasCompete = this->replicaRequirement(group, demand).has_value();
    constexpr double unknownRate = -1;
    double perSecond = 0;
    for (const auto& entry : group.upstreams) {
        const auto& upstream = entry.second;
        const bool leads = group.isLedBy(upstream.entry.name, this->now);
        const bool competes = leads ? !primaryIsShared : replicasCompete;
        if (!competes || !this->acceptsStatements(upstream) || this->now < upstream.unreachableUntil)
            continue;
        const auto rate = this->drainRateOf(upstream).value_or(unknownRate);
        if (rate < 0)
            return std::nullopt;
        perSecond += rate;
    }
    if (perSecond <= 0)
        return std::nullopt;
    const std::chrono::duration<double> time { static_cast<double>(statements) / perSecond };
    return std::chrono::duration_cast<Duration>(
        std::min(time, std::chrono::duration<double> { maxDrainTime }));
}

std::optional<double> SessionEngine::State::drainRateOf(const UpstreamState& upstream) const
{
    const auto& connections = upstream.connections;
    // Connections of idle transactions run nothing for others.
    const auto inUse = connections.inUse();
    const auto held = inUse - std::min(connections.running(), inUse);
    const auto max = this->maxConnectionsAt(upstream);
    const auto places = std::min(upstream.limit.current(), max - std::min(held, max));
    auto duration = upstream.limit.recentLatency();
    // A VM without a share opens its only connection again for the next team.
    if (this->hasNoShareOf(upstream))
        duration += this->options.settings.connectionOpeningTime;
    if (duration <= Duration {})
        return std::nullopt;
    return static_cast<double>(places) / std::chrono::duration<double> { duration }.count();
}

Duration SessionEngine::State::expectedWait(const GroupState& group) const
{
    if (group.waiting.empty())
        return {};
    const auto concurrency = std::max<std::size_t>(concurrencyOf(group), 1);
    Duration longest {};
    for (const auto& [demand, queue] : group.waiting.byDemand()) {
        const auto beside = this->waitingBeside(group, demand, std::numeric_limits<std::uint32_t>::max());
        // Nothing is known of upstreams that have not answered yet.
        const auto assumed = assumedStatementTime * beside / concurrency;
        longest = std::max(longest, this->drainTime(group, demand, beside).value_or(assumed));
    }
    return longest;
}

std::size_t SessionEngine::State::waitingForConnections(
    const GroupState& group, const UpstreamState& upstream) const
{
    const auto& connections = upstream.connections;
    const bool hasNone
        = connections.size() >= this->maxConnectionsAt(upstream) || this->now < upstream.fullUntil;
    if (group.waiting.empty() || !this->hasCapacity(upstream) || connections.hasIdle() || !hasNone)
        return 0;
    std::size_t sum = 0;
    for (const auto& [demand, queue] : group.waiting.byDemand()) {
        if (this->isSuitable(group, upstream, this->replicaRequirement(group, demand)))
            sum += queue.size();
    }
    return sum;
}

Duration SessionEngine::State::drainAdvice(const CallerSession& session)
{
    const auto& settings = this->options.settings;
    const auto& group = this->group(session.route.service);
    const auto demand = this->demandOf(session);
    const auto beside = std::max<std::size_t>(this->waitingBeside(group, demand, session.route.priority), 1);
    const auto drain = this->drainTime(group, demand, beside).value_or(settings.overloadRetryAfter);
    // The jitter spreads the next attempts of callers that are refused together.
    const auto longest = settings.maxDrainRetryAfter * 100 / (100 + maxJitterPercent);
    const auto base = std::clamp<Duration>(drain, settings.minDrainRetryAfter, longest);
    std::uniform_int_distribution<int> jitter { 0, maxJitterPercent };
    return base + base * jitter(this->jitterNumbers) / 100;
}

void SessionEngine::State::stopWaiting(CallerSession& session)
{
    const auto* waiting = session.work ? session.work->waitingStatement() : nullptr;
    if (waiting == nullptr)
        return;
    this->group(session.route.service).waiting.remove(*waiting);
    session.work->waiting.reset();
}

CallerSession* SessionEngine::State::findWaiting(GroupState& group, const WaitingStatement& statement)
{
    auto* session = this->findCaller(statement.position.caller);
    const auto* waiting = session != nullptr && session->work ? session->work->waitingStatement() : nullptr;
    if (waiting != nullptr && waiting->position == statement.position)
        return session;
    // The session has been given another statement meanwhile.
    group.waiting.remove(WaitingStatement { statement });
    return nullptr;
}

UpstreamDemand SessionEngine::State::demandOf(const CallerSession& session) const
{
    if (session.work->needsPrimary)
        return {};
    const auto staleness = maxStalenessOf(session.route.freshness) - this->options.settings.stalenessMargin;
    return { .staleness = std::max(staleness, Duration {}) };
}

void SessionEngine::State::trackIfDue(GroupState& group)
{
    if (this->now < group.trackAgainAt)
        return;
    group.trackAgainAt = this->now + this->options.settings.trackInterval;
    this->actions.emplace_back(TrackService { group.name });
}

bool SessionEngine::State::isLeaderless(const GroupState& group, const UpstreamDemand& demand) const
{
    // A read on a replica needs a position that was observed under a valid view of the primary. After a
    // restart there is none, and reads depend on the primary just as writes do.
    return !group.hasLeader(this->now) && !this->replicaRequirement(group, demand);
}

void SessionEngine::State::dispatchWaiting(GroupState& group, DispatchScope scope)
{
    // Serving a statement may end sessions and add new waiting ones, so each step looks up the next position.
    std::optional<WaitingPosition> last;
    for (std::size_t failures = 0; scope == DispatchScope::AllStatements || failures < maxPassFailures;) {
        const auto* statement = group.waiting.next(
            last, [&](const UpstreamDemand& demand) { return this->canTakeAny(group, demand); });
        if (statement == nullptr)
            return;
        last = statement->position;
        auto* session = this->findWaiting(group, *statement);
        if (session != nullptr && !this->assignUpstream(group, *session))
            ++failures;
    }
}

bool SessionEngine::State::canTakeAny(const GroupState& group, const UpstreamDemand& demand) const
{
    const auto requirement = this->replicaRequirement(group, demand);
    return std::any_of(group.upstreams.begin(), group.upstreams.end(), [&](const auto& item) {
        const auto& upstream = item.second;
        return this->hasCapacity(upstream) && this->isSuitable(group, upstream, requirement)
            && (upstream.connections.hasIdle() || this->canOpenConnection(upstream));
    });
}

void SessionEngine::State::serveSameTeam(PooledConnection& connection, TeamAffinity affinity)
{
    auto& group = this->group(connection.service);
    auto& upstream = this->upstreamOf(connection);
    const auto mayServe = [&](const CallerSession& session) {
        return this->canServe(group, upstream, session, this->replicaRequirement(group, session));
    };
    auto* sameTeam = this->firstWaiting(group, mayServe, [&](const std::optional<WaitingPosition>& after) {
        return group.waiting.nextOf(connection.team, after);
    });
    if (sameTeam == nullptr)
        return;
    const auto* end = sameTeam->work->waitingStatement();
    const auto nextBefore = [&](const std::optional<WaitingPosition>& after) {
        const auto* next = group.waiting.next(after, [](const UpstreamDemand&) { return true; });
        return next != nullptr && next->position < end->position ? next : nullptr;
    };
    const CallerSession* first = affinity == TeamAffinity::Limited && end != nullptr
        ? this->firstWaiting(group, mayServe, nextBefore)
        : nullptr;
    if (first == nullptr)
        first = sameTeam;
    if (first->route.priority < sameTeam->route.priority)
        return;
    if (sameTeam->work->arrivedAt > first->work->arrivedAt + this->options.settings.teamAffinityWindow)
        return;
    this->stopWaiting(*sameTeam);
    upstream.coldStart.recordStart(this->now);
    this->runOn(connection, *sameTeam);
}

template <class Accepts, class Next>
CallerSession* SessionEngine::State::firstWaiting(
    GroupState& group, const Accepts& accepts, const Next& nextAfter)
{
    std::optional<WaitingPosition> last;
    for (std::size_t failures = 0; failures < maxPassFailures; ++failures) {
        const WaitingStatement* statement = nextAfter(last);
        if (statement == nullptr)
            return nullptr;
        last = statement->position;
        auto* session = this->findWaiting(group, *statement);
        if (session != nullptr && accepts(*session))
            return session;
    }
    return nullptr;
}

bool SessionEngine::State::assignUpstream(GroupState& group, CallerSession& session)
{
    const auto requirement = this->replicaRequirement(group, session);
    UpstreamState* best = nullptr;
    double bestCost = std::numeric_limits<double>::infinity();
    for (auto& [name, upstream] : group.upstreams) {
        if (!this->canServe(group, upstream, session, requirement))
            continue;
        const bool idle = this->idleConnection(upstream, session.team) != nullptr;
        if (!idle && !this->canOpenConnectionFor(upstream, session))
            continue;
        const auto cost
            = this->costOf(group, upstream, session, requirement) + (idle ? 0 : connectionOpeningCost);
        if (cost < bestCost) {
            best = &upstream;
            bestCost = cost;
        }
    }
    if (best == nullptr)
        return false;
    best->coldStart.recordStart(this->now);
    this->stopWaiting(session);
    if (auto* connection = this->idleConnection(*best, session.team))
        this->runOn(*connection, session);
    else
        this->openConnectionFor(group, *best, session);
    return true;
}

bool SessionEngine::State::canServe(const GroupState& group, const UpstreamState& upstream,
    const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const
{
    return this->hasCapacity(upstream) && !session.work->skipped.contains(upstream.entry.name, this->now)
        && this->isSuitable(group, upstream, requirement);
}

bool SessionEngine::State::hasCapacity(const UpstreamState& upstream) const
{
    if (!this->acceptsStatements(upstream))
        return false;
    if (this->now < upstream.unreachableUntil || this->now < upstream.busyUntil)
        return false;
    return upstream.connections.running() < upstream.limit.current()
        && upstream.coldStart.mayStart(this->now);
}

bool SessionEngine::State::isSuitable(const GroupState& group, const UpstreamState& upstream,
    const std::optional<ReplicaRequirement>& requirement) const
{
    if (group.isLedBy(upstream.entry.name, this->now))
        return true;
    if (!requirement)
        return false;
    // A replica that seems to lag is still asked from time to time, as only its answer can show that it has
    // caught up.
    return this->hasCaughtUp(upstream, *requirement) || this->now >= upstream.laggingUntil;
}

bool SessionEngine::State::hasCaughtUp(
    const UpstreamState& upstream, const ReplicaRequirement& requirement) const
{
    if (upstream.knownProgress >= requirement.progress)
        return true;
    const bool refusedLately = this->now < upstream.laggingUntil;
    return !refusedLately && this->now - upstream.lag >= requirement.seenAt;
}

std::optional<ReplicaRequirement> SessionEngine::State::replicaRequirement(
    const GroupState& group, const CallerSession& session) const
{
    const auto common = this->replicaRequirement(group, this->demandOf(session));
    if (!common)
        return std::nullopt;
    const auto& requirement = *common;
    if (!std::holds_alternative<ReadOwnWritesRoute>(session.route.freshness))
        return requirement;
    const auto* written = session.ownWrites.latestTo(session.route.service);
    if (written == nullptr)
        return requirement;
    // A write of an earlier term is either in the log of every upstream of the newer term or was lost in the
    // promotion. The position in the newer term therefore covers it.
    if (written->progress.term < requirement.progress.term || written->progress <= requirement.progress)
        return requirement;
    return *written;
}

std::optional<ReplicaRequirement> SessionEngine::State::replicaRequirement(
    const GroupState& group, const UpstreamDemand& demand) const
{
    if (demand.staleness <= Duration {})
        return std::nullopt;
    return group.history.oldestCovering(this->now - demand.staleness);
}

double SessionEngine::State::costOf(const GroupState& group, const UpstreamState& upstream,
    const CallerSession& session, const std::optional<ReplicaRequirement>& requirement) const
{
    auto cost = static_cast<double>(upstream.connections.inUse());
    if (upstream.entry.zone != this->options.zone)
        cost += this->placesByZone() ? farZoneCost : crossZoneCost;
    if (!session.work->needsPrimary && group.view.primary == upstream.entry.name)
        cost += primaryReadCost;
    // A replica that is known to lag is asked last, as it would only refuse.
    if (requirement && group.view.primary != upstream.entry.name
        && !this->hasCaughtUp(upstream, *requirement))
        cost += laggingReplicaCost;
    return cost;
}

PooledConnection* SessionEngine::State::idleConnection(const UpstreamState& upstream, const TeamName& team)
{
    const auto id = upstream.connections.idleOf(team);
    return id ? this->findConnection(*id) : nullptr;
}

bool SessionEngine::State::canOpenConnection(const UpstreamState& upstream) const
{
    const bool hasIdle = upstream.connections.hasIdle();
    // A connection that replaces an idle one takes its place at a full upstream.
    const bool replacesIdle = hasIdle && upstream.connections.size() >= this->connectionsKeptAt(upstream);
    // After a refusal a single attempt shows whether the upstream has connections or capacity again.
    const bool isOpening = upstream.connections.opening() > 0;
    const bool isFull = this->now < upstream.fullUntil || (upstream.fullCount > 0 && isOpening);
    if (isFull && (!replacesIdle || isOpening))
        return false;
    if (this->connections.size() >= this->maxConnections && !replacesIdle)
        return false;
    if (isOpening && this->now < upstream.saturatedUntil)
        return false;
    return hasIdle || upstream.connections.size() < this->maxConnectionsAt(upstream);
}

bool SessionEngine::State::canOpenConnectionFor(
    const UpstreamState& upstream, const CallerSession& session) const
{
    const bool saturated = this->now < upstream.saturatedUntil;
    if (saturated && upstream.connections.willBeFreedFor(session.team))
        return false;
    return this->canOpenConnection(upstream);
}

bool SessionEngine::State::hasNoShareOf(const UpstreamState& upstream) const
{
    const auto cap = this->connectionCapOf(upstream.entry.service);
    auto* owners = this->ownersFor(cap);
    if (owners == nullptr)
        return false;
    const auto& all = owners->ownersOf(upstream.entry.service, cap);
    return std::find(all.begin(), all.end(), owners->self()) == all.end();
}

std::size_t SessionEngine::State::maxConnectionsAt(const UpstreamState& upstream) const
{
    // VMs without a share are many. If each borrowed a connection, the owners would lack them.
    const bool borrows = this->now >= upstream.noBorrowingUntil && !this->hasNoShareOf(upstream);
    return this->connectionShareOf(upstream) + (borrows ? this->options.settings.maxBorrowedConnections : 0);
}

std::size_t SessionEngine::State::connectionShareOf(const UpstreamState& upstream) const
{
    const auto cap = this->connectionCapOf(upstream.entry.service);
    if (auto* owners = this->ownersFor(cap))
        return owners->connectionShareOf(upstream.entry.service, cap, upstream.entry.zone);
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
    // part that is kept free in quiet times serves the callers of the restarted VMs meanwhile; without it
    // they would be refused for lack of connections.
    const auto share = this->connectionShareOf(upstream);
    // Replacing connections of teams that come back in a moment would take places that statements need.
    if (this->now < upstream.saturatedUntil)
        return share;
    // Owners keep more, as they serve the statements of all VMs and their teams come back within seconds.
    const bool hasOwners = this->ownersFor(this->connectionCapOf(upstream.entry.service)) != nullptr;
    return std::max<std::size_t>(hasOwners ? share * 3 / 4 : share / 2, 1);
}

void SessionEngine::State::openConnectionFor(
    GroupState& group, UpstreamState& upstream, CallerSession& session)
{
    if (upstream.connections.size() >= this->connectionsKeptAt(upstream) && upstream.connections.hasIdle()) {
        const auto longestIdle = upstream.connections.idle().begin()->second;
        this->close(this->connections.at(static_cast<std::uint64_t>(longestIdle)));
    }
    const ConnectionId id { ++this->lastConnection };
    auto& connection = this->connections[static_cast<std::uint64_t>(id)];
    connection.id = id;
    connection.upstream = upstream.entry.name;
    connection.service = group.name;
    connection.team = session.team;
    connection.user = session.id;
    connection.keptAfterAnswer = session.work->opensTransaction;
    connection.sentAt = this->now;
    connection.answerBy = this->now + this->options.settings.openTimeout;
    this->reindex(connection);
    session.work->connection = id;
    ++this->counters.connectionsOpened;
    this->actions.emplace_back(
        OpenConnection { .connection = id, .upstream = upstream.entry, .team = session.team });
}

void SessionEngine::State::runOn(PooledConnection& connection, CallerSession& session)
{
    auto& work = *session.work;
    connection.phase = PooledConnection::Phase::Working;
    connection.user = session.id;
    const bool continuesTransaction = session.pinned && work.kind != StatementKind::Commit;
    connection.keptAfterAnswer = work.opensTransaction || continuesTransaction;
    this->reindex(connection);
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
        this->scheduleRetry(session, coldStart.startAt());
        return;
    }
    session.work->retryAt = Instant::max();
    coldStart.recordStart(this->now);
    this->runOn(*connection, session);
}

void SessionEngine::State::scheduleRetry(CallerSession& session, Instant at)
{
    session.work->retryAt = at;
    this->retries.emplace(at, session.id);
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
        const auto all = owners->holdersAt(upstream.entry.zone, upstream.entry.service, cap);
        const auto own = std::find(all.begin(), all.end(), owners->self());
        // A VM that is no owner holds a single connection for the case that it reaches no owner.
        if (own == all.end())
            return {};
        const auto index = static_cast<std::size_t>(std::distance(all.begin(), own));
        // The owners in the upstream's zone get most of its statements, so they come first.
        const auto shift = owners->areByZone() ? 0 : turn % all.size();
        return { .rank = (index + shift) % all.size(), .holders = all.size() };
    }
    const auto vms = this->place.vms;
    if (vms == 0)
        return {};
    return { .rank = (this->place.rank + turn % vms) % vms, .holders = vms };
}

void SessionEngine::State::refuseOverdueStatements(GroupState& group)
{
    for (const auto& [id, text] : this->unservableStatements(group)) {
        auto* session = this->findCaller(id);
        if (session != nullptr && session->work && session->work->waiting)
            this->refuse(*session, StatementError::Busy, text);
    }
    for (const auto* overdue = group.waiting.mostOverdue();
         overdue != nullptr && this->now >= overdue->deadline; overdue = group.waiting.mostOverdue()) {
        if (auto* session = this->findWaiting(group, *overdue))
            this->refuse(*session, StatementError::Busy,
                adviceText("all connections are taken", this->drainAdvice(*session)));
    }
}

std::vector<std::pair<CallerId, std::string>> SessionEngine::State::unservableStatements(
    const GroupState& group) const
{
    const auto& settings = this->options.settings;
    std::vector<std::pair<CallerId, std::string>> found;
    for (const auto& [demand, queue] : group.waiting.byDemand()) {
        const bool leaderless = this->isLeaderless(group, demand);
        const auto* stopped = this->stopReason(group, demand);
        if (!leaderless && stopped == nullptr)
            continue;
        const auto text = stopped != nullptr
            ? adviceText(stopped, settings.stoppedRetryAfter)
            : adviceText("no primary is known to lead", settings.primaryChangeRetryAfter);
        for (const auto& [position, statement] : queue) {
            const auto maxWait = (statement.deadline - position.arrivedAt) / settings.leaderlessWaitDivisor;
            if (stopped != nullptr || group.view.phase == LeaderView::Phase::Changing
                || this->now >= position.arrivedAt + maxWait)
                found.emplace_back(position.caller, text);
        }
    }
    return found;
}

} // namespace cyclamendrift
