#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamendrift {

/// Identity that an upstream draws when it starts. Unlike addresses, identities are never reused.
using UpstreamName = Identifier<struct UpstreamNameTag>;

/// An upstream as it describes itself in the directory.
struct UpstreamEntry {
    UpstreamName name;
    ServiceName service;
    std::string host;
    std::uint16_t port = 0;
    ZoneName zone;
    /// Maximum number of statements that it runs at a time.
    std::uint32_t maxConcurrency = 1;
    /// True once it has announced its shutdown; it gets no new statements.
    bool draining = false;
    /// True when it considers itself the primary.
    bool claimsPrimary = false;
    /// Start time in milliseconds since 1970; tells a restart under the same name from an upstream that kept
    /// running.
    std::int64_t startedAtMs = 0;
    /// How much longer it expects to be cold, that is to need more time for each statement; 0 when it is not.
    Duration coldFor {};

    friend bool operator==(const UpstreamEntry&, const UpstreamEntry&) = default;
};

/// All upstreams that are listed.
using UpstreamDirectory = std::vector<UpstreamEntry>;

} // namespace cyclamendrift
