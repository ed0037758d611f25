#include <cyclamendrift/membership/zone_placement.h>

#include <algorithm>
#include <cstddef>

namespace cyclamendrift {

namespace {

// Placement by zone begins when more than half of the VMs measure the zones as far apart, and ends when fewer
// than a quarter do.
constexpr std::size_t divisorToBegin = 2;
constexpr std::size_t divisorToEnd = 4;

} // namespace

bool arePlacedByZone(std::span<const ZonePlacementRecord> listed)
{
    const auto count = [listed](bool ZonePlacementRecord::*flag) {
        return static_cast<std::size_t>(std::count_if(listed.begin(), listed.end(),
            [flag](const ZonePlacementRecord& record) { return record.*flag; }));
    };
    const auto far = count(&ZonePlacementRecord::zonesFarApart);
    if (far * divisorToBegin > listed.size())
        return true;
    if (far * divisorToEnd < listed.size() || listed.empty())
        return false;
    // Between the two, the mode stays as it is. It is read from the records, not from the memory of this VM:
    // VMs that start, or that have missed a version of the list, would otherwise differ from the others for
    // good, and with them the holders of teams' limits.
    return count(&ZonePlacementRecord::placedByZone) * 2 > listed.size();
}

ZonePlacement::ZonePlacement(PlacementByZone mode)
    : mode(mode)
{
    const bool always = mode == PlacementByZone::Always;
    this->own = { .zonesFarApart = always, .placedByZone = always };
}

void ZonePlacement::adoptEarlier(const ZonePlacementRecord& record)
{
    if (this->mode != PlacementByZone::Auto)
        return;
    if (!this->hasMeasured)
        this->own.zonesFarApart = record.zonesFarApart;
    if (!this->hasList)
        this->own.placedByZone = record.placedByZone;
}

void ZonePlacement::measured(bool zonesFarApart)
{
    if (this->mode != PlacementByZone::Auto)
        return;
    this->hasMeasured = true;
    this->own.zonesFarApart = zonesFarApart;
}

bool ZonePlacement::update(std::span<const ZonePlacementRecord> listed)
{
    if (this->mode == PlacementByZone::Auto)
        this->own.placedByZone = arePlacedByZone(listed);
    this->hasList = true;
    return this->own.placedByZone;
}

} // namespace cyclamendrift
