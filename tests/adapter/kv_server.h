#pragma once

#include <standins/http_server.h>
#include <standins/memory_store.h>

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace cyclamendrift {

/// Serves a MemoryStore over the protocol of the users' platform, and the promotion of databases. Runs on one
/// thread.
class KvServer {
public:
    explicit KvServer(asio::io_context& context);

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(this->server.port()); }
    [[nodiscard]] standins::MemoryStore& store() noexcept { return this->memory; }

    /// Writes as an operator or a database would.
    void put(const std::string& key, const std::string& value);
    /// Deletes a key, as an operator would.
    void remove(const std::string& key);
    /// Status with which every call is refused; 0 to serve calls.
    unsigned refuseWith = 0;
    /// How many listings of that prefix, of those that may lag, are answered as if it had no keys yet.
    std::string laggingPrefix;
    std::size_t laggingAnswers = 0;
    /// Rate at which answers are sent, and where they stop, as of standins::HttpResponse.
    std::size_t bytesPerSecond = 0;
    std::size_t stallAfter = 0;
    /// Called with the service and the id of a promotion; returns whether that database is running.
    std::function<bool(const std::string&, const std::string&)> onPromotion;

private:
    asio::awaitable<standins::HttpResponse> handle(standins::HttpRequest request);
    asio::awaitable<standins::HttpResponse> answer(standins::HttpRequest request);
    asio::awaitable<standins::HttpResponse> range(const std::string& target);
    asio::awaitable<standins::HttpResponse> key(const std::string& target);
    asio::awaitable<standins::HttpResponse> watch(const std::string& target);
    asio::awaitable<standins::HttpResponse> transaction(const std::string& body);
    asio::awaitable<standins::HttpResponse> lease(const standins::HttpRequest& request);

    asio::io_context& context;
    standins::MemoryStore memory;
    standins::HttpServer server;
};

} // namespace cyclamendrift
