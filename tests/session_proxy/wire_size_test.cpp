#include "../../src/session_proxy/forwarding_codec.h"
#include "../coroutine.h"
#include "../siblings/relay.h"

#include <cyclamendrift/siblings/sibling_client.h>
#include <cyclamendrift/siblings/sibling_server.h>

#include <cyclamendrift/session_proxy/shared_listing.h>

#include <sharing.pb.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <numeric>
#include <string>
#include <utility>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t calls = 200;
constexpr std::size_t frameHeaderBytes = 9;

/// Bytes of one direction of a connection.
struct WireBytes {
    std::size_t headerBlocks = 0;
    std::size_t data = 0;
    /// 9-byte headers of HEADERS and DATA frames.
    std::size_t frameHeaders = 0;
    /// Whole frames of other types, and the connection preface.
    std::size_t control = 0;

    [[nodiscard]] std::size_t total() const
    {
        return this->headerBlocks + this->data + this->frameHeaders + this->control;
    }
};

WireBytes measureFrames(std::string_view bytes)
{
    constexpr std::string_view preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    WireBytes result;
    if (bytes.starts_with(preface)) {
        result.control += preface.size();
        bytes.remove_prefix(preface.size());
    }
    while (bytes.size() >= frameHeaderBytes) {
        const auto size = std::accumulate(bytes.begin(), bytes.begin() + 3, std::size_t { 0 },
            [](std::size_t sum, char byte) { return sum * 256 + static_cast<std::uint8_t>(byte); });
        const auto type = static_cast<std::uint8_t>(bytes[3]);
        constexpr std::uint8_t dataFrame = 0;
        constexpr std::uint8_t headersFrame = 1;
        if (type > headersFrame) {
            result.control += frameHeaderBytes + size;
        } else {
            result.frameHeaders += frameHeaderBytes;
            (type == dataFrame ? result.data : result.headerBlocks) += size;
        }
        bytes.remove_prefix(std::min(bytes.size(), frameHeaderBytes + size));
    }
    REQUIRE(bytes.empty());
    return result;
}

/// Mean of one call and its answer over all calls of one connection, the opening of which is part of it.
struct CallSize {
    std::size_t requestBody = 0;
    std::size_t answerBody = 0;
    WireBytes request;
    WireBytes answer;
};

CallSize measureCalls(const std::string& method, const std::string& body, const std::string& answer)
{
    asio::io_context context;
    SiblingServer server { context.get_executor(),
        { .host = "127.0.0.1",
            .secret = "secret",
            .handler
            = [&answer](IncomingSiblingCall) -> asio::awaitable<std::string> { co_return answer; } } };
    Relay relay { context, server.port() };
    std::string toServer;
    std::string toClient;
    relay.toServer = [&toServer](std::string& bytes) { return !toServer.append(bytes).empty(); };
    relay.toClient = [&toClient](std::string& bytes) { return !toClient.append(bytes).empty(); };
    SiblingClient client { context.get_executor(),
        { .self = VmName { "session-proxy-0123456789" }, .secret = "secret", .connectTimeout = 20s } };
    const SiblingAddress address {
        .vm = VmName { "session-proxy-9876543210" }, .host = "127.0.0.1", .port = relay.port()
    };
    for (std::size_t index = 0; index < calls; ++index) {
        SiblingCall call {
            .method = method, .body = body, .deadline = std::chrono::steady_clock::now() + 30s
        };
        REQUIRE(runCoroutine(context, client.call(address, std::move(call))) == answer);
    }
    return { .requestBody = body.size(),
        .answerBody = answer.size(),
        .request = measureFrames(toServer),
        .answer = measureFrames(toClient) };
}

void print(const char* what, const CallSize& size)
{
    const auto line = [](const char* direction, std::size_t body, const WireBytes& wire) {
        const auto mean = [](std::size_t bytes) { return static_cast<double>(bytes) / calls; };
        std::cout << "  " << direction << ": message " << body << ", on the wire " << mean(wire.total())
                  << " (header block " << mean(wire.headerBlocks) << ", data " << mean(wire.data)
                  << ", frame headers " << mean(wire.frameHeaders) << ", other frames " << mean(wire.control)
                  << ")\n";
    };
    std::cout << what << ", bytes per call over " << calls << " calls of one connection\n";
    line("call  ", size.requestBody, size.request);
    line("answer", size.answerBody, size.answer);
}

/// Checks what a call costs beyond its message: the headers of a HEADERS and a DATA frame, the MAC, the time
/// left of a call, and a byte for each header field, two for some. The opening of the connection is spread
/// over all calls.
void checkOverhead(const CallSize& size)
{
    constexpr std::size_t macBytes = 32;
    constexpr std::size_t timeoutBytes = 4;
    // Method, scheme, authority, path, sending VM, and the method of the sibling protocol.
    constexpr std::size_t callFieldBytes = 6;
    // Status and result.
    constexpr std::size_t answerFieldBytes = 2;
    // Preface, SETTINGS, WINDOW_UPDATE, the hello, and the first values of repeated header fields.
    constexpr std::size_t openingBytes = 400;
    CHECK(size.request.total() <= openingBytes
            + calls * (size.requestBody + 2 * frameHeaderBytes + macBytes + timeoutBytes + callFieldBytes));
    CHECK(size.answer.total()
        <= openingBytes + calls * (size.answerBody + 2 * frameHeaderBytes + macBytes + answerFieldBytes));
}

ForwardedStatement typicalRead()
{
    ForwardedStatement work;
    work.remoteSession = CallerId { 0xC5A3'19F0'27B6'D481 };
    work.query = { .id = "4711-23",
        .text = std::string(150, 't'),
        .statement = ExecutePrepared { .name = "orders_by_day", .arguments = std::string(20, 'a') } };
    work.kind = StatementKind::Read;
    work.team = TeamName { "checkout" };
    work.route.service = ServiceName { "orders" };
    work.route.freshness = BoundedStalenessRoute { 5s };
    work.route.statementTimeout = 2s;
    work.route.targetLatency = 250ms;
    work.route.priority = 3;
    work.state.values = { { "time_zone", std::string(20, 'z') }, { "language", std::string(20, 'l') } };
    work.state.prepared["orders_by_day"] = { .writes = false, .text = std::string(90, 's') };
    work.waited = 300us;
    return work;
}

/// Bytes of the caller's and the configuration's texts in a statement.
std::size_t textsOf(const ForwardedStatement& work)
{
    const auto& execute = std::get<ExecutePrepared>(work.query.statement);
    auto size = work.query.id.size() + work.query.text.size() + execute.name.size() + execute.arguments.size()
        + work.state.prepared.at(execute.name).text.size() + work.team.view().size()
        + work.route.service.view().size();
    for (const auto& [name, value] : work.state.values)
        size += name.size() + value.size();
    return size;
}

constexpr Instant readAt { 100s };
constexpr std::uint64_t knownRevision = 73'209;

SharedListing listingAt(std::uint64_t revision)
{
    SharedListing listing;
    static_cast<void>(listing.takeReading(
        { .entries = { { .key = "vms/vm-1", .value = std::string(60, 'r'), .revision = 7 } },
            .revision = revision },
        readAt));
    return listing;
}

std::string readingsRequest()
{
    wire::ReadingsRequest request;
    request.set_configuration_revision(21'400);
    request.set_takes_packed(true);
    request.set_requests_configuration(true);
    request.set_takes_unchanged(true);
    const auto listing = listingAt(knownRevision);
    for (auto* known : { request.mutable_leadership(), request.mutable_vms(), request.mutable_directory(),
             request.mutable_evacuations() })
        listing.writeKnown(*known);
    return request.SerializeAsString();
}

/// The answer of a reader of the store in which other keys have been written since the asker's last request.
std::string unchangedReadings()
{
    wire::KnownListing known;
    listingAt(knownRevision).writeKnown(known);
    const auto reader = listingAt(knownRevision + 5);
    wire::ReadingsAnswer answer;
    for (auto* listing : { answer.mutable_leadership(), answer.mutable_vms(), answer.mutable_directory(),
             answer.mutable_evacuations() })
        reader.writeAnswer(
            known, { .now = readAt + 312ms, .packed = true, .marksUnchanged = true }, *listing);
    answer.mutable_configuration()->set_age_us(1'800'000);
    answer.mutable_configuration()->set_revision(21'400);
    answer.set_store_age_us(312'000);
    answer.set_configuration_latest_until(knownRevision + 5);
    return answer.SerializeAsString();
}

} // namespace

TEST_SUITE("bytes of calls between siblings")
{
    TEST_CASE("typical calls cost no more than their messages and a stated overhead")
    {
        // Guards against headers, frames and fields that make each call larger unnoticed: traffic between
        // availability zones is paid by the byte.
        const auto work = typicalRead();
        const auto body = forwarding_codec::encode(work);
        const auto answer = forwarding_codec::encode(Reply { .rows = { std::string(500, 'r') },
            .progress = Progress { .term = Term { 7 }, .position = LogPosition { 918'273'645 } } });
        const auto statement = measureCalls("RunForSibling", body, answer);
        std::cout << "texts of the statement: " << textsOf(work) << '\n';
        print("forwarded read", statement);
        // Each of 11 texts has a tag and a length, as have the 3 messages that contain some of them; two
        // lengths are over 127 and take a byte more. The other fields are the session's id (9 bytes), the
        // freshness (2), the priority (2) and four durations (18).
        constexpr std::size_t tagsAndLengths = 22 + 6 + 2;
        constexpr std::size_t otherFields = 31;
        CHECK(body.size() <= textsOf(work) + tagsAndLengths + otherFields);
        // The row's and the progress's tags, lengths and numbers.
        CHECK(answer.size() <= 500 + 3 + 10);
        checkOverhead(statement);

        wire::TokenRequest request;
        request.set_team("checkout");
        request.set_wanted(4);
        request.set_priority(3);
        request.set_wait_us(20'000);
        request.set_number(1'187'262'517'313);
        wire::TokenAnswer given;
        given.set_given(4);
        const auto tokens
            = measureCalls("GiveTokens", request.SerializeAsString(), given.SerializeAsString());
        print("request for tokens", tokens);
        checkOverhead(tokens);

        const auto readings = measureCalls("ShareReadings", readingsRequest(), unchangedReadings());
        print("unchanged request for readings", readings);
        // Four digests and revisions in the request, as the reader has to know what the asker has; only
        // revisions and ages in the answer.
        CHECK(readings.requestBody <= 4U * (2 + 9 + 4) + 12);
        CHECK(readings.answerBody <= 4U * (2 + 2 + 4 + 4) + 2 + 5 + 4 + 4 + 4);
        checkOverhead(readings);

        const auto liveness = measureCalls("SignOfLife", {}, {});
        print("liveness check", liveness);
        checkOverhead(liveness);
    }
}
