#include "../coroutine.h"
#include "../silent_peer.h"

#include <cyclamendrift/platform/curl_client.h>
#include <cyclamendrift/platform/store_error.h>

#include <standins/http_server.h>

#include <asio/error.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <doctest/doctest.h>

#include <chrono>
#include <string>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxAnswerBytes = 1000;
/// Ample for loopback, and each call here waits it out.
constexpr Duration callTime = 200ms;

CurlRequest postTo(const SilentPeer& peer)
{
    return { .url = "http://" + peer.address() + "/change", .body = "a change", .timeout = callTime };
}

} // namespace

TEST_SUITE("HTTP requests through libcurl")
{
    // A call that was given up keeps its connection open for good, and its bytes arrive after a partition.
    TEST_CASE("a call that is given up ends its connection")
    {
        asio::io_context context;
        SilentPeer peer { context };
        CurlClient client { context.get_executor(),
            { .connectTimeout = callTime, .maxAnswerBytes = maxAnswerBytes } };
        CHECK_THROWS_AS(runCoroutine(context, client.perform(postTo(peer))), StoreError);
        CHECK(peer.awaitEnd() == asio::error::eof);
        CHECK(peer.received().ends_with("a change"));
    }

    // The answer to an old reading is taken for that to a new one, which makes what it says too young.
    TEST_CASE("a late answer to a call that was given up is not taken for the next one's")
    {
        asio::io_context context;
        asio::steady_timer firstAnswers { context, Instant::max() };
        const auto answer
            = [&firstAnswers](standins::HttpRequest request) -> asio::awaitable<standins::HttpResponse> {
            asio::error_code ignored;
            if (request.target == "/first")
                co_await firstAnswers.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            standins::HttpResponse response;
            response.body = request.target;
            co_return response;
        };
        standins::HttpServer server { context, 0, answer };
        CurlClient client { context.get_executor(),
            { .connectTimeout = callTime, .maxAnswerBytes = maxAnswerBytes } };
        const auto url = "http://127.0.0.1:" + std::to_string(server.port());
        CHECK_THROWS_AS(runCoroutine(context, client.perform({ .url = url + "/first", .timeout = callTime })),
            StoreError);
        firstAnswers.cancel();
        context.restart();
        context.poll();
        const auto second = runCoroutine(context, client.perform({ .url = url + "/second", .timeout = 20s }));
        CHECK(second.body == "/second");
    }

    // A VM wakes from a suspension and makes a change that it decided on long ago.
    TEST_CASE("a call whose time is over before it is sent is not sent")
    {
        asio::io_context context;
        SilentPeer peer { context };
        Instant now {};
        const auto suspendedAfterEachLook = [&now] { return now += 1h; };
        CurlClient client {
            context.get_executor(),
            { .connectTimeout = callTime, .maxAnswerBytes = maxAnswerBytes, .clock = suspendedAfterEachLook }
        };
        auto kind = StoreError::Kind::NoAnswer;
        try {
            static_cast<void>(runCoroutine(context, client.perform(postTo(peer))));
        } catch (const StoreError& error) {
            kind = error.kind();
        }
        CHECK(kind == StoreError::Kind::Unreachable);
        CHECK(peer.awaitEnd() == asio::error::eof);
        CHECK(peer.received().empty());
    }
}
