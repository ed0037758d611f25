#pragma once

#include <cstdint>

namespace cyclamendrift {

/// How the fleet's parts at this VM fare; each change of it is worth a line in the log.
struct FleetCondition {
    std::uint64_t revision = 0;
    bool keysTrusted = false;
    bool storeReachable = false;
    /// False when the platform's list could not be read the last time.
    bool listReadable = false;

    friend bool operator==(const FleetCondition&, const FleetCondition&) = default;
};

} // namespace cyclamendrift
