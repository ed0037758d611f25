#include <proxy/proxy_fixture.h>

#include <callers/raw_caller.h>

using namespace cyclamendrift;
using standins::PostgresGroup;

namespace {

PostgresGroup::Options threeSlots()
{
    return { .slots = { { .name = "a" }, { .name = "b" }, { .name = "c" } } };
}

/// Calls a method of the Statements service and returns the whole answer.
std::string call(const Proxy& proxy, const std::string& method, const google::protobuf::Message& request,
    const std::string& secret = callerSecret)
{
    const auto body = request.SerializeAsString();
    RawCaller caller { proxy.callersPort() };
    caller.send("POST /cyclamendrift.api.Statements/" + method
        + " HTTP/1.1\r\nHost: test\r\nContent-Type: application/protobuf\r\nAuthorization: Bearer " + secret
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller.readAnswer();
}

template <class Message> Message bodyOf(const std::string& answer)
{
    Message message;
    REQUIRE(message.ParseFromString(answer.substr(answer.find("\r\n\r\n") + 4)));
    return message;
}

api::ExecuteRequest statement(const std::string& requestId, const std::string& text)
{
    api::ExecuteRequest request;
    request.set_request_id(requestId);
    request.set_service("register");
    request.set_database("beds");
    request.set_statement(text);
    return request;
}

} // namespace

TEST_SUITE("one proxy before one group")
{
    TEST_CASE("a statement is answered for the team whose key came with it")
    {
        const PostgresGroup group { threeSlots() };
        const Proxy proxy { aloneWith(schemaFor(group)) };
        auto create = statement("r1", "CREATE TABLE IF NOT EXISTS reservations (bed text PRIMARY KEY)");
        create.mutable_write()->set_idempotent(true);
        const auto created = call(proxy, "Execute", create);
        CAPTURE(created);
        CHECK(created.starts_with("HTTP/1.1 200"));

        auto insert = statement("r2", "INSERT INTO reservations (bed) VALUES ($1)");
        insert.add_parameters()->set_text("bed-7");
        insert.mutable_write();
        const auto inserted = call(proxy, "Execute", insert);
        CAPTURE(inserted);
        CHECK(inserted.starts_with("HTTP/1.1 200"));

        auto select = statement("r3", "SELECT bed FROM reservations WHERE bed = $1");
        select.add_parameters()->set_text("bed-7");
        select.mutable_read()->set_session(true);
        select.set_session_token(bodyOf<api::ExecuteResponse>(inserted).session_token());
        const auto answer = bodyOf<api::ExecuteResponse>(call(proxy, "Execute", select));
        CHECK(answer.request_id() == "r3");
        REQUIRE(answer.rows_size() == 1);
        CHECK(answer.rows(0).values(0).text() == "bed-7");
        CHECK(group.received().find(callerSecret) == std::string::npos);
    }

    TEST_CASE("a wrong key, another team's service and an unknown database are refused as not run")
    {
        const PostgresGroup group { threeSlots() };
        const Proxy proxy { aloneWith(schemaFor(group)) };
        auto request = statement("r1", "SELECT 1");
        request.mutable_read();
        const auto wrongKey = call(proxy, "Execute", request, "not a key");
        CHECK(wrongKey.starts_with("HTTP/1.1 401"));
        CHECK(bodyOf<api::Error>(wrongKey).outcome() == api::OUTCOME_NOT_RUN);
        request.set_service("orders");
        CHECK(call(proxy, "Execute", request).starts_with("HTTP/1.1 403"));
        request.set_service("register");
        request.set_database("none");
        CHECK(call(proxy, "Execute", request).starts_with("HTTP/1.1 404"));
    }

    TEST_CASE("a drained proxy refuses what is new and ends whole")
    {
        const PostgresGroup group { threeSlots() };
        Proxy proxy { aloneWith(schemaFor(group)) };
        RawCaller open { proxy.callersPort() };
        open.send("GET /readyz HTTP/1.1\r\nHost: test\r\n\r\n");
        CHECK(open.readAnswer().starts_with("HTTP/1.1 200"));
        proxy.drain();
        open.send("GET /readyz HTTP/1.1\r\nHost: test\r\n\r\n");
        CHECK(open.readAnswer().starts_with("HTTP/1.1 503"));
        CHECK(proxy.wait());
    }
}
