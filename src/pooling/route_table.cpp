#include <cyclamendrift/pooling/route_table.h>

namespace cyclamendrift {

namespace {

struct StalenessOf {
    Duration operator()(const PrimaryRoute&) const noexcept { return {}; }
    Duration operator()(const BoundedStalenessRoute& route) const noexcept { return route.maxStaleness; }
    Duration operator()(const ReadOwnWritesRoute& route) const noexcept { return route.maxStaleness; }
};

} // namespace

const Route* RouteTable::findRoute(const std::string& database) const
{
    const auto match = this->routes.find(database);
    return match == this->routes.end() ? nullptr : &match->second;
}

const TeamName* RouteTable::findTeam(const std::string& key) const
{
    const auto match = this->keys.find(key);
    return match == this->keys.end() ? nullptr : &match->second;
}

Duration maxStalenessOf(const RouteFreshness& freshness) noexcept
{
    return std::visit(StalenessOf {}, freshness);
}

} // namespace cyclamendrift
