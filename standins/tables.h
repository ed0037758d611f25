#pragma once

#include "sql_statement.h"

#include <cyclamendrift/core/statement.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cyclamendrift::standins {

using Row = std::vector<Value>;
using RowId = std::uint64_t;

struct TableSchema {
    std::vector<std::string> columns;
    /// Places of the columns of the primary key; empty without one.
    std::vector<std::size_t> primaryKey;
};

/// One change of a committed transaction, as the log carries it to replicas.
struct Change {
    std::string table;
    /// Set when the table was created; the rest is unused then.
    std::optional<TableSchema> created;
    RowId row = 0;
    /// Empty when the row was deleted.
    std::optional<Row> values;
};

struct Table {
    TableSchema schema;
    std::map<RowId, Row> rows;
    /// Rows by primary key.
    std::map<std::string, RowId> index;
};

/// Text that is the same for rows with the same primary key; empty without one.
[[nodiscard]] std::string primaryKeyOf(const TableSchema& schema, const Row& row);

/// The committed tables of one slot.
class Tables {
public:
    void apply(const Change& change);
    [[nodiscard]] const Table* find(const std::string& table) const;
    [[nodiscard]] RowId nextRow() { return ++this->lastRow; }

private:
    std::map<std::string, Table> tables;
    RowId lastRow = 0;
};

/// What a transaction has changed and not committed yet.
struct TransactionBuffer {
    std::vector<Change> changes;
    std::map<std::string, TableSchema> createdTables;
    std::map<std::string, std::map<RowId, std::optional<Row>>> rows;

    void add(Change change);
};

/// A statement needs a row that another transaction holds; it is tried again when that one has ended.
struct LockBusy {
    std::uint64_t holder = 0;
};

/// Row locks of one slot; owners are numbers of sessions.
class Locks {
public:
    /// Takes a lock, throws LockBusy when another owner has it, and SqlError 40P01 when waiting would never
    /// end.
    void acquire(const std::string& name, std::uint64_t owner);
    void release(std::uint64_t owner);

private:
    std::map<std::string, std::uint64_t> holders;
    std::map<std::uint64_t, std::uint64_t> waitsFor;
};

/// Answer to one statement.
struct StatementResult {
    RowSet rows;
    /// True when the answer has columns, even with no row.
    bool hasRows = false;
    std::string tag;
};

/// Runs one statement on the view of one transaction. Changes go to its buffer only.
class Execution {
public:
    struct Options {
        Tables& tables;
        TransactionBuffer& buffer;
        Locks& locks;
        std::uint64_t owner = 0;
        std::span<const Value> parameters;
        /// Called before anything is written; throws when the slot or transaction is read-only.
        std::function<void()> checkWritable;
    };

    explicit Execution(Options options);

    StatementResult operator()(const CreateTable& create);
    StatementResult operator()(const Insert& insert);
    StatementResult operator()(const Select& select);
    StatementResult operator()(const Update& update);
    StatementResult operator()(const Delete& deletion);

private:
    struct FoundRow {
        RowId id = 0;
        Row values;
    };

    [[nodiscard]] const TableSchema& schemaOf(const std::string& table) const;
    [[nodiscard]] std::vector<FoundRow> find(
        const std::string& table, const std::vector<Condition>& where) const;
    [[nodiscard]] std::optional<RowId> candidateByKey(
        const std::string& table, const std::vector<Condition>& where) const;
    [[nodiscard]] std::vector<FoundRow> view(const std::string& table, std::optional<RowId> only) const;
    [[nodiscard]] bool keyTaken(const std::string& table, const std::string& key) const;
    [[nodiscard]] Value evaluate(const Operand& operand, const TableSchema* schema, const Row* row) const;
    [[nodiscard]] Value evaluate(
        const Expression& expression, const TableSchema* schema, const Row* row) const;
    void lock(const std::string& table, const FoundRow& row);
    void output(StatementResult& result, const Output& output, const TableSchema& schema,
        const std::vector<FoundRow>& rows) const;
    void keep(std::vector<Change> changes);

    Options options;
};

} // namespace cyclamendrift::standins
