#pragma once

#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/placement_hint.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Replies of upstreams, and replies to callers.
namespace cyclamendrift {

/// Reason for which a statement failed.
enum class StatementError : std::uint8_t {
    // The statement was not run.
    Busy,
    Lagging,
    ReadOnly,
    WrongInstance,
    TooManyConnections,
    UnknownStatement,
    UnknownKey,
    UnknownDatabase,
    TooLarge,
    Malformed,
    /// The transaction was rolled back.
    Aborted,
    // The statement was run.
    Failed,
    Timeout,
    /// It is unknown whether the statement took effect.
    InDoubt,
};

/// Transaction state of a session after a reply.
enum class SessionPhase : std::uint8_t { Idle, InTransaction, FailedTransaction };

/// An error with a message for the user.
struct StatementFailure {
    StatementError error = StatementError::Busy;
    std::string text;
};

/// The complete reply to a statement: either its rows and the upstream's proof that it ran, or a failure.
struct Reply {
    std::vector<std::string> rows;
    std::string proof;
    std::optional<StatementFailure> failure;
    SessionPhase phase = SessionPhase::Idle;
    /// Progress of the upstream's log; empty when it was not reported.
    std::optional<Progress> progress;
    /// Set in answers of an owner VM while owners are placed by availability zone.
    std::optional<PlacementHint> placement;
};

/// True when an upstream that replies with this error has not run the statement.
[[nodiscard]] constexpr bool meansNotRun(StatementError error) noexcept
{
    return error == StatementError::Busy || error == StatementError::Lagging
        || error == StatementError::ReadOnly || error == StatementError::UnknownStatement
        || error == StatementError::WrongInstance || error == StatementError::TooManyConnections;
}

} // namespace cyclamendrift
