#include <proxy/proxy_fixture.h>

#include <callers/raw_caller.h>

#include <cyclamendrift/operators/operator_client.h>
#include <cyclamendrift/operators/operator_error.h>

using namespace cyclamendrift;
using standins::PostgresGroup;

namespace {

constexpr auto otherSecret = "another caller's secret, long enough";

/// The platform's list with one VM, which is then the only witness.
class OneVmList final : public VmList {
public:
    asio::awaitable<std::vector<VmEntry>> fetch() override
    {
        std::vector<VmEntry> entries {
            { .name = VmName { "vm1" }, .zone = ZoneName { "palermo" }, .address = "127.0.0.1", .port = 7003 }
        };
        co_return entries;
    }
};

/// A proxy without a schema, as on its first day.
Proxy::Options unconfigured()
{
    auto options = aloneWith({});
    options.dependencies.makeVmList = [](const auto&) { return std::make_shared<OneVmList>(); };
    options.dependencies.makeFleet = &makeFleet;
    return options;
}

/// A proxy that an operator has given a schema and two keys, and its callers.
struct OperatedProxy {
    PostgresGroup group { { .slots = { { .name = "a" }, { .name = "b" }, { .name = "c" } } } };
    Proxy proxy { unconfigured() };
    OperatorClient operators { { .endpoints = { "http://127.0.0.1:" + std::to_string(proxy.operatorsPort()) },
        .secret = "operators' secret" } };

    OperatedProxy()
    {
        const auto applied = this->operators.apply(this->schemaChange("first", 0));
        REQUIRE(applied.revision() == 1);
        api::GrantRequest grant;
        grant.set_change_id("second-key");
        grant.set_key_id("k2");
        grant.set_team("hospitals");
        grant.set_secret_hash(hashSecret(otherSecret));
        const auto granted = this->operators.grant(grant);
        REQUIRE(granted.revision() == 2);
        auto create
            = this->statement("create", "CREATE TABLE IF NOT EXISTS reservations (bed text PRIMARY KEY)");
        create.mutable_write()->set_idempotent(true);
        REQUIRE(this->call("Execute", create, callerSecret).starts_with("HTTP/1.1 200"));
    }

    [[nodiscard]] api::ApplyRequest schemaChange(const std::string& changeId, std::uint64_t expected) const
    {
        api::ApplyRequest request;
        request.set_change_id(changeId);
        request.set_expected_revision(expected);
        *request.mutable_schema() = schemaFor(this->group);
        return request;
    }

    [[nodiscard]] api::ExecuteRequest statement(const std::string& requestId, const std::string& text) const
    {
        api::ExecuteRequest request;
        request.set_request_id(requestId);
        request.set_service("register");
        request.set_database("beds");
        request.set_statement(text);
        return request;
    }

    [[nodiscard]] api::ExecuteRequest reservation(const std::string& requestId) const
    {
        auto request = this->statement(requestId, "INSERT INTO reservations (bed) VALUES ('bed-7')");
        request.mutable_write();
        return request;
    }

    std::string call(
        const std::string& method, const google::protobuf::Message& request, const std::string& secret) const
    {
        const auto body = request.SerializeAsString();
        RawCaller caller { this->proxy.callersPort() };
        caller.send("POST /cyclamendrift.api.Statements/" + method
            + " HTTP/1.1\r\nHost: test\r\nContent-Type: application/protobuf\r\nAuthorization: Bearer "
            + secret + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return caller.readAnswer();
    }

    template <class Message> static Message bodyOf(const std::string& answer)
    {
        Message message;
        REQUIRE(message.ParseFromString(answer.substr(answer.find("\r\n\r\n") + 4)));
        return message;
    }

    void revoke(const std::string& key)
    {
        api::RevokeRequest request;
        request.set_change_id("revoke-" + key);
        request.set_key_id(key);
        const auto revoked = this->operators.revoke(request);
        REQUIRE(revoked.revision() > 0);
    }
};

OperatorError::Kind failureOf(const std::function<void()>& call)
{
    try {
        call();
    } catch (const OperatorError& error) {
        return error.kind();
    }
    FAIL("the call succeeded");
    return OperatorError::Kind::Usage;
}

} // namespace

TEST_SUITE("a proxy under operation")
{
    // A coordinator's key is withdrawn while a transaction of hers is open and holds a bed. She is refused
    // from then on, and the bed is free for others at once: what she had begun is rolled back, not kept until
    // it is idle for too long.
    TEST_CASE("a withdrawn key ends its open transaction")
    {
        OperatedProxy operated;
        api::BeginRequest begin;
        begin.set_request_id("begin");
        begin.set_service("register");
        begin.set_database("beds");
        const auto begun
            = OperatedProxy::bodyOf<api::BeginResponse>(operated.call("Begin", begin, otherSecret));
        REQUIRE(!begun.transaction_id().empty());
        auto insert = operated.reservation("held");
        insert.set_transaction_id(begun.transaction_id());
        REQUIRE(operated.call("Execute", insert, otherSecret).starts_with("HTTP/1.1 200"));

        operated.revoke("k2");

        api::EndRequest commit;
        commit.set_request_id("commit");
        commit.set_transaction_id(begun.transaction_id());
        const auto refused = operated.call("Commit", commit, otherSecret);
        CHECK(refused.starts_with("HTTP/1.1 401"));
        CHECK(OperatedProxy::bodyOf<api::Error>(refused).outcome() == api::OUTCOME_NOT_RUN);
        CHECK(
            operated.call("Execute", operated.reservation("free"), callerSecret).starts_with("HTTP/1.1 200"));
    }

    // Two operators start from the same revision. One of them is told of the conflict and what differs;
    // nothing of hers is in force.
    TEST_CASE("the second of two operators gets a conflict")
    {
        OperatedProxy operated;
        const auto late = [&] { std::ignore = operated.operators.apply(operated.schemaChange("late", 1)); };
        CHECK(failureOf(late) == OperatorError::Kind::Conflict);
        CHECK(operated.operators.show().revision() == 2);
    }

    // The answer to a change is lost on the way and the operator repeats the command with its change id. It
    // is told that the change is in force, and nothing is applied twice.
    TEST_CASE("a change that is repeated with its id is applied once")
    {
        OperatedProxy operated;
        const auto again = operated.operators.apply(operated.schemaChange("first", 0));
        CHECK(again.already_applied());
        CHECK(operated.operators.show().revision() == 2);
    }

    TEST_CASE("limits can be changed and are shown")
    {
        OperatedProxy operated;
        api::SetLimitsRequest limits;
        limits.set_change_id("limits");
        limits.set_team("hospitals");
        limits.set_rate_per_second(7);
        limits.set_burst(9);
        CHECK(operated.operators.setLimits(limits).revision() == 3);
        CHECK(operated.operators.show().schema().teams(0).burst() == 9);
        limits.set_change_id("nobody");
        limits.set_team("nobody");
        CHECK(failureOf([&] { std::ignore = operated.operators.setLimits(limits); })
            == OperatorError::Kind::Refused);
    }

    TEST_CASE("the status tells the truth about VM and database")
    {
        OperatedProxy operated;
        const auto status = operated.operators.status();
        REQUIRE(status.vms_size() == 1);
        CHECK(status.vms(0).revision() == 2);
        CHECK(status.vms(0).keys_trusted());
        REQUIRE(status.databases_size() == 1);
        CHECK(status.databases(0).primary() == "a");
        CHECK(status.databases(0).term() == 1);
    }

    TEST_CASE("a wrong secret gives an operator nothing")
    {
        OperatedProxy operated;
        OperatorClient stranger { { .endpoints
            = { "http://127.0.0.1:" + std::to_string(operated.proxy.operatorsPort()) },
            .secret = "not the operators' secret" } };
        CHECK(failureOf([&] { std::ignore = stranger.show(); }) == OperatorError::Kind::Refused);
    }

    TEST_CASE("the metrics count requests and show the home, and hold no secret")
    {
        OperatedProxy operated;
        RawCaller reader { operated.proxy.operatorsPort() };
        reader.send("GET /metrics HTTP/1.1\r\nHost: test\r\n\r\n");
        const auto page = reader.readAnswer();
        CHECK(page.find("cyclamendrift_requests_total{") != std::string::npos);
        CHECK(page.find("cyclamendrift_home_term{database=\"register/beds\"} 1") != std::string::npos);
        CHECK(page.find(callerSecret) == std::string::npos);
    }
}
