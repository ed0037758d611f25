#pragma once

#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/proxy/group_driver.h>
#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/slot_control.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <variant>

namespace cyclamendrift {

struct StatusOrder { };
struct FenceOrder {
    Term term {};
};
struct PromoteOrder {
    Term term {};
};
struct FollowOrder {
    Term term {};
    SlotName primary;
};
/// What may be asked of a slot over its control connection.
using SlotOrder = std::variant<StatusOrder, FenceOrder, PromoteOrder, FollowOrder>;

/// What came of it.
struct SlotResult {
    bool reachable = false;
    /// Empty when the slot answered with an error, or had no connection to spare.
    std::optional<StatusSample> sample;
};

/// The control connection to one slot, opened when first needed; one call at a time, in order.
class ControlSlot : public std::enable_shared_from_this<ControlSlot> {
public:
    using Done = std::function<void(const SlotResult&)>;

    struct Options {
        asio::any_io_executor executor;
        SlotName name;
        Connection::Options connection;
        std::function<asio::awaitable<std::unique_ptr<Connection>>(
            asio::any_io_executor executor, Connection::Options options, Instant deadline)>
            connector;
        SlotControl::Options control;
        Duration callTimeout {};
    };

    explicit ControlSlot(Options options);

    [[nodiscard]] const SlotName& name() const noexcept { return this->options.name; }
    [[nodiscard]] bool isBusy() const noexcept { return this->working; }

    /// Calls back when the slot has answered or the time limit has passed.
    void call(SlotOrder order, Done done);

    /// Reads the status behind the calls that wait already.
    [[nodiscard]] asio::awaitable<SlotResult> status();

    /// Drops what waits and closes the connection.
    void close();

private:
    struct Call {
        SlotOrder order;
        Done done;
    };

    asio::awaitable<void> work();
    asio::awaitable<SlotResult> run(SlotOrder order);
    asio::awaitable<SlotStatus> send(SlotOrder order, Instant deadline);

    Options options;
    SlotControl control;
    std::unique_ptr<Connection> connection;
    std::deque<Call> calls;
    bool working = false;
    bool closed = false;
};

/// Where a slot is and how to log in there.
[[nodiscard]] Connection::Options slotConnection(const GroupDriver::Options& options, const api::Slot& slot);

} // namespace cyclamendrift
