#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/slot_status.h>

namespace cyclamendrift {

/// A status that a slot gave, with when it was asked and when the answer arrived. The slot took it at some
/// point between the two.
struct StatusSample {
    SlotName slot;
    SlotStatus status;
    Instant askedAt;
    Instant receivedAt;
};

} // namespace cyclamendrift
