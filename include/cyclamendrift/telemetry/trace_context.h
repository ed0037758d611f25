#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// What a span hands on to the next hop, as W3C trace context has it.
struct TraceContext {
    /// 32 hexadecimal digits.
    std::string traceId;
    /// 16 hexadecimal digits.
    std::string spanId;
    bool sampled = false;
};

/// Reads a `traceparent`; empty when it is malformed, so that a new trace begins.
///
///     parseTraceparent("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")->sampled; // true
[[nodiscard]] std::optional<TraceContext> parseTraceparent(std::string_view text);

/// Writes a `traceparent`.
[[nodiscard]] std::string formatTraceparent(const TraceContext& context);

} // namespace cyclamendrift
