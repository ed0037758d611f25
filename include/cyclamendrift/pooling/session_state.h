#pragma once

#include <cyclamendrift/pooling/caller_statement.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

/// What belongs to a session and has to be in place on whichever connection serves it.
namespace cyclamendrift {

/// Drops all values and names of a connection.
struct ResetConnection { };
/// Sets a value on a connection.
struct ApplyValue {
    std::string name;
    std::string value;
};
/// Prepares a statement on a connection.
struct ApplyPrepared {
    std::string name;
    PreparedShape shape;
};
/// A step that makes a connection match a session.
using SetupStep = std::variant<ResetConnection, ApplyValue, ApplyPrepared>;

/// Values and names as a session's caller has set them.
struct SessionState {
    std::map<std::string, std::string> values;
    std::map<std::string, PreparedShape> prepared;
};

/// Values and names as they are in place on one connection. Names are the connection's own, one for each
/// shape, so that sessions whose callers chose the same name for different statements never meet.
class ConnectionState {
public:
    /// The steps after which the connection has exactly the session's values and, when `needed` is given, a
    /// name for that shape. They count as done at once: if one fails the connection is to be closed.
    [[nodiscard]] std::vector<SetupStep> stepsToMatch(
        const SessionState& session, const PreparedShape* needed);

    /// The connection's name for a shape that was matched.
    [[nodiscard]] const std::string& nameOf(const PreparedShape& shape) const;

private:
    [[nodiscard]] bool holdsForeignValue(const SessionState& session) const;

    std::map<std::string, std::string> values;
    std::map<PreparedShape, std::string> names;
};

} // namespace cyclamendrift
