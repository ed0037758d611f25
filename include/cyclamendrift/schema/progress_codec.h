#pragma once

#include <cyclamendrift/core/progress.h>

#include <forward.pb.h>

namespace cyclamendrift {

/// A place in a log, as siblings tell it each other.
///
///     *message.mutable_seen() = wireProgress(progress);
[[nodiscard]] wire::LogProgress wireProgress(const Progress& progress);

/// The place in a log that a sibling told.
[[nodiscard]] Progress progressFrom(const wire::LogProgress& message) noexcept;

} // namespace cyclamendrift
