#pragma once

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/outcome.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamendrift {

/// Why a request was refused or given up; each has one HTTP status and one name on the wire.
enum class RefusalReason : std::uint8_t {
    BadRequest,
    BadKey,
    NotPermitted,
    UnknownDatabase,
    UnknownTransaction,
    OverLimit,
    Overloaded,
    NoPrimary,
    NotConfirmed,
    DeadlineExceeded,
    ShuttingDown,
    UpstreamLost,
    StatementFailed,
    StoreUnavailable,
    Conflict,
    Internal,
};

/// The name on the wire, as in "over_limit".
[[nodiscard]] std::string_view nameOf(RefusalReason reason) noexcept;

/// The reason that a name on the wire stands for; Internal for a name that is not known.
[[nodiscard]] RefusalReason refusalReasonFrom(std::string_view name) noexcept;

/// The final answer to a request that did not succeed.
///
///     throw RequestError { { .outcome = Outcome::NotRun, .reason = RefusalReason::OverLimit,
///         .message = "team hospitals is over its rate", .retryAfter = std::chrono::milliseconds { 120 } } };
class RequestError : public Error {
public:
    struct Options {
        Outcome outcome = Outcome::Unknown;
        RefusalReason reason = RefusalReason::Internal;
        std::string message;
        /// When the caller should come back; zero when coming back does not help.
        Duration retryAfter {};
    };

    explicit RequestError(Options options);

    /// Whether the request took effect.
    [[nodiscard]] Outcome outcome() const noexcept { return this->refusal.outcome; }
    /// Why it was refused.
    [[nodiscard]] RefusalReason reason() const noexcept { return this->refusal.reason; }
    /// When to come back, zero for never.
    [[nodiscard]] Duration retryAfter() const noexcept { return this->refusal.retryAfter; }

private:
    Options refusal;
};

/// A refusal of something that had no effect.
[[nodiscard]] inline RequestError notRun(RefusalReason reason, std::string message, Duration retryAfter = {})
{
    return RequestError { { Outcome::NotRun, reason, std::move(message), retryAfter } };
}

/// A refusal of something that may have had its effect.
[[nodiscard]] inline RequestError outcomeUnknown(
    RefusalReason reason, std::string message, Duration retryAfter = {})
{
    return RequestError { { Outcome::Unknown, reason, std::move(message), retryAfter } };
}

} // namespace cyclamendrift
