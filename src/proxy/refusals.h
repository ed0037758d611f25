#pragma once

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <string>
#include <string_view>
#include <utility>

namespace cyclamendrift {

/// What the database said of a statement that it refused.
[[nodiscard]] inline RequestError ranAndFailed(const UpstreamError& error)
{
    auto message = std::string { error.what() };
    if (!error.sqlState().empty())
        message += " (SQLSTATE " + error.sqlState() + ')';
    return RequestError { { Outcome::RanAndFailed, RefusalReason::StatementFailed, std::move(message) } };
}

/// When to come back after a connection was lost or a primary was found to be none.
inline constexpr Duration comeBackSoon = std::chrono::milliseconds { 200 };

/// The refusal of something that had no effect although its connection failed.
[[nodiscard]] inline RequestError notRunAfter(const UpstreamError& error)
{
    const auto reason = error.kind() == UpstreamError::Kind::TimedOut ? RefusalReason::DeadlineExceeded
                                                                      : RefusalReason::UpstreamLost;
    return notRun(reason, error.what(), comeBackSoon);
}

/// True for errors by which a slot says that it takes no writes: fenced, or a replica.
[[nodiscard]] inline bool isReadOnlyError(const UpstreamError& error)
{
    return error.kind() == UpstreamError::Kind::StatementFailed && error.sqlState() == "25006";
}

/// True for errors after which a COMMIT may have taken effect all the same: the server went down under it.
[[nodiscard]] inline bool leavesCommitOpen(const UpstreamError& error)
{
    const std::string_view state { error.sqlState() };
    return state.starts_with("57P") || state.starts_with("58") || state.starts_with("08")
        || state.starts_with("XX") || state == "40003";
}

/// True for errors of a replica that another slot need not make: it was busy replaying, or is going down.
[[nodiscard]] inline bool isReplicaConflict(const UpstreamError& error)
{
    const std::string_view state { error.sqlState() };
    return state.starts_with("40") || state.starts_with("57P");
}

} // namespace cyclamendrift
