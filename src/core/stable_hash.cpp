#include <cyclamendrift/core/stable_hash.h>

#include <sodium.h>

#include <array>
#include <cstring>

namespace cyclamendrift {

namespace {

/// Any fixed key does; all processes must use the same one.
constexpr std::array<unsigned char, crypto_shorthash_KEYBYTES> fixedKey { 'c', 'y', 'c', 'l', 'a', 'm', 'e',
    'n', 'd', 'r', 'i', 'f', 't', 0, 0, 1 };

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    std::array<unsigned char, crypto_shorthash_BYTES> hash {};
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    crypto_shorthash(hash.data(), bytes, text.size(), fixedKey.data());
    std::uint64_t number = 0;
    std::memcpy(&number, hash.data(), sizeof(number));
    return number;
}

} // namespace cyclamendrift
