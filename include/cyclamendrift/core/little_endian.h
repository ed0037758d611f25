#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace cyclamendrift {

/// A number as eight bytes, the lowest first.
[[nodiscard]] inline std::string littleEndian(std::uint64_t number)
{
    std::string bytes;
    for (std::size_t index = 0; index < sizeof(number); ++index)
        bytes += static_cast<char>(number >> (8 * index));
    return bytes;
}

} // namespace cyclamendrift
