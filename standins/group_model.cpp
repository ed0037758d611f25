#include "group_model.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift::standins {

namespace {

constexpr auto objectNotInState = "55000";
constexpr auto readOnlyTransaction = "25006";
constexpr std::uint64_t recordHeaderSize = 24;

std::uint64_t sizeOf(const Change& change)
{
    std::uint64_t size = recordHeaderSize + change.table.size();
    if (change.values) {
        for (const auto& value : *change.values)
            size += value ? value->size() : 0;
    }
    return size;
}

} // namespace

Progress SlotModel::progress() const
{
    const auto& last = *this->log.back();
    return { .term = last.term, .position = last.end };
}

SlotStatus SlotModel::status() const
{
    return { .progress = this->progress(), .fenced = this->fenced, .primary = this->primary };
}

GroupModel::GroupModel(const std::vector<std::string>& slots, Duration lag, Instant now)
{
    for (const auto& name : slots) {
        auto& slot = this->members[name];
        slot.name = name;
        slot.lag = lag;
        slot.fenced = Term { 1 };
        slot.following = slots.front();
        slot.followingTerm = Term { 1 };
        append(slot, Term { 1 }, {}, now);
    }
    // All begin with one and the same record, so that their logs match.
    for (auto& [name, slot] : this->members)
        slot.log = this->members.at(slots.front()).log;
    this->slot(slots.front()).primary = true;
}

SlotModel& GroupModel::slot(std::string_view name)
{
    const auto found = this->members.find(name);
    if (found == this->members.end())
        throw SqlError { "42704", "slot \"" + std::string { name } + "\" does not exist" };
    return found->second;
}

std::vector<SlotModel*> GroupModel::slots()
{
    std::vector<SlotModel*> result;
    result.reserve(this->members.size());
    for (auto& [name, slot] : this->members)
        result.push_back(&slot);
    return result;
}

SlotStatus GroupModel::fence(SlotModel& slot, Term term)
{
    slot.fenced = std::max(slot.fenced, term);
    if (slot.fenced > slot.progress().term)
        slot.primary = false;
    return slot.status();
}

SlotStatus GroupModel::promote(SlotModel& slot, Term term, Instant now)
{
    if (slot.fenced != term)
        throw SqlError { objectNotInState, "the slot is not fenced at this term" };
    if (slot.primary)
        return slot.status();
    if (slot.followingTerm >= term || slot.progress().term >= term)
        throw SqlError { objectNotInState, "the slot follows another primary of this term" };
    slot.primary = true;
    append(slot, term, {}, now);
    return slot.status();
}

SlotStatus GroupModel::follow(SlotModel& slot, Term term, const std::string& primary, Instant now)
{
    (void)this->slot(primary);
    const bool stale = term < slot.fenced || term < slot.progress().term;
    const bool itself = primary == slot.name || (slot.primary && slot.progress().term == term);
    const bool other = slot.followingTerm == term && slot.following != primary;
    if (stale || itself || other)
        throw SqlError { objectNotInState, "the slot cannot follow this primary in this term" };
    slot.fenced = term;
    slot.primary = false;
    slot.following = primary;
    slot.followingTerm = term;
    this->replicateTo(slot, now);
    return slot.status();
}

void GroupModel::commit(SlotModel& slot, const TransactionBuffer& buffer, Term begunIn, Instant now)
{
    if (buffer.changes.empty())
        return;
    if (!slot.writable() || slot.progress().term != begunIn)
        throw SqlError { readOnlyTransaction,
            "the slot is no primary any more; the transaction was rolled back" };
    append(slot, slot.progress().term, buffer.changes, now);
}

std::optional<Instant> GroupModel::replicate(Instant now)
{
    std::optional<Instant> next;
    for (auto& [name, slot] : this->members) {
        const auto due = this->replicateTo(slot, now);
        if (due && (!next || *due < *next))
            next = due;
    }
    return next;
}

void GroupModel::append(SlotModel& slot, Term term, std::vector<Change> changes, Instant now)
{
    std::uint64_t end = recordHeaderSize;
    if (!slot.log.empty())
        end += static_cast<std::uint64_t>(slot.log.back()->end);
    for (const auto& change : changes) {
        end += sizeOf(change);
        slot.tables.apply(change);
    }
    slot.log.push_back(std::make_shared<const LogRecord>(LogRecord {
        .term = term, .end = LogPosition { end }, .committedAt = now, .changes = std::move(changes) }));
}

/// Drops what the replica holds beyond the common beginning of both logs. Records are shared between logs, so
/// the same record is the same object.
void GroupModel::dropTail(SlotModel& replica, const SlotModel& primary)
{
    const auto shared = std::min(replica.log.size(), primary.log.size());
    if (shared == replica.log.size() && replica.log[shared - 1] == primary.log[shared - 1])
        return;
    const auto [own, theirs]
        = std::mismatch(replica.log.begin(), replica.log.end(), primary.log.begin(), primary.log.end());
    replica.log.erase(own, replica.log.end());
    replica.tables = {};
    for (const auto& record : replica.log) {
        for (const auto& change : record->changes)
            replica.tables.apply(change);
    }
}

std::optional<Instant> GroupModel::replicateTo(SlotModel& replica, Instant now)
{
    if (replica.primary || !replica.alive || replica.cut || replica.fenced > replica.followingTerm)
        return std::nullopt;
    const auto& primary = this->slot(replica.following);
    const bool reachable = primary.primary && primary.alive && !primary.cut
        && primary.progress().term == replica.followingTerm && primary.name != replica.name;
    if (!reachable)
        return std::nullopt;
    dropTail(replica, primary);
    while (replica.log.size() < primary.log.size()) {
        const auto& record = primary.log[replica.log.size()];
        const auto due = record->committedAt + replica.lag;
        if (due > now)
            return due;
        for (const auto& change : record->changes)
            replica.tables.apply(change);
        replica.log.push_back(record);
    }
    return std::nullopt;
}

} // namespace cyclamendrift::standins
