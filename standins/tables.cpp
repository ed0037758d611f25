#include "tables.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift::standins {

namespace {

constexpr auto deadlockDetected = "40P01";

} // namespace

std::string primaryKeyOf(const TableSchema& schema, const Row& row)
{
    std::string key;
    for (const auto column : schema.primaryKey) {
        const auto value = row[column].value_or(std::string {});
        key += '=' + std::to_string(value.size()) + ':' + value;
    }
    return key;
}

void Tables::apply(const Change& change)
{
    auto& table = this->tables[change.table];
    if (change.created) {
        table.schema = *change.created;
        return;
    }
    this->lastRow = std::max(this->lastRow, change.row);
    if (const auto old = table.rows.find(change.row); old != table.rows.end()) {
        table.index.erase(primaryKeyOf(table.schema, old->second));
        table.rows.erase(old);
    }
    if (!change.values)
        return;
    if (!table.schema.primaryKey.empty())
        table.index[primaryKeyOf(table.schema, *change.values)] = change.row;
    table.rows.emplace(change.row, *change.values);
}

const Table* Tables::find(const std::string& table) const
{
    const auto found = this->tables.find(table);
    return found == this->tables.end() ? nullptr : &found->second;
}

void TransactionBuffer::add(Change change)
{
    if (change.created)
        this->createdTables[change.table] = *change.created;
    else
        this->rows[change.table][change.row] = change.values;
    this->changes.push_back(std::move(change));
}

void Locks::acquire(const std::string& name, std::uint64_t owner)
{
    this->waitsFor.erase(owner);
    const auto [entry, isNew] = this->holders.emplace(name, owner);
    if (isNew || entry->second == owner)
        return;
    const auto holder = entry->second;
    for (auto next = holder; this->waitsFor.contains(next);) {
        next = this->waitsFor.at(next);
        if (next == owner)
            throw SqlError { deadlockDetected, "deadlock detected" };
    }
    this->waitsFor[owner] = holder;
    throw LockBusy { holder };
}

void Locks::release(std::uint64_t owner)
{
    this->waitsFor.erase(owner);
    std::erase_if(this->holders, [owner](const auto& entry) { return entry.second == owner; });
}

} // namespace cyclamendrift::standins
