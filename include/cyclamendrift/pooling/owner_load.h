#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/pooling/placement_hint.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// The owners of a service in one availability zone, in the order in which a team's statements prefer them.
struct ZoneOwners {
    ZoneName zone;
    std::vector<VmName> owners;
};

/// Chooses the owner VM that gets a statement when owners are placed by availability zone. It knows from the
/// answers of owners which zones have upstreams, which one has the primary, and how long statements wait at
/// each owner.
///
///     load.answered(service, owner, hint, now);
///     const auto zones = load.placementOf(service, now);
///     const auto owner = load.choose(service, zoneOwners, roundTrip, isUsable, now);
class OwnerLoad {
public:
    /// Records the hint in an owner's answer. Values that cannot be true are ignored or limited.
    void answered(const ServiceName& service, const VmName& owner, const PlacementHint& hint, Instant now);

    /// The latest hint about a service's zones, or null when it is too old or there is none.
    [[nodiscard]] const PlacementHint* placementOf(const ServiceName& service, Instant now) const;

    /// The expected wait at an owner; zero when it is unknown or no longer valid.
    [[nodiscard]] Duration waitAt(const ServiceName& service, const VmName& owner, Instant now) const;

    /// Chooses an owner. `zones` are in order of preference; another zone than the first one with a usable
    /// owner costs `roundTrip` more. A zone that `self` is an owner of is represented by `self`, where
    /// statements wait for `ownWait`. Returns nothing when no owner is usable.
    struct Self {
        VmName vm;
        Duration ownWait {};
    };
    [[nodiscard]] std::optional<VmName> choose(const ServiceName& service,
        const std::vector<ZoneOwners>& zones, const Self& self, Duration roundTrip,
        const std::function<bool(const VmName&)>& isUsable, Instant now) const;

private:
    struct Placement {
        PlacementHint hint;
        Instant at;
    };
    struct Wait {
        Duration wait {};
        Instant at;
    };
    struct Choice {
        VmName owner;
        Duration wait {};
    };

    [[nodiscard]] std::optional<Choice> chooseInZone(const ServiceName& service, const ZoneOwners& zone,
        const Self& self, const std::function<bool(const VmName&)>& isUsable, Instant now) const;

    std::map<ServiceName, Placement> placements;
    std::map<std::pair<ServiceName, VmName>, Wait> waits;
};

/// The order in which a team's statements prefer availability zones. Without a placement the VM's own zone is
/// first.
struct ZonePreference {
    ZoneName ownZone;
    TeamName team;
    bool needsPrimary = false;
};
[[nodiscard]] std::vector<ZoneName> rankZones(
    std::vector<ZoneName> zones, const ZonePreference& preference, const PlacementHint* placement);

/// Number of owners of each service that the fleet's load requires, in steps of two and with hysteresis, so
/// that VMs whose lists differ slightly rarely disagree; 0 while the minimum number of owners suffices.
class OwnerCount {
public:
    /// Returns the number for a load in operations per second and service.
    std::size_t update(double operationsPerSecond);
    [[nodiscard]] std::size_t current() const noexcept { return this->count; }

private:
    std::size_t count = 0;
};

/// The load that a VM of a large fleet publishes in its record, in operations per second; 0 while a fleet of
/// VMs with that load needs no more owners than the connection cap allows. It is a power of two and is kept
/// while the measured load is between half and twice of it, because each change is sent to all VMs.
struct LoadMeasurement {
    double operationsPerSecond = 0;
    std::size_t vms = 0;
    std::size_t services = 0;
};
[[nodiscard]] std::uint32_t loadToPublish(std::uint32_t published, const LoadMeasurement& measured);

/// Processor cores of an owner VM for which the number of owners is computed.
inline constexpr double coresPerOwner = 0.5;

} // namespace cyclamendrift
