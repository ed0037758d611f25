#include <cyclamendrift/callers/error_response.h>

#include <cyclamendrift/schema/outcome_codec.h>

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <limits>
#include <string>

namespace cyclamendrift {

namespace {

constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int forbidden = 403;
constexpr int notFound = 404;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int tooManyRequests = 429;
constexpr int internalError = 500;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
constexpr int gatewayTimeout = 504;

std::uint32_t millisecondsOf(Duration duration)
{
    const auto count = std::chrono::ceil<std::chrono::milliseconds>(duration).count();
    const std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, most));
}

} // namespace

int httpStatus(RefusalReason reason) noexcept
{
    switch (reason) {
    case RefusalReason::BadRequest:
        return badRequest;
    case RefusalReason::BadKey:
        return unauthorized;
    case RefusalReason::NotPermitted:
        return forbidden;
    case RefusalReason::UnknownDatabase:
    case RefusalReason::UnknownTransaction:
        return notFound;
    case RefusalReason::Conflict:
        return conflict;
    case RefusalReason::StatementFailed:
        return unprocessable;
    case RefusalReason::OverLimit:
        return tooManyRequests;
    case RefusalReason::UpstreamLost:
        return badGateway;
    case RefusalReason::Overloaded:
    case RefusalReason::NoPrimary:
    case RefusalReason::ShuttingDown:
    case RefusalReason::StoreUnavailable:
        return unavailable;
    case RefusalReason::NotConfirmed:
    case RefusalReason::DeadlineExceeded:
        return gatewayTimeout;
    case RefusalReason::Internal:
        return internalError;
    }
    return internalError;
}

api::Error errorMessage(const RequestError& error, std::string_view requestId)
{
    api::Error message;
    message.set_request_id(std::string { requestId });
    message.set_outcome(wireOutcome(error.outcome()));
    message.set_code(std::string { nameOf(error.reason()) });
    message.set_message(error.what());
    message.set_retry_after_ms(millisecondsOf(error.retryAfter()));
    return message;
}

HttpResponse errorResponse(const RequestError& error, ErrorResponseOptions options)
{
    HttpResponse response { .status = options.status == 0 ? httpStatus(error.reason()) : options.status,
        .contentType = std::string { contentTypeOf(options.encoding) } };
    const auto message = errorMessage(error, options.requestId);
    if (options.encoding == Encoding::Protobuf) {
        response.body = message.SerializeAsString();
    } else if (!google::protobuf::util::MessageToJsonString(message, &response.body).ok()) {
        // Invalid UTF-8 in the message has no JSON form; the status and an empty object still refuse clearly.
        response.body = "{}";
    }
    if (error.retryAfter() > Duration::zero()) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter()).count();
        response.headers.push_back({ "Retry-After", std::to_string(seconds) });
    }
    if (!options.requestId.empty())
        response.headers.push_back({ "X-Request-Id", std::string { options.requestId } });
    return response;
}

} // namespace cyclamendrift
