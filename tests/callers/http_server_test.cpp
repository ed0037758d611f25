#include <cyclamendrift/callers/http_server.h>

#include <callers/raw_caller.h>

#include <doctest/doctest.h>

#include <asio/executor_work_guard.hpp>
#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <memory>
#include <thread>

using namespace cyclamendrift;

namespace {

/// A server that answers with the body it was sent.
class EchoServer {
public:
    explicit EchoServer(HttpServer::Options options = {})
        : work(asio::make_work_guard(this->context))
    {
        options.timerPeriod = std::chrono::milliseconds { 5 };
        if (!options.handler) {
            options.handler = [](HttpRequest request) -> asio::awaitable<HttpResponse> {
                co_return HttpResponse { .body = "echo:" + request.body };
            };
        }
        this->server = std::make_unique<HttpServer>(this->context, std::move(options));
        this->thread = std::thread { [this] { this->context.run(); } };
    }

    ~EchoServer()
    {
        this->context.stop();
        this->thread.join();
    }

    [[nodiscard]] std::uint16_t port() const { return this->server->port(); }

    /// True when a caller like any other is served as ever.
    [[nodiscard]] bool servesOthers() const
    {
        RawCaller other { this->port() };
        other.send(post("/", "text/plain", "hello"));
        return other.readAnswer().ends_with("echo:hello");
    }

private:
    asio::io_context context;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::unique_ptr<HttpServer> server;
    std::thread thread;
};

bool contains(const std::string& text, std::string_view part) { return text.find(part) != std::string::npos; }

void checkRefusal(const std::string& answer, std::string_view status)
{
    CAPTURE(answer);
    CHECK(answer.starts_with("HTTP/1.1 " + std::string { status }));
    CHECK(contains(answer, "OUTCOME_NOT_RUN"));
    CHECK(contains(answer, "bad_request"));
    CHECK_FALSE(contains(answer, "(reset)"));
}

} // namespace

TEST_SUITE("requests that break the protocol or a bound")
{
    // A caller sends something other than HTTP. It is told so, and others are served meanwhile.
    TEST_CASE("not HTTP at all")
    {
        const EchoServer server;
        RawCaller caller { server.port() };
        caller.send("\x16\x03\x01 hello\r\n\r\n");
        checkRefusal(caller.readToEnd(), "400");
        CHECK(server.servesOthers());
    }

    // The body is larger than the bound, and the caller goes on sending it. Closing at once would reset the
    // connection, and the caller would never see why.
    TEST_CASE("a body over the bound")
    {
        const EchoServer server { { .maxBodyBytes = 1000 } };
        RawCaller caller { server.port() };
        caller.send(post("/", "text/plain", std::string(200'000, 'x')));
        checkRefusal(caller.readToEnd(), "413");
        CHECK(server.servesOthers());
    }

    // The length is not stated but sent in chunks that add up to more than the bound.
    TEST_CASE("a chunked body over the bound")
    {
        const EchoServer server { { .maxBodyBytes = 1000 } };
        RawCaller caller { server.port() };
        caller.send("POST / HTTP/1.1\r\nHost: test\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int chunk = 0; chunk < 3; ++chunk)
            caller.send("1f4\r\n" + std::string(500, 'x') + "\r\n");
        checkRefusal(caller.readToEnd(), "413");
        CHECK(server.servesOthers());
    }

    // One header is longer than the bound, or there are too many of them.
    TEST_CASE("headers over the bound")
    {
        const EchoServer server { { .maxHeaderBytes = 500, .maxHeaders = 10 } };
        RawCaller longOne { server.port() };
        longOne.send("GET / HTTP/1.1\r\nX-Long: " + std::string(600, 'x') + "\r\n\r\n");
        checkRefusal(longOne.readToEnd(), "431");
        RawCaller many { server.port() };
        std::string request = "GET / HTTP/1.1\r\n";
        for (int header = 0; header < 20; ++header)
            request += "X-" + std::to_string(header) + ": y\r\n";
        many.send(request + "\r\n");
        checkRefusal(many.readToEnd(), "431");
        CHECK(server.servesOthers());
    }

    // A caller holds its connection with a request that never ends, one header now and then. It is refused
    // when its time is over, whatever it has sent by then.
    TEST_CASE("a request that comes in too slowly")
    {
        const EchoServer server { { .readTimeout = std::chrono::milliseconds { 40 } } };
        RawCaller caller { server.port() };
        caller.send("POST / HTTP/1.1\r\nHost: test\r\n");
        checkRefusal(caller.readToEnd(), "408");
        CHECK(server.servesOthers());
    }

    // The connection ends within the body, as when the caller's process dies. Nothing may be run of it.
    TEST_CASE("a truncated body")
    {
        const EchoServer server;
        RawCaller caller { server.port() };
        caller.send("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 100\r\n\r\nhalf");
        caller.endSending();
        checkRefusal(caller.readToEnd(), "400");
        CHECK(server.servesOthers());
    }

    // More callers connect than the bound allows. Those beyond are told when to come back; the others are
    // served.
    TEST_CASE("too many connections")
    {
        const EchoServer server { { .maxConnections = 1 } };
        RawCaller first { server.port() };
        first.send(post("/", "text/plain", "one"));
        CHECK(first.readAnswer().ends_with("echo:one"));
        RawCaller second { server.port() };
        second.send(post("/", "application/json", "two"));
        const auto answer = second.readToEnd();
        CAPTURE(answer);
        CHECK(answer.starts_with("HTTP/1.1 503"));
        CHECK(contains(answer, "OUTCOME_NOT_RUN"));
        CHECK(contains(answer, "Retry-After: 1"));
        first.send(post("/", "text/plain", "again"));
        CHECK(first.readAnswer().ends_with("echo:again"));
    }
}

TEST_SUITE("answers")
{
    // A handler never answers, say because of a fault in it. The caller would wait for ever; it is told that
    // the outcome is unknown.
    TEST_CASE("a request that its handler does not answer")
    {
        const EchoServer server { { .handlerTimeout = std::chrono::milliseconds { 20 },
            .handler = [](HttpRequest) -> asio::awaitable<HttpResponse> {
                asio::steady_timer never { co_await asio::this_coro::executor, Instant::max() };
                co_await never.async_wait(asio::use_awaitable);
                co_return HttpResponse {};
            } } };
        RawCaller caller { server.port() };
        caller.send(post("/", "application/json", "{}"));
        const auto answer = caller.readAnswer();
        CAPTURE(answer);
        CHECK(answer.starts_with("HTTP/1.1 504"));
        CHECK(contains(answer, "OUTCOME_UNKNOWN"));
    }

    TEST_CASE("two requests on one connection are answered in their order")
    {
        const EchoServer server;
        RawCaller caller { server.port() };
        caller.send(post("/", "text/plain", "one") + post("/", "text/plain", "two"));
        CHECK(caller.readAnswer().ends_with("echo:one"));
        CHECK(caller.readAnswer().ends_with("echo:two"));
    }
}
