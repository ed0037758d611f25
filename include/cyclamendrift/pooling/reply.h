#pragma once

#include <cyclamendrift/core/progress.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Answers of upstreams, and answers to callers.
namespace cyclamendrift {

/// Why a statement got no success.
enum class StatementError : std::uint8_t {
    // Nothing was run.
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
    /// What the transaction did so far is dropped.
    Aborted,
    // Something was run.
    Failed,
    Timeout,
    /// It is not known whether it took effect.
    InDoubt,
};

/// Where a session stands after an answer.
enum class SessionPhase : std::uint8_t { Idle, InTransaction, FailedTransaction };

/// An error with its explanation for people.
struct StatementFailure {
    StatementError error = StatementError::Busy;
    std::string text;
};

/// A whole answer to one statement: rows and the upstream's proof that it ran, or a failure.
struct Reply {
    std::vector<std::string> rows;
    std::string proof;
    std::optional<StatementFailure> failure;
    SessionPhase phase = SessionPhase::Idle;
    /// How far the upstream's log has come.
    std::optional<Progress> progress;
};

/// True when an upstream that answers with this error has run nothing of the statement.
[[nodiscard]] constexpr bool meansNotRun(StatementError error) noexcept
{
    return error == StatementError::Busy || error == StatementError::Lagging
        || error == StatementError::ReadOnly || error == StatementError::UnknownStatement
        || error == StatementError::WrongInstance || error == StatementError::TooManyConnections;
}

} // namespace cyclamendrift
