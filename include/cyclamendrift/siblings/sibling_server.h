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

/// Call received from a sibling proxy.
struct IncomingSiblingCall {
    VmName from;
    std::string method;
    std::string body;
    Instant deadline;
    std::string traceparent;
};

/// Server for calls of sibling proxies over HTTP/2. Calls from peers that do not know the shared secret are
/// rejected. The handler runs on the executor after the whole call has arrived. If the caller disconnects,
/// the handler still runs to its end and its answer is dropped. May be destroyed on any thread.
class SiblingServer {
public:
    /// Returns the body of the answer to a call. A RequestError that it throws is sent to the calling
    /// sibling.
    using Handler = std::function<asio::awaitable<std::string>(IncomingSiblingCall)>;

    struct Options {
        /// IP address to listen on.
        std::string host;
        /// Port to listen on; 0 selects a free port.
        std::uint16_t port = 0;
        /// Secret from the settings that all proxies share.
        std::string secret;
        Handler handler;
        /// A connection sends a PING frame after receiving nothing for this time.
        Duration pingInterval = std::chrono::seconds { 5 };
        /// A connection that receives nothing for this time after a PING is closed as unresponsive.
        Duration pingTimeout = std::chrono::seconds { 10 };
        /// Maximum size of the body of a call or an answer.
        std::size_t maxMessageBytes = std::size_t { 32 } << 20U;
        /// Maximum number of open calls per connection; further calls wait in the calling sibling.
        std::uint32_t maxConcurrentStreams = 256;
        /// Further connections are closed when they are accepted.
        std::size_t maxConnections = 8192;
        /// False: accepts only the text encoding of calls, as earlier builds do.
        bool binaryEncoding = true;
    };

    SiblingServer(const asio::any_io_executor& executor, Options options);
    ~SiblingServer();
    SiblingServer(const SiblingServer&) = delete;
    SiblingServer& operator=(const SiblingServer&) = delete;

    /// Port that the server listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// Stops accepting connections and streams; open streams are completed.
    void drain();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
