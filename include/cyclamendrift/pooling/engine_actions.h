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

/// What a SessionEngine wants done.
namespace cyclamendrift {

/// One connection to an upstream.
enum class ConnectionId : std::uint64_t {};

/// Opens a transaction on a connection.
struct OpenTransaction {
    bool readOnly = false;
    /// The position that the upstream must have.
    std::optional<Progress> after;
};
/// Ends a transaction on a connection without keeping anything.
struct DropTransaction { };
/// A caller's statement, passed on under its id and with its text.
struct RelayStatement {
    std::string id;
    std::string text;
    std::optional<Progress> after;
    /// Set when the statement runs a prepared one: the connection's name for it, and the arguments.
    std::optional<ExecutePrepared> execute;
};
/// What goes to an upstream over a connection.
using UpstreamStatement = std::variant<ResetConnection, ApplyValue, ApplyPrepared, OpenTransaction,
    DropTransaction, RelayStatement>;

/// Open a connection on behalf of a team; the upstream is to confirm its name.
struct OpenConnection {
    ConnectionId connection {};
    UpstreamEntry upstream;
    TeamName team;
};
/// Send a statement.
struct SendStatement {
    ConnectionId connection {};
    UpstreamStatement statement;
};
/// Close a connection.
struct CloseConnection {
    ConnectionId connection {};
};
/// Tell a caller that its session is open.
struct AcceptCaller {
    CallerId caller {};
};
/// Answer a caller's statement.
struct AnswerCaller {
    CallerId caller {};
    Reply reply;
};
/// End a caller's session, after an error when one is given.
struct CloseCaller {
    CallerId caller {};
    std::optional<StatementFailure> failure;
};
/// Ask siblings for part of their share of a team's limit; the answer comes through tokensReceived().
struct RequestTokens {
    TeamName team;
    std::uint32_t wanted = 0;
};
/// Hand a caller's statement to the home of its service; what becomes of it comes through
/// forwardedStatementAnswered() or forwardingFailed().
struct ForwardStatement {
    CallerId caller {};
    VmName owner;
    ForwardedStatement work;
    /// The home's answer is given up after this.
    Duration timeLimit {};
};
/// Ask a home for a sign of life; whether it gave one comes through ownerLivenessChecked().
struct CheckOwnerLiveness {
    VmName owner;
};
/// Tell a home that nobody goes on with a guest's transaction.
struct ReleaseRemoteSession {
    VmName owner;
    CallerId remoteSession {};
};
/// Answer a statement that a sibling handed on.
struct AnswerRemoteSession {
    CallerId remoteSession {};
    Reply reply;
};
/// A decision that the log should hold.
struct LogEvent {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};
/// Anything that an engine wants done.
using EngineAction = std::variant<OpenConnection, SendStatement, CloseConnection, AcceptCaller, AnswerCaller,
    CloseCaller, RequestTokens, ForwardStatement, CheckOwnerLiveness, ReleaseRemoteSession,
    AnswerRemoteSession, LogEvent>;

} // namespace cyclamendrift
