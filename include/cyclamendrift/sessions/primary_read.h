#pragma once

#include <cyclamendrift/commits/confirmation_tracker.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/slot_status.h>
#include <cyclamendrift/core/statement.h>

namespace cyclamendrift {

/// Returns the conditions under which the answer of a read at the primary may be released: its rows cannot
/// be lost in a failover, and for a primary or bounded read the slot was still the primary at `sentAt`. A
/// bounded read also expires when its rows exceed the allowed staleness. An expired read has had no effect
/// and may be sent again.
///
///     acknowledgements.add(makePrimaryReadOptions(access, after, sentAt, deadline));
[[nodiscard]] ConfirmationTracker::Options makePrimaryReadOptions(
    const Access& access, const SlotStatus& after, Instant sentAt, Instant deadline);

} // namespace cyclamendrift
