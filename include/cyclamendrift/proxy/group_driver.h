#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/failover/failover_events.h>
#include <cyclamendrift/failover/failover_settings.h>
#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/upstreams/connection.h>
#include <cyclamendrift/upstreams/slot_control.h>

#include <cyclamendrift.pb.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// What siblings in other availability zones said of a slot.
struct SiblingOpinions {
    /// How many were asked; 0 when the fleet has none.
    std::size_t asked = 0;
    std::vector<SlotOpinion> opinions;
};

/// What a group driver has done since it started.
struct GroupCounters {
    std::uint64_t probes = 0;
    std::uint64_t silentProbes = 0;
    std::uint64_t siblingQuestions = 0;
    std::uint64_t recordReads = 0;
    std::uint64_t recordSwaps = 0;
    std::uint64_t fences = 0;
    std::uint64_t promotions = 0;
    std::uint64_t follows = 0;
};

/// Keeps the primary of one database alive: runs a FailoverCoordinator on the control thread and does the I/O
/// that it asks for, over one control connection to each slot.
class GroupDriver {
public:
    struct Options {
        /// Executor of the control thread; every callback below is called on it.
        asio::any_io_executor executor;
        VmName vm;
        DatabaseName name;
        /// Slots, as the configuration in force gives them.
        api::Database description;
        /// User and password of the upstreams; host, port and database name come from the description.
        Connection::Options credentials;
        /// Connection::open in daemons.
        std::function<asio::awaitable<std::unique_ptr<Connection>>(
            asio::any_io_executor executor, Connection::Options options, Instant deadline)>
            connector;
        SlotControl::Options slotControl;
        std::shared_ptr<Store> store;
        /// Asks up to a few siblings, in other zones first, for their SlotOpinion; unset when there are none.
        /// Those that do not answer by the deadline are left out of `opinions` but counted in `asked`.
        std::function<asio::awaitable<SiblingOpinions>(SlotName slot, Instant deadline)> askSiblings;
        /// True when the platform's list gives a slot's VM as leaving.
        std::function<bool(std::string_view address, std::uint16_t port)> isLeaving;
        /// Called with each new view; post it to the executor of the DatabaseHome.
        std::function<void(std::shared_ptr<const GroupView>)> onView;
        /// Called with each status of a slot.
        std::function<void(const StatusSample&)> onSample;
        /// Called when the state changes, with a line for the log.
        std::function<void(std::string)> onEvent;
        /// Place among the homes of the database, 0 for the first.
        std::size_t rank = 0;
        FailoverSettings settings;
        /// Limit of one call to a slot, a new connection included.
        Duration callTimeout = std::chrono::milliseconds { 300 };
        /// Makes change ids unique; from the system's random source in daemons.
        std::uint64_t seed = 0;
    };

    virtual ~GroupDriver() = default;

    /// Begins; call it once, on the control thread.
    virtual void start() = 0;

    /// Ends all that is in progress and closes the control connections; nothing is called back afterwards.
    virtual void stop() = 0;

    /// Asks a slot now, for a sibling that wants this VM's opinion. Call it on the control thread.
    [[nodiscard]] virtual asio::awaitable<SlotOpinion> opinionOf(SlotName slot) = 0;

    /// What has been done so far.
    [[nodiscard]] virtual GroupCounters counters() const = 0;
};

/// Makes the driver of one database.
///
///     auto driver = makeGroupDriver({ .executor = control, .vm = self, .name = beds, .store = store,
///         .onView = [home](auto view) { home->setView(view); } });
///     driver->start();
[[nodiscard]] std::shared_ptr<GroupDriver> makeGroupDriver(GroupDriver::Options options);

/// Asks a slot over a connection of its own, for a VM that is no home of the database. A connection refused
/// because the cap is reached counts as reachable.
[[nodiscard]] asio::awaitable<SlotOpinion> probeSlot(const GroupDriver::Options& options, SlotName slot);

/// A SlotOpinion as siblings exchange it (wire.SlotOpinion).
[[nodiscard]] std::string encodeOpinion(const SlotOpinion& opinion);
/// The opinion that a sibling sent; throws FailoverError.
[[nodiscard]] SlotOpinion decodeOpinion(std::string_view body);

} // namespace cyclamendrift
