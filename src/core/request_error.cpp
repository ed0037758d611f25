#include <cyclamendrift/core/request_error.h>

#include <array>
#include <utility>

namespace cyclamendrift {

namespace {

struct ReasonName {
    RefusalReason reason;
    std::string_view name;
};

constexpr std::array reasonNames {
    ReasonName { RefusalReason::BadRequest, "bad_request" },
    ReasonName { RefusalReason::BadKey, "bad_key" },
    ReasonName { RefusalReason::NotPermitted, "not_permitted" },
    ReasonName { RefusalReason::UnknownDatabase, "unknown_database" },
    ReasonName { RefusalReason::UnknownTransaction, "unknown_transaction" },
    ReasonName { RefusalReason::OverLimit, "over_limit" },
    ReasonName { RefusalReason::Overloaded, "overloaded" },
    ReasonName { RefusalReason::NoPrimary, "no_primary" },
    ReasonName { RefusalReason::NotConfirmed, "not_confirmed" },
    ReasonName { RefusalReason::DeadlineExceeded, "deadline_exceeded" },
    ReasonName { RefusalReason::ShuttingDown, "shutting_down" },
    ReasonName { RefusalReason::UpstreamLost, "upstream_lost" },
    ReasonName { RefusalReason::StatementFailed, "statement_failed" },
    ReasonName { RefusalReason::StoreUnavailable, "store_unavailable" },
    ReasonName { RefusalReason::Conflict, "conflict" },
    ReasonName { RefusalReason::Internal, "internal" },
};

} // namespace

std::string_view nameOf(RefusalReason reason) noexcept
{
    for (const auto& entry : reasonNames) {
        if (entry.reason == reason)
            return entry.name;
    }
    return "internal";
}

RefusalReason refusalReasonFrom(std::string_view name) noexcept
{
    for (const auto& entry : reasonNames) {
        if (entry.name == name)
            return entry.reason;
    }
    return RefusalReason::Internal;
}

RequestError::RequestError(Options options)
    : Error(options.message)
    , refusal(std::move(options))
{
}

} // namespace cyclamendrift
