#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/limits/limit_holders.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// What the selection of owners depends on besides the VMs.
struct OwnerPlan {
    /// Each availability zone has its own owners.
    bool byZone = false;
    /// Number of owners of each service that the load requires; 0 when the connection cap determines it.
    std::size_t ownersByLoad = 0;
    /// Number of services, among which the owners' processor cores are divided.
    std::size_t services = 0;

    friend bool operator==(const OwnerPlan&, const OwnerPlan&) = default;
};

/// Selects the owners of a service: the VMs that hold the connections to its upstreams. A connection is bound
/// to one team, and opening one takes an upstream as long as a short statement. Spread over 70 VMs, each VM
/// has one connection to an upstream, which fits the team of the next caller once in twenty times, and
/// together the VMs queue far more statements at an upstream than it can run in time. A few owners keep
/// connections open for most teams and see enough answers to know the load that the upstream can take. A VM
/// whose even share of the connections suffices for its callers does not use owners. Owners are selected
/// among the strongest VMs, so that each VM keeps links to few others. Where availability zones are far
/// apart, each zone has its own owners. Not thread-safe, as results are cached.
///
///     const auto& ranked = owners.rankedOwners(service, team, connectionCap);
///     if (ranked.front() != owners.self()) forward(ranked.front(), statement);
class ServiceOwners {
public:
    ServiceOwners(VmName self, const std::map<VmName, VmCapacity>& listed, const OwnerPlan& plan = {});

    /// True when there are more VMs than a service has owners; otherwise every VM would be an owner.
    [[nodiscard]] static bool areUseful(std::size_t vms) noexcept;

    [[nodiscard]] const VmName& self() const noexcept { return this->selfName; }

    /// The owners of a service whose upstreams accept `connectionCap` connections each; the same on every VM.
    [[nodiscard]] const std::vector<VmName>& ownersOf(
        const ServiceName& service, std::uint32_t connectionCap);

    /// The VMs among which owners are selected.
    [[nodiscard]] std::set<VmName> candidateVms() const;

    /// True when each availability zone has its own owners.
    [[nodiscard]] bool areByZone() const noexcept { return this->plan.byZone; }
    /// The availability zones that have VMs.
    [[nodiscard]] std::vector<ZoneName> zones() const;
    /// The availability zone of a VM, or null for one that is not listed.
    [[nodiscard]] const ZoneName* zoneOf(const VmName& vm) const;

    /// The owners in one availability zone, in the order in which a team's statements prefer them.
    [[nodiscard]] const std::vector<VmName>& rankedOwnersIn(
        const ZoneName& zone, const ServiceName& service, const TeamName& team, std::uint32_t connectionCap);

    /// The owners that share the connections to an upstream in `upstreamZone`, those of that zone first.
    [[nodiscard]] std::vector<VmName> holdersAt(
        const ZoneName& upstreamZone, const ServiceName& service, std::uint32_t connectionCap);

    /// The owners in the order in which a team's statements are forwarded: all of them to the first one that
    /// can be reached.
    [[nodiscard]] const std::vector<VmName>& rankedOwners(
        const ServiceName& service, const TeamName& team, std::uint32_t connectionCap);

    /// The other VMs in the availability zone of `vm` among which owners are selected; empty for a VM that is
    /// not listed.
    [[nodiscard]] std::vector<VmName> candidatesBeside(const VmName& vm) const;

    /// Maximum number of connections that this VM may hold to one upstream in `upstreamZone`.
    [[nodiscard]] std::size_t connectionShareOf(
        const ServiceName& service, std::uint32_t connectionCap, const ZoneName& upstreamZone = {});

private:
    /// The cached selection for a service; recomputed when the connection cap changes.
    struct Selection {
        std::uint32_t connectionCap = 0;
        std::vector<VmName> owners;
        std::size_t share = 0;
        std::map<TeamName, std::vector<VmName>> rankings;
        /// By availability zone; empty unless owners are placed by zone.
        std::map<ZoneName, std::vector<VmName>> zoneOwners;
        std::map<std::pair<ZoneName, TeamName>, std::vector<VmName>> zoneRankings;
    };

    [[nodiscard]] Selection& selectionFor(const ServiceName& service, std::uint32_t connectionCap);
    [[nodiscard]] std::size_t ownerCountFor(std::uint32_t connectionCap) const;
    [[nodiscard]] std::size_t zoneOwnerCountFor(std::uint32_t connectionCap) const;
    [[nodiscard]] std::size_t zoneShareOf(
        const Selection& selection, std::uint32_t connectionCap, const ZoneName& upstreamZone) const;
    [[nodiscard]] std::size_t computeShare(
        const std::vector<VmName>& owners, std::uint32_t connectionCap) const;

    VmName selfName;
    OwnerPlan plan;
    /// The VMs among which owners are selected.
    std::map<VmName, VmCapacity> candidates;
    /// The same for each availability zone; empty unless owners are placed by zone.
    std::map<ZoneName, std::map<VmName, VmCapacity>> zoneCandidates;
    std::map<VmName, ZoneName> zonesOfVms;
    std::map<ServiceName, Selection> selections;
};

} // namespace cyclamendrift
