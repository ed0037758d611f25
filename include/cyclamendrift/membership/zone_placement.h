#pragma once

#include <cyclamendrift/membership/zone_distance.h>

#include <span>

namespace cyclamendrift {

/// What a VM's record tells about placement by availability zone.
struct ZonePlacementRecord {
    /// The VM has measured the zones as far apart.
    bool zonesFarApart = false;
    /// The VM places owners by zone.
    bool placedByZone = false;

    friend bool operator==(const ZonePlacementRecord&, const ZonePlacementRecord&) = default;
};

/// True when the VMs with these records are to place owners by zone. Depends on the records alone, so that
/// VMs with the same list agree.
[[nodiscard]] bool arePlacedByZone(std::span<const ZonePlacementRecord> listed);

/// Whether this VM places owners by availability zone, and what it publishes for the decision of the fleet.
///
///     placement.measured(zonesFarApart);
///     if (placement.update(listed)) placeByZone();
class ZonePlacement {
public:
    explicit ZonePlacement(PlacementByZone mode);

    /// Continues from the record of an earlier process of this VM until this one has measured and has read
    /// the list.
    void adoptEarlier(const ZonePlacementRecord& record);
    /// This VM has measured whether the zones are far apart.
    void measured(bool zonesFarApart);
    /// Decides from the records of the listed VMs, and returns the decision.
    bool update(std::span<const ZonePlacementRecord> listed);

    [[nodiscard]] bool isOn() const noexcept { return this->own.placedByZone; }
    /// What this VM's record is to tell.
    [[nodiscard]] const ZonePlacementRecord& record() const noexcept { return this->own; }

private:
    PlacementByZone mode;
    ZonePlacementRecord own;
    bool hasMeasured = false;
    bool hasList = false;
};

} // namespace cyclamendrift
