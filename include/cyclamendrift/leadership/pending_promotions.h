#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <map>

namespace cyclamendrift {

/// The promotions of a group that may still take effect, as far as one VM knows. Two of them at once could
/// result in two primaries.
class PendingPromotions {
public:
    /// A promotion has taken effect `settleTime` after it was sent, or never will.
    explicit PendingPromotions(Duration settleTime) noexcept
        : settleTime(settleTime)
    {
    }

    /// This VM sends a promotion.
    void recordSent(const UpstreamName& upstream, Instant now);
    /// Former coordinators may have sent promotions of this upstream, the last of them before `now`.
    void recordInherited(const UpstreamName& upstream, Instant now);
    /// A promotion of this upstream has taken effect or was refused. When more than one was sent, they all
    /// stay pending.
    void recordOutcome(const UpstreamName& upstream);
    /// True when a promotion of another upstream may still take effect.
    [[nodiscard]] bool isOtherPending(const UpstreamName& upstream, Instant now) const;

private:
    struct Sent {
        Instant last = Instant::min();
        bool repeated = false;
    };

    Duration settleTime;
    std::map<UpstreamName, Sent> sent;
};

} // namespace cyclamendrift
