#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/timer_service.h>
#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/platform/vm_list.h>
#include <cyclamendrift/proxy/fleet.h>
#include <cyclamendrift/proxy/fleet_condition.h>
#include <cyclamendrift/siblings/sibling_client.h>

#include <cyclamendrift.pb.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace cyclamendrift {

/// Calls a sibling proxy; SiblingClient::call behind a function, so that tests can put a network of their own
/// in its place.
using SiblingCaller = std::function<asio::awaitable<std::string>(SiblingAddress, SiblingCall)>;

/// What a fleet needs of its surroundings. The references must outlive it.
struct FleetOptions {
    /// The control thread; everything but the hot path runs on it.
    asio::any_io_executor executor;
    /// This VM and where it listens for siblings.
    SiblingAddress self;
    ZoneName zone;
    Store& store;
    VmList& vmList;
    SiblingCaller callSibling;
    TimerService& timers;
    /// Seed of every random choice; from the system in daemons.
    std::uint64_t randomSeed = 0;
    /// Orders the processes of this VM in time; from the wall clock when it is empty.
    std::optional<std::uint64_t> incarnation;
    /// Time limit of a call to the store or to a sibling.
    Duration callTimeout = std::chrono::seconds { 1 };
    /// Called on the control thread with each change, for the log.
    std::function<void(const FleetCondition& before, const FleetCondition& after)> onCondition;
    /// A schema to start with in tests that have no store.
    std::optional<api::Schema> initialSchema;
};

/// Makes the fleet of this VM and starts its work on the control thread, which ends when the last reference
/// is dropped.
///
///     auto fleet = makeFleet({ .executor = control.get_executor(), .self = { VmName { "vm1" }, "10.0.0.1",
///     7001 },
///         .zone = ZoneName { "palermo" }, .store = store, .vmList = vmList,
///         .callSibling = [&client](auto to, auto call) { return client.call(std::move(to), std::move(call));
///         }, .timers = timers, .randomSeed = std::random_device {}() });
[[nodiscard]] std::shared_ptr<Fleet> makeFleet(FleetOptions options);

} // namespace cyclamendrift
