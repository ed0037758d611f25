#pragma once

#include "http_server.h"
#include "memory_store.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <cstdint>
#include <string>

namespace cyclamendrift::standins {

/// Serves a MemoryStore as etcd v3's HTTP/JSON gateway does, the list of VMs at /vms, and the faults of both
/// at /control. Runs on one thread.
class StoreServer {
public:
    StoreServer(asio::io_context& context, std::uint16_t port);

    [[nodiscard]] std::uint16_t port() const noexcept { return this->server.port(); }
    [[nodiscard]] MemoryStore& store() noexcept { return this->memory; }
    void setVms(std::string json) { this->vms = std::move(json); }
    /// The next answer is cut after this many bytes, or is this text instead of the store's.
    void cutNextAnswer(std::size_t bytes) noexcept { this->cutAfter = bytes; }
    void replaceNextAnswer(std::string text) { this->replacement = std::move(text); }

private:
    asio::awaitable<HttpResponse> handle(HttpRequest request);
    asio::awaitable<HttpResponse> answer(const HttpRequest& request);
    asio::awaitable<HttpResponse> range(const HttpRequest& request);
    asio::awaitable<HttpResponse> transaction(const HttpRequest& request);
    asio::awaitable<HttpResponse> lease(const HttpRequest& request);
    HttpResponse watch(const HttpRequest& request);
    HttpResponse control(const HttpRequest& request);
    void outageFor(Duration duration);

    MemoryStore memory;
    asio::steady_timer outageTimer;
    std::string vms = "[]";
    std::string replacement;
    std::size_t cutAfter = 0;
    HttpServer server;
};

} // namespace cyclamendrift::standins
