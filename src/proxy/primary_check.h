#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/slot_status.h>

#include <chrono>

namespace cyclamendrift {

/// How soon something is tried again after its slot turned out not to be what the view says.
inline constexpr Duration viewLag = std::chrono::milliseconds { 20 };

/// True for a primary that has not been fenced above its own term.
[[nodiscard]] inline bool actsAsPrimary(const SlotStatus& status) noexcept
{
    return status.primary && status.fenced <= status.progress.term;
}

} // namespace cyclamendrift
