#pragma once

#include <cyclamendrift/commits/confirmation_tracker.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/slot_status.h>
#include <cyclamendrift/core/statement.h>

namespace cyclamendrift {

/// What the answer of a read at the primary has to wait for: that its rows cannot vanish, and for a primary
/// or bounded read that this slot was still the primary when the read was sent. A bounded read is given up
/// when its rows have grown too old. A read that is given up has had no effect and may be sent again.
///
///     acknowledgements.add(confirmationOfPrimaryRead(access, after, sentAt, deadline));
[[nodiscard]] ConfirmationTracker::Options confirmationOfPrimaryRead(
    const Access& access, const SlotStatus& after, Instant sentAt, Instant deadline);

} // namespace cyclamendrift
