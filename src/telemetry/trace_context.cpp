#include <cyclamendrift/telemetry/trace_context.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

constexpr std::size_t versionEnd = 2;
constexpr std::size_t traceIdAt = 3;
constexpr std::size_t traceIdSize = 32;
constexpr std::size_t spanIdAt = 36;
constexpr std::size_t spanIdSize = 16;
constexpr std::size_t flagsAt = 53;
constexpr std::size_t wholeSize = 55;

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool isId(std::string_view text)
{
    return isHex(text) && text.find_first_not_of('0') != std::string_view::npos;
}

bool hasForm(std::string_view text)
{
    if (text.size() < wholeSize || text[versionEnd] != '-' || text[spanIdAt - 1] != '-'
        || text[flagsAt - 1] != '-')
        return false;
    const auto version = text.substr(0, versionEnd);
    if (!isHex(version) || version == "ff")
        return false;
    // Later versions may have more behind the flags.
    return version == "00" ? text.size() == wholeSize : text.size() == wholeSize || text[wholeSize] == '-';
}

} // namespace

std::optional<TraceContext> parseTraceparent(std::string_view text)
{
    if (!hasForm(text))
        return std::nullopt;
    const auto traceId = text.substr(traceIdAt, traceIdSize);
    const auto spanId = text.substr(spanIdAt, spanIdSize);
    const auto flags = text.substr(flagsAt, wholeSize - flagsAt);
    if (!isId(traceId) || !isId(spanId) || !isHex(flags))
        return std::nullopt;
    constexpr std::string_view digitsWithLowestBit = "13579bdf";
    const bool sampled = digitsWithLowestBit.find(flags.back()) != std::string_view::npos;
    return TraceContext {
        .traceId = std::string { traceId }, .spanId = std::string { spanId }, .sampled = sampled
    };
}

std::string formatTraceparent(const TraceContext& context)
{
    return "00-" + context.traceId + '-' + context.spanId + (context.sampled ? "-01" : "-00");
}

} // namespace cyclamendrift
