#include "sibling_protocol.h"

#include <cyclamendrift/siblings/sibling_error.h>

#include <cyclamendrift.pb.h>

#include <chrono>

namespace cyclamendrift::sibling_protocol {

namespace {

api::Outcome encode(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return api::OUTCOME_NOT_RUN;
    case Outcome::Unknown:
        return api::OUTCOME_UNKNOWN;
    case Outcome::RanAndFailed:
        return api::OUTCOME_RAN_AND_FAILED;
    }
    return api::OUTCOME_UNKNOWN;
}

/// Anything that a newer sibling may come to say and this one does not know leaves the outcome unknown.
Outcome decode(api::Outcome outcome) noexcept
{
    if (outcome == api::OUTCOME_NOT_RUN)
        return Outcome::NotRun;
    if (outcome == api::OUTCOME_RAN_AND_FAILED)
        return Outcome::RanAndFailed;
    return Outcome::Unknown;
}

} // namespace

std::string encodeRefusal(const RequestError& error)
{
    api::Error message;
    message.set_outcome(encode(error.outcome()));
    message.set_code(std::string { nameOf(error.reason()) });
    message.set_message(error.what());
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(error.retryAfter());
    message.set_retry_after_ms(static_cast<std::uint32_t>(retryAfter.count()));
    return message.SerializeAsString();
}

RequestError decodeRefusal(const std::string& body)
{
    api::Error message;
    if (!message.ParseFromString(body))
        throw SiblingError { SiblingError::Kind::BadAnswer, "the sibling's refusal cannot be read" };
    return RequestError { {
        .outcome = decode(message.outcome()),
        .reason = refusalReasonFrom(message.code()),
        .message = message.message(),
        .retryAfter = std::chrono::milliseconds { message.retry_after_ms() },
    } };
}

} // namespace cyclamendrift::sibling_protocol
