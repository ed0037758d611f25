#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>

namespace cyclamendrift {

/// Whether one VM of many may call the store by itself while siblings say that it is away. Were all of 200
/// VMs to go on trying, each with its own back-off, a store that comes back would meet a thousand calls a
/// second. Those that are next to read go on; the others find out from them that it is back, and look for
/// themselves now and then, as it may turn away just these.
///
///     if (!choice.storeSeemsUnavailable(now) || gate.allowCall(now))
///         callStore();
class StoreCallThrottle {
public:
    /// Takes in how many VMs there are.
    void setFleetSize(std::size_t vms) noexcept { this->vms = vms; }

    /// The store has answered a call of this VM.
    void answered(Instant now) noexcept { this->answeredAt = now; }

    /// True when this VM may call the store although siblings say that it is away; the next such call has to
    /// wait.
    [[nodiscard]] bool allowCall(Instant now);

    /// When the store answered this VM last; Instant::min() if it never did.
    [[nodiscard]] Instant lastAnswer() const noexcept { return this->answeredAt; }

private:
    std::size_t vms = 1;
    Instant answeredAt = Instant::min();
    Instant nextCallAt = Instant::min();
};

} // namespace cyclamendrift
