#pragma once

#include "sql_statement.h"

#include <cyclamendrift/core/statement.h>

#include <cstdint>
#include <map>
#include <optional>
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

} // namespace cyclamendrift::standins
