#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace cyclamendrift {

/// When owners of services are placed by availability zone.
enum class PlacementByZone : std::uint8_t {
    /// When the zones are far enough apart.
    Auto,
    Always,
    Never,
};

/// Decides from round trips to other VMs whether availability zones are far enough apart for owners to be
/// placed by zone.
///
///     distance.sampled(zone, roundTrip);
///     placement.measured(distance.update());
class ZoneDistance {
public:
    ZoneDistance(ZoneName ownZone, PlacementByZone mode);

    /// Records the round trip to a VM of a zone.
    void sampled(const ZoneName& zone, Duration roundTrip);
    /// Discards the round trips to zones that have no VM any more, and records whether this VM is the only
    /// one of its zone. Its zone then counts as at no distance.
    void setZones(const std::map<ZoneName, std::size_t>& otherVms);

    /// Until the distance is measured, decides as if the zones had been found far apart, or not far apart,
    /// before.
    void assume(bool farApart);

    /// True when the zones are far enough apart; decides again with hysteresis.
    [[nodiscard]] bool update();

    /// True once enough round trips are known to decide.
    [[nodiscard]] bool isMeasured() const;
    /// By how much the shortest round trip to another zone exceeds the one within this zone; empty until it
    /// is measured.
    [[nodiscard]] std::optional<Duration> difference() const;

private:
    [[nodiscard]] std::optional<Duration> shortestTo(const ZoneName& zone) const;

    ZoneName ownZone;
    PlacementByZone mode;
    bool alone = false;
    bool on = false;
    std::map<ZoneName, std::deque<Duration>> samples;
};

} // namespace cyclamendrift
