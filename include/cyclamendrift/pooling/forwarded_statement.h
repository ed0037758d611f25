#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/caller_statement.h>
#include <cyclamendrift/pooling/route_table.h>
#include <cyclamendrift/pooling/session_state.h>

#include <cstdint>
#include <optional>

namespace cyclamendrift {

/// Identifies one session; never reused on a VM.
enum class CallerId : std::uint64_t {};

/// Effect of a statement on the stored items. It determines what the caller is told when the upstream's
/// answer is lost.
enum class StatementKind : std::uint8_t { Read, Write, Commit };

/// A statement that a VM forwards to an owner VM of its service, with everything that the owner needs to run
/// it. The forwarding VM has already checked the key and the team's limit.
struct ForwardedStatement {
    /// The session at the owner on whose behalf the statement runs. It is drawn at random, so that no two VMs
    /// use the same id.
    CallerId remoteSession {};
    /// True when the statement continues the remote session's open transaction.
    bool continuesTransaction = false;
    CallerQuery query;
    StatementKind kind = StatementKind::Read;
    TeamName team;
    Route route;
    /// The session's variables and, for a prepared statement, its definition.
    SessionState state;
    bool inTransaction = false;
    bool readOnly = false;
    /// Progress of the session's last write to this service, and the time since then.
    std::optional<Progress> requiredProgress;
    Duration requiredProgressAge {};
    /// How long the statement has been waiting so far.
    Duration waited {};
};

} // namespace cyclamendrift
