#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/slot_status.h>

namespace cyclamendrift {

/// Status of a slot with the times of its request and of its arrival. The slot read the status at some time
/// between the two.
struct StatusSample {
    SlotName slot;
    SlotStatus status;
    Instant askedAt;
    Instant receivedAt;
};

} // namespace cyclamendrift
