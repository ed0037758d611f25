#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamendrift {

/// Form of a message in the body of a request or answer.
enum class Encoding : std::uint8_t { Json, Protobuf };

/// The encoding that a Content-Type names, whatever parameters follow it.
///
///     encodingOf("application/json; charset=utf-8"); // Encoding::Json
[[nodiscard]] std::optional<Encoding> encodingOf(std::string_view contentType) noexcept;

/// The Content-Type of an encoding.
[[nodiscard]] std::string_view contentTypeOf(Encoding encoding) noexcept;

} // namespace cyclamendrift
