#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/proxy/fleet.h>
#include <cyclamendrift/proxy/fleet_factory.h>
#include <cyclamendrift/proxy/home_registry.h>

#include <cyclamendrift.pb.h>

#include <asio/awaitable.hpp>

#include <memory>

namespace cyclamendrift {

/// What the status of the whole fleet is gathered from.
struct FleetStatusSources {
    VmName self;
    std::shared_ptr<Fleet> fleet;
    std::shared_ptr<HomeRegistry> homes;
    SiblingCaller callSibling;
    /// Longest time to ask homes; a database whose home has not answered by then shows no state.
    Duration timeout = std::chrono::seconds { 2 };
};

/// The fleet's status with term, primary and state of each database, as its first home that answers gives
/// them.
[[nodiscard]] asio::awaitable<api::StatusResponse> gatherStatus(FleetStatusSources sources);

} // namespace cyclamendrift
