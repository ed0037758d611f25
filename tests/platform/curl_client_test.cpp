#include "../coroutine.h"
#include "../silent_peer.h"

#include <cyclamendrift/platform/curl_client.h>
#include <cyclamendrift/platform/store_error.h>

#include <asio/error.hpp>

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
