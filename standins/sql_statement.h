#pragma once

#include <cyclamendrift/core/statement.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The little SQL that the PostgreSQL stand-in understands.
namespace cyclamendrift::standins {

/// An error that the stand-in answers a statement with.
class SqlError : public std::runtime_error {
public:
    SqlError(std::string state, const std::string& message)
        : std::runtime_error(message)
        , state(std::move(state))
    {
    }
    /// The five-character SQLSTATE.
    [[nodiscard]] const std::string& sqlState() const noexcept { return this->state; }

private:
    std::string state;
};

struct Literal {
    Value value;
};
struct Parameter {
    std::size_t index = 0;
};
struct Column {
    std::string name;
};
using Operand = std::variant<Literal, Parameter, Column>;

/// An operand, or the sum or difference of two.
struct Expression {
    Operand left;
    char sign = 0;
    Operand right;
};

enum class Comparison : std::uint8_t { Equal, NotEqual, Less, LessOrEqual, Greater, GreaterOrEqual };

/// One term of a WHERE; all terms must hold.
struct Condition {
    std::string column;
    Comparison comparison = Comparison::Equal;
    Expression value;
};

/// What a SELECT or RETURNING puts out: `*`, COUNT(*), or expressions under names.
struct Output {
    bool all = false;
    bool count = false;
    std::vector<Expression> expressions;
    std::vector<std::string> names;
};

struct CreateTable {
    std::string table;
    std::vector<std::string> columns;
    std::vector<std::string> primaryKey;
    bool ifNotExists = false;
};
struct Insert {
    std::string table;
    std::vector<std::string> columns;
    std::vector<std::vector<Expression>> rows;
    bool ignoreConflict = false;
    std::optional<Output> returning;
};
struct Select {
    Output output;
    /// Empty for a SELECT without FROM.
    std::string table;
    std::vector<Condition> where;
    std::string orderBy;
    bool descending = false;
    std::optional<std::size_t> limit;
    bool forUpdate = false;
};
struct Update {
    std::string table;
    std::vector<std::string> columns;
    std::vector<Expression> values;
    std::vector<Condition> where;
    std::optional<Output> returning;
};
struct Delete {
    std::string table;
    std::vector<Condition> where;
    std::optional<Output> returning;
};
/// SELECT ... FROM cyclamendrift_status(), fence, promote or follow.
struct ControlCall {
    std::string function;
    std::vector<Operand> arguments;
};
struct Begin {
    bool readOnly = false;
};
struct Commit { };
struct Rollback { };
/// SET and the like: accepted and without effect.
struct Ignored {
    std::string tag;
};
struct Empty { };

using SqlStatement = std::variant<CreateTable, Insert, Select, Update, Delete, ControlCall, Begin, Commit,
    Rollback, Ignored, Empty>;

/// Parses one statement; throws SqlError with 42601 when it is none of the known forms.
[[nodiscard]] SqlStatement parseSql(std::string_view text);

} // namespace cyclamendrift::standins
