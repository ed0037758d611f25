#pragma once

#include <cyclamendrift/callers/http_message.h>
#include <cyclamendrift/core/instant.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace cyclamendrift {

/// Serves HTTP/1.1 on one io_context that one thread runs. What breaks a bound or the protocol is answered
/// with an api::Error in JSON and its connection is closed; other connections go on.
///
///     HttpServer server { context, { .handler = answer } };
///     server.port();
class HttpServer {
public:
    /// Answers one whole request; must not throw.
    using Handler = std::function<asio::awaitable<HttpResponse>(HttpRequest)>;

    struct Options {
        std::string host = "127.0.0.1";
        /// 0 for any free port.
        std::uint16_t port = 0;
        /// Lets several servers, one on each thread, share a port; the kernel spreads connections over them.
        bool sharePort = false;
        /// Connections beyond this number are told so and closed.
        std::size_t maxConnections = 1024;
        std::uint64_t maxBodyBytes = std::uint64_t { 1 } << 20;
        std::size_t maxHeaderBytes = 8192;
        std::size_t maxHeaders = 64;
        /// From the first wait for a request to its last byte; an idle connection is closed then, too.
        Duration readTimeout = std::chrono::seconds { 15 };
        Duration writeTimeout = std::chrono::seconds { 15 };
        /// A request whose handler has not answered by then gets "outcome unknown".
        Duration handlerTimeout = std::chrono::seconds { 60 };
        /// How often timeouts are looked at.
        Duration timerPeriod = std::chrono::milliseconds { 250 };
        Handler handler;
    };

    /// Listens at once; throws CallerError when the address can't be had.
    HttpServer(asio::io_context& context, Options options);
    /// Takes no more connections, and refuses what comes in on those still open; on the thread of the
    /// io_context or after that has stopped.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// The port that it listens on.
    [[nodiscard]] std::uint16_t port() const noexcept;

    /// From now on each answer ends its connection, so that the balancer's connections move elsewhere.
    void drain() noexcept;

    /// Takes no more connections; those that are open go on. On the thread of the io_context.
    void stopAccepting();

    /// Requests that came in whole and whose answer is not sent yet; may be called from any thread.
    [[nodiscard]] std::size_t inFlight() const noexcept;

    /// Connections that are open; may be called from any thread.
    [[nodiscard]] std::size_t connections() const noexcept;

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
