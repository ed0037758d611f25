#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamendrift {

/// Stands for the name of an availability zone in messages between VMs, where names would take more bytes.
enum class ZoneKey : std::uint32_t {};

/// The key of an availability zone; the same in every process.
[[nodiscard]] ZoneKey zoneKeyOf(const ZoneName& zone);

/// What an owner VM reports with its answers to VMs that forward statements of a service to it.
struct PlacementHint {
    /// The availability zones that have an upstream in service; empty while the owner does not know them.
    std::vector<ZoneKey> zonesInService;
    /// The zone of the primary; empty while the owner has no valid view of it.
    std::optional<ZoneKey> primaryZone;
    /// How long a statement that arrives at the owner now is expected to wait for an upstream.
    Duration expectedWait {};

    friend bool operator==(const PlacementHint&, const PlacementHint&) = default;
};

} // namespace cyclamendrift
