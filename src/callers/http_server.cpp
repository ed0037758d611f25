#include <cyclamendrift/callers/http_server.h>

#include "answering_socket.h"

#include <cyclamendrift/callers/caller_error.h>
#include <cyclamendrift/callers/error_response.h>
#include <cyclamendrift/core/request_error.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/steady_timer.hpp>

#include <restinio/all.hpp>

#include <atomic>
#include <unordered_set>
#include <utility>

namespace cyclamendrift {

namespace {

/// Connections beyond the bound that are accepted in order to be told so; the rest waits in the kernel.
constexpr std::size_t refusedConnections = 64;
constexpr auto comeBackToFullServer = std::chrono::seconds { 1 };
constexpr std::size_t readBufferBytes = 16384;

HttpRequest convert(const restinio::request_t& request)
{
    HttpRequest converted { .method = request.header().method().c_str(),
        .path = std::string { request.header().path() },
        .body = request.body() };
    request.header().for_each_field([&converted](const restinio::http_header_field_t& field) {
        converted.headers.push_back({ field.name(), field.value() });
    });
    return converted;
}

struct Counters {
    std::atomic<std::size_t> inFlight { 0 };
    std::atomic<std::size_t> connections { 0 };
    std::atomic<bool> draining { false };
};

/// One request until it is answered, by its handler or by the timeout, whichever comes first.
class Exchange {
public:
    Exchange(restinio::request_handle_t request, std::shared_ptr<Counters> counters, bool closeAfter)
        : request(std::move(request))
        , counters(std::move(counters))
        , closeAfter(closeAfter)
    {
        ++this->counters->inFlight;
    }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    ~Exchange()
    {
        if (this->request)
            --this->counters->inFlight;
    }

    void answer(const HttpResponse& response)
    {
        if (!this->request)
            return;
        auto out = this->request->create_response(restinio::http_status_line_t {
            restinio::http_status_code_t { static_cast<std::uint16_t>(response.status) },
            reasonPhrase(response.status) });
        out.append_header(restinio::http_field::content_type, response.contentType);
        for (const auto& header : response.headers)
            out.append_header(header.name, header.value);
        if (this->closeAfter || this->counters->draining)
            out.connection_close();
        out.set_body(response.body);
        // Counted until it is sent: a process that stops before would cut the answer.
        out.done([counters = this->counters](const asio::error_code&) { --counters->inFlight; });
        this->request.reset();
    }

private:
    static std::string reasonPhrase(int status) { return status < 400 ? "OK" : "Refused"; }

    restinio::request_handle_t request;
    std::shared_ptr<Counters> counters;
    bool closeAfter;
};

/// Keeps count of open connections, and of those that came when the server was full.
class ConnectionWatcher {
public:
    ConnectionWatcher(std::shared_ptr<Counters> counters, std::size_t maxConnections)
        : counters(std::move(counters))
        , maxConnections(maxConnections)
    {
    }

    // RESTinio asks for this name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    void state_changed(const restinio::connection_state::notice_t& notice) noexcept
    {
        const auto& cause = notice.cause();
        if (restinio::holds_alternative<restinio::connection_state::accepted_t>(cause)) {
            if (++this->counters->connections > this->maxConnections)
                this->refused.insert(notice.connection_id());
        } else if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
            --this->counters->connections;
            this->refused.erase(notice.connection_id());
        }
    }

    [[nodiscard]] bool isRefused(restinio::connection_id_t connection) const
    {
        return this->refused.contains(connection);
    }

private:
    std::shared_ptr<Counters> counters;
    std::size_t maxConnections;
    std::unordered_set<restinio::connection_id_t> refused;
};

struct ServerTraits : restinio::default_single_thread_traits_t {
    using logger_t = ConnectionErrorLogger;
    using stream_socket_t = AnsweringSocket;
    using connection_state_listener_t = ConnectionWatcher;
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool use_connection_count_limiter = true;
};

RequestError full()
{
    return RequestError { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::Overloaded,
        .message = "this proxy has as many connections as it may have",
        .retryAfter = comeBackToFullServer } };
}

RequestError stopped()
{
    return RequestError { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::ShuttingDown,
        .message = "this proxy has stopped",
        .retryAfter = comeBackToFullServer } };
}

RequestError unanswered()
{
    return RequestError { { .outcome = Outcome::Unknown,
        .reason = RefusalReason::DeadlineExceeded,
        .message = "the request was not answered in time" } };
}

asio::awaitable<void> run(const HttpServer::Handler& handler, HttpRequest request,
    std::shared_ptr<Exchange> exchange, std::shared_ptr<asio::steady_timer> timer)
{
    // A copy: the server may be gone when the handler ends.
    const auto answer = handler;
    const auto response = co_await answer(std::move(request));
    timer->cancel();
    exchange->answer(response);
}

/// What connections need of their server. They hold it, because RESTinio leaves them open when a server is
/// closed: a request on such a connection would otherwise reach a server that is gone.
class ServerCore : public std::enable_shared_from_this<ServerCore> {
public:
    ServerCore(asio::io_context& context, HttpServer::Options options)
        : context(context)
        , options(std::move(options))
        , counters(std::make_shared<Counters>())
        , watcher(std::make_shared<ConnectionWatcher>(this->counters, this->options.maxConnections))
    {
    }

    restinio::request_handling_status_t handle(restinio::request_handle_t request)
    {
        const bool refused = this->watcher->isRefused(request->connection_id());
        auto converted = convert(*request);
        const auto encoding = encodingOf(converted.header("Content-Type")).value_or(Encoding::Json);
        const bool closeAfter = refused || !request->header().should_keep_alive();
        auto exchange = std::make_shared<Exchange>(std::move(request), this->counters, closeAfter);
        if (refused || this->closed) {
            exchange->answer(errorResponse(refused ? full() : stopped(), { .encoding = encoding }));
            return restinio::request_accepted();
        }
        auto timer = std::make_shared<asio::steady_timer>(this->context, this->options.handlerTimeout);
        timer->async_wait([exchange, encoding](const asio::error_code& error) {
            if (!error)
                exchange->answer(errorResponse(unanswered(), { .encoding = encoding }));
        });
        asio::co_spawn(this->context,
            run(this->options.handler, std::move(converted), std::move(exchange), std::move(timer)),
            asio::detached);
        return restinio::request_accepted();
    }

    restinio::server_settings_t<ServerTraits> settings(std::uint16_t& boundPort)
    {
        restinio::server_settings_t<ServerTraits> settings;
        settings.address(asio::ip::make_address(this->options.host))
            .port(this->options.port)
            .buffer_size(readBufferBytes)
            .read_next_http_message_timelimit(this->options.readTimeout)
            .write_http_response_timelimit(this->options.writeTimeout)
            .handle_request_timeout(2 * this->options.handlerTimeout)
            .max_parallel_connections(this->options.maxConnections + refusedConnections)
            .connection_state_listener(this->watcher)
            .timer_manager(this->options.timerPeriod)
            .incoming_http_msg_limits(this->limits())
            .acceptor_options_setter(
                [share = this->options.sharePort](auto& acceptor) { setAcceptorOptions(acceptor, share); })
            .acceptor_post_bind_hook([&boundPort](asio::ip::tcp::acceptor& acceptor) {
                boundPort = acceptor.local_endpoint().port();
            })
            .request_handler([self = this->shared_from_this()](restinio::request_handle_t request) {
                return self->handle(std::move(request));
            });
        return settings;
    }

    void close() noexcept { this->closed = true; }
    [[nodiscard]] Counters& counts() const noexcept { return *this->counters; }

private:
    [[nodiscard]] restinio::incoming_http_msg_limits_t limits() const
    {
        return restinio::incoming_http_msg_limits_t {}
            .max_url_size(this->options.maxHeaderBytes)
            .max_field_name_size(this->options.maxHeaderBytes)
            .max_field_value_size(this->options.maxHeaderBytes)
            .max_field_count(this->options.maxHeaders)
            .max_body_size(this->options.maxBodyBytes);
    }

    static void setAcceptorOptions(restinio::acceptor_options_t& acceptor, bool share)
    {
        using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        if (share)
            acceptor.set_option(ReusePort { true });
    }

    asio::io_context& context;
    HttpServer::Options options;
    std::shared_ptr<Counters> counters;
    std::shared_ptr<ConnectionWatcher> watcher;
    std::atomic<bool> closed { false };
};

} // namespace

struct HttpServer::State {
    State(asio::io_context& context, Options options)
        : core(std::make_shared<ServerCore>(context, std::move(options)))
        , server(restinio::external_io_context(context), this->core->settings(this->boundPort))
    {
    }

    std::shared_ptr<ServerCore> core;
    std::uint16_t boundPort = 0;
    restinio::http_server_t<ServerTraits> server;
};

HttpServer::HttpServer(asio::io_context& context, Options options)
try : state(std::make_shared<State>(context, std::move(options))) {
    this->state->server.open_sync();
} catch (const std::exception& error) {
    throw CallerError(std::string { "cannot listen: " } + error.what());
}

HttpServer::~HttpServer() { this->state->core->close(); }

std::uint16_t HttpServer::port() const noexcept { return this->state->boundPort; }

void HttpServer::drain() noexcept { this->state->core->counts().draining = true; }

void HttpServer::stopAccepting() { this->state->server.close_sync(); }

std::size_t HttpServer::inFlight() const noexcept { return this->state->core->counts().inFlight; }

std::size_t HttpServer::connections() const noexcept { return this->state->core->counts().connections; }

} // namespace cyclamendrift
