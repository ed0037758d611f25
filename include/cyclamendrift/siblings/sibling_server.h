#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
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

/// Serves calls of sibling proxies over HTTP/2 streams. Calls of those that do not know the shared secret are
/// refused. A handler runs on the executor once its call has arrived whole; when the caller goes away
/// meanwhile it runs on and its answer is dropped. May be destroyed on any thread.
class SiblingServer {
public:
    /// Answers a call with the body to return; a RequestError that it throws reaches the calling sibling.
    using Handler = std::function<asio::awaitable<std::string>(IncomingSiblingCall)>;

    struct Options {
        std::string host;
        /// Port on that IP address; 0 for any free one.
        std::uint16_t port = 0;
        std::string secret;
        Handler handler;
        Duration pingInterval = std::chrono::seconds { 5 };
        /// A connection that sends nothing for so long after a PING is taken for silent and closed.
        Duration pingTimeout = std::chrono::seconds { 10 };
        /// Longest body of a call or an answer.
        std::size_t maxMessageBytes = std::size_t { 32 } << 20U;
        /// Calls that one sibling may have open at a time; its further ones wait at its side.
        std::uint32_t maxConcurrentStreams = 256;
        std::size_t maxConnections = 8192;
    };

    SiblingServer(const asio::any_io_executor& executor, Options options);
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
