#include <cyclamendrift/membership/zone_distance.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

// Opening a connection takes an upstream about 12 ms plus two round trips. From this distance on, crossing a
// zone once per statement costs callers more than the connections that owners in every zone open in addition.
constexpr Duration switchOnDifference = std::chrono::milliseconds { 5 };
constexpr Duration stayOnDifference = std::chrono::milliseconds { 3 };
// The first call to a VM opens a connection to it, and calls to a busy VM wait. The shortest of several round
// trips is the distance.
constexpr std::size_t minSamples = 3;
constexpr std::size_t maxSamples = 6;

} // namespace

ZoneDistance::ZoneDistance(ZoneName ownZone, PlacementByZone mode)
    : ownZone(std::move(ownZone))
    , mode(mode)
{
}

void ZoneDistance::sampled(const ZoneName& zone, Duration roundTrip)
{
    if (roundTrip < Duration {})
        return;
    auto& known = this->samples[zone];
    known.push_back(roundTrip);
    if (known.size() > maxSamples)
        known.pop_front();
}

void ZoneDistance::setZones(const std::map<ZoneName, std::size_t>& otherVms)
{
    std::erase_if(this->samples, [&otherVms](const auto& entry) { return !otherVms.contains(entry.first); });
    this->alone = !otherVms.contains(this->ownZone);
}

std::optional<Duration> ZoneDistance::shortestTo(const ZoneName& zone) const
{
    const auto known = this->samples.find(zone);
    if (known == this->samples.end() || known->second.size() < minSamples)
        return std::nullopt;
    return *std::min_element(known->second.begin(), known->second.end());
}

std::optional<Duration> ZoneDistance::difference() const
{
    const auto within = this->alone ? std::optional { Duration {} } : this->shortestTo(this->ownZone);
    std::optional<Duration> across;
    for (const auto& [zone, known] : this->samples) {
        const auto shortest = zone == this->ownZone ? std::nullopt : this->shortestTo(zone);
        if (shortest && (!across || *shortest < *across))
            across = shortest;
    }
    if (!within || !across)
        return std::nullopt;
    return std::max(*across - *within, Duration {});
}

bool ZoneDistance::isMeasured() const { return this->difference().has_value(); }

void ZoneDistance::assume(bool farApart)
{
    if (!this->isMeasured())
        this->on = farApart;
}

bool ZoneDistance::update()
{
    if (this->mode != PlacementByZone::Auto)
        return this->mode == PlacementByZone::Always;
    if (const auto measured = this->difference())
        this->on = *measured >= (this->on ? stayOnDifference : switchOnDifference);
    return this->on;
}

} // namespace cyclamendrift
