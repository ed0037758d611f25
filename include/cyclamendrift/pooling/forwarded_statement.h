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

/// One session, as a number that no other session of this VM has had.
enum class CallerId : std::uint64_t {};

/// What a statement does to the data, which decides what may be said when its answer does not come.
enum class StatementKind : std::uint8_t { Read, Write, Commit };

/// A statement that a VM hands to the home of its service, with all that the home needs to run it. Keys and
/// limits were checked by the VM that hands it on.
struct ForwardedStatement {
    /// The session at the home on whose behalf it runs; drawn at random, so that no two VMs choose the same.
    CallerId remoteSession {};
    /// It goes on in the transaction that the guest has open.
    bool continuesTransaction = false;
    CallerQuery query;
    StatementKind kind = StatementKind::Read;
    TeamName team;
    Route route;
    /// The session's values, and the prepared statement that it runs, if it runs one.
    SessionState state;
    bool inTransaction = false;
    bool readOnly = false;
    /// What the session has written to this service, and how long ago.
    std::optional<Progress> requiredProgress;
    Duration requiredProgressAge {};
    /// How long the statement has waited already.
    Duration waited {};
};

} // namespace cyclamendrift
