#pragma once

#include <string>
#include <string_view>

namespace cyclamendrift {

/// The hex BLAKE2b-256 of a key's secret, as the schema holds it.
///
///     key.set_secret_hash(hashSecret("the secret"));
[[nodiscard]] std::string hashSecret(std::string_view secret);

/// True for 64 hex digits in lower case.
[[nodiscard]] bool isSecretHash(std::string_view text) noexcept;

} // namespace cyclamendrift
