#include "control_slot.h"

#include <cyclamendrift/upstreams/upstream_error.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <chrono>
#include <utility>

namespace cyclamendrift {

namespace {

/// Beyond this many waiting calls a slot is not answering, and older orders have been overtaken.
constexpr std::size_t waitingAtMost = 4;

Instant steadyNow() { return std::chrono::steady_clock::now(); }

/// A refusal shows that the slot lives; silence does not.
bool showsLife(UpstreamError::Kind kind)
{
    return kind == UpstreamError::Kind::StatementFailed || kind == UpstreamError::Kind::TooManyConnections;
}

} // namespace

ControlSlot::ControlSlot(Options options)
    : options(std::move(options))
    , control(this->options.control)
{
}

void ControlSlot::call(SlotOrder order, Done done)
{
    if (this->closed)
        return;
    if (this->calls.size() >= waitingAtMost)
        this->calls.pop_front();
    this->calls.push_back({ .order = std::move(order), .done = std::move(done) });
    if (this->working)
        return;
    this->working = true;
    asio::co_spawn(this->options.executor, this->work(), asio::detached);
}

asio::awaitable<SlotResult> ControlSlot::status()
{
    const auto self = this->shared_from_this();
    const auto result = std::make_shared<SlotResult>();
    const auto timer = std::make_shared<asio::steady_timer>(this->options.executor);
    timer->expires_after(this->options.callTimeout);
    this->call(StatusOrder {}, [result, timer](const SlotResult& answered) {
        *result = answered;
        timer->cancel();
    });
    try {
        co_await timer->async_wait(asio::use_awaitable);
    } catch (const std::system_error&) {
        // cancelled by the answer
    }
    co_return *result;
}

void ControlSlot::close()
{
    this->closed = true;
    this->calls.clear();
    if (this->connection)
        this->connection->close();
}

asio::awaitable<void> ControlSlot::work()
{
    const auto self = this->shared_from_this();
    while (!this->calls.empty()) {
        auto next = std::move(this->calls.front());
        this->calls.pop_front();
        const auto result = co_await this->run(std::move(next.order));
        if (!this->closed)
            next.done(result);
    }
    this->working = false;
    if (this->closed)
        this->connection.reset();
}

asio::awaitable<SlotResult> ControlSlot::run(SlotOrder order)
{
    SlotResult result;
    const auto deadline = steadyNow() + this->options.callTimeout;
    try {
        if (!this->connection) {
            auto where = this->options.connection;
            this->connection
                = co_await this->options.connector(this->options.executor, std::move(where), deadline);
        }
        const auto askedAt = steadyNow();
        const auto status = co_await this->send(std::move(order), deadline);
        result.reachable = true;
        result.sample = StatusSample {
            .slot = this->options.name, .status = status, .askedAt = askedAt, .receivedAt = steadyNow()
        };
        co_return result;
    } catch (const UpstreamError& error) {
        result.reachable = showsLife(error.kind());
        if (error.kind() == UpstreamError::Kind::StatementFailed)
            co_return result;
    } catch (const std::exception&) {
        result.reachable = false;
    }
    // Something between the two ends may have lost track of this connection while new ones work, so the next
    // call opens a new one.
    if (this->connection)
        this->connection->close();
    this->connection.reset();
    co_return result;
}

asio::awaitable<SlotStatus> ControlSlot::send(SlotOrder order, Instant deadline)
{
    auto& open = *this->connection;
    if (const auto* fence = std::get_if<FenceOrder>(&order))
        co_return co_await this->control.fence(open, fence->term, deadline);
    if (const auto* promote = std::get_if<PromoteOrder>(&order))
        co_return co_await this->control.promote(open, promote->term, deadline);
    if (const auto* follow = std::get_if<FollowOrder>(&order))
        co_return co_await this->control.follow(open, follow->term, follow->primary, deadline);
    co_return co_await this->control.status(open, deadline);
}

Connection::Options slotConnection(const GroupDriver::Options& options, const api::Slot& slot)
{
    auto connection = options.credentials;
    connection.host = slot.address();
    connection.port = static_cast<std::uint16_t>(slot.port());
    connection.databaseName = options.description.name();
    return connection;
}

} // namespace cyclamendrift
