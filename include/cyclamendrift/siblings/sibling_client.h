#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Where a sibling proxy listens for its siblings.
struct SiblingAddress {
    VmName vm;
    std::string host;
    std::uint16_t port = 0;
};

/// One call to a sibling proxy.
struct SiblingCall {
    /// Method name, as in "Execute".
    std::string method;
    /// Protobuf body.
    std::string body;
    Instant deadline;
    /// W3C trace context, passed on as it is; may be empty.
    std::string traceparent;
};

/// Calls sibling proxies over HTTP/2 streams, with one connection to each that is opened when first needed.
/// Both ends prove that they know the secret; it is never sent itself. May be destroyed on any thread; calls
/// still open then end with SiblingError.
class SiblingClient {
public:
    struct Options {
        VmName self;
        /// Shared secret of all proxies, from the settings.
        std::string secret;
        Duration connectTimeout = std::chrono::seconds { 1 };
        /// While calls are open, a PING frame goes out this often.
        Duration pingInterval = std::chrono::milliseconds { 500 };
        /// A connection that sends nothing for so long after a PING is taken for silent and closed.
        Duration pingTimeout = std::chrono::seconds { 2 };
        /// A connection without calls is closed after this time.
        Duration idleTimeout = std::chrono::minutes { 1 };
        /// Longest body of a call or an answer.
        std::size_t maxMessageBytes = std::size_t { 32 } << 20U;
        /// Calls that may be open to one sibling at a time; further ones end with Unreachable.
        std::size_t maxConcurrentCalls = 4096;
    };

    SiblingClient(const asio::any_io_executor& executor, Options options);
    ~SiblingClient();
    SiblingClient(const SiblingClient&) = delete;
    SiblingClient& operator=(const SiblingClient&) = delete;

    /// Calls a method and returns the body of its answer. Throws RequestError when the sibling refused,
    /// SiblingError otherwise. The call may be made on any thread; it resumes on its caller's executor.
    ///
    ///     auto body = co_await client.call(address, { .method = "Heartbeat", .body = text, .deadline = soon
    ///     });
    [[nodiscard]] asio::awaitable<std::string> call(SiblingAddress address, SiblingCall call);

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
