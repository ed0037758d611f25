#pragma once

#include <cyclamendrift/callers/encoding.h>
#include <cyclamendrift/callers/http_message.h>
#include <cyclamendrift/core/outcome.h>
#include <cyclamendrift/core/request_error.h>

#include <cyclamendrift.pb.h>

#include <string_view>

namespace cyclamendrift {

/// The HTTP status of a reason.
[[nodiscard]] int httpStatus(RefusalReason reason) noexcept;

/// The body of a refusal.
[[nodiscard]] api::Error errorMessage(const RequestError& error, std::string_view requestId);

/// Beside the error itself, what its response says.
struct ErrorResponseOptions {
    /// Left out when empty.
    std::string_view requestId;
    /// HTTP status; 0 takes the one of the reason.
    int status = 0;
    /// The form that the request came in, where that is known.
    Encoding encoding = Encoding::Json;
};

/// A refusal as a whole response, with Retry-After where coming back helps.
///
///     errorResponse(error, { .requestId = request.request_id() });
[[nodiscard]] HttpResponse errorResponse(const RequestError& error, ErrorResponseOptions options);

} // namespace cyclamendrift
