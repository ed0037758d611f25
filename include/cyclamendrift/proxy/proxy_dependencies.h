#pragma once

#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/platform/vm_list.h>
#include <cyclamendrift/proxy/database_home_factory.h>
#include <cyclamendrift/proxy/fleet_factory.h>
#include <cyclamendrift/settings/settings.h>

#include <asio/any_io_executor.hpp>

#include <functional>
#include <memory>

namespace cyclamendrift {

/// What a proxy is put together from. Daemons take the real parts; tests put fakes in their place.
struct ProxyDependencies {
    std::function<std::shared_ptr<Store>(asio::any_io_executor)> makeStore;
    std::function<std::shared_ptr<VmList>(asio::any_io_executor)> makeVmList;
    std::function<std::shared_ptr<Fleet>(FleetOptions)> makeFleet = &cyclamendrift::makeFleet;
    std::function<std::shared_ptr<DatabaseHome>(DatabaseHomeOptions)> makeHome
        = &cyclamendrift::makeDatabaseHome;
    Connector connector;
};

/// The parts that a daemon uses: the platform's services and upstreams that its settings name.
[[nodiscard]] ProxyDependencies daemonDependencies(const Settings& settings);

} // namespace cyclamendrift
