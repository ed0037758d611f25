#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/runtime/boot_clock.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

struct CurlRequest {
    std::string url;
    /// Set for a POST.
    std::optional<std::string> body;
    /// Another method than GET without a body and POST with one; empty for these.
    std::string method;
    /// Whole header lines, as in "Content-Type: application/json".
    std::vector<std::string> headers;
    /// Longest time for the whole exchange; what is not sent within it is not sent at all.
    Duration timeout {};
    /// Longest time without a further byte of the answer; zero where only `timeout` counts. A limit on the
    /// whole exchange cannot follow from the size of an answer that is not known yet.
    Duration silenceTimeout {};
};

struct CurlResponse {
    long status = 0;
    std::string body;
};

/// HTTP requests through libcurl's multi interface on Asio. Used on one thread.
class CurlClient {
public:
    struct Options {
        Duration connectTimeout {};
        std::size_t maxAnswerBytes = 0;
        /// Closing a connection, the end of the process included, resets it: what a call that was given up
        /// has sent and the network still holds is never delivered.
        bool resetsConnections = false;
        /// Goes on while the VM is suspended, unlike the clock of libcurl.
        std::function<Instant()> clock = bootNow;
    };
    /// Is handed pieces of an answer's body as they arrive.
    using PieceHandler = std::function<void(std::string_view)>;

    CurlClient(const asio::any_io_executor& executor, const Options& options);

    /// Sends a request once and returns its whole answer; throws StoreError with Unreachable when nothing was
    /// sent, NoAnswer when no whole answer came.
    [[nodiscard]] asio::awaitable<CurlResponse> perform(CurlRequest request);

    /// As perform(), but hands over the body of an answer with status 200 as it arrives.
    [[nodiscard]] asio::awaitable<CurlResponse> stream(CurlRequest request, PieceHandler onPiece);

private:
    class Engine;
    class Transfer;

    std::shared_ptr<Engine> engine;
};

} // namespace cyclamendrift
