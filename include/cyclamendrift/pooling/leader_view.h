#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstdint>

namespace cyclamendrift {

/// A VM's view of the primary of a group, with the time until which the VM may act on it. A promoter waits
/// until every VM's view has been replaced or has expired before it lets a new primary lead. A valid view
/// therefore names the only primary.
struct LeaderView {
    enum class Phase : std::uint8_t {
        /// No record of the group has been read yet.
        Unknown,
        /// The primary is being replaced.
        Changing,
        /// `primary` is the primary in `term`.
        Settled,
    };

    Phase phase = Phase::Unknown;
    UpstreamName primary;
    Term term {};
    /// The view is valid before this instant.
    Instant expiresAt = Instant::min();

    /// True while statements may be sent to the primary.
    [[nodiscard]] bool isValid(Instant now) const noexcept
    {
        return this->phase == Phase::Settled && now < this->expiresAt;
    }
};

} // namespace cyclamendrift
