#include "primary_check.h"
#include "refusals.h"
#include "upstream_home.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamendrift {

namespace {

const Statement beginStatement { .text = "BEGIN", .parameters = {} };
const Statement commitStatement { .text = "COMMIT", .parameters = {} };

RequestError rolledBack(const std::string& why)
{
    return notRun(RefusalReason::UpstreamLost, "the transaction was rolled back: " + why, comeBackSoon);
}

} // namespace

std::shared_ptr<PooledConnection> UpstreamHome::pinnedConnection(PinnedConnectionId number) const
{
    const auto entry = this->pinned.find(number);
    if (entry == this->pinned.end())
        throw rolledBack("its connection is gone");
    return entry->second;
}

asio::awaitable<TransactionId> UpstreamHome::beginHere(BeginHomeRequest request)
{
    if (this->draining)
        throw notRun(RefusalReason::ShuttingDown, "the proxy is shutting down", comeBackSoon);
    this->transactions.reserve(request.team);
    std::shared_ptr<PooledConnection> connection;
    try {
        connection = co_await this->openTransaction(request);
    } catch (...) {
        this->transactions.releaseReservation(request.team);
        throw;
    }
    const PinnedConnectionId number { ++this->lastPinned };
    this->pinned.emplace(number, std::move(connection));
    ++this->counters.transactions;
    co_return this->transactions.open(
        { .team = request.team, .key = request.key, .connection = number }, this->now());
}

asio::awaitable<std::unique_ptr<PooledConnection>> UpstreamHome::openTransaction(
    const BeginHomeRequest& request)
{
    const SlotControl control { this->options.slotControl };
    const std::array statements { beginStatement, control.statusStatement() };
    for (;;) {
        this->scheduleDispatch();
        auto connection = co_await this->primaryLane->acquire(this->turnFor(request));
        try {
            // Nothing has been asked for yet, so another connection may be tried whatever happens to this
            // one.
            if (connection) {
                co_await this->ensureLedger(*connection, request.deadline);
                const auto answers = co_await connection->execute(statements, request.deadline);
                const auto status = SlotControl::parse(answers.at(1));
                if (actsAsPrimary(status) && status.progress >= request.seen)
                    co_return connection;
                connection->discard();
            }
        } catch (const UpstreamError& error) {
            if (error.kind() == UpstreamError::Kind::TimedOut)
                throw notRunAfter(error);
        }
        connection.reset();
        if (this->now() + viewLag >= request.deadline)
            throw notRun(RefusalReason::NoPrimary, "no primary could be reached", comeBackSoon);
        co_await this->pause(viewLag);
    }
}

asio::awaitable<HomeAnswer> UpstreamHome::executeInTransaction(HomeRequest request, TransactionId transaction)
{
    const auto lease = this->transactions.beginExchange(transaction, request.team, request.key, this->now());
    std::optional<UpstreamError> failure;
    RowSet rows;
    SlotName slot;
    try {
        const auto connection = this->pinnedConnection(lease.connection);
        slot = connection->slotName();
        auto answers = co_await connection->execute({ &request.statement, 1 }, request.deadline);
        rows = std::move(answers.at(0));
    } catch (const UpstreamError& error) {
        failure = error;
    }
    const bool refused = failure && failure->kind() == UpstreamError::Kind::StatementFailed;
    const auto result = refused ? ExchangeResult::StatementFailed
        : failure               ? ExchangeResult::ConnectionLost
                                : ExchangeResult::Answered;
    const auto after = this->transactions.endExchange(transaction, lease.exchange, result, this->now());
    if (after == TransactionAction::RollBack)
        this->endTransactions({ { transaction, lease.connection } });
    if (after != TransactionAction::KeepOpen)
        throw rolledBack(failure ? failure->what() : "it had been ended");
    if (refused)
        throw ranAndFailed(*failure);
    co_return HomeAnswer { .rows = std::move(rows), .seen = request.seen, .slot = slot };
}

asio::awaitable<Progress> UpstreamHome::endHere(EndHomeRequest request)
{
    const LedgerKey key { .team = request.team,
        .request = request.id,
        .statementHash
        = Ledger::hashStatement({ .text = "commit", .parameters = { request.transaction.string() } }) };
    TransactionLease lease;
    std::optional<RequestError> unknown;
    try {
        lease = this->transactions.beginExchange(request.transaction, request.team, request.key, this->now());
    } catch (const RequestError& error) {
        if (!request.commit || error.reason() != RefusalReason::UnknownTransaction)
            throw;
        unknown = error;
    }
    if (unknown) {
        // A commit that was sent before and got no answer: the ledger knows whether it took effect.
        const auto answer = co_await this->resolve(this->turnFor(request), key, Progress {});
        co_return answer.seen;
    }
    const auto connection = this->pinnedConnection(lease.connection);
    this->pinned.erase(lease.connection);
    if (!request.commit || lease.failed) {
        co_await connection->rollBack(request.deadline);
        (void)this->transactions.close(request.transaction, lease.exchange);
        if (request.commit) {
            throw RequestError { { Outcome::RanAndFailed, RefusalReason::StatementFailed,
                "a statement of the transaction had failed; it was rolled back" } };
        }
        co_return Progress {};
    }
    co_return co_await this->commitPinned(connection, request, key, lease.exchange);
}

asio::awaitable<Progress> UpstreamHome::commitPinned(std::shared_ptr<PooledConnection> connection,
    const EndHomeRequest& request, const LedgerKey& key, ExchangeId exchange)
{
    const SlotControl control { this->options.slotControl };
    std::optional<UpstreamError> failure;
    bool commitSent = false;
    SlotStatus status;
    const auto sentAt = this->now();
    try {
        co_await connection->prove(request.deadline);
        co_await this->claimForCommit(*connection, request, key);
        commitSent = true;
        const std::array statements { commitStatement, control.statusStatement() };
        const auto answers = co_await connection->execute(statements, request.deadline);
        status = SlotControl::parse(answers.at(1));
    } catch (const UpstreamError& error) {
        failure = error;
    }
    if (failure && failure->kind() == UpstreamError::Kind::StatementFailed)
        co_await connection->rollBack(request.deadline);
    // Its key may have been withdrawn meanwhile; what has been committed stays so, and the answer is true.
    (void)this->transactions.close(request.transaction, exchange);
    const auto slot = connection->slotName();
    connection.reset();
    if (failure && failure->kind() == UpstreamError::Kind::StatementFailed) {
        if (isReadOnlyError(*failure))
            throw rolledBack(failure->what());
        throw ranAndFailed(*failure);
    }
    if (failure && !commitSent)
        throw rolledBack(failure->what());
    if (!failure) {
        this->takeSample({ slot, status, sentAt, this->now() });
        if (co_await this->confirmations->confirm(ConfirmationTracker::afterCommit(status, request.deadline)))
            co_return status.progress;
    }
    ++this->counters.lostCommits;
    const auto answer = co_await this->resolve(this->turnFor(request), key, Progress {});
    co_return answer.seen;
}

asio::awaitable<void> UpstreamHome::claimForCommit(
    PooledConnection& connection, const EndHomeRequest& request, const LedgerKey& key)
{
    const std::array statements { this->ledger.insert(key, this->options.wallClock()) };
    (void)co_await connection.execute(statements, request.deadline);
}

} // namespace cyclamendrift
