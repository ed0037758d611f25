#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

/// What operators have decided: which database is served how, for whom, and how much of it.
namespace cyclamendrift {

/// Every read sees every acknowledged commit.
struct PrimaryRoute { };
/// Reads may miss commits acknowledged less than `maxStaleness` ago.
struct BoundedStalenessRoute {
    Duration maxStaleness {};
};
/// As bounded staleness, but a session sees all commits of its own.
struct ReadOwnWritesRoute {
    Duration maxStaleness {};
};
/// How fresh the reads of a database are.
using RouteFreshness = std::variant<PrimaryRoute, BoundedStalenessRoute, ReadOwnWritesRoute>;

/// How the statements for one database are served.
struct Route {
    ServiceName service;
    RouteFreshness freshness;
    /// Longest time of a single statement.
    Duration statementTimeout {};
    /// Time within which callers want a whole operation done.
    Duration targetLatency {};
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// True when callers need no key.
    bool isPublic = false;
};

/// A team's rate and burst over all VMs together.
struct TeamLimit {
    double ratePerSecond = 0;
    double burst = 0;

    friend bool operator==(const TeamLimit&, const TeamLimit&) = default;
};

/// One version of the operators' decisions; never changed, only replaced by one with a higher version.
struct RouteTable {
    std::uint64_t version = 0;
    /// Routes by the name of their database.
    std::unordered_map<std::string, Route> routes;
    /// Teams by the secret of their keys.
    std::unordered_map<std::string, TeamName> keys;
    std::map<TeamName, TeamLimit> limits;
    /// Connections to one upstream that all VMs may hold together.
    std::map<ServiceName, std::uint32_t> connectionCaps;
    /// A transaction in which the caller rests for longer may be ended.
    Duration maxTransactionIdleTime = std::chrono::seconds { 3 };

    /// The route of a database, or null.
    [[nodiscard]] const Route* findRoute(const std::string& database) const;
    /// The team that holds a key, or null.
    [[nodiscard]] const TeamName* findTeam(const std::string& key) const;
};

/// The staleness that a route allows its reads; none for primary routes.
[[nodiscard]] Duration maxStalenessOf(const RouteFreshness& freshness) noexcept;

} // namespace cyclamendrift
