#pragma once

#include <cyclamendrift/core/error.h>

#include <string>
#include <string_view>

namespace cyclamendrift {

/// Thrown when packed bytes cannot be read.
class PackingError : public Error {
public:
    using Error::Error;
};

/// Compresses a document that is sent to many siblings.
[[nodiscard]] std::string pack(std::string_view document);

/// Returns the document. Throws PackingError when the bytes are truncated or were not written by pack(), or
/// when the document is longer than 16 MB.
[[nodiscard]] std::string unpack(std::string_view packed);

} // namespace cyclamendrift
