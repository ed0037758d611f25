#pragma once

#include <cyclamendrift/core/instant.h>

namespace cyclamendrift {

/// The time since boot, in which time spent suspended counts. Leases and views must be judged by it: after a
/// suspension the steady clock still says that a view holds which lapsed long ago.
[[nodiscard]] Instant bootNow() noexcept;

} // namespace cyclamendrift
