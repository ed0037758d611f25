#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <map>

namespace cyclamendrift {

/// The promotions of a group that may still take effect, as far as one VM knows. Two of them under way at
/// once would make two primaries.
class PendingPromotions {
public:
    /// What was sent has taken effect `settleTime` later, or never will.
    explicit PendingPromotions(Duration settleTime) noexcept
        : settleTime(settleTime)
    {
    }

    /// This VM sends a promotion.
    void recordSent(const UpstreamName& upstream, Instant now);
    /// Former holders of the duty may have sent some, the last of them before `now`.
    void recordInherited(const UpstreamName& upstream, Instant now);
    /// One promotion has taken effect or was refused. Where more than one was sent, the others remain.
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
