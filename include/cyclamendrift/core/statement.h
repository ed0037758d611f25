#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// What a caller asks to have run, and what came back.
namespace cyclamendrift {

/// One value of a row or parameter in text form; empty for SQL's null.
using Value = std::optional<std::string>;

/// Read from the primary of the current term.
struct PrimaryRead { };
/// Read anything that covers the caller's session token.
struct SessionRead { };
/// Read data that is at most this old.
struct BoundedRead {
    Duration maxStaleness {};
};
/// A write; only an idempotent one may be sent again by the proxy.
struct Write {
    bool idempotent = false;
};
/// What kind of access a statement needs.
using Access = std::variant<PrimaryRead, SessionRead, BoundedRead, Write>;

/// Whether a statement goes before others of its team.
enum class Priority : std::uint8_t { Normal, High };

/// A statement in SQL with its parameters.
struct Statement {
    std::string text;
    std::vector<Value> parameters;
};

/// All rows of an answer; it is whole or does not exist.
struct RowSet {
    std::vector<std::string> columns;
    std::vector<std::vector<Value>> rows;
    std::uint64_t affectedRows = 0;
};

} // namespace cyclamendrift
