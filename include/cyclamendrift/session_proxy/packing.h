#pragma once

#include <cyclamendrift/core/error.h>

#include <string>
#include <string_view>

namespace cyclamendrift {

/// Packed bytes that cannot be read.
class PackingError : public Error {
public:
    using Error::Error;
};

/// Compresses a document that goes to many siblings; an operators' configuration becomes a fifth of its size.
[[nodiscard]] std::string pack(std::string_view document);

/// What was packed. Throws PackingError when the bytes are cut or foreign, or the document is longer than 16
/// MB.
[[nodiscard]] std::string unpack(std::string_view packed);

} // namespace cyclamendrift
