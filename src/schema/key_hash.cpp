#include <cyclamendrift/schema/key_hash.h>

#include <sodium.h>

#include <algorithm>
#include <array>

namespace cyclamendrift {

namespace {

constexpr std::size_t hashBytes = 32;
constexpr std::size_t hashDigits = 2 * hashBytes;

} // namespace

std::string hashSecret(std::string_view secret)
{
    std::array<unsigned char, hashBytes> hash {};
    const auto* bytes = reinterpret_cast<const unsigned char*>(secret.data());
    crypto_generichash(hash.data(), hash.size(), bytes, secret.size(), nullptr, 0);
    std::array<char, hashDigits + 1> hex {};
    sodium_bin2hex(hex.data(), hex.size(), hash.data(), hash.size());
    return { hex.data(), hashDigits };
}

bool isSecretHash(std::string_view text) noexcept
{
    const auto isHex = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
    return text.size() == hashDigits && std::all_of(text.begin(), text.end(), isHex);
}

} // namespace cyclamendrift
