#pragma once

#include "sql_statement.h"
#include "tables.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cyclamendrift::standins {

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
