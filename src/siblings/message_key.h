#pragma once

#include <sodium.h>

#include <array>
#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Key that authenticates messages between siblings (keyed BLAKE2b).
///
///     const auto code = key.computeMac({ "request", method, body });
class MessageKey {
public:
    /// Derives the key from the secret in the settings.
    [[nodiscard]] static MessageKey fromSecret(std::string_view secret);

    /// Derives the key of one connection from the nonces of both ends.
    [[nodiscard]] MessageKey derive(std::string_view clientNonce, std::string_view serverNonce) const;

    /// Computes the message authentication code (MAC) of the fields, in hexadecimal.
    [[nodiscard]] std::string computeMac(std::initializer_list<std::string_view> fields) const;

    /// Computes the MAC of the fields as macBytes bytes.
    [[nodiscard]] std::string computeBinaryMac(std::initializer_list<std::string_view> fields) const;

    /// Returns whether the MAC is that of the fields; compares in constant time.
    [[nodiscard]] bool verify(std::string_view mac, std::initializer_list<std::string_view> fields) const;

    /// As verify(), for a MAC in bytes.
    [[nodiscard]] bool verifyBinary(
        std::string_view mac, std::initializer_list<std::string_view> fields) const;

    static constexpr std::size_t macBytes = crypto_generichash_KEYBYTES;

private:
    using Bytes = std::array<unsigned char, crypto_generichash_KEYBYTES>;

    [[nodiscard]] Bytes digest(std::initializer_list<std::string_view> fields) const;

    Bytes key {};
};

/// Returns 32 random bytes in hexadecimal.
[[nodiscard]] std::string makeNonce();

} // namespace cyclamendrift
