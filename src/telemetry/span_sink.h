#pragma once

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <cstdio>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamendrift {

/// Spans are not written at all.
struct NoSpans { };

/// Spans as lines of a file or of standard error.
class SpanFile {
public:
    explicit SpanFile(std::FILE* file) noexcept
        : file(file)
    {
    }
    void write(std::string_view line);

private:
    struct Closer {
        void operator()(std::FILE* file) const noexcept;
    };
    std::unique_ptr<std::FILE, Closer> file;
};

/// Spans as datagrams; those that the network or the system does not take are lost.
class SpanDatagrams {
public:
    explicit SpanDatagrams(const asio::ip::udp::endpoint& target);
    void write(std::string_view line);

private:
    std::unique_ptr<asio::io_context> context;
    asio::ip::udp::socket socket;
};

/// Where finished spans go.
class SpanSink {
public:
    /// Throws TelemetryError for a destination that is none.
    explicit SpanSink(const std::string& destination);

    [[nodiscard]] bool isOpen() const noexcept { return !std::holds_alternative<NoSpans>(this->target); }
    void write(std::string_view line);

private:
    using Target = std::variant<NoSpans, SpanFile, SpanDatagrams>;

    static Target open(const std::string& destination);

    std::mutex mutex;
    Target target;
};

} // namespace cyclamendrift
