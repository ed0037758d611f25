#pragma once

#include "tables.h"

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/upstreams/slot_control.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift::standins {

/// One record of a slot's log: a committed transaction, or the beginning of a term.
struct LogRecord {
    Term term {};
    LogPosition end {};
    Instant committedAt;
    std::vector<Change> changes;
};

/// One slot of a database group: its log, what follows from it, and the faults that hold it.
struct SlotModel {
    std::string name;
    std::vector<std::shared_ptr<const LogRecord>> log;
    Tables tables;
    Locks locks;
    Term fenced {};
    bool primary = false;
    /// Primary that it replicates from, and in which term.
    std::string following;
    Term followingTerm {};
    bool alive = true;
    bool cut = false;
    Duration lag {};

    /// Term of the last record and its end. A replica is in a term only once it holds the record that began
    /// it, and with that all that was replicated to the primary before.
    [[nodiscard]] Progress progress() const;
    [[nodiscard]] SlotStatus status() const;
    /// True when it accepts writes.
    [[nodiscard]] bool writable() const { return this->primary && this->fenced <= this->progress().term; }
};

/// A database group without its network: terms, logs and asynchronous replication.
class GroupModel {
public:
    /// The first slot is primary of term 1.
    GroupModel(const std::vector<std::string>& slots, Duration lag, Instant now);

    [[nodiscard]] SlotModel& slot(std::string_view name);
    [[nodiscard]] std::vector<SlotModel*> slots();

    // The functions cyclamendrift_status, fence, promote and follow of a slot.
    SlotStatus fence(SlotModel& slot, Term term);
    SlotStatus promote(SlotModel& slot, Term term, Instant now);
    SlotStatus follow(SlotModel& slot, Term term, const std::string& primary, Instant now);

    /// Commits a transaction that was begun in a term; throws SqlError when the slot is not primary of it any
    /// more.
    void commit(SlotModel& slot, const TransactionBuffer& buffer, Term begunIn, Instant now);

    /// Hands over every record whose lag has passed; returns when to come back, if records are waiting.
    std::optional<Instant> replicate(Instant now);

private:
    static void append(SlotModel& slot, Term term, std::vector<Change> changes, Instant now);
    static void dropTail(SlotModel& replica, const SlotModel& primary);
    std::optional<Instant> replicateTo(SlotModel& replica, Instant now);

    std::map<std::string, SlotModel, std::less<>> members;
};

} // namespace cyclamendrift::standins
