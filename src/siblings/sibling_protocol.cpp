#include "sibling_protocol.h"

#include <cyclamendrift/core/little_endian.h>
#include <cyclamendrift/schema/outcome_codec.h>
#include <cyclamendrift/siblings/sibling_error.h>

#include <cyclamendrift.pb.h>

#include <chrono>

namespace cyclamendrift::sibling_protocol {

std::string encodeTimeout(std::uint32_t microseconds)
{
    return littleEndian(microseconds).substr(0, timeoutBytes);
}

std::optional<std::uint32_t> takeTimeout(std::string& body)
{
    if (body.size() < timeoutBytes)
        return std::nullopt;
    std::uint32_t microseconds = 0;
    for (std::size_t index = 0; index < timeoutBytes; ++index) {
        microseconds = microseconds << 8U | static_cast<std::uint8_t>(body.back());
        body.pop_back();
    }
    return microseconds;
}

std::string takeMac(std::string& body)
{
    if (body.size() < MessageKey::macBytes)
        return {};
    auto mac = body.substr(body.size() - MessageKey::macBytes);
    body.resize(body.size() - mac.size());
    return mac;
}

std::string encodeRefusal(const RequestError& error)
{
    api::Error message;
    message.set_outcome(wireOutcome(error.outcome()));
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
        throw SiblingError { SiblingError::Kind::BadAnswer, "the sibling's refusal cannot be parsed" };
    return RequestError { {
        .outcome = outcomeFrom(message.outcome()),
        .reason = refusalReasonFrom(message.code()),
        .message = message.message(),
        .retryAfter = std::chrono::milliseconds { message.retry_after_ms() },
    } };
}

} // namespace cyclamendrift::sibling_protocol
