#include "primary_check.h"
#include "refusals.h"

#include "upstream_home.h"
#include <cyclamendrift/sessions/primary_read.h>

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration firstAttemptTimeout = std::chrono::milliseconds { 2500 };

/// A read that is no read must not change anything, as it may be sent again.
const Statement beginReadOnly { .text = "BEGIN READ ONLY", .parameters = {} };
const Statement commit { .text = "COMMIT", .parameters = {} };

} // namespace

asio::awaitable<HomeAnswer> UpstreamHome::read(HomeRequest request)
{
    if (this->draining)
        throw notRun(RefusalReason::ShuttingDown, "the proxy is shutting down", comeBackSoon);
    this->retryBudget.requested();
    ReadState state { .wanted
        = { .access = request.access, .seen = request.seen, .arrivedAt = this->now() } };
    for (;;) {
        std::optional<UpstreamError> failure;
        try {
            if (auto answer = co_await this->readOnce(request, state))
                co_return std::move(*answer);
        } catch (const UpstreamError& error) {
            if (error.kind() == UpstreamError::Kind::StatementFailed)
                throw ranAndFailed(error);
            failure = error;
        }
        Duration delay = viewLag;
        if (failure) {
            const auto retry = this->retryBudget.retry(state.retries++, this->random);
            if (!retry)
                throw notRunAfter(*failure);
            ++this->counters.retries;
            delay = *retry;
        }
        if (this->now() + delay >= request.deadline) {
            throw notRun(
                RefusalReason::DeadlineExceeded, "no slot could answer before the deadline", comeBackSoon);
        }
        co_await this->pause(delay);
    }
}

asio::awaitable<std::unique_ptr<PooledConnection>> UpstreamHome::connectionForRead(
    const HomeRequest& request, const ReadState& state)
{
    for (;;) {
        const auto choice = state.atPrimary
            ? SlotSelection { NoSlotAvailable {} }
            : this->tracker.selectSlot(state.wanted, this->now(), this->random);
        if (const auto* wait = std::get_if<WaitForReplica>(&choice)) {
            this->confirmations->kick();
            co_await this->pause(
                std::max(std::min(wait->until - this->now(), Duration { viewLag / 10 }), Duration { 1 }));
            continue;
        }
        const auto* replica = std::get_if<ReadFromReplica>(&choice);
        if (replica && this->outliers.isOutlier(replica->slot, this->now())) {
            this->tracker.failed(replica->slot);
            continue;
        }
        if (replica && (!this->slots.contains(replica->slot) || this->leavingSlots.contains(replica->slot))) {
            this->tracker.failed(replica->slot);
            continue;
        }
        auto& lane = replica ? this->laneOf(replica->slot) : *this->primaryLane;
        this->scheduleDispatch();
        if (auto connection = co_await lane.acquire(this->turnFor(request)))
            co_return connection;
    }
}

asio::awaitable<std::optional<HomeAnswer>> UpstreamHome::readOnce(
    const HomeRequest& request, ReadState& state)
{
    auto connection = co_await this->connectionForRead(request, state);
    const auto slot = connection->slotName();
    if (!co_await this->isAlive(*connection, request.deadline))
        co_return std::nullopt;
    if (slot == this->view.primary)
        this->confirmations->kick();
    // A connection that went silent a moment ago cannot be told from a slow answer. The first attempt waits
    // only so long; the second has until the deadline, so that a slow read still comes to its end.
    const bool mayRetry = state.retries == 0 && this->retryBudget.available();
    const auto patience = this->now() + firstAttemptTimeout;
    const auto deadline = mayRetry ? std::min(request.deadline, patience) : request.deadline;
    this->tracker.started(slot);
    std::optional<UpstreamError> failure;
    StatusedAnswer answer;
    try {
        answer = co_await this->sendRead(*connection, request, deadline);
    } catch (const UpstreamError& error) {
        failure = error;
    }
    this->tracker.finished(slot);
    if (failure && failure->kind() == UpstreamError::Kind::StatementFailed)
        co_await connection->rollBack(request.deadline);
    connection.reset();
    if (failure) {
        const bool conflict = slot != this->view.primary && isReplicaConflict(*failure);
        if (failure->kind() != UpstreamError::Kind::StatementFailed || conflict)
            this->tracker.failed(slot);
        if (conflict)
            co_return std::nullopt;
        throw UpstreamError { *failure };
    }
    this->outliers.answered(slot, this->now() - answer.sentAt, this->now());
    this->takeSample({ slot, answer.after, answer.sentAt, this->now() });
    if (slot == this->view.primary)
        co_return co_await this->confirmPrimaryRead(request, std::move(answer), slot);
    if (!this->tracker.provesFreshness(state.wanted, answer.before, answer.after, answer.sentAt)) {
        state.atPrimary = true;
        co_return std::nullopt;
    }
    ++this->counters.replicaReads;
    co_return HomeAnswer {
        .rows = std::move(answer.rows), .seen = std::max(request.seen, answer.after.progress), .slot = slot
    };
}

asio::awaitable<bool> UpstreamHome::isAlive(PooledConnection& connection, Instant deadline)
{
    try {
        co_await connection.prove(deadline);
    } catch (const UpstreamError&) {
        co_return false;
    }
    co_return true;
}

asio::awaitable<UpstreamHome::StatusedAnswer> UpstreamHome::sendRead(
    PooledConnection& connection, const HomeRequest& request, Instant deadline)
{
    const SlotControl control { this->options.slotControl };
    const std::array statements { beginReadOnly, control.statusStatement(), request.statement,
        control.statusStatement(), commit };
    const auto sentAt = this->now();
    auto answers = co_await connection.execute(statements, deadline);
    co_return StatusedAnswer { .rows = std::move(answers.at(2)),
        .before = SlotControl::parse(answers.at(1)),
        .after = SlotControl::parse(answers.at(3)),
        .sentAt = sentAt };
}

asio::awaitable<std::optional<HomeAnswer>> UpstreamHome::confirmPrimaryRead(
    const HomeRequest& request, StatusedAnswer answer, SlotName slot)
{
    // What only the primary holds may vanish with it, and the session would go back in time. And a primary
    // that has been superseded without knowing it would answer with old data.
    const bool usable = actsAsPrimary(answer.before) && actsAsPrimary(answer.after)
        && answer.before.progress >= request.seen;
    if (!usable)
        co_return std::nullopt;
    const auto what = makePrimaryReadOptions(request.access, answer.after, answer.sentAt, request.deadline);
    if (!co_await this->confirmations->confirm(what)) {
        if (this->now() < request.deadline)
            co_return std::nullopt;
        throw notRun(RefusalReason::NotConfirmed, "no replica confirmed what was read", comeBackSoon);
    }
    ++this->counters.primaryReads;
    co_return HomeAnswer { .rows = std::move(answer.rows),
        .seen = std::max(request.seen, answer.after.progress),
        .slot = std::move(slot) };
}

} // namespace cyclamendrift
