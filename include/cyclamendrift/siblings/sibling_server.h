#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cyclamendrift {

/// A call that a sibling proxy made.
struct IncomingSiblingCall {
    VmName from;
    std::string method;
    std::string body;
    Instant deadline;
    std::string traceparent;
};

/// Serves calls of sibling proxies over HTTP/2 streams. Calls that do not carry the shared secret are
/// refused.
class SiblingServer {
public:
    /// Answers a call with the body to return; a RequestError that it throws reaches the calling sibling.
    using Handler = std::function<asio::awaitable<std::string>(IncomingSiblingCall)>;

    struct Options {
        std::string host;
        /// 0 for any free port.
        std::uint16_t port = 0;
        std::string secret;
        Handler handler;
    };

    SiblingServer(asio::any_io_executor executor, Options options);
    ~SiblingServer();
    SiblingServer(const SiblingServer&) = delete;
    SiblingServer& operator=(const SiblingServer&) = delete;

    /// The port that it listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// Takes no further connections or streams; those open run to their end.
    void drain();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
