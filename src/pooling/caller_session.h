#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/passed_over.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/caller_statement.h>
#include <cyclamendrift/pooling/engine_actions.h>
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
    /// Only the primary will do.
    bool needsPrimary = false;
    /// The statement is the first of its transaction, which is opened on the upstream along with it.
    bool opensTransaction = false;
    Instant arrivedAt;
    /// Refused when no upstream has got it by then.
    Instant dispatchDeadline;
    /// Given up when it is not answered by then.
    Instant deadline;
    std::size_t attempts = 0;
    /// The connection that is being opened for it, or that serves it.
    std::optional<ConnectionId> connection;
    /// The home that it was handed to, and when.
    std::optional<VmName> forwardedTo;
    Instant forwardedAt;
    /// The home that has it now, or null.
    [[nodiscard]] const VmName* owner() const { return this->forwardedTo ? &*this->forwardedTo : nullptr; }
    /// The prepared statement that it runs, if it runs one.
    std::optional<PreparedShape> shape;
    /// When to send it again on the connection that holds its transaction.
    Instant retryAt = Instant::max();
    /// Upstreams that could not run it.
    PassedOver<UpstreamName> skipped;
};

/// An operation that waits for its team's limit to let it in.
struct WaitingOperation {
    CallerQuery query;
    Instant until;
};

/// An answer that is ready but may only be given once the view of the primary is known to have held.
struct UnconfirmedReply {
    Reply reply;
    UpstreamName upstream;
    Term term {};
    /// The answer becomes "in doubt" at this time.
    Instant until;
};

/// One caller's session.
struct CallerSession {
    CallerId id {};
    bool started = false;
    /// It stands for a session of a sibling, which handed its statement to this VM.
    bool remoteSession = false;
    std::string database;
    std::string key;
    TeamName team;
    SessionState state;
    SessionPhase phase = SessionPhase::Idle;
    /// Statements that came in ahead of their turn.
    std::deque<CallerQuery> pipelined;
    std::unique_ptr<Work> work;
    std::unique_ptr<UnconfirmedReply> unconfirmed;
    std::unique_ptr<WaitingOperation> waiting;
    /// The operation under way was taken out of its team's limit, and no upstream has run any of it.
    bool tokenSpent = false;
    /// The statement that came in last, as log lines name it.
    std::string statementId;
    /// When the statement under way came in.
    Instant arrivedAt;

    /// The route of the operation under way; a change of it counts from the next operation on.
    Route route;
    /// The connection that holds the open transaction.
    std::optional<ConnectionId> pinned;
    /// The home that holds the open transaction in this VM's place, and the guest it holds it for.
    std::optional<VmName> owner;
    CallerId sessionAtOwner {};
    bool transactionReadOnly = false;
    bool transactionWrote = false;
    /// The transaction was dropped between two statements; the next one is told so.
    bool abortUnreported = false;

    /// What the session has written, and where.
    std::optional<Progress> requiredProgress;
    Instant requiredProgressAt;
    ServiceName requiredProgressService;
    Instant lastActive;

    [[nodiscard]] bool isIdle() const noexcept
    {
        return !this->work && !this->unconfirmed && !this->waiting && this->pipelined.empty()
            && this->phase == SessionPhase::Idle;
    }
};

} // namespace cyclamendrift
