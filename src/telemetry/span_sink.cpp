#include "span_sink.h"

#include <cyclamendrift/telemetry/telemetry_error.h>

#include <asio/ip/address.hpp>

#include <charconv>
#include <cstdint>

namespace cyclamendrift {

namespace {

constexpr std::string_view filePrefix = "file:";

asio::ip::udp::endpoint endpointOf(const std::string& destination)
{
    const auto colon = destination.rfind(':');
    std::error_code error;
    std::uint16_t port = 0;
    asio::ip::address address;
    if (colon != std::string::npos) {
        const char* end = destination.data() + destination.size();
        const auto parsed = std::from_chars(destination.data() + colon + 1, end, port);
        if (parsed.ec != std::errc {} || parsed.ptr != end)
            port = 0;
        address = asio::ip::make_address(destination.substr(0, colon), error);
    }
    if (error || port == 0) {
        throw TelemetryError { "\"" + destination
            + "\" is no destination for traces; use none, stderr, file:PATH or ADDRESS:PORT" };
    }
    return { address, port };
}

} // namespace

void SpanFile::Closer::operator()(std::FILE* file) const noexcept
{
    if (file != stderr)
        (void)std::fclose(file);
}

void SpanFile::write(std::string_view line)
{
    (void)std::fwrite(line.data(), 1, line.size(), this->file.get());
    (void)std::fflush(this->file.get());
}

SpanDatagrams::SpanDatagrams(const asio::ip::udp::endpoint& target)
    : context(std::make_unique<asio::io_context>())
    , socket(*this->context, target.protocol())
{
    this->socket.non_blocking(true);
    this->socket.connect(target);
}

/// A span is worth less than the request it is about, so nothing waits for a full buffer and nothing is
/// retried.
void SpanDatagrams::write(std::string_view line)
{
    std::error_code ignored;
    this->socket.send(asio::buffer(line), 0, ignored);
}

SpanSink::SpanSink(const std::string& destination)
    : target(open(destination))
{
}

void SpanSink::write(std::string_view line)
{
    const std::lock_guard lock { this->mutex };
    std::visit(
        [line](auto& open) {
            if constexpr (requires { open.write(line); })
                open.write(line);
        },
        this->target);
}

SpanSink::Target SpanSink::open(const std::string& destination)
{
    if (destination == "none")
        return NoSpans {};
    if (destination == "stderr")
        return SpanFile { stderr };
    if (!destination.starts_with(filePrefix))
        return SpanDatagrams { endpointOf(destination) };
    const auto path = destination.substr(filePrefix.size());
    std::FILE* file = std::fopen(path.c_str(), "ae");
    if (file == nullptr)
        throw TelemetryError { "cannot write traces to " + path };
    return SpanFile { file };
}

} // namespace cyclamendrift
