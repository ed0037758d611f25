#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstdint>

namespace cyclamendrift {

/// A length of time as siblings tell it each other: whole microseconds, rounded up, and none below zero.
///
///     message.set_age_us(wireMicroseconds(now - readAt));
[[nodiscard]] std::uint64_t wireMicroseconds(Duration duration) noexcept;

/// The length of time that a sibling told.
[[nodiscard]] Duration durationFrom(std::uint64_t microseconds) noexcept;

} // namespace cyclamendrift
