#pragma once

#include <cyclamendrift/core/outcome.h>

#include <cyclamendrift.pb.h>

namespace cyclamendrift {

/// The outcome on the wire, to callers and to siblings.
///
///     error.set_outcome(wireOutcome(Outcome::NotRun));
[[nodiscard]] api::Outcome wireOutcome(Outcome outcome) noexcept;

/// The outcome that the wire gives; Unknown for one that is not a failure.
[[nodiscard]] Outcome outcomeFrom(api::Outcome outcome) noexcept;

} // namespace cyclamendrift
