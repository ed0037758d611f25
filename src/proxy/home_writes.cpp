#include "primary_check.h"
#include "refusals.h"
#include "upstream_home.h"

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration maxResolvePause = std::chrono::milliseconds { 320 };
/// When a write without an answer is asked after, and how long that may take.
constexpr Duration suspectAfter = std::chrono::milliseconds { 1500 };
constexpr Duration claimPatience = std::chrono::milliseconds { 1000 };
constexpr Duration pruneTimeout = std::chrono::seconds { 5 };

const Statement beginStatement { .text = "BEGIN", .parameters = {} };
const Statement commitStatement { .text = "COMMIT", .parameters = {} };
const Statement rollbackStatement { .text = "ROLLBACK", .parameters = {} };
const Statement beginReadOnly { .text = "BEGIN READ ONLY", .parameters = {} };

RequestError differentStatement()
{
    return notRun(RefusalReason::Conflict, "the request id belongs to another statement of the team");
}

} // namespace

/// Watches a write while an answer of its connection is outstanding.
class UpstreamHome::WriteWatch {
public:
    WriteWatch(UpstreamHome& home, const std::shared_ptr<PooledConnection>& connection, const LedgerKey& key)
        : answered(std::make_shared<bool>(false))
    {
        asio::co_spawn(home.options.executor,
            home.watchWrite(this->answered, connection->slotName(), connection, key), asio::detached);
    }
    ~WriteWatch() { *this->answered = true; }
    WriteWatch(const WriteWatch&) = delete;
    WriteWatch& operator=(const WriteWatch&) = delete;

private:
    std::shared_ptr<bool> answered;
};

asio::awaitable<void> UpstreamHome::watchWrite(
    std::shared_ptr<bool> answered, SlotName slot, std::weak_ptr<PooledConnection> connection, LedgerKey key)
{
    const auto self = this->shared_from_this();
    for (;;) {
        co_await this->pause(suspectAfter);
        const auto entry = this->slots.find(slot);
        if (*answered || entry == this->slots.end())
            co_return;
        const auto connections = entry->second;
        const bool atWork = co_await this->isAtWork(*connections, key);
        const auto suspect = connection.lock();
        if (*answered || !suspect)
            co_return;
        if (!atWork)
            suspect->discard();
    }
}

asio::awaitable<bool> UpstreamHome::isAtWork(SlotConnections& slot, const LedgerKey& key)
{
    // A slow write holds the lock on its row in the ledger, so that another claim of the row waits. An answer
    // without delay means that the write has not begun or has ended: its connection is silent, and its own
    // answer will never come. No answer means that it is being worked on, and it keeps its connection.
    const auto other = slot.acquire();
    if (!other)
        co_return true;
    const std::array statements { beginStatement, this->ledger.claim(key, this->options.wallClock()),
        rollbackStatement };
    try {
        (void)co_await other->execute(statements, this->now() + claimPatience);
    } catch (const UpstreamError&) {
        co_return true;
    }
    co_return false;
}

asio::awaitable<HomeAnswer> UpstreamHome::write(HomeRequest request)
{
    if (this->draining)
        throw notRun(RefusalReason::ShuttingDown, "the proxy is shutting down", comeBackSoon);
    this->retryBudget.requested();
    const LedgerKey key {
        .team = request.team, .request = request.id, .statementHash = Ledger::hashStatement(request.statement)
    };
    const bool idempotent = std::get<Write>(request.access).idempotent;
    for (std::size_t attempt = 0;;) {
        auto result = co_await this->writeOnce(request, key);
        if (auto* answer = std::get_if<HomeAnswer>(&result))
            co_return std::move(*answer);
        auto& failed = std::get<FailedWrite>(result);
        if (failed.failure == WriteFailure::LostCommit) {
            ++this->counters.lostCommits;
            co_return co_await this->resolve(this->turnFor(request), key, request.seen);
        }
        Duration delay = viewLag;
        if (failed.failure == WriteFailure::NotCommitted) {
            if (!idempotent)
                throw RequestError { failed.refusal };
            const auto retry = this->retryBudget.retry(attempt++, this->random);
            if (!retry)
                throw RequestError { failed.refusal };
            ++this->counters.retries;
            delay = *retry;
        }
        if (this->now() + delay >= request.deadline)
            throw RequestError { failed.refusal };
        co_await this->pause(delay);
    }
}

asio::awaitable<UpstreamHome::WriteAttempt> UpstreamHome::writeOnce(
    const HomeRequest& request, const LedgerKey& key)
{
    this->scheduleDispatch();
    std::shared_ptr<PooledConnection> connection
        = co_await this->primaryLane->acquire(this->turnFor(request));
    if (!connection || connection->slotName() != this->view.primary)
        co_return FailedWrite { WriteFailure::TryAnother,
            notRun(RefusalReason::NoPrimary, "the primary changed", comeBackSoon) };
    bool statementSent = false;
    std::optional<WriteWatch> watch;
    std::optional<UpstreamError> failure;
    RowSet rows;
    try {
        co_await connection->prove(request.deadline);
        co_await this->ensureLedger(*connection, request.deadline);
        statementSent = true;
        watch.emplace(*this, connection, key);
        const std::array statements { beginStatement, this->ledger.insert(key, this->options.wallClock()),
            request.statement };
        auto answers = co_await connection->execute(statements, request.deadline);
        rows = std::move(answers.at(2));
    } catch (const UpstreamError& error) {
        failure = error;
    }
    watch.reset();
    if (!failure)
        co_return co_await this->commitWrite(std::move(connection), request, key, std::move(rows));
    if (failure->kind() == UpstreamError::Kind::StatementFailed)
        co_return co_await this->refusedByDatabase(std::move(connection), request, key, *failure);
    // Without its COMMIT the transaction ends with its connection, so this is a true refusal.
    const bool nothingSent = !statementSent || failure->kind() == UpstreamError::Kind::ConnectFailed;
    co_return FailedWrite { nothingSent ? WriteFailure::TryAnother : WriteFailure::NotCommitted,
        notRunAfter(*failure) };
}

asio::awaitable<UpstreamHome::WriteAttempt> UpstreamHome::commitWrite(
    std::shared_ptr<PooledConnection> connection, const HomeRequest& request, const LedgerKey& key,
    RowSet rows)
{
    const SlotControl control { this->options.slotControl };
    const std::array statements { this->ledger.recordAnswer(key, rows), commitStatement,
        control.statusStatement() };
    std::optional<UpstreamError> failure;
    SlotStatus status;
    const auto sentAt = this->now();
    try {
        const WriteWatch watch { *this, connection, key };
        const auto answers = co_await connection->execute(statements, request.deadline);
        status = SlotControl::parse(answers.at(2));
    } catch (const UpstreamError& error) {
        failure = error;
    }
    if (failure && failure->kind() == UpstreamError::Kind::StatementFailed)
        co_await connection->rollBack(request.deadline);
    const auto slot = connection->slotName();
    connection.reset();
    if (failure)
        co_return this->failedCommit(*failure);
    this->takeSample({ slot, status, sentAt, this->now() });
    if (!co_await this->confirmations->confirm(ConfirmationTracker::afterCommit(status, request.deadline)))
        co_return FailedWrite { WriteFailure::LostCommit,
            outcomeUnknown(RefusalReason::NotConfirmed, "no replica confirmed the write") };
    ++this->counters.writes;
    co_return HomeAnswer {
        .rows = std::move(rows), .seen = std::max(request.seen, status.progress), .slot = slot
    };
}

UpstreamHome::FailedWrite UpstreamHome::failedCommit(const UpstreamError& error)
{
    if (error.kind() == UpstreamError::Kind::ConnectFailed)
        return { WriteFailure::NotCommitted, notRunAfter(error) };
    if (error.kind() != UpstreamError::Kind::StatementFailed || leavesCommitOpen(error))
        return { WriteFailure::LostCommit, outcomeUnknown(RefusalReason::UpstreamLost, error.what()) };
    if (isReadOnlyError(error))
        return { WriteFailure::NotCommitted, notRun(RefusalReason::NoPrimary, error.what(), comeBackSoon) };
    throw ranAndFailed(error);
}

asio::awaitable<UpstreamHome::WriteAttempt> UpstreamHome::refusedByDatabase(
    std::shared_ptr<PooledConnection> connection, const HomeRequest& request, const LedgerKey& key,
    UpstreamError error)
{
    co_await connection->rollBack(request.deadline);
    if (isReadOnlyError(error))
        co_return FailedWrite { WriteFailure::TryAnother,
            notRun(RefusalReason::NoPrimary, error.what(), comeBackSoon) };
    if (error.sqlState() != uniqueViolationSqlState)
        throw ranAndFailed(error);
    // Either the ledger knows the request already, or the caller's own statement hit a unique constraint.
    const auto slot = connection->slotName();
    const SlotControl control { this->options.slotControl };
    const std::array statements { beginReadOnly, this->ledger.lookUp(key), control.statusStatement(),
        commitStatement };
    std::optional<UpstreamError> failure;
    LedgerLookupResult finding;
    SlotStatus status;
    try {
        const auto answers = co_await connection->execute(statements, request.deadline);
        finding = Ledger::parseLookupAnswer(answers.at(1), key);
        status = SlotControl::parse(answers.at(2));
    } catch (const UpstreamError& lost) {
        failure = lost;
    }
    connection.reset();
    if (failure)
        co_return FailedWrite { WriteFailure::LostCommit,
            outcomeUnknown(RefusalReason::UpstreamLost, failure->what()) };
    if (std::holds_alternative<NotInLedger>(finding))
        throw ranAndFailed(error);
    if (std::holds_alternative<StatementMismatch>(finding))
        throw differentStatement();
    if (!co_await this->confirmations->confirm(ConfirmationTracker::afterCommit(status, request.deadline)))
        co_return FailedWrite { WriteFailure::LostCommit,
            outcomeUnknown(RefusalReason::NotConfirmed, "not confirmed") };
    ++this->counters.replays;
    co_return HomeAnswer { .rows = std::move(std::get<AlreadyCommitted>(finding).answer),
        .seen = std::max(request.seen, status.progress),
        .replayed = true,
        .slot = slot };
}

asio::awaitable<void> UpstreamHome::ensureLedger(PooledConnection& connection, Instant deadline)
{
    // A promotion may lose a table that was created just before it, so each term creates it anew.
    const auto term = this->view.term;
    if (this->ledgerTerm == term)
        co_return;
    const std::array statements { this->ledger.createTable() };
    std::optional<UpstreamError> failure;
    try {
        (void)co_await connection.execute(statements, deadline);
    } catch (const UpstreamError& error) {
        failure = error;
    }
    // Two that create it at once may collide; it exists then.
    constexpr auto duplicateTableState = "42P07";
    const bool collided = failure
        && (failure->sqlState() == uniqueViolationSqlState || failure->sqlState() == duplicateTableState);
    if (failure && !collided)
        throw UpstreamError { *failure };
    this->ledgerTerm = term;
}

asio::awaitable<HomeAnswer> UpstreamHome::resolve(Lane::Request turn, LedgerKey key, Progress seen)
{
    Duration delay = viewLag;
    while (this->now() + delay < turn.deadline) {
        co_await this->pause(delay);
        delay = std::min<Duration>(delay * 2, maxResolvePause);
        try {
            if (auto answer = co_await this->resolveOnce(turn, key, seen))
                co_return std::move(*answer);
        } catch (const UpstreamError&) {
            continue;
        }
    }
    throw outcomeUnknown(RefusalReason::UpstreamLost,
        "the commit got no answer in time; send the same request id again to learn its outcome",
        comeBackSoon);
}

asio::awaitable<std::optional<HomeAnswer>> UpstreamHome::resolveOnce(
    const Lane::Request& turn, const LedgerKey& key, Progress seen)
{
    this->scheduleDispatch();
    std::unique_ptr<PooledConnection> connection;
    try {
        connection = co_await this->primaryLane->acquire(turn);
    } catch (const RequestError& refusal) {
        throw outcomeUnknown(refusal.reason(), refusal.what(), refusal.retryAfter());
    }
    if (!connection)
        co_return std::nullopt;
    co_await connection->prove(turn.deadline);
    co_await this->ensureLedger(*connection, turn.deadline);
    const SlotControl control { this->options.slotControl };
    const std::array statements { beginStatement, this->ledger.claim(key, this->options.wallClock()),
        this->ledger.lookUp(key), rollbackStatement, control.statusStatement() };
    const auto sentAt = this->now();
    std::optional<UpstreamError> failure;
    std::vector<RowSet> answers;
    try {
        answers = co_await connection->execute(statements, turn.deadline);
    } catch (const UpstreamError& error) {
        failure = error;
    }
    if (failure) {
        if (failure->kind() == UpstreamError::Kind::StatementFailed)
            co_await connection->rollBack(turn.deadline);
        co_return std::nullopt;
    }
    const auto slot = connection->slotName();
    connection.reset();
    const auto status = SlotControl::parse(answers.at(4));
    // Only a primary that is still in force tells the fate: on a superseded one the row may be missing, or
    // may be there and be lost. And until a replica is in its term as well, a later promotion could bring
    // back a log that holds the row.
    if (!actsAsPrimary(status)
        || !co_await this->confirmations->confirm(
            { .progress = status.progress, .notBefore = sentAt, .deadline = turn.deadline }))
        co_return std::nullopt;
    ++this->counters.resolvedCommits;
    if (answers.at(1).affectedRows == 1)
        throw notRun(RefusalReason::UpstreamLost, "the connection was lost and the write was rolled back",
            comeBackSoon);
    auto finding = Ledger::parseLookupAnswer(answers.at(2), key);
    if (!std::holds_alternative<AlreadyCommitted>(finding))
        throw differentStatement();
    ++this->counters.writes;
    co_return HomeAnswer { .rows = std::move(std::get<AlreadyCommitted>(finding).answer),
        .seen = std::max(seen, status.progress),
        .slot = slot };
}

asio::awaitable<void> UpstreamHome::pruneLedger()
{
    const auto self = this->shared_from_this();
    const auto entry = this->slots.find(this->view.primary);
    // Only on a connection that nobody waits for.
    if (entry == this->slots.end() || this->primaryLane->waiting() > 0)
        co_return;
    const auto connection = entry->second->acquire();
    if (!connection)
        co_return;
    this->pruning = true;
    try {
        const std::array statements { this->ledger.deleteExpiredRows(this->options.wallClock()) };
        (void)co_await connection->execute(statements, this->now() + pruneTimeout);
    } catch (const UpstreamError&) {
        // The next round deletes what this one has left.
        this->nextPrune = this->now() + pruneTimeout;
    }
    this->pruning = false;
}

} // namespace cyclamendrift
