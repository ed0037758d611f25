#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/limits/limit_holders.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace cyclamendrift {

/// Which VMs hold the connections to the upstreams of a service. A connection is bound to one team and
/// opening one takes an upstream as long as a short statement. Spread over 70 VMs each has one connection to
/// an upstream, which fits the next caller's team once in twenty times, and 70 VMs together queue far more
/// statements at an upstream than it can do in time. A few homes keep connections open for most teams and see
/// enough answers to know what the upstream bears. A VM whose even part of the connections suffices for its
/// callers does without homes. Homes are chosen among the strongest VMs, as each VM keeps a link to each home
/// that it speaks to. Used on one thread, as it remembers what it chose.
///
///     const auto order = homes.rankedOwners(service, team, connectionCap);
///     if (order.front() != homes.self()) handOn(order.front(), work);
class ServiceOwners {
public:
    ServiceOwners(VmName self, const std::map<VmName, VmStrength>& listed);

    /// True when so many VMs are more than the homes of a service; with fewer every VM would be one.
    [[nodiscard]] static bool areUseful(std::size_t vms) noexcept;

    [[nodiscard]] const VmName& self() const noexcept { return this->selfName; }

    /// The homes of a service whose upstreams bear so many connections each; the same on every VM.
    [[nodiscard]] const std::vector<VmName>& ownersOf(
        const ServiceName& service, std::uint32_t connectionCap);

    /// These homes in the order in which a team's work goes to them: all of it to the first one that can be
    /// reached.
    [[nodiscard]] const std::vector<VmName>& rankedOwners(
        const ServiceName& service, const TeamName& team, std::uint32_t connectionCap);

    /// Connections to one upstream that this VM may hold.
    [[nodiscard]] std::size_t connectionShareOf(const ServiceName& service, std::uint32_t connectionCap);

private:
    /// What was chosen for a service, as long as its upstreams bear as many connections.
    struct Selection {
        std::uint32_t connectionCap = 0;
        std::vector<VmName> owners;
        std::size_t share = 0;
        std::map<TeamName, std::vector<VmName>> rankings;
    };

    [[nodiscard]] Selection& selectionFor(const ServiceName& service, std::uint32_t connectionCap);
    [[nodiscard]] std::vector<VmName> selectOwners(
        const ServiceName& service, std::uint32_t connectionCap) const;
    [[nodiscard]] std::size_t computeShare(
        const std::vector<VmName>& owners, std::uint32_t connectionCap) const;

    VmName selfName;
    /// The VMs among which homes are chosen.
    std::map<VmName, VmStrength> candidates;
    std::map<ServiceName, Selection> selections;
};

} // namespace cyclamendrift
