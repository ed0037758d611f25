#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamendrift {

/// An upstream by the identity that it drew when it started; addresses are used again, identities are not.
using UpstreamName = Identifier<struct UpstreamNameTag>;

/// One upstream as it describes itself.
struct UpstreamEntry {
    UpstreamName name;
    ServiceName service;
    std::string host;
    std::uint16_t port = 0;
    ZoneName zone;
    /// Statements that it works on at a time.
    std::uint32_t maxConcurrency = 1;
    /// True once it has announced that it ends; it gets no new work.
    bool draining = false;
    /// True when it takes itself for the primary.
    bool claimsPrimary = false;
    /// Milliseconds since 1970 at which it started; tells a restart under the same name from going on.
    std::int64_t startedAtMs = 0;

    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// All upstreams that are known to be there.
using UpstreamDirectory = std::vector<UpstreamEntry>;

} // namespace cyclamendrift
