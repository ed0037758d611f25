#include "span_sink.h"

#include <cyclamendrift/telemetry/trace_context.h>
#include <cyclamendrift/telemetry/tracing.h>

#include <span_line.pb.h>

#include <google/protobuf/util/json_util.h>
#include <opentracing/propagation.h>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <random>
#include <utility>

namespace cyclamendrift {

namespace {

using opentracing::string_view;

constexpr std::string_view traceparentName = "traceparent";
constexpr std::size_t longestTagValue = 128;
constexpr std::size_t traceIdSize = 32;
constexpr std::size_t spanIdSize = 16;

/// Names only of things that operators may see anywhere. A statement, its parameters and a caller's key are
/// not among them; a line that set one by mistake would show it to all who read traces.
constexpr std::array<std::string_view, 16> allowedTags { "access", "attempt", "component", "database",
    "error", "home", "method", "outcome", "peer", "priority", "reason", "request_id", "slot", "span.kind",
    "team", "term" };

std::string_view viewOf(string_view text) { return { text.data(), text.size() }; }

std::string randomId(std::size_t digits)
{
    constexpr std::string_view hex = "0123456789abcdef";
    thread_local std::mt19937_64 generator { (static_cast<std::uint64_t>(randombytes_random()) << 32U)
        | randombytes_random() };
    constexpr std::size_t digitsPerDraw = 16;
    std::string id;
    while (id.size() < digits) {
        auto draw = generator();
        for (std::size_t digit = 0; digit < digitsPerDraw && id.size() < digits; ++digit) {
            id += hex[draw & 0xfU];
            draw >>= 4U;
        }
    }
    return id.find_first_not_of('0') == std::string::npos ? randomId(digits) : id;
}

struct ValueText {
    std::string operator()(bool value) const { return value ? "true" : "false"; }
    std::string operator()(const std::string& value) const { return value; }
    std::string operator()(const char* value) const { return value; }
    std::string operator()(string_view value) const { return std::string { viewOf(value) }; }
    template <class Other> std::string operator()(const Other& value) const
    {
        if constexpr (std::is_arithmetic_v<Other>)
            return std::to_string(value);
        else
            return {};
    }
};

class W3cContext final : public opentracing::SpanContext {
public:
    explicit W3cContext(TraceContext context) noexcept
        : trace(std::move(context))
    {
    }
    [[nodiscard]] const TraceContext& get() const noexcept { return this->trace; }

    void ForeachBaggageItem(std::function<bool(const std::string&, const std::string&)>) const override { }
    [[nodiscard]] std::unique_ptr<opentracing::SpanContext> Clone() const noexcept override
    {
        return std::make_unique<W3cContext>(this->trace);
    }
    [[nodiscard]] std::string ToTraceID() const noexcept override { return this->trace.traceId; }
    [[nodiscard]] std::string ToSpanID() const noexcept override { return this->trace.spanId; }

private:
    TraceContext trace;
};

/// What all spans of a tracer share; a span may outlive the tracer.
struct Recording {
    explicit Recording(const TracerOptions& options)
        : sink(options.destination)
        , vm(options.vm)
    {
    }
    SpanSink sink;
    std::string vm;
};

class RecordedSpan final : public opentracing::Span {
public:
    struct Options {
        std::shared_ptr<const opentracing::Tracer> tracer;
        std::shared_ptr<Recording> recording;
        TraceContext context;
        std::string parentId;
        std::string name;
        opentracing::SystemTime startedAt;
        opentracing::SteadyTime startedSteady;
    };

    explicit RecordedSpan(Options options)
        : options(std::move(options))
        , spanContext(this->options.context)
    {
    }
    ~RecordedSpan() override { this->finish({}); }
    RecordedSpan(const RecordedSpan&) = delete;
    RecordedSpan& operator=(const RecordedSpan&) = delete;

    void FinishWithOptions(const opentracing::FinishSpanOptions& finish) noexcept override
    {
        this->finish(finish);
    }

    void SetOperationName(string_view name) noexcept override
    {
        const std::lock_guard lock { this->mutex };
        this->options.name = viewOf(name);
    }

    void SetTag(string_view key, const opentracing::Value& value) noexcept override
    {
        if (!this->options.context.sampled || !isAllowedSpanTag(viewOf(key)))
            return;
        auto text = opentracing::Value::visit(value, ValueText {});
        text.resize(std::min(text.size(), longestTagValue));
        const std::lock_guard lock { this->mutex };
        (*this->line.mutable_tags())[std::string { viewOf(key) }] = std::move(text);
    }

    // Baggage would carry anything to every hop, and log records anything into a span; neither is kept.
    void SetBaggageItem(string_view, string_view) noexcept override { }
    [[nodiscard]] std::string BaggageItem(string_view) const noexcept override { return {}; }
    void Log(std::initializer_list<std::pair<string_view, opentracing::Value>>) noexcept override { }
    void Log(opentracing::SystemTime,
        std::initializer_list<std::pair<string_view, opentracing::Value>>) noexcept override
    {
    }
    void Log(opentracing::SystemTime,
        const std::vector<std::pair<string_view, opentracing::Value>>&) noexcept override
    {
    }

    [[nodiscard]] const opentracing::SpanContext& context() const noexcept override
    {
        return this->spanContext;
    }
    [[nodiscard]] const opentracing::Tracer& tracer() const noexcept override
    {
        return *this->options.tracer;
    }

private:
    void finish(const opentracing::FinishSpanOptions& finish) noexcept
    {
        if (this->finished.exchange(true) || !this->options.context.sampled
            || !this->options.recording->sink.isOpen())
            return;
        auto end = finish.finish_steady_timestamp;
        if (end == opentracing::SteadyTime {})
            end = opentracing::SteadyClock::now();
        const std::lock_guard lock { this->mutex };
        using Microseconds = std::chrono::microseconds;
        this->line.set_trace_id(this->options.context.traceId);
        this->line.set_span_id(this->options.context.spanId);
        this->line.set_parent_id(this->options.parentId);
        this->line.set_name(this->options.name);
        this->line.set_vm(this->options.recording->vm);
        const auto start = this->options.startedAt.time_since_epoch();
        this->line.set_start_unix_us(std::chrono::duration_cast<Microseconds>(start).count());
        const auto duration = end - this->options.startedSteady;
        this->line.set_duration_us(std::chrono::duration_cast<Microseconds>(duration).count());
        std::string json;
        google::protobuf::util::JsonPrintOptions print;
        print.preserve_proto_field_names = true;
        if (google::protobuf::util::MessageToJsonString(this->line, &json, print).ok())
            this->options.recording->sink.write(json + '\n');
    }

    Options options;
    W3cContext spanContext;
    std::mutex mutex;
    wire::SpanLine line;
    std::atomic<bool> finished { false };
};

class RecordingTracer final : public opentracing::Tracer,
                              public std::enable_shared_from_this<RecordingTracer> {
public:
    explicit RecordingTracer(const TracerOptions& options)
        : recording(std::make_shared<Recording>(options))
    {
    }

    [[nodiscard]] std::unique_ptr<opentracing::Span> StartSpanWithOptions(
        string_view name, const opentracing::StartSpanOptions& start) const noexcept override
    {
        RecordedSpan::Options options;
        options.tracer = this->shared_from_this();
        options.recording = this->recording;
        options.name = viewOf(name);
        options.startedAt = opentracing::SystemClock::now();
        options.startedSteady = opentracing::SteadyClock::now();
        options.context
            = { .traceId = {}, .spanId = randomId(spanIdSize), .sampled = this->recording->sink.isOpen() };
        for (const auto& [type, reference] : start.references) {
            const auto* parent = dynamic_cast<const W3cContext*>(reference);
            if (parent == nullptr)
                continue;
            options.context.traceId = parent->get().traceId;
            options.context.sampled = parent->get().sampled;
            options.parentId = parent->get().spanId;
            break;
        }
        if (options.context.traceId.empty())
            options.context.traceId = randomId(traceIdSize);
        auto span = std::make_unique<RecordedSpan>(std::move(options));
        for (const auto& [key, value] : start.tags)
            span->SetTag(key, value);
        return span;
    }

    // Between processes the context goes as text only.
    opentracing::expected<void> Inject(const opentracing::SpanContext&, std::ostream&) const override
    {
        return opentracing::make_unexpected(opentracing::invalid_carrier_error);
    }
    opentracing::expected<void> Inject(
        const opentracing::SpanContext& context, const opentracing::TextMapWriter& writer) const override
    {
        const auto* own = dynamic_cast<const W3cContext*>(&context);
        if (own == nullptr)
            return opentracing::make_unexpected(opentracing::invalid_span_context_error);
        return writer.Set(traceparentName.data(), formatTraceparent(own->get()));
    }
    opentracing::expected<void> Inject(
        const opentracing::SpanContext& context, const opentracing::HTTPHeadersWriter& writer) const override
    {
        return this->Inject(context, static_cast<const opentracing::TextMapWriter&>(writer));
    }

    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        std::istream&) const override
    {
        return opentracing::make_unexpected(opentracing::invalid_carrier_error);
    }
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::TextMapReader& reader) const override
    {
        std::optional<TraceContext> found;
        const auto read = reader.ForeachKey([&found](string_view key, string_view value) {
            if (viewOf(key) == traceparentName)
                found = parseTraceparent(viewOf(value));
            return opentracing::expected<void> {};
        });
        if (!read)
            return opentracing::make_unexpected(read.error());
        std::unique_ptr<opentracing::SpanContext> context;
        if (found)
            context = std::make_unique<W3cContext>(*found);
        return context;
    }
    [[nodiscard]] opentracing::expected<std::unique_ptr<opentracing::SpanContext>> Extract(
        const opentracing::HTTPHeadersReader& reader) const override
    {
        return this->Extract(static_cast<const opentracing::TextMapReader&>(reader));
    }

private:
    std::shared_ptr<Recording> recording;
};

} // namespace

std::shared_ptr<opentracing::Tracer> makeTracer(const TracerOptions& options)
{
    return std::make_shared<RecordingTracer>(options);
}

std::unique_ptr<opentracing::Span> startSpan(
    const opentracing::Tracer& tracer, std::string_view name, std::string_view traceparent)
{
    opentracing::StartSpanOptions options;
    std::unique_ptr<W3cContext> parent;
    if (auto context = parseTraceparent(traceparent)) {
        parent = std::make_unique<W3cContext>(std::move(*context));
        options.references.emplace_back(opentracing::SpanReferenceType::ChildOfRef, parent.get());
    }
    return tracer.StartSpanWithOptions({ name.data(), name.size() }, options);
}

std::string traceparentOf(const opentracing::Span& span)
{
    const auto* context = dynamic_cast<const W3cContext*>(&span.context());
    return context == nullptr ? std::string {} : formatTraceparent(context->get());
}

bool isAllowedSpanTag(std::string_view name) noexcept
{
    return std::find(allowedTags.begin(), allowedTags.end(), name) != allowedTags.end();
}

} // namespace cyclamendrift
