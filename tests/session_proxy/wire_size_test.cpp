#include "../../src/session_proxy/forwarding_codec.h"
#include "../coroutine.h"
#include "../siblings/relay.h"

#include <cyclamendrift/siblings/sibling_client.h>
#include <cyclamendrift/siblings/sibling_server.h>

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

void writeKnown(std::uint64_t revision, wire::KnownListing& known)
{
    known.set_revision(revision);
    known.set_digest(0x9B1F'07C4'6E25'A3D8);
}

std::string readingsRequest()
{
    wire::ReadingsRequest request;
    request.set_configuration_revision(21'400);
    request.set_takes_packed(true);
    request.set_requests_configuration(true);
    writeKnown(73'211, *request.mutable_leadership());
    writeKnown(73'214, *request.mutable_vms());
    writeKnown(73'209, *request.mutable_directory());
    writeKnown(73'209, *request.mutable_evacuations());
    return request.SerializeAsString();
}

std::string unchangedReadings()
{
    wire::ReadingsAnswer answer;
    for (auto* listing : { answer.mutable_leadership(), answer.mutable_vms(), answer.mutable_directory(),
             answer.mutable_evacuations() }) {
        listing->set_age_us(312'000);
        listing->set_revision(73'214);
        listing->set_digest(0x9B1F'07C4'6E25'A3D8);
    }
    answer.mutable_configuration()->set_age_us(1'800'000);
    answer.mutable_configuration()->set_revision(21'400);
    answer.set_store_age_us(312'000);
    answer.set_configuration_latest_until(73'214);
    return answer.SerializeAsString();
}

} // namespace

TEST_SUITE("bytes of calls between siblings")
{
    TEST_CASE("sizes of typical calls")
    {
        const auto work = typicalRead();
        const auto body = forwarding_codec::encode(work);
        const auto answer = forwarding_codec::encode(Reply { .rows = { std::string(500, 'r') },
            .progress = Progress { .term = Term { 7 }, .position = LogPosition { 918'273'645 } } });
        const auto statement = measureCalls("RunForSibling", body, answer);
        std::cout << "texts of the statement: " << textsOf(work) << '\n';
        print("forwarded read", statement);

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

        const auto readings = measureCalls("ShareReadings", readingsRequest(), unchangedReadings());
        print("unchanged request for readings", readings);

        print("liveness check", measureCalls("SignOfLife", {}, {}));
    }
}
