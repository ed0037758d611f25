#pragma once

#include <string>
#include <variant>

/// Statements of the session protocol, as decoded from a caller's message.
namespace cyclamendrift {

/// Opens a transaction.
struct BeginTransaction {
    bool readOnly = false;
};
/// Ends a transaction and commits its writes.
struct CommitTransaction { };
/// Ends a transaction and discards its writes.
struct RollbackTransaction { };
/// Reads one item.
struct ReadItem { };
/// Writes one item.
struct WriteItem { };
/// Sets a session variable.
struct SetSessionValue {
    std::string name;
    std::string value;
};
/// The text of a prepared statement and whether it writes. It does not include the statement's name, which
/// differs between sessions.
struct PreparedShape {
    bool writes = false;
    std::string text;

    friend auto operator<=>(const PreparedShape&, const PreparedShape&) = default;
};
/// Prepares a statement under a name that is valid within the session.
struct PrepareStatement {
    std::string name;
    PreparedShape shape;
};
/// Runs a prepared statement.
struct ExecutePrepared {
    std::string name;
    std::string arguments;
};
/// Removes the name of a prepared statement.
struct DeallocateStatement {
    std::string name;
};
/// A statement that cannot be parsed; it is answered with StatementError::Malformed.
struct MalformedStatement { };

/// Any statement that a caller can send.
using CallerStatement = std::variant<BeginTransaction, CommitTransaction, RollbackTransaction, ReadItem,
    WriteItem, SetSessionValue, PrepareStatement, ExecutePrepared, DeallocateStatement, MalformedStatement>;

/// A statement with its id and its original text, which are relayed to the upstream unchanged.
struct CallerQuery {
    std::string id;
    std::string text;
    CallerStatement statement;
};

/// The first message of a session.
struct SessionStart {
    std::string database;
    /// The secret of the caller's key; empty when the caller sent none.
    std::string key;
};

} // namespace cyclamendrift
