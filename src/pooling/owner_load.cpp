#include <cyclamendrift/pooling/owner_load.h>

#include <cyclamendrift/core/stable_hash.h>

#include <algorithm>
#include <cmath>
#include <span>
#include <string>
#include <tuple>

namespace cyclamendrift {

namespace {

// A failover or an evacuation changes the zones of upstreams, and answers report that within the time between
// two statements. A hint that has not been renewed for longer may name a primary that no longer leads.
constexpr Duration placementLifetime = std::chrono::seconds { 10 };
// A queue drains within about a second; after that a wait says nothing about the owner.
constexpr Duration waitLifetime = std::chrono::seconds { 1 };
constexpr Duration maxWait = std::chrono::seconds { 10 };
// The first owner of a team has open connections for it. Another one opens a connection, which takes about
// this long.
constexpr Duration maxExtraWait = std::chrono::milliseconds { 20 };
// Above any number of zones that a service's upstreams are in.
constexpr std::size_t maxZones = 64;

// Operations per second of one service that an owner with `coresPerOwner` serves.
constexpr double operationsPerOwner = 150;
// Up to this number the connection cap alone determines the number of owners.
constexpr double minOwnersByLoad = 3;
constexpr std::size_t maxOwnersByLoad = 32;
constexpr std::size_t ownerStep = 2;

std::size_t ownersNeeded(double operationsPerSecond)
{
    const auto needed = operationsPerSecond / operationsPerOwner;
    if (!(needed > minOwnersByLoad))
        return 0;
    if (needed >= static_cast<double>(maxOwnersByLoad))
        return maxOwnersByLoad;
    const auto steps = static_cast<std::size_t>(std::ceil(needed / static_cast<double>(ownerStep)));
    return steps * ownerStep;
}

bool contains(const std::vector<ZoneKey>& zones, ZoneKey zone)
{
    return std::find(zones.begin(), zones.end(), zone) != zones.end();
}

} // namespace

ZoneKey zoneKeyOf(const ZoneName& zone)
{
    return ZoneKey { static_cast<std::uint32_t>(stableHash(zone.view())) };
}

void OwnerLoad::answered(
    const ServiceName& service, const VmName& owner, const PlacementHint& hint, Instant now)
{
    this->waits[{ service, owner }]
        = { .wait = std::clamp(hint.expectedWait, Duration {}, maxWait), .at = now };
    // An owner that does not know the upstreams yet must not replace what another one has reported.
    if (hint.zonesInService.empty() || hint.zonesInService.size() > maxZones)
        return;
    this->placements[service] = { .hint = hint, .at = now };
}

const PlacementHint* OwnerLoad::placementOf(const ServiceName& service, Instant now) const
{
    const auto match = this->placements.find(service);
    if (match == this->placements.end() || now - match->second.at > placementLifetime)
        return nullptr;
    return &match->second.hint;
}

Duration OwnerLoad::waitAt(const ServiceName& service, const VmName& owner, Instant now) const
{
    const auto match = this->waits.find({ service, owner });
    if (match == this->waits.end() || now - match->second.at > waitLifetime)
        return {};
    return match->second.wait;
}

std::optional<OwnerLoad::Choice> OwnerLoad::chooseInZone(const ServiceName& service, const ZoneOwners& zone,
    const Self& self, const std::function<bool(const VmName&)>& isUsable, Instant now) const
{
    if (std::find(zone.owners.begin(), zone.owners.end(), self.vm) != zone.owners.end())
        return Choice { .owner = self.vm, .wait = self.ownWait };
    std::optional<Choice> first;
    for (const auto& owner : zone.owners) {
        if (!isUsable(owner))
            continue;
        const auto wait = this->waitAt(service, owner, now);
        if (!first) {
            first = Choice { .owner = owner, .wait = wait };
            continue;
        }
        // Only the second one is an alternative, so that a team keeps connections at two owners at most.
        return first->wait > wait + maxExtraWait ? Choice { .owner = owner, .wait = wait } : first;
    }
    return first;
}

std::optional<VmName> OwnerLoad::choose(const ServiceName& service, const std::vector<ZoneOwners>& zones,
    const Self& self, Duration roundTrip, const std::function<bool(const VmName&)>& isUsable,
    Instant now) const
{
    std::optional<Choice> best;
    Duration bestCost {};
    for (const auto& zone : zones) {
        auto choice = this->chooseInZone(service, zone, self, isUsable, now);
        if (!choice)
            continue;
        const auto cost = choice->wait + (best ? roundTrip : Duration {});
        if (best && cost >= bestCost)
            continue;
        bestCost = cost;
        best = std::move(choice);
    }
    return best ? std::optional { best->owner } : std::nullopt;
}

std::vector<ZoneName> rankZones(
    std::vector<ZoneName> zones, const ZonePreference& preference, const PlacementHint* placement)
{
    const auto rankOf = [&](const ZoneName& zone) {
        const auto key = zoneKeyOf(zone);
        const bool own = zone == preference.ownZone;
        if (placement == nullptr)
            return own ? 0 : 1;
        if (preference.needsPrimary) {
            if (placement->primaryZone == key)
                return 0;
            return own ? 1 : 2;
        }
        const bool inService = contains(placement->zonesInService, key);
        if (inService)
            return own ? 0 : 1;
        return own ? 2 : 3;
    };
    std::vector<std::tuple<int, std::uint64_t, ZoneName>> ranked;
    ranked.reserve(zones.size());
    for (auto& zone : zones) {
        const auto rank = rankOf(zone);
        const auto weight = stableHash("zone/" + preference.team.string() + '/' + zone.string());
        ranked.emplace_back(rank, weight, std::move(zone));
    }
    std::sort(ranked.begin(), ranked.end());
    zones.clear();
    for (auto& entry : ranked)
        zones.push_back(std::move(std::get<ZoneName>(entry)));
    return zones;
}

std::uint32_t loadToPublish(std::uint32_t published, const LoadMeasurement& measured)
{
    // Above any load that a VM can serve.
    constexpr double maxLoad = 1 << 20;
    const auto load = std::clamp(measured.operationsPerSecond, 0.0, maxLoad);
    if (published != 0 && load >= published / 2.0 && load <= published * 2.0)
        return published;
    const auto fleetLoad = load * static_cast<double>(measured.vms);
    if (measured.services == 0
        || fleetLoad <= minOwnersByLoad * operationsPerOwner * static_cast<double>(measured.services))
        return 0;
    return static_cast<std::uint32_t>(std::exp2(std::max(std::round(std::log2(load)), 0.0)));
}

std::size_t OwnerCount::update(double operationsPerSecond)
{
    const auto needed = ownersNeeded(operationsPerSecond);
    // A number that changes with every fluctuation of the load would move teams to other owners, where their
    // connections have to be opened again.
    const bool shrinks = ownersNeeded(2 * operationsPerSecond) <= this->count;
    if (needed > this->count || shrinks)
        this->count = needed;
    return this->count;
}

} // namespace cyclamendrift
