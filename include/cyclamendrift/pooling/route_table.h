#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

/// The operators' configuration of databases, keys and limits.
namespace cyclamendrift {

/// Every read sees every acknowledged commit.
struct PrimaryRoute { };
/// Reads may miss commits that were acknowledged less than `maxStaleness` ago.
struct BoundedStalenessRoute {
    Duration maxStaleness {};
};
/// As BoundedStalenessRoute, but a session always sees its own commits.
struct ReadOwnWritesRoute {
    Duration maxStaleness {};
};
/// Freshness of a database's reads.
using RouteFreshness = std::variant<PrimaryRoute, BoundedStalenessRoute, ReadOwnWritesRoute>;

/// How the statements for one database are served.
struct Route {
    ServiceName service;
    RouteFreshness freshness;
    /// Maximum duration of a single statement.
    Duration statementTimeout {};
    /// Latency that callers expect of a whole operation.
    Duration targetLatency {};
    /// Lower values take precedence; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// True when callers need no key.
    bool isPublic = false;
};

/// A team's rate and burst across all VMs.
struct TeamLimit {
    double ratePerSecond = 0;
    double burst = 0;

    friend bool operator==(const TeamLimit&, const TeamLimit&) = default;
};

/// One version of the operators' configuration. It is immutable and is replaced by a version with a higher
/// number.
struct RouteTable {
    std::uint64_t version = 0;
    /// Routes by database name.
    std::unordered_map<std::string, Route> routes;
    /// Teams by the secrets of their keys.
    std::unordered_map<std::string, TeamName> keys;
    std::map<TeamName, TeamLimit> limits;
    /// Maximum number of connections to one upstream across all VMs, by service.
    std::map<ServiceName, std::uint32_t> connectionCaps;
    /// Maximum number of statements per second that a cold upstream gets from all VMs, by service. A service
    /// that is not listed has no such limit.
    std::map<ServiceName, double> coldStartRates;
    /// A transaction that has been idle for longer may be aborted.
    Duration maxTransactionIdleTime = std::chrono::seconds { 3 };

    /// Returns the route of a database, or null.
    [[nodiscard]] const Route* findRoute(const std::string& database) const;
    /// Returns the team that a key belongs to, or null.
    [[nodiscard]] const TeamName* findTeam(const std::string& key) const;
};

/// The staleness that a route allows its reads; zero for PrimaryRoute.
[[nodiscard]] Duration maxStalenessOf(const RouteFreshness& freshness) noexcept;

} // namespace cyclamendrift
