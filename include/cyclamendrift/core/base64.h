#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Alphabet and padding of a base64 text.
enum class Base64Form : std::uint8_t {
    /// The usual alphabet, padded.
    Standard,
    /// Safe in URLs and headers, without padding.
    UrlSafe,
};

/// Bytes as base64.
[[nodiscard]] std::string toBase64(std::string_view bytes, Base64Form form);

/// The bytes that a base64 text stands for; empty when any of it is no base64 of that form.
///
///     fromBase64("bm9kZS0x", Base64Form::Standard); // "node-1"
[[nodiscard]] std::optional<std::string> fromBase64(std::string_view text, Base64Form form);

} // namespace cyclamendrift
