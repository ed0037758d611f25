#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Longest request id that a caller may choose.
inline constexpr std::size_t maxRequestIdLength = 64;

/// True for 1 to 64 printable ASCII characters without spaces. Anything else could not be given back in a
/// header and would not be told apart in logs.
[[nodiscard]] bool isValidRequestId(std::string_view id) noexcept;

/// A random id, for an answer to a request that gave none.
[[nodiscard]] std::string newRequestId();

} // namespace cyclamendrift
