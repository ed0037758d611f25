#include "../coroutine.h"
#include "relay.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/siblings/sibling_client.h>
#include <cyclamendrift/siblings/sibling_error.h>
#include <cyclamendrift/siblings/sibling_server.h>

#include <asio/steady_timer.hpp>
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr auto secret = "the secret that all siblings know";

/// Server and client of two siblings, connected through a relay, on one thread.
struct SiblingPair {
    explicit SiblingPair(SiblingServer::Handler handler, const char* serverSecret = secret,
        bool serverBinary = true, bool clientBinary = true)
        : server(std::in_place, context.get_executor(),
            SiblingServer::Options { .host = "127.0.0.1",
                .secret = serverSecret,
                .handler = std::move(handler),
                .pingInterval = 1h,
                .pingTimeout = 10h,
                .maxMessageBytes = maxBytes,
                .binaryEncoding = serverBinary })
        , relay(context, server->port())
        , client(std::in_place, context.get_executor(),
              SiblingClient::Options { .self = VmName { "vm-1" },
                  .secret = secret,
                  .connectTimeout = 20s,
                  .pingInterval = 50ms,
                  .pingTimeout = 200ms,
                  .maxMessageBytes = maxBytes,
                  .binaryEncoding = clientBinary })
    {
    }

    std::string call(SiblingCall call)
    {
        const SiblingAddress address {
            .vm = VmName { "vm-2" }, .host = "127.0.0.1", .port = this->relay.port()
        };
        return runCoroutine(this->context, this->client->call(address, std::move(call)));
    }

    std::string call(std::string body)
    {
        return this->call(SiblingCall {
            .method = "Echo", .body = std::move(body), .deadline = farDeadline(), .traceparent = "" });
    }

    static Instant farDeadline() { return std::chrono::steady_clock::now() + 60s; }
    static constexpr std::size_t maxBytes = std::size_t { 8 } << 20U;

    asio::io_context context;
    std::optional<SiblingServer> server;
    Relay relay;
    std::optional<SiblingClient> client;
};

asio::awaitable<std::string> echo(IncomingSiblingCall call) { co_return std::move(call.body); }

template <class Action> SiblingError::Kind errorKindOf(Action&& action)
{
    try {
        action();
    } catch (const SiblingError& error) {
        return error.kind();
    }
    FAIL("no SiblingError was thrown");
    throw std::logic_error { "not reached" };
}

/// Returns once the flag is set, so that a test decides when a handler answers.
asio::awaitable<void> waitFor(const bool& flag)
{
    asio::steady_timer timer { co_await asio::this_coro::executor };
    while (!flag) {
        timer.expires_after(1ms);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> readToEnd(asio::ip::tcp::socket& socket)
{
    std::string chunk(4096, '\0');
    std::error_code error;
    while (!error)
        co_await socket.async_read_some(
            asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
}

} // namespace

TEST_SUITE("calls between siblings")
{
    TEST_CASE("a handler receives every field of a call, and its answer is returned to the caller")
    {
        std::optional<IncomingSiblingCall> received;
        SiblingPair pair { [&](IncomingSiblingCall call) -> asio::awaitable<std::string> {
            received = call;
            co_return "done";
        } };
        const auto deadline = SiblingPair::farDeadline();
        const auto answer = pair.call(
            { .method = "Execute", .body = "order", .deadline = deadline, .traceparent = "00-ab-cd-01" });
        CHECK(answer == "done");
        REQUIRE(received.has_value());
        CHECK(received->from == VmName { "vm-1" });
        CHECK(received->method == "Execute");
        CHECK(received->body == "order");
        CHECK(received->traceparent == "00-ab-cd-01");
        CHECK(received->deadline > deadline - 30s);
    }

    TEST_CASE("a body larger than the flow control windows arrives complete and does not block a small call")
    {
        SiblingPair pair { echo };
        std::string large(SiblingPair::maxBytes, 'x');
        large.back() = 'y';
        std::vector<std::string> order;
        const SiblingAddress address {
            .vm = VmName { "vm-2" }, .host = "127.0.0.1", .port = pair.relay.port()
        };
        const auto spawn = [&](std::string name, std::string body) {
            asio::co_spawn(pair.context,
                pair.client->call(address,
                    { .method = "Echo",
                        .body = body,
                        .deadline = SiblingPair::farDeadline(),
                        .traceparent = "" }),
                [&order, name, body](std::exception_ptr error, const std::string& answer) {
                    CHECK_FALSE(error);
                    CHECK(answer == body);
                    order.push_back(name);
                });
        };
        pair.call("first, so that the connection is open");
        spawn("large", large);
        spawn("small", "s");
        pair.context.restart();
        while (order.size() < 2)
            pair.context.run_one();
        CHECK(order == std::vector<std::string> { "small", "large" });
    }

    TEST_CASE("a RequestError thrown by the handler reaches the caller unchanged")
    {
        // Guards against a refusal by the service owner being turned into a failed call: a request that did
        // not run would be reported with an unknown outcome.
        SiblingPair pair { [](IncomingSiblingCall) -> asio::awaitable<std::string> {
            throw RequestError { { .outcome = Outcome::NotRun,
                .reason = RefusalReason::Overloaded,
                .message = "queue is full",
                .retryAfter = 120ms } };
            co_return "";
        } };
        try {
            pair.call("order");
            FAIL("the refusal was lost");
        } catch (const RequestError& error) {
            CHECK(error.outcome() == Outcome::NotRun);
            CHECK(error.reason() == RefusalReason::Overloaded);
            CHECK(error.retryAfter() == 120ms);
            CHECK(std::string { error.what() } == "queue is full");
        }
    }

    TEST_CASE("an exception in the handler makes the outcome unknown")
    {
        // A bug or a failed allocation in the service owner may occur after the statement was sent, so the
        // call must not be reported as not run.
        SiblingPair pair { [](IncomingSiblingCall) -> asio::awaitable<std::string> {
            throw std::runtime_error { "out of luck" };
            co_return "";
        } };
        try {
            pair.call("order");
            FAIL("the failure was lost");
        } catch (const RequestError& error) {
            CHECK(error.outcome() == Outcome::Unknown);
        }
    }

    TEST_CASE("a call after its deadline is not sent, and the outcome of a call that times out is unknown")
    {
        // An overloaded service owner answers too late. Guards against a caller that waits past its deadline
        // or is told a wrong outcome.
        int handled = 0;
        const bool never = false;
        SiblingPair pair { [&](IncomingSiblingCall) -> asio::awaitable<std::string> {
            ++handled;
            co_await waitFor(never);
            co_return "";
        } };
        const auto call = [&](Instant deadline) {
            return errorKindOf([&] {
                pair.call({ .method = "Execute", .body = "x", .deadline = deadline, .traceparent = "" });
            });
        };
        CHECK(call(std::chrono::steady_clock::now() - 1ms) == SiblingError::Kind::Unreachable);
        CHECK(handled == 0);
        auto deadline = std::chrono::steady_clock::now();
        auto result = SiblingError::Kind::Unreachable;
        // Under load a short deadline may pass before the call is sent; the call is then not run.
        for (auto wait = 50ms; result == SiblingError::Kind::Unreachable; wait *= 2) {
            CHECK(handled == 0);
            deadline = std::chrono::steady_clock::now() + wait;
            result = call(deadline);
        }
        CHECK(result == SiblingError::Kind::OutcomeUnknown);
        CHECK(std::chrono::steady_clock::now() >= deadline);
    }

    TEST_CASE("a call or an answer over the size limit is refused and leaves other calls unaffected")
    {
        // A sibling of another version or a caller that reads a whole table sends such messages. Guards
        // against one message that exhausts the memory of the process.
        SiblingPair pair { [](IncomingSiblingCall call) -> asio::awaitable<std::string> {
            co_return std::string(call.body == "much" ? SiblingPair::maxBytes + 1 : 1, 'x');
        } };
        CHECK(errorKindOf([&] { pair.call(std::string(SiblingPair::maxBytes + 1, 'x')); })
            == SiblingError::Kind::Unreachable);
        CHECK_THROWS_AS(pair.call("much"), RequestError);
        CHECK(pair.call("little") == "x");
    }

    TEST_CASE("siblings that know only the text encoding and those that know both call each other")
    {
        // During an update VMs of both builds run. Guards against calls that only one build understands.
        for (const bool serverBinary : { false, true }) {
            for (const bool clientBinary : { false, true }) {
                CAPTURE(serverBinary);
                CAPTURE(clientBinary);
                std::optional<IncomingSiblingCall> received;
                const auto handler = [&](IncomingSiblingCall call) -> asio::awaitable<std::string> {
                    received = call;
                    if (call.body == "refuse")
                        throw notRun(RefusalReason::BadRequest, "refused");
                    co_return std::move(call.body);
                };
                SiblingPair pair { handler, secret, serverBinary, clientBinary };
                const std::string large(SiblingPair::maxBytes, 'x');
                for (const auto& body : { std::string {}, std::string { "order" }, large }) {
                    const auto deadline = SiblingPair::farDeadline();
                    CHECK(pair.call({ .method = "Execute",
                              .body = body,
                              .deadline = deadline,
                              .traceparent = "00-ab-cd-01" })
                        == body);
                    REQUIRE(received.has_value());
                    CHECK(received->from == VmName { "vm-1" });
                    CHECK(received->method == "Execute");
                    CHECK(received->traceparent == "00-ab-cd-01");
                    CHECK(received->deadline > deadline - 30s);
                    CHECK(received->deadline < deadline + 30s);
                }
                CHECK_THROWS_AS(pair.call("refuse"), RequestError);
                CHECK(errorKindOf([&] { pair.call(large + "x"); }) == SiblingError::Kind::Unreachable);
                CHECK(pair.call("after that") == "after that");
            }
        }
    }

    TEST_CASE("the bytes of a connection that are reported are those on the wire")
    {
        // Guards against a metric that omits headers, frames or one direction.
        std::size_t relayed = 0;
        std::size_t reported = 0;
        SiblingPair pair { echo };
        pair.client.emplace(pair.context.get_executor(),
            SiblingClient::Options { .self = VmName { "vm-1" },
                .secret = secret,
                .connectTimeout = 20s,
                .onWireBytes = [&reported](const VmName& vm, std::size_t size) {
                    CHECK(vm == VmName { "vm-2" });
                    reported += size;
                } });
        const auto count = [&relayed](std::string& bytes) {
            relayed += bytes.size();
            return true;
        };
        pair.relay.toServer = count;
        pair.relay.toClient = count;
        for (int index = 0; index < 20; ++index)
            pair.call("order");
        pair.context.restart();
        pair.context.run_for(50ms);
        CHECK(reported > 20 * 2 * 5);
        CHECK(reported == relayed);
    }
}

TEST_SUITE("failures of connections between siblings")
{
    TEST_CASE("a call to a port without a listener is not sent")
    {
        SiblingPair pair { echo };
        std::uint16_t unusedPort = 0;
        {
            const asio::ip::tcp::acceptor acceptor { pair.context, { asio::ip::address_v4::loopback(), 0 } };
            unusedPort = acceptor.local_endpoint().port();
        }
        const SiblingAddress address { .vm = VmName { "gone" }, .host = "127.0.0.1", .port = unusedPort };
        CHECK(errorKindOf([&] {
            runCoroutine(pair.context,
                pair.client->call(address,
                    { .method = "Echo",
                        .body = "",
                        .deadline = SiblingPair::farDeadline(),
                        .traceparent = "" }));
        }) == SiblingError::Kind::Unreachable);
    }

    TEST_CASE("a host that is not an IP address fails at once instead of at the deadline")
    {
        // The platform's VM list may hold a host name instead of an address. The caller must not wait for it.
        SiblingPair pair { echo };
        const SiblingAddress address { .vm = VmName { "odd" }, .host = "vm.example", .port = 1 };
        const auto deadline = std::chrono::steady_clock::now() + 1h;
        for (int attempt = 0; attempt < 2; ++attempt) {
            CHECK(errorKindOf([&] {
                runCoroutine(pair.context,
                    pair.client->call(
                        address, { .method = "Echo", .body = "", .deadline = deadline, .traceparent = "" }));
            }) == SiblingError::Kind::Unreachable);
        }
    }

    TEST_CASE("an answer cut off in the middle fails with an unknown outcome and is not returned in part")
    {
        // The service owner fails while it sends its answer. Guards against a truncated result that is taken
        // for a complete one: a list of beds would show only half of them.
        SiblingPair pair { [](IncomingSiblingCall) -> asio::awaitable<std::string> {
            co_return std::string(100'000, 'x');
        } };
        std::size_t forwardedBytes = 0;
        pair.relay.toClient = [&](std::string& bytes) {
            forwardedBytes += bytes.size();
            return forwardedBytes < 50'000;
        };
        CHECK(errorKindOf([&] { pair.call("list"); }) == SiblingError::Kind::OutcomeUnknown);
        forwardedBytes = 0;
        pair.relay.toClient = [](std::string&) { return true; };
        CHECK(pair.call("list").size() == 100'000);
    }

    TEST_CASE("a call cut off before its end is not run and is reported as not run")
    {
        // The connection fails while a large call is sent. The service owner runs only complete calls, so the
        // caller may safely send the call to another owner VM.
        int handled = 0;
        SiblingPair pair { [&](IncomingSiblingCall) -> asio::awaitable<std::string> {
            ++handled;
            co_return "";
        } };
        pair.call("first, so that the connection is open");
        std::size_t forwardedBytes = 0;
        pair.relay.toServer = [&](std::string& bytes) {
            forwardedBytes += bytes.size();
            return forwardedBytes < 100'000;
        };
        CHECK(errorKindOf([&] { pair.call(std::string(SiblingPair::maxBytes, 'x')); })
            == SiblingError::Kind::Unreachable);
        CHECK(handled == 1);
    }

    TEST_CASE("an unresponsive connection is detected by PING long before the deadline of the call")
    {
        // A device between two siblings has dropped the state of their connection. Without a PING each call
        // on it would wait for its own deadline.
        SiblingPair pair { echo };
        pair.call("first");
        pair.relay.blackholeOpenConnections();
        const auto deadline = std::chrono::steady_clock::now() + 1h;
        CHECK(errorKindOf([&] {
            pair.call({ .method = "Echo", .body = "x", .deadline = deadline, .traceparent = "" });
        }) == SiblingError::Kind::OutcomeUnknown);
        CHECK(pair.call("over a new connection") == "over a new connection");
    }

    TEST_CASE("a connection stays open while a handler is slow and PINGs are answered")
    {
        // The service owner waits for an upstream connection for longer than the ping timeout. Closing the
        // connection between the siblings would fail all other calls on it as well.
        int pongs = 0;
        bool mayAnswer = false;
        SiblingPair pair { [&](IncomingSiblingCall) -> asio::awaitable<std::string> {
            co_await waitFor(mayAnswer);
            co_return "late";
        } };
        pair.relay.toClient = [&](std::string& bytes) {
            constexpr std::size_t pingFrameSize = 17;
            constexpr char pingType = 6;
            if (bytes.size() == pingFrameSize && bytes[3] == pingType)
                ++pongs;
            mayAnswer = pongs >= 8;
            return true;
        };
        CHECK(pair.call("slow") == "late");
    }

    TEST_CASE("a draining server completes open calls and refuses later ones as not run")
    {
        // During a planned stop, open calls must be answered, and later calls must be known not to have run
        // so that they can be sent to another sibling.
        bool mayAnswer = false;
        bool started = false;
        SiblingPair pair { [&](IncomingSiblingCall) -> asio::awaitable<std::string> {
            started = true;
            co_await waitFor(mayAnswer);
            co_return "finished";
        } };
        std::optional<std::string> first;
        const SiblingAddress address {
            .vm = VmName { "vm-2" }, .host = "127.0.0.1", .port = pair.relay.port()
        };
        asio::co_spawn(pair.context,
            pair.client->call(address,
                { .method = "Echo", .body = "", .deadline = SiblingPair::farDeadline(), .traceparent = "" }),
            [&](std::exception_ptr error, std::string answer) {
                CHECK_FALSE(error);
                first = std::move(answer);
            });
        while (!started)
            pair.context.run_one();
        pair.server->drain();
        CHECK(errorKindOf([&] { pair.call("too late"); }) == SiblingError::Kind::Unreachable);
        mayAnswer = true;
        pair.context.restart();
        while (!first)
            pair.context.run_one();
        CHECK(first == "finished");
    }
}

TEST_SUITE("authentication of siblings")
{
    TEST_CASE("a server without the secret is rejected before the secret or a call is sent to it")
    {
        // Another process may listen at the address of a sibling that has left. With the secret or a call it
        // could act as any proxy of the fleet.
        int handled = 0;
        std::string sent;
        SiblingPair pair { [&](IncomingSiblingCall) -> asio::awaitable<std::string> {
                              ++handled;
                              co_return "";
                          },
            "another secret" };
        pair.relay.toServer = [&](std::string& bytes) {
            sent += bytes;
            return true;
        };
        CHECK(errorKindOf([&] { pair.call("an order"); }) == SiblingError::Kind::NotAuthenticated);
        CHECK(handled == 0);
        CHECK(sent.find(secret) == std::string::npos);
        CHECK(sent.find("an order") == std::string::npos);
    }

    TEST_CASE("a call that is changed on the way is rejected, whichever of its bytes is changed")
    {
        // Guards against a body, a time left or a MAC that is not authenticated. The trailer of a call is 4
        // bytes of time left and 32 bytes of MAC.
        for (const std::size_t fromEnd : { 1U, 32U, 33U, 36U, 37U }) {
            CAPTURE(fromEnd);
            int handled = 0;
            SiblingPair pair { [&](IncomingSiblingCall) -> asio::awaitable<std::string> {
                ++handled;
                co_return "";
            } };
            pair.call("first");
            pair.relay.toServer = [fromEnd](std::string& bytes) {
                constexpr std::size_t longerThanControlFrames = 50;
                if (bytes.size() > longerThanControlFrames)
                    bytes[bytes.size() - fromEnd] = static_cast<char>(bytes[bytes.size() - fromEnd] ^ 1);
                return true;
            };
            CHECK(errorKindOf([&] { pair.call("order"); }) == SiblingError::Kind::NotAuthenticated);
            CHECK(handled == 1);
        }
    }

    TEST_CASE("recorded bytes of a connection run no call when they are replayed")
    {
        // Guards against a replay attack: a recorded call sent again would make a reservation twice.
        int handled = 0;
        SiblingPair pair { [&](IncomingSiblingCall) -> asio::awaitable<std::string> {
            ++handled;
            co_return "";
        } };
        std::string recorded;
        pair.relay.toServer = [&](std::string& bytes) {
            recorded += bytes;
            return true;
        };
        pair.call("reserve");
        REQUIRE(handled == 1);
        asio::ip::tcp::socket socket { pair.context };
        socket.connect({ asio::ip::address_v4::loopback(), pair.server->port() });
        asio::write(socket, asio::buffer(recorded));
        socket.shutdown(asio::ip::tcp::socket::shutdown_send);
        // The server closes its end after it has read everything.
        runCoroutine(pair.context, readToEnd(socket));
        pair.context.restart();
        pair.context.poll();
        CHECK(handled == 1);
    }

    TEST_CASE("an answer modified in transit is rejected")
    {
        // A middlebox or an attacker may rewrite an answer, which HTTP/2 alone does not detect.
        SiblingPair pair { [](IncomingSiblingCall) -> asio::awaitable<std::string> {
            co_return "bed 12 is free";
        } };
        pair.relay.toClient = [](std::string& bytes) {
            if (const auto at = bytes.find("bed 12"); at != std::string::npos)
                bytes[at + 4] = '9';
            return true;
        };
        CHECK(errorKindOf([&] { pair.call("list"); }) == SiblingError::Kind::BadAnswer);
    }

    TEST_CASE("input that is not HTTP/2 closes only its own connection")
    {
        // A port scanner or a browser on the wrong port sends such input.
        SiblingPair pair { echo };
        asio::ip::tcp::socket socket { pair.context };
        socket.connect({ asio::ip::address_v4::loopback(), pair.server->port() });
        asio::write(socket, asio::buffer(std::string { "GET / HTTP/1.1\r\nHost: sibling\r\n\r\n" }));
        runCoroutine(pair.context, readToEnd(socket));
        CHECK(pair.call("still there") == "still there");
    }
}
