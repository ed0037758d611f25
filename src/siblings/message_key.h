#pragma once

#include <sodium.h>

#include <array>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// A key that messages between siblings are authenticated with (keyed BLAKE2b).
///
///     const auto code = key.computeMac({ "request", method, body });
class MessageKey {
public:
    /// The key that follows from the secret in the settings.
    [[nodiscard]] static MessageKey fromSecret(std::string_view secret);

    /// A key for one connection, from the random numbers of both its ends.
    [[nodiscard]] MessageKey derive(std::string_view clientNonce, std::string_view serverNonce) const;

    /// Authentication code over fields, in hexadecimal.
    [[nodiscard]] std::string computeMac(std::initializer_list<std::string_view> fields) const;

    /// Whether a code is that of the fields; takes the same time wherever the two differ.
    [[nodiscard]] bool verify(std::string_view mac, std::initializer_list<std::string_view> fields) const;

private:
    using Bytes = std::array<unsigned char, crypto_generichash_KEYBYTES>;

    [[nodiscard]] Bytes digest(std::initializer_list<std::string_view> fields) const;

    Bytes key {};
};

/// 32 random bytes in hexadecimal.
[[nodiscard]] std::string makeNonce();

} // namespace cyclamendrift
