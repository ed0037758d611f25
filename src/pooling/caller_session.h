#pragma once

#include "waiting_statements.h"

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/passed_over.h>
#include <cyclamendrift/pooling/caller_statement.h>
#include <cyclamendrift/pooling/engine_actions.h>
#include <cyclamendrift/pooling/own_writes.h>
#include <cyclamendrift/pooling/reply.h>
#include <cyclamendrift/pooling/route_table.h>
#include <cyclamendrift/pooling/session_state.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

namespace cyclamendrift {

/// A statement that an upstream has to run.
struct Work {
    CallerQuery query;
    StatementKind kind = StatementKind::Read;
    /// True when only the primary can run it.
    bool needsPrimary = false;
    /// True for the first statement of a transaction, which is opened on the upstream along with it.
    bool opensTransaction = false;
    Instant arrivedAt;
    /// Refused when no upstream has been found by then.
    Instant dispatchDeadline;
    /// Abandoned when it has not been answered by then.
    Instant deadline;
    std::size_t attempts = 0;
    /// Its entry among the statements that wait for a connection.
    std::optional<WaitingStatement> waiting;
    /// The same, or null.
    [[nodiscard]] const WaitingStatement* waitingStatement() const
    {
        return this->waiting ? &*this->waiting : nullptr;
    }
    /// The connection that is being opened for it, or that runs it.
    std::optional<ConnectionId> connection;
    /// The owner VM that it was forwarded to, and when.
    std::optional<VmName> forwardedTo;
    Instant forwardedAt;
    /// The owner VM that currently has it, or null.
    [[nodiscard]] const VmName* owner() const { return this->forwardedTo ? &*this->forwardedTo : nullptr; }
    /// The shape of the prepared statement; empty for other statements.
    std::optional<PreparedShape> shape;
    /// When to send it again on the connection that holds its transaction.
    Instant retryAt = Instant::max();
    /// Upstreams that could not run it.
    PassedOver<UpstreamName> skipped;
};

/// An operation that waits for a token of its team's limit.
struct WaitingOperation {
    CallerQuery query;
    Instant until;
};

/// A reply that is withheld until it is confirmed that its upstream was still the primary.
struct UnconfirmedReply {
    Reply reply;
    UpstreamName upstream;
    Term term {};
    /// The reply becomes "in doubt" at this time.
    Instant until;
};

/// The session of one caller, or of a sibling's caller.
struct CallerSession {
    CallerId id {};
    bool started = false;
    /// True when it represents a session of a sibling, which forwarded its statement to this VM.
    bool remoteSession = false;
    std::string database;
    std::string key;
    TeamName team;
    SessionState state;
    SessionPhase phase = SessionPhase::Idle;
    /// Statements that arrived before the previous ones were answered.
    std::deque<CallerQuery> pipelined;
    std::unique_ptr<Work> work;
    std::unique_ptr<UnconfirmedReply> unconfirmed;
    std::unique_ptr<WaitingOperation> waiting;
    /// True when the current operation has used a token of its team's limit, but no upstream has run any of
    /// it.
    bool tokenSpent = false;
    /// Id of the latest statement, for log lines.
    std::string statementId;
    /// When the current statement arrived.
    Instant arrivedAt;

    /// The route of the current operation; changes apply from the next operation on.
    Route route;
    /// The connection that holds the open transaction.
    std::optional<ConnectionId> pinned;
    /// The owner VM that holds the open transaction on behalf of this VM, and the remote session's id there.
    std::optional<VmName> owner;
    CallerId sessionAtOwner {};
    bool transactionReadOnly = false;
    bool transactionWrote = false;
    /// True when the transaction was aborted between two statements and the caller has not been told yet.
    bool abortUnreported = false;

    OwnWrites ownWrites;
    Instant lastActive;

    [[nodiscard]] bool isIdle() const noexcept
    {
        return !this->work && !this->unconfirmed && !this->waiting && this->pipelined.empty()
            && this->phase == SessionPhase::Idle;
    }
};

} // namespace cyclamendrift
