#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamendrift {

/// A hash of a text that is the same in all processes and versions. No secret goes into it.
[[nodiscard]] std::uint64_t stableHash(std::string_view text);

} // namespace cyclamendrift
