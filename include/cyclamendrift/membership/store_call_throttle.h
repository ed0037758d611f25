#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>

namespace cyclamendrift {

/// Limits how often a VM calls the store itself while siblings report that the store is unavailable. If all
/// of 200 VMs kept calling, each with its own backoff, a store that recovers would receive a thousand
/// calls per second. The store readers and their standbys keep calling. The other VMs learn from them that
/// the store is available again, and call it themselves from time to time, as it may refuse just the readers.
///
///     if (!selector.storeSeemsUnavailable(now) || throttle.allowCall(now))
///         callStore();
class StoreCallThrottle {
public:
    /// Sets the number of VMs in the fleet.
    void setFleetSize(std::size_t vms) noexcept { this->vms = vms; }

    /// Interval at which each VM may call so that the whole fleet keeps within its rate.
    [[nodiscard]] Duration fairPause() const noexcept;

    /// Records that the store answered a call of this VM.
    void answered(Instant now) noexcept { this->answeredAt = now; }

    /// True when this VM may call the store although siblings report it unavailable; delays the next such
    /// call.
    [[nodiscard]] bool allowCall(Instant now);

    /// Time of the last answer of the store to this VM; Instant::min() if there was none.
    [[nodiscard]] Instant lastAnswer() const noexcept { return this->answeredAt; }

private:
    std::size_t vms = 1;
    Instant answeredAt = Instant::min();
    Instant nextCallAt = Instant::min();
};

} // namespace cyclamendrift
