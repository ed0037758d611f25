#include <cyclamendrift/connections/connection_pool.h>

#include <algorithm>

namespace cyclamendrift {

ConnectionPool::ConnectionPool(Options options) noexcept
    : options(options)
{
}

std::vector<PoolAction> ConnectionPool::update(Instant now, std::size_t waiting)
{
    std::vector<PoolAction> actions;
    actions.reserve(this->toClose.size());
    for (const auto id : this->toClose)
        actions.emplace_back(CloseConnection { id });
    this->toClose.clear();
    if (this->retired)
        return actions;
    this->closeDeadProbes(now, actions);
    this->closeOldestSuspect(now, actions);
    this->probeIdle(now, actions);
    this->openMissing(now, waiting, actions);
    return actions;
}

bool ConnectionPool::isSuspect(const Entry& entry, Instant now) const noexcept
{
    return entry.sentAt != noExchange && now - entry.sentAt >= this->options.suspectAfter;
}

void ConnectionPool::closeDeadProbes(Instant now, std::vector<PoolAction>& actions)
{
    // A network device on the path may drop the state of a connection, which then stays open but never
    // answers. A probe is cheap to answer, so if one is unanswered while the slot answers on other
    // connections, the connection is dead and not slow. If the slot answers on none, it is slow or down, and
    // closing connections would only add the load of opening new ones.
    for (auto entry = this->connections.begin(); entry != this->connections.end();) {
        const bool isDead = entry->second.phase == Phase::Probing && this->isSuspect(entry->second, now)
            && this->lastSlotAnswerAt > entry->second.sentAt;
        if (!isDead) {
            ++entry;
            continue;
        }
        actions.emplace_back(CloseConnection { entry->first });
        entry = this->connections.erase(entry);
    }
}

void ConnectionPool::closeOldestSuspect(Instant now, std::vector<PoolAction>& actions)
{
    // A long-running statement cannot be distinguished from a dead connection, so suspect connections stay
    // open until their deadline while any other connection is left. If the whole budget is suspect and the
    // slot answers on other connections, the oldest suspect is closed, one at a time: otherwise many dead
    // connections at once would block the database until their deadlines.
    const bool isBudgetUsed = this->connections.size() >= this->options.budget;
    if (!isBudgetUsed || now - this->lastSuspectClose < this->options.suspectCloseInterval)
        return;
    auto oldest = this->connections.end();
    for (auto entry = this->connections.begin(); entry != this->connections.end(); ++entry) {
        const bool isHeldWithoutExchange
            = entry->second.phase == Phase::InUse && entry->second.sentAt == noExchange;
        if (isHeldWithoutExchange)
            continue;
        if (!this->isSuspect(entry->second, now))
            return;
        if (oldest == this->connections.end() || entry->second.sentAt < oldest->second.sentAt)
            oldest = entry;
    }
    if (oldest == this->connections.end() || this->lastSlotAnswerAt <= oldest->second.sentAt)
        return;
    this->lastSuspectClose = now;
    actions.emplace_back(CloseConnection { oldest->first });
    this->connections.erase(oldest);
}

void ConnectionPool::probeIdle(Instant now, std::vector<PoolAction>& actions)
{
    for (auto& item : this->connections) {
        auto& entry = item.second;
        if (entry.phase != Phase::Idle || now - entry.lastAnswerAt < this->options.probeAfter)
            continue;
        entry.phase = Phase::Probing;
        entry.phaseSince = now;
        entry.sentAt = now;
        actions.emplace_back(ProbeConnection { item.first });
    }
}

void ConnectionPool::openMissing(Instant now, std::size_t waiting, std::vector<PoolAction>& actions)
{
    if (now < this->nextOpenAt)
        return;
    std::size_t opening = 0;
    std::size_t usable = 0;
    for (const auto& [id, entry] : this->connections) {
        opening += entry.phase == Phase::Opening ? 1 : 0;
        usable += entry.phase == Phase::Opening || entry.phase == Phase::Idle ? 1 : 0;
    }
    // After a failure a single attempt shows whether the slot accepts connections again; several at once
    // could overload a slot that is just recovering.
    const auto maxOpening = this->consecutiveOpenFailures > 0 ? std::size_t { 1 } : this->options.maxOpening;
    while (this->connections.size() < this->options.budget && opening < maxOpening) {
        const bool isNeeded = usable < waiting || this->connections.size() < this->options.minConnections;
        const bool noneUsable = usable == 0 && this->connections.size() < this->options.budget;
        if (!isNeeded && !noneUsable)
            return;
        const auto id = ConnectionId { ++this->lastId };
        this->connections.emplace(id, Entry { .phase = Phase::Opening, .phaseSince = now });
        actions.emplace_back(OpenConnection { id });
        ++opening;
        ++usable;
    }
}

std::optional<ConnectionId> ConnectionPool::acquire(Instant now)
{
    auto selected = this->connections.end();
    for (auto entry = this->connections.begin(); entry != this->connections.end(); ++entry) {
        if (entry->second.phase != Phase::Idle)
            continue;
        if (selected == this->connections.end() || entry->second.lastAnswerAt > selected->second.lastAnswerAt)
            selected = entry;
    }
    if (selected == this->connections.end())
        return std::nullopt;
    selected->second.phase = Phase::InUse;
    selected->second.phaseSince = now;
    return selected->first;
}

bool ConnectionPool::hasRecentAnswer(ConnectionId id, Instant now) const
{
    const auto entry = this->connections.find(id);
    return entry != this->connections.end()
        && now - entry->second.lastAnswerAt < this->options.probeAfter / 2;
}

void ConnectionPool::sent(ConnectionId id, Instant now)
{
    const auto entry = this->connections.find(id);
    if (entry != this->connections.end())
        entry->second.sentAt = now;
}

void ConnectionPool::answered(ConnectionId id, Instant now)
{
    this->slotAnswered(now);
    const auto entry = this->connections.find(id);
    if (entry == this->connections.end())
        return;
    entry->second.sentAt = noExchange;
    entry->second.lastAnswerAt = now;
    if (entry->second.phase == Phase::Probing)
        entry->second.phase = Phase::Idle;
}

void ConnectionPool::release(ConnectionId id, ReleaseState state, Instant now)
{
    const auto entry = this->connections.find(id);
    if (entry == this->connections.end() || entry->second.phase != Phase::InUse)
        return;
    // The next user of the connection would run in an open transaction or read an outstanding answer.
    if (state != ReleaseState::Clean || entry->second.sentAt != noExchange || this->retired) {
        this->toClose.push_back(id);
        this->connections.erase(entry);
        return;
    }
    entry->second.phase = Phase::Idle;
    entry->second.phaseSince = now;
}

void ConnectionPool::lost(ConnectionId id) { this->connections.erase(id); }

void ConnectionPool::opened(ConnectionId id, Instant now)
{
    this->consecutiveOpenFailures = 0;
    this->slotAnswered(now);
    const auto entry = this->connections.find(id);
    if (entry == this->connections.end() || this->retired) {
        this->toClose.push_back(id);
        this->connections.erase(id);
        return;
    }
    entry->second = Entry { .phase = Phase::Idle, .phaseSince = now, .lastAnswerAt = now };
}

void ConnectionPool::openFailed(ConnectionId id, OpenFailure failure, Instant now)
{
    this->connections.erase(id);
    // The refusal is an answer of the slot. Another home proxy with an outdated assignment may hold the
    // connections until it learns the current one, so the next attempt is delayed but not given up.
    if (failure == OpenFailure::CapReached)
        this->slotAnswered(now);
    constexpr std::size_t maxDoublings = 10;
    const Duration delay
        = this->options.initialBackOff * (1LL << std::min(this->consecutiveOpenFailures, maxDoublings));
    this->nextOpenAt = now + std::min(delay, this->options.maxBackOff);
    ++this->consecutiveOpenFailures;
}

void ConnectionPool::retire()
{
    this->retired = true;
    for (auto entry = this->connections.begin(); entry != this->connections.end();) {
        if (entry->second.phase == Phase::InUse) {
            ++entry;
            continue;
        }
        if (entry->second.phase != Phase::Opening)
            this->toClose.push_back(entry->first);
        entry = this->connections.erase(entry);
    }
}

void ConnectionPool::slotAnswered(Instant now) noexcept
{
    this->lastSlotAnswerAt = std::max(this->lastSlotAnswerAt, now);
}

std::size_t ConnectionPool::idle() const noexcept
{
    return static_cast<std::size_t>(std::count_if(this->connections.begin(), this->connections.end(),
        [](const auto& entry) { return entry.second.phase == Phase::Idle; }));
}

std::size_t ConnectionPool::inUse() const noexcept
{
    return static_cast<std::size_t>(std::count_if(this->connections.begin(), this->connections.end(),
        [](const auto& entry) { return entry.second.phase == Phase::InUse; }));
}

} // namespace cyclamendrift
