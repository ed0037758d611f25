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

/// VM and endpoint at which a sibling proxy accepts calls.
struct SiblingAddress {
    VmName vm;
    /// IP address; host names are not resolved.
    std::string host;
    std::uint16_t port = 0;
};

/// Outgoing call to a sibling proxy.
struct SiblingCall {
    /// Method name without a leading slash, such as "Execute".
    std::string method;
    /// Serialized protobuf message.
    std::string body;
    Instant deadline;
    /// W3C trace context, forwarded unchanged; may be empty.
    std::string traceparent;
};

/// Client for calls to sibling proxies over HTTP/2, with one connection per sibling that is opened on first
/// use. Both ends prove that they know the shared secret without sending it. May be destroyed on any thread;
/// calls that are open at that time throw SiblingError.
class SiblingClient {
public:
    struct Options {
        /// Name of this VM, sent as the caller of each call.
        VmName self;
        /// Secret from the settings that all proxies share.
        std::string secret;
        Duration connectTimeout = std::chrono::seconds { 1 };
        /// A connection with open calls sends a PING frame after receiving nothing for this time.
        Duration pingInterval = std::chrono::milliseconds { 500 };
        /// A connection that receives nothing for this time after a PING is closed as unresponsive.
        Duration pingTimeout = std::chrono::seconds { 2 };
        /// A connection without open calls is closed after this time.
        Duration idleTimeout = std::chrono::minutes { 1 };
        /// Maximum size of the body of a call or an answer.
        std::size_t maxMessageBytes = std::size_t { 32 } << 20U;
        /// Maximum number of open calls to one sibling; further calls fail with Unreachable.
        std::size_t maxConcurrentCalls = 4096;
        /// False: offers only the text encoding of calls, as earlier builds do.
        bool binaryEncoding = true;
        /// Receives the number of bytes, headers and frames included, that were read from or written to the
        /// connection to a sibling; on the client's executor. May be empty.
        std::function<void(const VmName&, std::size_t)> onWireBytes;
    };

    SiblingClient(const asio::any_io_executor& executor, Options options);
    ~SiblingClient();
    SiblingClient(const SiblingClient&) = delete;
    SiblingClient& operator=(const SiblingClient&) = delete;

    /// Calls a method and returns the body of its answer. Throws RequestError when the sibling refused the
    /// call and SiblingError on any other failure. May be called on any thread; resumes on its caller's
    /// executor.
    ///
    ///     auto body = co_await client.call(address, { .method = "Heartbeat", .body = text, .deadline = soon
    ///     });
    [[nodiscard]] asio::awaitable<std::string> call(SiblingAddress address, SiblingCall call);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
