#pragma once

#include <cyclamendrift/pooling/caller_statement.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

/// State of a session that has to be set up on whichever connection serves it.
namespace cyclamendrift {

/// Discards all variables and prepared statements of a connection.
struct ResetConnection { };
/// Sets a session variable on a connection.
struct ApplyValue {
    std::string name;
    std::string value;
};
/// Prepares a statement on a connection.
struct ApplyPrepared {
    std::string name;
    PreparedShape shape;
};
/// A step that brings a connection's state in line with a session.
using SetupStep = std::variant<ResetConnection, ApplyValue, ApplyPrepared>;

/// Variables and prepared statements that a session's caller has set.
struct SessionState {
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
};

/// Variables and prepared statements that are set on one connection. The names of prepared statements are the
/// connection's own, one for each shape. Sessions whose callers use the same name for different statements
/// therefore do not conflict.
class ConnectionState {
public:
    /// Returns the steps after which the connection has exactly the session's variables and, if `needed` is
    /// given, a prepared statement of that shape. The steps are recorded as done at once, so the connection
    /// has to be closed when one fails.
    [[nodiscard]] std::vector<SetupStep> stepsToMatch(
        const SessionState& session, const PreparedShape* needed);

    /// The connection's name for a shape that stepsToMatch() has prepared.
    [[nodiscard]] const std::string& nameOf(const PreparedShape& shape) const;

private:
    [[nodiscard]] bool holdsForeignValue(const SessionState& session) const;

    std::map<std::string, std::string> values;
    std::map<PreparedShape, std::string> names;
};

} // namespace cyclamendrift
