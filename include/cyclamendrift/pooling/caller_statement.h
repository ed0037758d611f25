#pragma once

#include <string>
#include <variant>

/// What a caller of the session protocol may send, decoded once at the edge.
namespace cyclamendrift {

/// Opens a transaction.
struct BeginTransaction {
    bool readOnly = false;
};
/// Ends a transaction and keeps what it wrote.
struct CommitTransaction { };
/// Ends a transaction and drops what it wrote.
struct RollbackTransaction { };
/// Reads one item.
struct ReadItem { };
/// Writes one item.
struct WriteItem { };
/// Sets a value of the session.
struct SetSessionValue {
    std::string name;
    std::string value;
};
/// What a prepared statement does, whatever its name.
struct PreparedShape {
    bool writes = false;
    std::string text;

    friend auto operator<=>(const PreparedShape&, const PreparedShape&) = default;
};
/// Gives a statement a name that is valid within the session.
struct PrepareStatement {
    std::string name;
    PreparedShape shape;
};
/// Runs a prepared statement.
struct ExecutePrepared {
    std::string name;
    std::string arguments;
};
/// Forgets the name of a prepared statement.
struct DeallocateStatement {
    std::string name;
};
/// A text that is none of these; answered with an error.
struct MalformedStatement { };

/// Any statement of a caller.
using CallerStatement = std::variant<BeginTransaction, CommitTransaction, RollbackTransaction, ReadItem,
    WriteItem, SetSessionValue, PrepareStatement, ExecutePrepared, DeallocateStatement, MalformedStatement>;

/// A statement with the id and the text under which it is passed on unchanged.
struct CallerQuery {
    std::string id;
    std::string text;
    CallerStatement statement;
};

/// The first message of a session.
struct SessionStart {
    std::string database;
    /// The secret of the caller's key; empty when none was sent.
    std::string key;
};

} // namespace cyclamendrift
