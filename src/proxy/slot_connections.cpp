#include "slot_connections.h"

#include <cyclamendrift/upstreams/upstream_error.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamendrift {

namespace {

/// Longer than the pool's patience: whether an unanswered probe is a silent connection or a slow slot is for
/// the pool to say.
constexpr Duration probeTimeout = std::chrono::seconds { 10 };
constexpr Duration proofTimeout = std::chrono::seconds { 1 };

const Statement rollbackStatement { .text = "ROLLBACK", .parameters = {} };

} // namespace

PooledConnection::PooledConnection(
    std::shared_ptr<SlotConnections> slot, ConnectionId id, std::shared_ptr<Connection> connection)
    : slot(std::move(slot))
    , id(id)
    , connection(std::move(connection))
{
}

PooledConnection::~PooledConnection()
{
    this->slot->giveBack(this->id, *this->connection);
    if (this->onReturn)
        this->onReturn();
    this->slot->options.onChange();
}

asio::awaitable<std::vector<RowSet>> PooledConnection::execute(
    std::span<const Statement> statements, Instant deadline)
{
    auto& pool = this->slot->pool;
    pool.sent(this->id, this->slot->now());
    try {
        auto answers = co_await this->connection->execute(statements, deadline);
        pool.answered(this->id, this->slot->now());
        co_return answers;
    } catch (const UpstreamError& error) {
        if (error.kind() == UpstreamError::Kind::StatementFailed)
            pool.answered(this->id, this->slot->now());
        else
            this->discard();
        throw;
    }
}

asio::awaitable<void> PooledConnection::prove(Instant deadline)
{
    if (this->hasRecentAnswer())
        co_return;
    const std::array statements { this->slot->control.statusStatement() };
    (void)co_await this->execute(statements, std::min(deadline, this->slot->now() + proofTimeout));
}

asio::awaitable<void> PooledConnection::rollBack(Instant deadline)
{
    try {
        (void)co_await this->execute({ &rollbackStatement, 1 }, deadline);
    } catch (const UpstreamError&) {
        this->discard();
    }
}

void PooledConnection::discard() noexcept { this->slot->drop(this->id, *this->connection); }

bool PooledConnection::hasRecentAnswer() const
{
    return this->slot->pool.hasRecentAnswer(this->id, this->slot->now());
}

const SlotName& PooledConnection::slotName() const noexcept { return this->slot->name(); }

SlotConnections::SlotConnections(Options options)
    : options(std::move(options))
    , control(this->options.slotControl)
    , pool(this->options.pool)
{
}

void SlotConnections::update(std::size_t waiting)
{
    for (const auto& action : this->pool.update(this->now(), waiting))
        std::visit([this](const auto& what) { this->act(what); }, action);
}

void SlotConnections::act(const OpenConnection& action)
{
    asio::co_spawn(this->options.executor, this->open(action.id), asio::detached);
}

void SlotConnections::act(const CloseConnection& action)
{
    const auto entry = this->connections.find(action.id);
    if (entry == this->connections.end())
        return;
    entry->second->close();
    this->connections.erase(entry);
}

void SlotConnections::act(const ProbeConnection& action)
{
    const auto entry = this->connections.find(action.id);
    if (entry == this->connections.end()) {
        this->pool.lost(action.id);
        return;
    }
    asio::co_spawn(this->options.executor, this->probe(action.id, entry->second), asio::detached);
}

asio::awaitable<void> SlotConnections::open(ConnectionId id)
{
    const auto self = this->shared_from_this();
    try {
        const auto deadline = this->now() + this->options.connectTimeout;
        auto connection
            = co_await this->options.connector(this->options.executor, this->options.target, deadline);
        this->connections.emplace(id, std::move(connection));
        this->pool.opened(id, this->now());
    } catch (const UpstreamError& error) {
        const bool full = error.kind() == UpstreamError::Kind::TooManyConnections;
        this->pool.openFailed(id, full ? OpenFailure::CapReached : OpenFailure::Unreachable, this->now());
    }
    if (this->retired)
        this->update(0);
    this->options.onChange();
}

asio::awaitable<void> SlotConnections::probe(ConnectionId id, std::shared_ptr<Connection> connection)
{
    const auto self = this->shared_from_this();
    const auto askedAt = this->now();
    try {
        const std::array statements { this->control.statusStatement() };
        const auto answers = co_await connection->execute(statements, askedAt + probeTimeout);
        this->pool.answered(id, this->now());
        this->options.onSample(
            { this->options.name, SlotControl::parse(answers.at(0)), askedAt, this->now() });
    } catch (const UpstreamError&) {
        this->drop(id, *connection);
    }
    this->options.onChange();
}

std::unique_ptr<PooledConnection> SlotConnections::acquire()
{
    for (;;) {
        const auto id = this->pool.acquire(this->now());
        if (!id)
            return nullptr;
        const auto entry = this->connections.find(*id);
        // The other end may have closed it while it was idle.
        if (entry != this->connections.end() && entry->second->isClean())
            return std::make_unique<PooledConnection>(this->shared_from_this(), *id, entry->second);
        this->pool.lost(*id);
        this->connections.erase(*id);
    }
}

void SlotConnections::giveBack(ConnectionId id, const Connection& connection)
{
    const auto state = connection.isClean() ? ReleaseState::Clean : ReleaseState::Dirty;
    this->pool.release(id, state, this->now());
    if (this->retired)
        this->update(0);
}

void SlotConnections::drop(ConnectionId id, Connection& connection)
{
    connection.close();
    this->pool.lost(id);
    this->connections.erase(id);
}

void SlotConnections::retire()
{
    this->retired = true;
    this->pool.retire();
    this->update(0);
}

void SlotConnections::abandon()
{
    this->retire();
    for (const auto& [id, connection] : this->connections)
        connection->close();
}

bool SlotConnections::isOutOfReach() const
{
    return this->pool.size() == 0 && this->pool.isBackingOff(this->now());
}

} // namespace cyclamendrift
