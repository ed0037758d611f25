#include "execution.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <utility>

namespace cyclamendrift::standins {

namespace {

constexpr auto uniqueViolation = "23505";
constexpr auto undefinedTable = "42P01";
constexpr auto undefinedColumn = "42703";

std::optional<std::int64_t> numberOf(const std::string& text)
{
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc {} || rest != end)
        return std::nullopt;
    return number;
}

std::size_t columnIndex(const TableSchema& schema, const std::string& name)
{
    const auto found = std::find(schema.columns.begin(), schema.columns.end(), name);
    if (found == schema.columns.end())
        throw SqlError { undefinedColumn, "column \"" + name + "\" does not exist" };
    return static_cast<std::size_t>(found - schema.columns.begin());
}

int compare(const std::string& left, const std::string& right)
{
    const auto leftNumber = numberOf(left);
    const auto rightNumber = numberOf(right);
    if (leftNumber && rightNumber)
        return *leftNumber < *rightNumber ? -1 : static_cast<int>(*leftNumber > *rightNumber);
    return left.compare(right);
}

bool holds(const Value& left, Comparison comparison, const Value& right)
{
    if (!left || !right)
        return false;
    const int order = compare(*left, *right);
    switch (comparison) {
    case Comparison::Equal:
        return order == 0;
    case Comparison::NotEqual:
        return order != 0;
    case Comparison::Less:
        return order < 0;
    case Comparison::LessOrEqual:
        return order <= 0;
    case Comparison::Greater:
        return order > 0;
    case Comparison::GreaterOrEqual:
        return order >= 0;
    }
    return false;
}

std::string lockName(const std::string& table, const TableSchema& schema, RowId id, const Row& values)
{
    const auto key = primaryKeyOf(schema, values);
    return table + '\0' + (key.empty() ? '#' + std::to_string(id) : key);
}

SqlError duplicateKey(const std::string& table)
{
    return { uniqueViolation, "duplicate key value violates unique constraint \"" + table + "_pkey\"" };
}

} // namespace

Execution::Execution(Options options)
    : options(std::move(options))
{
}

StatementResult Execution::operator()(const CreateTable& create)
{
    this->options.checkWritable();
    const bool exists = this->options.tables.find(create.table)
        || this->options.buffer.createdTables.contains(create.table);
    if (exists && !create.ifNotExists)
        throw SqlError { "42P07", "relation \"" + create.table + "\" already exists" };
    if (!exists) {
        this->options.locks.acquire(create.table, this->options.owner);
        TableSchema schema { .columns = create.columns, .primaryKey = {} };
        for (const auto& column : create.primaryKey)
            schema.primaryKey.push_back(columnIndex(schema, column));
        this->options.buffer.add({ .table = create.table, .created = schema, .values = {} });
    }
    return { .rows = {}, .tag = "CREATE TABLE" };
}

StatementResult Execution::operator()(const Insert& insert)
{
    this->options.checkWritable();
    const auto& schema = this->schemaOf(insert.table);
    const auto& columns = insert.columns.empty() ? schema.columns : insert.columns;
    std::vector<Change> changes;
    std::vector<FoundRow> inserted;
    std::set<std::string> newKeys;
    for (const auto& expressions : insert.rows) {
        if (expressions.size() != columns.size())
            throw SqlError { "42601", "INSERT has more or fewer expressions than target columns" };
        Row row(schema.columns.size());
        for (std::size_t index = 0; index < columns.size(); ++index)
            row[columnIndex(schema, columns[index])] = this->evaluate(expressions[index], nullptr, nullptr);
        const auto key = primaryKeyOf(schema, row);
        if (!key.empty()) {
            this->options.locks.acquire(lockName(insert.table, schema, 0, row), this->options.owner);
            if (!newKeys.insert(key).second || this->keyTaken(insert.table, key)) {
                if (insert.ignoreConflict)
                    continue;
                throw duplicateKey(insert.table);
            }
        }
        const auto id = this->options.tables.nextRow();
        inserted.push_back({ id, row });
        changes.push_back({ .table = insert.table, .created = {}, .row = id, .values = std::move(row) });
    }
    this->keep(std::move(changes));
    StatementResult result { .rows = {}, .tag = "INSERT 0 " + std::to_string(inserted.size()) };
    if (insert.returning)
        this->output(result, *insert.returning, schema, inserted);
    return result;
}

StatementResult Execution::operator()(const Select& select)
{
    StatementResult result;
    if (select.table.empty()) {
        this->output(result, select.output, {}, { FoundRow {} });
        result.tag = "SELECT 1";
        return result;
    }
    const auto& schema = this->schemaOf(select.table);
    auto rows = this->find(select.table, select.where);
    if (select.forUpdate) {
        this->options.checkWritable();
        for (const auto& row : rows)
            this->lock(select.table, row);
    }
    if (!select.orderBy.empty()) {
        const auto column = columnIndex(schema, select.orderBy);
        std::stable_sort(rows.begin(), rows.end(), [&](const FoundRow& left, const FoundRow& right) {
            const int order = compare(left.values[column].value_or(""), right.values[column].value_or(""));
            return select.descending ? order > 0 : order < 0;
        });
    }
    if (select.limit && rows.size() > *select.limit)
        rows.resize(*select.limit);
    this->output(result, select.output, schema, rows);
    result.tag = "SELECT " + std::to_string(result.rows.rows.size());
    return result;
}

StatementResult Execution::operator()(const Update& update)
{
    this->options.checkWritable();
    const auto& schema = this->schemaOf(update.table);
    auto rows = this->find(update.table, update.where);
    std::vector<Change> changes;
    for (auto& row : rows) {
        this->lock(update.table, row);
        const auto old = row.values;
        for (std::size_t index = 0; index < update.columns.size(); ++index) {
            row.values[columnIndex(schema, update.columns[index])]
                = this->evaluate(update.values[index], &schema, &old);
        }
        const auto key = primaryKeyOf(schema, row.values);
        if (key != primaryKeyOf(schema, old)) {
            this->lock(update.table, row);
            if (this->keyTaken(update.table, key))
                throw duplicateKey(update.table);
        }
        changes.push_back({ .table = update.table, .created = {}, .row = row.id, .values = row.values });
    }
    this->keep(std::move(changes));
    StatementResult result { .rows = {}, .tag = "UPDATE " + std::to_string(rows.size()) };
    if (update.returning)
        this->output(result, *update.returning, schema, rows);
    return result;
}

StatementResult Execution::operator()(const Delete& deletion)
{
    this->options.checkWritable();
    const auto& schema = this->schemaOf(deletion.table);
    const auto rows = this->find(deletion.table, deletion.where);
    std::vector<Change> changes;
    for (const auto& row : rows) {
        this->lock(deletion.table, row);
        changes.push_back({ .table = deletion.table, .created = {}, .row = row.id, .values = std::nullopt });
    }
    this->keep(std::move(changes));
    StatementResult result { .rows = {}, .tag = "DELETE " + std::to_string(rows.size()) };
    if (deletion.returning)
        this->output(result, *deletion.returning, schema, rows);
    return result;
}

const TableSchema& Execution::schemaOf(const std::string& table) const
{
    if (const auto created = this->options.buffer.createdTables.find(table);
        created != this->options.buffer.createdTables.end())
        return created->second;
    if (const auto* committed = this->options.tables.find(table))
        return committed->schema;
    throw SqlError { undefinedTable, "relation \"" + table + "\" does not exist" };
}

std::vector<Execution::FoundRow> Execution::find(
    const std::string& table, const std::vector<Condition>& where) const
{
    const auto& schema = this->schemaOf(table);
    auto rows = this->view(table, this->candidateByKey(table, where));
    std::erase_if(rows, [&](const FoundRow& row) {
        return !std::all_of(where.begin(), where.end(), [&](const Condition& condition) {
            const auto& left = row.values[columnIndex(schema, condition.column)];
            return holds(left, condition.comparison, this->evaluate(condition.value, &schema, &row.values));
        });
    });
    return rows;
}

/// The one committed row that can match when the WHERE fixes a primary key of one column.
std::optional<RowId> Execution::candidateByKey(
    const std::string& table, const std::vector<Condition>& where) const
{
    const auto* committed = this->options.tables.find(table);
    if (!committed || committed->schema.primaryKey.size() != 1)
        return std::nullopt;
    const auto keyColumn = committed->schema.primaryKey.front();
    for (const auto& condition : where) {
        const bool fixesKey = condition.comparison == Comparison::Equal
            && condition.column == committed->schema.columns[keyColumn]
            && !std::holds_alternative<Column>(condition.value.left) && condition.value.sign == 0;
        if (!fixesKey)
            continue;
        Row row(committed->schema.columns.size());
        row[keyColumn] = this->evaluate(condition.value, nullptr, nullptr);
        const auto entry = committed->index.find(primaryKeyOf(committed->schema, row));
        return entry == committed->index.end() ? RowId {} : entry->second;
    }
    return std::nullopt;
}

std::vector<Execution::FoundRow> Execution::view(const std::string& table, std::optional<RowId> only) const
{
    std::vector<FoundRow> result;
    const auto own = this->options.buffer.rows.find(table);
    const auto changedHere
        = [&](RowId id) { return own != this->options.buffer.rows.end() && own->second.contains(id); };
    if (const auto* committed = this->options.tables.find(table)) {
        const auto begin = only ? committed->rows.lower_bound(*only) : committed->rows.begin();
        const auto end = only ? committed->rows.upper_bound(*only) : committed->rows.end();
        for (auto row = begin; row != end; ++row) {
            if (!changedHere(row->first))
                result.push_back({ row->first, row->second });
        }
    }
    if (own != this->options.buffer.rows.end()) {
        for (const auto& [id, values] : own->second) {
            if (values)
                result.push_back({ id, *values });
        }
    }
    return result;
}

bool Execution::keyTaken(const std::string& table, const std::string& key) const
{
    const auto& schema = this->schemaOf(table);
    std::optional<RowId> committedRow = RowId {};
    if (const auto* committed = this->options.tables.find(table)) {
        if (const auto entry = committed->index.find(key); entry != committed->index.end())
            committedRow = entry->second;
    }
    const auto rows = this->view(table, committedRow);
    return std::any_of(rows.begin(), rows.end(),
        [&](const FoundRow& row) { return primaryKeyOf(schema, row.values) == key; });
}

Value Execution::evaluate(const Operand& operand, const TableSchema* schema, const Row* row) const
{
    if (const auto* literal = std::get_if<Literal>(&operand))
        return literal->value;
    if (const auto* parameter = std::get_if<Parameter>(&operand)) {
        if (parameter->index == 0 || parameter->index > this->options.parameters.size())
            throw SqlError { "42P02", "there is no parameter $" + std::to_string(parameter->index) };
        return this->options.parameters[parameter->index - 1];
    }
    const auto& name = std::get<Column>(operand).name;
    if (!schema)
        throw SqlError { undefinedColumn, "column \"" + name + "\" does not exist" };
    return (*row)[columnIndex(*schema, name)];
}

Value Execution::evaluate(const Expression& expression, const TableSchema* schema, const Row* row) const
{
    auto left = this->evaluate(expression.left, schema, row);
    if (expression.sign == 0)
        return left;
    const auto right = this->evaluate(expression.right, schema, row);
    if (!left || !right)
        return std::nullopt;
    const auto leftNumber = numberOf(*left);
    const auto rightNumber = numberOf(*right);
    if (!leftNumber || !rightNumber)
        throw SqlError { "22P02", "invalid input syntax for type bigint" };
    return std::to_string(expression.sign == '+' ? *leftNumber + *rightNumber : *leftNumber - *rightNumber);
}

void Execution::lock(const std::string& table, const FoundRow& row)
{
    const auto name = lockName(table, this->schemaOf(table), row.id, row.values);
    this->options.locks.acquire(name, this->options.owner);
}

void Execution::output(StatementResult& result, const Output& output, const TableSchema& schema,
    const std::vector<FoundRow>& rows) const
{
    result.hasRows = true;
    result.rows.columns = output.all ? schema.columns : output.names;
    if (output.count) {
        result.rows.rows.push_back({ std::to_string(rows.size()) });
        return;
    }
    for (const auto& row : rows) {
        auto& values = result.rows.rows.emplace_back();
        if (output.all)
            values = row.values;
        for (const auto& expression : output.expressions)
            values.push_back(
                this->evaluate(expression, schema.columns.empty() ? nullptr : &schema, &row.values));
    }
}

void Execution::keep(std::vector<Change> changes)
{
    for (auto& change : changes)
        this->options.buffer.add(std::move(change));
}

} // namespace cyclamendrift::standins
