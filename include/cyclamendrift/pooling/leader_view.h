#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstdint>

namespace cyclamendrift {

/// Who leads a group, and until when this VM may act on it. A promoter waits until every VM's view has either
/// been replaced or lapsed before it lets a new primary lead, so a view that holds names the only primary
/// there is.
struct LeaderView {
    enum class Phase : std::uint8_t {
        /// Nothing is known yet.
        Unknown,
        /// The primary is being replaced.
        Changing,
        /// `primary` leads `term`.
        Settled,
    };

    Phase phase = Phase::Unknown;
    UpstreamName primary;
    Term term {};
    /// The view holds before this instant.
    Instant expiresAt = Instant::min();

    /// True while work may be sent to the primary.
    [[nodiscard]] bool isValid(Instant now) const noexcept
    {
        return this->phase == Phase::Settled && now < this->expiresAt;
    }
};

} // namespace cyclamendrift
