#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/forwarded_statement.h>
#include <cyclamendrift/pooling/reply.h>
#include <cyclamendrift/pooling/session_state.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Actions that a SessionEngine asks its user to carry out.
namespace cyclamendrift {

/// Identifies one connection to an upstream.
enum class ConnectionId : std::uint64_t {};

/// Opens a transaction on a connection.
struct OpenTransaction {
    bool readOnly = false;
    /// The log position that the upstream must have reached; empty when any position will do.
    std::optional<Progress> after;
};
/// Rolls back the transaction that is open on a connection.
struct DropTransaction { };
/// A caller's statement, relayed with its id and text unchanged.
struct RelayStatement {
    std::string id;
    std::string text;
    std::optional<Progress> after;
    /// Set for a prepared statement: its name on this connection, and the arguments.
    std::optional<ExecutePrepared> execute;
};
/// A statement that is sent to an upstream over a connection.
using UpstreamStatement = std::variant<ResetConnection, ApplyValue, ApplyPrepared, OpenTransaction,
    DropTransaction, RelayStatement>;

/// Opens a connection on behalf of a team. The upstream has to confirm its name.
struct OpenConnection {
    ConnectionId connection {};
    UpstreamEntry upstream;
    TeamName team;
};
/// Sends a statement over a connection.
struct SendStatement {
    ConnectionId connection {};
    UpstreamStatement statement;
};
/// Closes a connection.
struct CloseConnection {
    ConnectionId connection {};
};
/// Tells a caller that its session is open.
struct AcceptCaller {
    CallerId caller {};
};
/// Sends a caller the reply to its statement.
struct AnswerCaller {
    CallerId caller {};
    Reply reply;
};
/// Ends a caller's session, after an error if one is given.
struct CloseCaller {
    CallerId caller {};
    std::optional<StatementFailure> failure;
};
/// Asks siblings for part of their share of a team's limit. The result is reported to tokensReceived().
struct RequestTokens {
    TeamName team;
    std::uint32_t wanted = 0;
    /// Set with EngineSettings::urgentFirst only, as is the end of the wait; the result is then reported to
    /// tokenRequestEnded().
    std::uint32_t priority = 0;
    Instant until = Instant::min();
};
/// Answers a sibling's request for tokens.
struct AnswerTokenRequest {
    TeamName team;
    std::uint64_t request = 0;
    std::uint32_t given = 0;
};
/// Gives tokens of other VMs' shares back that this VM does not need.
struct ReturnTokens {
    TeamName team;
    std::uint32_t count = 0;
};
/// Forwards a caller's statement to an owner VM of its service. The result is reported to
/// forwardedStatementAnswered() or forwardingFailed().
struct ForwardStatement {
    CallerId caller {};
    VmName owner;
    ForwardedStatement work;
    /// Time after which the owner's answer is no longer awaited.
    Duration timeLimit {};
};
/// Checks whether an owner VM responds. The result is reported to ownerLivenessChecked().
struct CheckOwnerLiveness {
    VmName owner;
};
/// Tells an owner VM that a remote session has ended, so that it can roll back the session's transaction.
struct ReleaseRemoteSession {
    VmName owner;
    CallerId remoteSession {};
};
/// Replies to a statement that a sibling forwarded to this VM.
struct AnswerRemoteSession {
    CallerId remoteSession {};
    Reply reply;
};
/// Keeps the view of the service's primary current at this VM, which runs statements of it. Requested again
/// while the service is in use.
struct TrackService {
    ServiceName service;
};
/// An event for the log.
struct LogEvent {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};
/// Any action of a SessionEngine.
using EngineAction = std::variant<OpenConnection, SendStatement, CloseConnection, AcceptCaller, AnswerCaller,
    CloseCaller, RequestTokens, AnswerTokenRequest, ReturnTokens, ForwardStatement, CheckOwnerLiveness,
    ReleaseRemoteSession, AnswerRemoteSession, TrackService, LogEvent>;

} // namespace cyclamendrift
