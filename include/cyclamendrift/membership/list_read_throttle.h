#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>

#include <cstddef>

namespace cyclamendrift {

/// Limits how often a VM that is no store reader reads lists from the store itself. It does so when no store
/// reader serves it, for example because it is cut off from all of them. When the readers are slow, however,
/// that is so for every VM at once, and if all of them read lists whose size grows with the fleet, the store
/// becomes slower still. The VMs therefore keep within a number of calls and of bytes per second that the
/// whole fleet shares.
///
///     throttle.setLoad({ .vms = vms, .listBytes = bytes });
///     if (served) throttle.served();
///     else if (throttle.allowRead(now, random)) readFromStore();
class ListReadThrottle {
public:
    struct Load {
        /// VMs of the fleet.
        std::size_t vms = 1;
        /// Size of the lists that a VM reads.
        std::size_t listBytes = 0;
    };
    void setLoad(const Load& load) noexcept;

    /// A store reader has answered with recent readings.
    void served() noexcept { this->nextReadAt = Instant::min(); }

    /// True when this VM may read; delays the next reading. The first reading after served() is delayed by a
    /// random time.
    [[nodiscard]] bool allowRead(Instant now, RandomSource& random);

private:
    /// Interval at which each VM may read.
    Duration interval {};
    /// Instant::min() while a store reader serves this VM.
    Instant nextReadAt = Instant::min();
};

} // namespace cyclamendrift
