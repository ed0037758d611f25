#include <cyclamendrift/callers/http_message.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

char lower(char letter) noexcept
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

bool equalIgnoringCase(std::string_view left, std::string_view right) noexcept
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char a, char b) { return lower(a) == lower(b); });
}

} // namespace

std::string_view HttpRequest::header(std::string_view name) const noexcept
{
    for (const auto& field : this->headers) {
        if (equalIgnoringCase(field.name, name))
            return field.value;
    }
    return {};
}

} // namespace cyclamendrift
