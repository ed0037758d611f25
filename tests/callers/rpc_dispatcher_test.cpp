#include <cyclamendrift/callers/request_checks.h>
#include <cyclamendrift/callers/rpc_dispatcher.h>
#include <cyclamendrift/core/request_error.h>

#include <cyclamendrift.pb.h>

#include <doctest/doctest.h>
#include <google/protobuf/util/json_util.h>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/use_future.hpp>

using namespace cyclamendrift;

namespace {

constexpr auto executePath = "/cyclamendrift.api.Statements/Execute";

asio::awaitable<api::ExecuteResponse> answer(RpcContext, api::ExecuteRequest request)
{
    check(request);
    if (request.statement() == "fail")
        throw std::runtime_error("a fault");
    if (request.statement() == "wait")
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::OverLimit,
            .message = "over the rate",
            .retryAfter = std::chrono::milliseconds { 1200 } } };
    api::ExecuteResponse response;
    response.set_request_id(request.request_id());
    response.set_outcome(api::OUTCOME_DONE);
    co_return response;
}

HttpResponse dispatch(HttpRequest request)
{
    RpcDispatcher dispatcher;
    dispatcher.add<api::ExecuteRequest, api::ExecuteResponse>(
        *api::Statements::descriptor()->FindMethodByName("Execute"), answer);
    asio::io_context context;
    auto response = asio::co_spawn(context, dispatcher.dispatch(std::move(request)), asio::use_future);
    context.run();
    return response.get();
}

HttpResponse dispatchJson(std::string body)
{
    return dispatch({ .method = "POST",
        .path = executePath,
        .headers = { { "content-type", "application/json; charset=utf-8" } },
        .body = std::move(body) });
}

HttpResponse dispatchProtobuf(std::string body)
{
    return dispatch({ .method = "POST",
        .path = executePath,
        .headers = { { "Content-Type", "application/protobuf" } },
        .body = std::move(body) });
}

api::Error errorOf(const HttpResponse& response)
{
    api::Error error;
    REQUIRE(google::protobuf::util::JsonStringToMessage(response.body, &error).ok());
    return error;
}

/// A statement with one part of its JSON replaced.
std::string statement(
    const std::string& requestId, const std::string& kind, const std::string& text = "SELECT 1")
{
    return R"({"requestId":")" + requestId + R"(","service":"s","database":"d","statement":")" + text + "\""
        + kind + "}";
}

void checkBadRequest(const HttpResponse& response)
{
    CAPTURE(response.body);
    CHECK(response.status == 400);
    const auto error = errorOf(response);
    CHECK(error.outcome() == api::OUTCOME_NOT_RUN);
    CHECK(error.code() == "bad_request");
    CHECK_FALSE(error.request_id().empty());
    CHECK_FALSE(error.message().empty());
}

} // namespace

TEST_SUITE("calls in JSON and protobuf")
{
    TEST_CASE("a call is answered in the form that it came in")
    {
        const auto json = dispatchJson(statement("r-1", R"(,"read":{})"));
        CHECK(json.status == 200);
        api::ExecuteResponse response;
        REQUIRE(google::protobuf::util::JsonStringToMessage(json.body, &response).ok());
        CHECK(response.request_id() == "r-1");

        api::ExecuteRequest request;
        REQUIRE(
            google::protobuf::util::JsonStringToMessage(statement("r-2", R"(,"write":{})"), &request).ok());
        const auto binary = dispatchProtobuf(request.SerializeAsString());
        REQUIRE(response.ParseFromString(binary.body));
        CHECK(response.request_id() == "r-2");
    }

    TEST_CASE("a refusal has status, outcome, request id and when to come back")
    {
        const auto response = dispatchJson(statement("r-3", R"(,"read":{})", "wait"));
        CHECK(response.status == 429);
        const auto error = errorOf(response);
        CHECK(error.request_id() == "r-3");
        CHECK(error.code() == "over_limit");
        CHECK(error.retry_after_ms() == 1200);
        REQUIRE(response.headers.size() == 2);
        CHECK(response.headers.front().name == "Retry-After");
        CHECK(response.headers.front().value == "2");
    }

    // A fault in the proxy throws something that no layer knows. Saying "not run" could be a lie by then.
    TEST_CASE("a fault of the proxy leaves the outcome unknown")
    {
        const auto response = dispatchJson(statement("r-4", R"(,"write":{})", "fail"));
        CHECK(response.status == 500);
        CHECK(errorOf(response).outcome() == api::OUTCOME_UNKNOWN);
    }
}

TEST_SUITE("malformed calls")
{
    TEST_CASE("no valid JSON")
    {
        checkBadRequest(dispatchJson("{"));
        checkBadRequest(dispatchJson(""));
        checkBadRequest(dispatchJson(R"({"requestId":7,"noSuchField":1})"));
        checkBadRequest(dispatchJson(std::string(5000, '[')));
    }

    TEST_CASE("no valid protobuf")
    {
        const auto response = dispatchProtobuf("\xff\xff\xff\xff");
        CHECK(response.status == 400);
        api::Error error;
        REQUIRE(error.ParseFromString(response.body));
        CHECK(error.outcome() == api::OUTCOME_NOT_RUN);
    }

    TEST_CASE("another method, path or content type")
    {
        CHECK(dispatch({ .method = "GET", .path = executePath }).status == 405);
        CHECK(dispatch({ .method = "POST", .path = "/cyclamendrift.api.Statements/Drop" }).status == 404);
        CHECK(dispatch(
                  { .method = "POST", .path = executePath, .headers = { { "Content-Type", "text/html" } } })
                  .status
            == 415);
    }

    TEST_CASE("a missing, long or unprintable request id")
    {
        checkBadRequest(dispatchJson(statement("", R"(,"read":{})")));
        checkBadRequest(dispatchJson(statement(std::string(65, 'x'), R"(,"read":{})")));
        checkBadRequest(dispatchJson(statement(R"(a\r\nX-Injected: b)", R"(,"read":{})")));
        CHECK(dispatchJson(statement(std::string(64, 'x'), R"(,"read":{})")).status == 200);
    }

    // A statement says both that it only reads and that it writes. Whichever the proxy chose, the other
    // promise would be broken.
    TEST_CASE("both read and write, or neither")
    {
        checkBadRequest(dispatchJson(statement("r", R"(,"read":{},"write":{})")));
        checkBadRequest(dispatchJson(statement("r", "")));
        api::ExecuteRequest read;
        read.set_request_id("r");
        read.set_service("s");
        read.set_database("d");
        read.set_statement("SELECT 1");
        read.mutable_read();
        api::ExecuteRequest write;
        write.mutable_write();
        const auto response = dispatchProtobuf(read.SerializeAsString() + write.SerializeAsString());
        CHECK(response.status == 400);
        CHECK(dispatchProtobuf(read.SerializeAsString()).status == 200);
    }

    TEST_CASE("a staleness that is negative, endless or no number")
    {
        for (const auto* seconds : { "-1", "\"NaN\"", "\"Infinity\"", "1e300" })
            checkBadRequest(dispatchJson(
                statement("r", std::string { R"(,"read":{"maxStalenessSeconds":)" } + seconds + "}")));
        CHECK(dispatchJson(statement("r", R"(,"read":{"maxStalenessSeconds":2.5})")).status == 200);
    }
}
