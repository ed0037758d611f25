#include <cyclamendrift/proxy/fleet_factory.h>

#include "fleet_node.h"

#include <asio/dispatch.hpp>

namespace cyclamendrift {

std::shared_ptr<Fleet> makeFleet(FleetOptions options)
{
    auto node = std::make_shared<FleetNode>(std::move(options));
    node->start();
    // Work in the background holds the node; only the caller's reference going away can tell it to end.
    return { node.get(), [node](Fleet* /*fleet*/) mutable {
                const auto executor = node->executor();
                asio::dispatch(executor, [last = std::move(node)] { last->stop(); });
            } };
}

} // namespace cyclamendrift
