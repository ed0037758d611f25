#include "upstream_home.h"

#include "refusals.h"

#include <cyclamendrift/connections/connection_budget.h>
#include <cyclamendrift/runtime/asio_timer_service.h>
#include <cyclamendrift/transactions/statement_guard.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds { 50 };
constexpr Duration drainCheckInterval = std::chrono::milliseconds { 20 };

WallClockTime systemTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

DatabaseHomeOptions withDefaults(DatabaseHomeOptions options)
{
    if (!options.timers)
        options.timers = std::make_shared<AsioTimerService>(options.executor);
    if (!options.wallClock)
        options.wallClock = &systemTime;
    return options;
}

TransactionTable::Options transactionOptions(const DatabaseHomeOptions& options)
{
    // Some connections are kept for single statements, or a few open transactions would stop them all.
    const auto budget = connectionBudget(options.description.connection_cap()).traffic;
    const auto maxOpen = std::max<std::size_t>(budget / 2, 1);
    return { .vm = options.vm,
        .idleTimeout = options.transactionIdleTimeout,
        .maxOpen = maxOpen,
        .maxOpenPerTeam = std::max<std::size_t>(maxOpen / 2, 1) };
}

} // namespace

/// Counts a request from its acceptance to its answer, so that drain() knows when all is done.
class UpstreamHome::InFlight {
public:
    explicit InFlight(UpstreamHome& home) noexcept
        : home(home)
    {
        ++this->home.inFlight;
    }
    ~InFlight() { --this->home.inFlight; }
    InFlight(const InFlight&) = delete;
    InFlight& operator=(const InFlight&) = delete;

private:
    UpstreamHome& home;
};

UpstreamHome::UpstreamHome(DatabaseHomeOptions given)
    : options(withDefaults(std::move(given)))
    , random(this->options.seed)
    , ledger(this->options.ledger)
    , tracker(ReplicaTracker::Options {})
    , transactions(transactionOptions(this->options), this->random)
    , retryBudget(RetryBudget::Options {})
    , outliers(OutlierDetector::Options {})
    , primaryLane(this->makeLane())
{
}

std::shared_ptr<Lane> UpstreamHome::makeLane() const
{
    return std::make_shared<Lane>(Lane::Options { .executor = this->options.executor,
        .timers = this->options.timers,
        .queue = { .connections = this->trafficBudget() } });
}

void UpstreamHome::start()
{
    const auto weak = this->weak_from_this();
    this->confirmations
        = std::make_shared<Confirmations>(Confirmations::Options { .executor = this->options.executor,
            .timers = this->options.timers,
            .connectionsOf = [weak](const SlotName& name) -> std::shared_ptr<SlotConnections> {
                const auto self = weak.lock();
                if (!self || !self->slots.contains(name))
                    return nullptr;
                return self->slots.at(name);
            },
            .onSample =
                [weak](const StatusSample& sample) {
                    if (const auto self = weak.lock())
                        self->takeSample(sample);
                } });
    asio::post(this->options.executor, [self = this->shared_from_this()] {
        self->nextPrune = self->now();
        self->outageSince = self->now();
        self->ticks = self->options.timers->every(tickInterval, [weak = self->weak_from_this()](Instant) {
            if (const auto home = weak.lock())
                home->tick();
        });
        self->updateSlots();
        self->tick();
    });
}

template <class Request> Lane::Request UpstreamHome::turnFor(const Request& request) const
{
    auto priority = Priority::High;
    if constexpr (requires { request.priority; })
        priority = request.priority;
    return { .team = request.team,
        .key = request.key,
        .weight = this->options.weightOf ? this->options.weightOf(request.team) : 1,
        .priority = priority,
        .deadline = request.deadline };
}

template Lane::Request UpstreamHome::turnFor(const HomeRequest& request) const;
template Lane::Request UpstreamHome::turnFor(const BeginHomeRequest& request) const;
template Lane::Request UpstreamHome::turnFor(const EndHomeRequest& request) const;

asio::awaitable<void> UpstreamHome::pause(Duration duration)
{
    return sleepFor(this->options.executor, *this->options.timers, duration);
}

void UpstreamHome::count(const RequestError& refusal)
{
    switch (refusal.outcome()) {
    case Outcome::NotRun:
        ++this->counters.notRun;
        return;
    case Outcome::Unknown:
        ++this->counters.unknown;
        return;
    case Outcome::RanAndFailed:
        ++this->counters.ranAndFailed;
        return;
    }
}

template <class Result> asio::awaitable<Result> UpstreamHome::counted(asio::awaitable<Result> work)
{
    const auto self = this->shared_from_this();
    const InFlight guard { *this };
    try {
        co_return co_await std::move(work);
    } catch (const RequestError& refusal) {
        this->count(refusal);
        throw;
    }
}

asio::awaitable<HomeAnswer> UpstreamHome::execute(HomeRequest request)
{
    const auto self = this->shared_from_this();
    if (isSessionControlStatement(request.statement.text)) {
        throw notRun(RefusalReason::BadRequest,
            "transactions are begun and ended by their own calls, and settings of a session cannot be "
            "changed");
    }
    auto work = request.transaction ? this->executeInTransaction(request, *request.transaction)
        : std::holds_alternative<Write>(request.access) ? this->write(request)
                                                        : this->read(request);
    co_return co_await asio::co_spawn(
        this->options.executor, this->counted(std::move(work)), asio::use_awaitable);
}

asio::awaitable<TransactionId> UpstreamHome::begin(BeginHomeRequest request)
{
    const auto self = this->shared_from_this();
    co_return co_await asio::co_spawn(
        this->options.executor, this->counted(this->beginHere(std::move(request))), asio::use_awaitable);
}

asio::awaitable<Progress> UpstreamHome::end(EndHomeRequest request)
{
    const auto self = this->shared_from_this();
    co_return co_await asio::co_spawn(
        this->options.executor, this->counted(this->endHere(std::move(request))), asio::use_awaitable);
}

void UpstreamHome::withdrawKey(const KeyId& key)
{
    asio::post(this->options.executor, [self = this->shared_from_this(), key] {
        self->primaryLane->refuseKey(key);
        for (const auto& [name, lane] : self->replicaLanes)
            lane->refuseKey(key);
        self->endTransactions(self->transactions.withdrawKey(key));
    });
}

void UpstreamHome::endTransactions(const std::vector<TransactionTable::Ended>& ended)
{
    for (const auto& transaction : ended) {
        ++this->counters.transactionsEnded;
        const auto entry = this->pinned.find(transaction.connection);
        if (entry == this->pinned.end())
            continue;
        // Closing is the surest rollback: nothing that is still to come over the connection can be mistaken.
        entry->second->discard();
        this->pinned.erase(entry);
    }
}

asio::awaitable<void> UpstreamHome::drain()
{
    const auto wait = [](std::shared_ptr<UpstreamHome> self) -> asio::awaitable<void> {
        self->draining = true;
        while (self->inFlight > 0 || self->transactions.size() > 0)
            co_await self->pause(drainCheckInterval);
        self->drained = true;
        self->confirmations->stop();
        self->updateSlots();
        self->ticks.reset();
    };
    co_await asio::co_spawn(this->options.executor, wait(this->shared_from_this()), asio::use_awaitable);
}

void UpstreamHome::publishStatus()
{
    HomeStatus next { .term = this->view.term,
        .primary = this->view.primary,
        .state = this->isServing()                              ? "serving"
            : this->view.phase == GroupView::Phase::FailingOver ? "failing over"
                                                                : "no primary",
        .queued = this->primaryLane->waiting(),
        .openTransactions = this->transactions.size(),
        .counters = this->counters };
    for (const auto& [name, lane] : this->replicaLanes)
        next.queued += lane->waiting();
    for (const auto& [name, slot] : this->slots)
        next.connections += slot->size();
    const std::scoped_lock lock { this->statusMutex };
    this->published = std::move(next);
}

HomeStatus UpstreamHome::status() const
{
    const std::scoped_lock lock { this->statusMutex };
    return this->published;
}

std::shared_ptr<DatabaseHome> makeDatabaseHome(DatabaseHomeOptions options)
{
    auto home = std::make_shared<UpstreamHome>(std::move(options));
    home->start();
    return home;
}

} // namespace cyclamendrift
