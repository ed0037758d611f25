#pragma once

#include "slot_connections.h"
#include <cyclamendrift/proxy/one_shot.h>

#include <cyclamendrift/commits/confirmation_tracker.h>
#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/status_sample.h>

#include <asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>

namespace cyclamendrift {

/// Waits until replicas hold what an answer says. While anybody waits, each replica is asked for its status
/// every few milliseconds over one connection; one status serves all who wait.
class Confirmations : public std::enable_shared_from_this<Confirmations> {
public:
    struct Options {
        asio::any_io_executor executor;
        std::shared_ptr<TimerService> timers;
        Duration pollInterval = std::chrono::milliseconds { 2 };
        /// A replica that has not answered a poll for so long is asked over another connection.
        Duration pollTimeout = std::chrono::seconds { 1 };
        std::function<std::shared_ptr<SlotConnections>(const SlotName&)> connectionsOf;
        /// Called with every status that a poll brings.
        std::function<void(const StatusSample&)> onSample;
    };

    explicit Confirmations(Options options);

    /// Asks the replicas now, so that a read at the primary need not wait for the next poll.
    void kick();

    /// True when what was asked for is kept by every promotion that can happen; false when it was given up.
    [[nodiscard]] asio::awaitable<bool> confirm(ConfirmationTracker::Options what);

    void setView(const GroupView& view);
    void observe(const StatusSample& sample);

    /// Gives up what is past its deadline; call it now and then.
    void settle();

    /// Lets all connections go.
    void stop();

private:
    struct Poller {
        std::unique_ptr<PooledConnection> connection;
        bool running = false;
        bool wanted = false;
    };

    [[nodiscard]] asio::awaitable<void> poll(SlotName slot);
    [[nodiscard]] asio::awaitable<void> pollOnce(SlotName slot);
    void startPollers();
    [[nodiscard]] bool isReplica(const SlotName& slot) const;

    Options options;
    GroupView view;
    ConfirmationTracker acknowledgements;
    std::map<ConfirmationTicket, std::shared_ptr<OneShot<bool>>> waiting;
    std::map<SlotName, Poller> pollers;
    bool stopped = false;
};

} // namespace cyclamendrift
