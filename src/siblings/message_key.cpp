#include "message_key.h"

#include <cyclamendrift/core/little_endian.h>

#include <cstddef>
#include <stdexcept>

namespace cyclamendrift {

namespace {

void initialiseSodium()
{
    if (sodium_init() < 0)
        throw std::runtime_error { "libsodium could not be initialised" };
}

template <std::size_t size> std::string hexOf(const std::array<unsigned char, size>& bytes)
{
    std::string text(2 * size + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    text.pop_back();
    return text;
}

bool areEqual(std::string_view mac, std::string_view expected)
{
    return mac.size() == expected.size() && sodium_memcmp(mac.data(), expected.data(), expected.size()) == 0;
}

} // namespace

MessageKey MessageKey::fromSecret(std::string_view secret)
{
    initialiseSodium();
    MessageKey result;
    result.key = result.digest({ "cyclamendrift sibling", secret });
    return result;
}

MessageKey MessageKey::derive(std::string_view clientNonce, std::string_view serverNonce) const
{
    MessageKey result;
    result.key = this->digest({ "connection", clientNonce, serverNonce });
    return result;
}

std::string MessageKey::computeMac(std::initializer_list<std::string_view> fields) const
{
    return hexOf(this->digest(fields));
}

std::string MessageKey::computeBinaryMac(std::initializer_list<std::string_view> fields) const
{
    const auto mac = this->digest(fields);
    return { mac.begin(), mac.end() };
}

bool MessageKey::verify(std::string_view mac, std::initializer_list<std::string_view> fields) const
{
    return areEqual(mac, this->computeMac(fields));
}

bool MessageKey::verifyBinary(std::string_view mac, std::initializer_list<std::string_view> fields) const
{
    return areEqual(mac, this->computeBinaryMac(fields));
}

/// Each field is hashed with its length before it. Otherwise "ab" + "c" and "a" + "bc" would have the same
/// MAC, and the boundary between a method name and its body could be moved.
MessageKey::Bytes MessageKey::digest(std::initializer_list<std::string_view> fields) const
{
    crypto_generichash_state state;
    Bytes result {};
    crypto_generichash_init(&state, this->key.data(), this->key.size(), result.size());
    for (const auto field : fields) {
        const auto size = littleEndian(field.size());
        for (const auto part : { std::string_view { size }, field }) {
            const auto* bytes = reinterpret_cast<const unsigned char*>(part.data());
            crypto_generichash_update(&state, bytes, part.size());
        }
    }
    crypto_generichash_final(&state, result.data(), result.size());
    return result;
}

std::string makeNonce()
{
    initialiseSodium();
    constexpr std::size_t nonceBytes = 32;
    std::array<unsigned char, nonceBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    return hexOf(bytes);
}

} // namespace cyclamendrift
