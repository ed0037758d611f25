#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <asio/any_io_executor.hpp>
#include <asio/awaitable.hpp>

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
class SiblingClient {
public:
    struct Options {
        VmName self;
        /// Shared secret of all proxies, from the settings.
        std::string secret;
    };

    SiblingClient(asio::any_io_executor executor, Options options);
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
