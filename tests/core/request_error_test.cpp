#include <cyclamendrift/core/request_error.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;

TEST_SUITE("request errors")
{
    TEST_CASE("every reason keeps its name over the wire")
    {
        for (auto reason = RefusalReason::BadRequest; reason != RefusalReason::Internal;
             reason = static_cast<RefusalReason>(static_cast<int>(reason) + 1)) {
            const std::string name { nameOf(reason) };
            CAPTURE(name);
            CHECK(refusalReasonFrom(name) == reason);
        }
    }

    TEST_CASE("an error carries its outcome and when to come back")
    {
        const RequestError error { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::OverLimit,
            .message = "over",
            .retryAfter = std::chrono::milliseconds { 5 } } };
        CHECK(error.outcome() == Outcome::NotRun);
        CHECK(error.retryAfter() == std::chrono::milliseconds { 5 });
    }
}
