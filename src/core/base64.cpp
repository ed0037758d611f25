#include <cyclamendrift/core/base64.h>

#include <sodium.h>

namespace cyclamendrift {

namespace {

int variantOf(Base64Form form) noexcept
{
    return form == Base64Form::Standard ? sodium_base64_VARIANT_ORIGINAL
                                        : sodium_base64_VARIANT_URLSAFE_NO_PADDING;
}

} // namespace

std::string toBase64(std::string_view bytes, Base64Form form)
{
    const auto variant = variantOf(form);
    std::string text(sodium_base64_encoded_len(bytes.size(), variant), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size(), variant);
    text.pop_back(); // the terminating zero that libsodium writes
    return text;
}

std::optional<std::string> fromBase64(std::string_view text, Base64Form form)
{
    std::string bytes(text.size(), '\0');
    std::size_t length = 0;
    const char* end = nullptr;
    const int failed = sodium_base642bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(),
        text.data(), text.size(), nullptr, &length, &end, variantOf(form));
    if (failed != 0 || end != text.data() + text.size())
        return std::nullopt;
    bytes.resize(length);
    return bytes;
}

} // namespace cyclamendrift
