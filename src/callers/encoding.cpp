#include <cyclamendrift/callers/encoding.h>

namespace cyclamendrift {

namespace {

constexpr std::string_view json = "application/json";
constexpr std::string_view protobuf = "application/protobuf";
constexpr std::string_view olderProtobuf = "application/x-protobuf";

} // namespace

std::optional<Encoding> encodingOf(std::string_view contentType) noexcept
{
    auto type = contentType.substr(0, contentType.find(';'));
    while (type.ends_with(' '))
        type.remove_suffix(1);
    if (type == json)
        return Encoding::Json;
    if (type == protobuf || type == olderProtobuf)
        return Encoding::Protobuf;
    return std::nullopt;
}

std::string_view contentTypeOf(Encoding encoding) noexcept
{
    return encoding == Encoding::Json ? json : protobuf;
}

} // namespace cyclamendrift
