#include "message_key.h"
#include "server_link.h"

#include <cyclamendrift/siblings/sibling_server.h>

#include <asio/dispatch.hpp>
#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>

#include <chrono>
#include <set>
#include <utility>

namespace cyclamendrift {

using asio::ip::tcp;

namespace {

/// Wait after a failed accept, as when the process has no file descriptors left; without it the failure would
/// repeat at once and take a whole core.
constexpr auto acceptPause = std::chrono::milliseconds { 100 };

} // namespace

struct SiblingServer::State : std::enable_shared_from_this<State> {
    State(const asio::any_io_executor& executor, Options options)
        : handlerExecutor(executor)
        , strand(asio::make_strand(executor))
        , acceptor(strand, tcp::endpoint { asio::ip::make_address(options.host), options.port })
        , pause(strand)
        , port(acceptor.local_endpoint().port())
        , options(std::move(options))
        , secretKey(MessageKey::fromSecret(this->options.secret))
    {
    }

    void accept()
    {
        this->acceptor.async_accept(asio::any_io_executor { asio::make_strand(this->handlerExecutor) },
            [self = this->shared_from_this()](const std::error_code& error, tcp::socket socket) {
                if (!self->acceptor.is_open())
                    return;
                if (error) {
                    self->acceptLater();
                    return;
                }
                self->serve(std::move(socket));
                self->accept();
            });
    }

    void acceptLater()
    {
        this->pause.expires_after(acceptPause);
        this->pause.async_wait([self = this->shared_from_this()](const std::error_code&) {
            if (self->acceptor.is_open())
                self->accept();
        });
    }

    void serve(tcp::socket socket)
    {
        if (this->links.size() >= this->options.maxConnections)
            return;
        const auto number = ++this->lastLink;
        const auto linkExecutor = socket.get_executor();
        ServerLink::Options linkOptions;
        linkOptions.link.side = Http2Link::Side::Server;
        linkOptions.link.maxConcurrentStreams = this->options.maxConcurrentStreams;
        linkOptions.link.pingInterval = this->options.pingInterval;
        linkOptions.link.pingTimeout = this->options.pingTimeout;
        linkOptions.secretKey = this->secretKey;
        linkOptions.maxMessageBytes = this->options.maxMessageBytes;
        linkOptions.handlerExecutor = this->handlerExecutor;
        linkOptions.handler = this->options.handler;
        linkOptions.onClosed = [weak = this->weak_from_this(), number] {
            if (const auto self = weak.lock())
                asio::post(self->strand, [self, number] { self->links.erase(number); });
        };
        auto link = std::make_shared<ServerLink>(std::move(socket), std::move(linkOptions));
        this->links[number] = { link, linkExecutor };
        asio::post(linkExecutor, [link] { link->serve(); });
    }

    void drain()
    {
        std::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& [number, entry] : this->links)
            asio::post(entry.executor, [link = entry.link] { link->drain(); });
    }

    void close()
    {
        std::error_code ignored;
        this->acceptor.close(ignored);
        for (const auto& [number, entry] : this->links)
            asio::post(entry.executor, [link = entry.link] { link->close(); });
    }

    struct LinkEntry {
        std::shared_ptr<ServerLink> link;
        asio::any_io_executor executor;
    };

    asio::any_io_executor handlerExecutor;
    asio::any_io_executor strand;
    tcp::acceptor acceptor;
    asio::steady_timer pause;
    std::uint16_t port = 0;
    Options options;
    MessageKey secretKey;
    std::map<std::uint64_t, LinkEntry> links;
    std::uint64_t lastLink = 0;
};

SiblingServer::SiblingServer(const asio::any_io_executor& executor, Options options)
    : state(std::make_shared<State>(executor, std::move(options)))
{
    asio::post(this->state->strand, [state = this->state] { state->accept(); });
}

SiblingServer::~SiblingServer()
{
    asio::post(this->state->strand, [state = this->state] { state->close(); });
}

std::uint16_t SiblingServer::port() const noexcept { return this->state->port; }

void SiblingServer::drain()
{
    asio::post(this->state->strand, [state = this->state] { state->drain(); });
}

} // namespace cyclamendrift
