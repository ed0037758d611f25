#include <cyclamendrift/callers/request_id.h>

#include <sodium.h>

#include <algorithm>
#include <array>

namespace cyclamendrift {

bool isValidRequestId(std::string_view id) noexcept
{
    constexpr char firstPrintable = '!';
    constexpr char lastPrintable = '~';
    return !id.empty() && id.size() <= maxRequestIdLength
        && std::all_of(id.begin(), id.end(),
            [](char letter) { return letter >= firstPrintable && letter <= lastPrintable; });
}

std::string newRequestId()
{
    constexpr std::size_t randomBytes = 12;
    std::array<unsigned char, randomBytes> bytes {};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 2 * randomBytes + 1> text {};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return text.data();
}

} // namespace cyclamendrift
