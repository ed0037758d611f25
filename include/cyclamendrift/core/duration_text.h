#pragma once

#include <cyclamendrift/core/instant.h>

#include <string>

namespace cyclamendrift {

/// The duration in whole milliseconds, for log lines.
[[nodiscard]] std::string millisecondsText(Duration duration);

} // namespace cyclamendrift
