#include "lane.h"

#include <utility>

namespace cyclamendrift {

namespace {

std::string messageFor(RefusalReason reason)
{
    return reason == RefusalReason::NoPrimary
        ? "the primary is being replaced, and that takes longer than the request can wait"
        : "the database cannot serve the request before its deadline";
}

} // namespace

Lane::Lane(Options options)
    : options(std::move(options))
    , fairQueue(this->options.queue)
{
}

asio::awaitable<std::unique_ptr<PooledConnection>> Lane::acquire(Request request)
{
    const auto self = this->shared_from_this();
    const auto now = this->options.timers->now();
    const QueuedRequest queued { .ticket = QueueTicket { ++this->lastTicket },
        .team = request.team,
        .weight = request.weight,
        .priority = request.priority,
        .deadline = request.deadline };
    auto admission = this->fairQueue.push(queued, now);
    if (const auto* refusal = std::get_if<QueueRefusal>(&admission))
        throw notRun(refusal->reason, messageFor(refusal->reason), refusal->retryAfter);
    if (const auto& evicted = std::get<Queued>(admission).evicted)
        this->give(*evicted,
            notRun(
                RefusalReason::Overloaded, "the queue is full", this->fairQueue.expectedWait(*evicted, now)));
    const auto turn = std::make_shared<OneShot<Turn>>(this->options.executor);
    this->waitingTurns.emplace(queued.ticket, Waiting { std::move(request.key), turn });
    auto result = co_await OneShot<Turn>::take(turn);
    if (const auto* refusal = std::get_if<RequestError>(&result))
        throw RequestError { *refusal };
    co_return std::move(std::get<std::unique_ptr<PooledConnection>>(result));
}

void Lane::give(const QueuedRequest& request, Turn turn)
{
    const auto waiting = this->waitingTurns.find(request.ticket);
    if (waiting == this->waitingTurns.end())
        return;
    const auto target = std::move(waiting->second.turn);
    this->waitingTurns.erase(waiting);
    target->set(std::move(turn));
}

std::unique_ptr<PooledConnection> Lane::charge(
    std::unique_ptr<PooledConnection> connection, const QueuedRequest& request)
{
    connection->onReturn = [weak = this->weak_from_this(), request, since = this->options.timers->now()] {
        if (const auto lane = weak.lock())
            lane->fairQueue.finished(request, lane->options.timers->now() - since);
    };
    return connection;
}

void Lane::serve(SlotConnections& slot)
{
    this->expire();
    while (this->fairQueue.size() > 0) {
        auto connection = slot.acquire();
        if (!connection)
            return;
        const auto request = this->fairQueue.pop();
        if (!request)
            return;
        // One whose key was withdrawn while it waited has been answered already.
        if (this->waitingTurns.contains(request->ticket))
            this->give(*request, this->charge(std::move(connection), *request));
    }
}

void Lane::expire()
{
    for (const auto& request : this->fairQueue.expire(this->options.timers->now()))
        this->give(request, notRun(RefusalReason::DeadlineExceeded, "no connection became free in time", {}));
}

void Lane::reroute()
{
    for (const auto& request : this->fairQueue.clear(this->options.timers->now()))
        this->give(request, std::unique_ptr<PooledConnection> {});
}

void Lane::refuseAll(const RequestError& refusal)
{
    for (const auto& request : this->fairQueue.clear(this->options.timers->now()))
        this->give(request, RequestError { refusal });
}

void Lane::refuseKey(const KeyId& key)
{
    for (auto waiting = this->waitingTurns.begin(); waiting != this->waitingTurns.end();) {
        if (waiting->second.key != key) {
            ++waiting;
            continue;
        }
        const auto turn = std::move(waiting->second.turn);
        waiting = this->waitingTurns.erase(waiting);
        turn->set(notRun(RefusalReason::BadKey, "the key was withdrawn while the request waited", {}));
    }
}

} // namespace cyclamendrift
