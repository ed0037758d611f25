#pragma once

#include <cyclamendrift/core/progress.h>

#include <string>

/// Formats terms and log positions for log lines.
namespace cyclamendrift {

[[nodiscard]] inline std::string textOf(Term term)
{
    return std::to_string(static_cast<std::uint64_t>(term));
}

[[nodiscard]] inline std::string textOf(const Progress& progress)
{
    return textOf(progress.term) + '.' + std::to_string(static_cast<std::uint64_t>(progress.position));
}

} // namespace cyclamendrift
