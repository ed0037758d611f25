#pragma once

#include <opentracing/span.h>
#include <opentracing/tracer.h>

#include <memory>
#include <string>
#include <string_view>

/// Spans for each hop, by the OpenTracing API.
namespace cyclamendrift {

struct TracerOptions {
    /// This VM's name, written into each span.
    std::string vm;
    /// "none", "stderr", "file:PATH", or "ADDRESS:PORT" for JSON lines over UDP.
    std::string destination = "none";
};

/// Makes a tracer whose spans go where the options say. A span takes on the tags of a fixed list only (see
/// isAllowedSpanTag), so that neither a key nor a statement can get into one. Safe to use from any thread;
/// throws TelemetryError for a destination that is none.
///
///     const auto tracer = makeTracer({ .vm = "vm-1", .destination = "stderr" });
///     const auto span = startSpan(*tracer, "execute", request.traceparent);
///     span->SetTag("database", "register/beds");
///     forwarded.traceparent = traceparentOf(*span);
[[nodiscard]] std::shared_ptr<opentracing::Tracer> makeTracer(const TracerOptions& options);

/// Begins a span as child of the one that a `traceparent` names, or a new trace when there is none.
[[nodiscard]] std::unique_ptr<opentracing::Span> startSpan(
    const opentracing::Tracer& tracer, std::string_view name, std::string_view traceparent);

/// The `traceparent` to hand on to the next hop; empty for a span of another tracer.
[[nodiscard]] std::string traceparentOf(const opentracing::Span& span);

/// Whether a span takes on a tag of this name.
[[nodiscard]] bool isAllowedSpanTag(std::string_view name) noexcept;

} // namespace cyclamendrift
