#include <cyclamendrift/proxy/home_router.h>
#include <cyclamendrift/siblings/sibling_error.h>

#include <forward.pb.h>

#include <asio/co_spawn.hpp>
#include <asio/io_context.hpp>
#include <asio/use_future.hpp>

#include <doctest/doctest.h>

using namespace cyclamendrift;

namespace {

/// A fleet of two homes, both at siblings.
class TwoHomes final : public Fleet {
public:
    std::shared_ptr<const ConfigurationSnapshot> configuration() const override { return nullptr; }
    CallerIdentity authenticate(std::string_view) const override { return {}; }
    asio::awaitable<void> admit(TeamName, Instant) override { co_return; }
    std::vector<SiblingAddress> homesOf(const DatabaseName&) const override
    {
        return { { VmName { "first" }, "10.0.0.1", 1 }, { VmName { "second" }, "10.0.0.2", 1 } };
    }
    std::vector<ListedSibling> listedSiblings() const override { return {}; }
    bool isLeaving(std::string_view, std::uint16_t) const override { return false; }
    void onKeyWithdrawn(std::function<void(const KeyId&)>) override { }
    asio::awaitable<std::optional<std::string>> handle(VmName, std::string, std::string) override
    {
        co_return std::nullopt;
    }
    asio::awaitable<api::ApplyResponse> apply(api::ApplyRequest) override { co_return api::ApplyResponse {}; }
    asio::awaitable<api::ApplyResponse> grant(api::GrantRequest) override { co_return api::ApplyResponse {}; }
    asio::awaitable<api::ApplyResponse> revoke(api::RevokeRequest) override
    {
        co_return api::ApplyResponse {};
    }
    asio::awaitable<api::ApplyResponse> setLimits(api::SetLimitsRequest) override
    {
        co_return api::ApplyResponse {};
    }
    asio::awaitable<api::StatusResponse> status() override { co_return api::StatusResponse {}; }
    asio::awaitable<void> leave() override { co_return; }
};

/// What a forwarded statement came to.
struct Result {
    /// VMs in the order in which they were called.
    std::vector<std::string> called;
    std::vector<std::string> bodies;
    std::optional<HomeAnswer> answer;
    std::optional<RequestError> refusal;
};

using Fault = std::function<void(const SiblingAddress&)>;

/// Sends a statement; the fault may throw in place of a sibling's answer.
Result forward(Access access, const Fault& fault)
{
    Result result;
    const HomeRouter router { { .self = VmName { "entry" },
        .fleet = std::make_shared<TwoHomes>(),
        .callSibling = [&](SiblingAddress to, SiblingCall call) -> asio::awaitable<std::string> {
            result.called.push_back(to.vm.string());
            result.bodies.push_back(call.body);
            fault(to);
            wire::ForwardedExecuteAnswer answer;
            answer.mutable_response()->set_slot("a");
            answer.mutable_seen()->set_position(7);
            co_return answer.SerializeAsString();
        },
        .secret = "siblings' secret" } };
    HomeRequest request { .id = RequestId { "r" },
        .team = TeamName { "hospitals" },
        .key = KeyId { "k1" },
        .database = { ServiceName { "register" }, "beds" },
        .statement = { .text = "INSERT" },
        .access = access,
        .deadline = Instant::max() };
    asio::io_context context;
    auto answer = asio::co_spawn(context, router.execute(std::move(request)), asio::use_future);
    context.run();
    try {
        result.answer = answer.get();
    } catch (const RequestError& error) {
        result.refusal = error;
    }
    return result;
}

Fault failAtFirst(SiblingError::Kind kind)
{
    return [kind](const SiblingAddress& to) {
        if (to.vm.view() == "first")
            throw SiblingError(kind, "a fault");
    };
}

const std::vector<std::string> firstAlone { "first" };
const std::vector<std::string> both { "first", "second" };

} // namespace

TEST_SUITE("forwarding to home proxies")
{
    // The home dies with a reservation in flight. Nobody knows whether the bed is taken. Sent to the second
    // home, the reservation could run twice; called not run, its caller would reserve again.
    TEST_CASE("a write that was lost on its way is not sent again and its outcome is unknown")
    {
        const auto result = forward(Write {}, failAtFirst(SiblingError::Kind::OutcomeUnknown));
        CHECK(result.called == firstAlone);
        REQUIRE(result.refusal);
        CHECK(result.refusal->outcome() == Outcome::Unknown);
        CHECK(result.refusal->reason() == RefusalReason::UpstreamLost);
    }

    // The same for reads and writes that may be repeated: the caller sees an answer and nothing of the fault.
    TEST_CASE("a read and an idempotent write go on to the second home")
    {
        for (const Access access : { Access { SessionRead {} }, Access { Write { .idempotent = true } } }) {
            const auto result = forward(access, failAtFirst(SiblingError::Kind::OutcomeUnknown));
            CHECK(result.called == both);
            REQUIRE(result.answer);
            CHECK(result.answer->seen.position == LogPosition { 7 });
        }
    }

    // The first home can't be reached, or is stopping: it surely did not run the write.
    TEST_CASE("a write that was surely not run goes on to the second home")
    {
        CHECK(forward(Write {}, failAtFirst(SiblingError::Kind::Unreachable)).answer);
        const auto result = forward(Write {}, [](const SiblingAddress& to) {
            if (to.vm.view() == "first")
                throw RequestError { { Outcome::NotRun, RefusalReason::ShuttingDown, "stopping" } };
        });
        CHECK(result.called == both);
        CHECK(result.answer);
    }

    // The home ran the statement and it failed, or refused it for a reason that holds everywhere. Asking the
    // second home would hide that from the caller and load a fleet that is short of connections already.
    TEST_CASE("a refusal that is meant for the caller is passed on as it is")
    {
        for (const auto reason : { RefusalReason::StatementFailed, RefusalReason::Overloaded }) {
            const auto outcome
                = reason == RefusalReason::StatementFailed ? Outcome::RanAndFailed : Outcome::NotRun;
            const auto result = forward(Write {}, [&](const SiblingAddress&) {
                throw RequestError { { outcome, reason, "no" } };
            });
            CHECK(result.called == firstAlone);
            REQUIRE(result.refusal);
            CHECK(result.refusal->outcome() == outcome);
            CHECK(result.refusal->reason() == reason);
        }
    }

    TEST_CASE("no home can be reached: not run, and when to come back")
    {
        const auto result = forward(
            Write {}, [](const SiblingAddress&) { throw SiblingError(SiblingError::Kind::Unreachable, ""); });
        CHECK(result.called == both);
        REQUIRE(result.refusal);
        CHECK(result.refusal->outcome() == Outcome::NotRun);
        CHECK(result.refusal->retryAfter() > Duration::zero());
    }
}
