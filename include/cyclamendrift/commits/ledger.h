#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/statement.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace cyclamendrift {

/// Wall-clock time in milliseconds, for rows that outlive the process.
using WallClockTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Identifies one write in the ledger by team, request and statement.
struct LedgerKey {
    TeamName team;
    RequestId request;
    /// Result of Ledger::hashStatement().
    std::string statementHash;
};

/// The ledger has no row for the request: it has not committed.
struct NotInLedger { };
/// The request has committed; holds the answer that was recorded.
struct AlreadyCommitted {
    RowSet answer;
};
/// The request id was used for another statement of the same team.
struct StatementMismatch { };
/// Result of looking up a request in the ledger.
using LedgerLookupResult = std::variant<NotInLedger, AlreadyCommitted, StatementMismatch>;

/// Builds the SQL statements of the ledger, a table in each database that records the outcome of the writes
/// to that database. The row is inserted in the transaction of the write, before its statement: it commits
/// when the write commits, and a second attempt with the same id violates the primary key before its
/// statement runs.
///
///     Ledger ledger { {} };
///     pipeline = { begin, ledger.insert(key, now), statement };
///     pipeline = { ledger.recordAnswer(key, answer), commit, status };
class Ledger {
public:
    struct Options {
        std::string table = "cyclamendrift_ledger";
        /// Time for which a request id is kept.
        std::chrono::milliseconds retention = std::chrono::hours { 1 };
        /// Of an answer with a larger encoding only the number of affected rows is recorded.
        std::size_t maxAnswerBytes = 65536;
    };

    explicit Ledger(Options options);

    /// Returns the hash of a statement and its parameters as hexadecimal text.
    [[nodiscard]] static std::string hashStatement(const Statement& statement);

    /// Creates the table unless it exists.
    [[nodiscard]] Statement createTable() const;

    /// Inserts the row of a request; fails with a unique violation if the request id exists.
    [[nodiscard]] Statement insert(const LedgerKey& key, WallClockTime now) const;

    /// Stores the answer in the row of the request, in the same transaction.
    [[nodiscard]] Statement recordAnswer(const LedgerKey& key, const RowSet& answer) const;

    /// Inserts the row unless the request id exists. Waits until an attempt that is still open has ended. It
    /// affects one row if no attempt has committed and none that was open can still commit. Roll it back
    /// afterwards.
    [[nodiscard]] Statement claim(const LedgerKey& key, WallClockTime now) const;

    /// Selects the row of a request.
    [[nodiscard]] Statement lookUp(const LedgerKey& key) const;

    /// Interprets the answer to lookUp().
    [[nodiscard]] static LedgerLookupResult parseLookupAnswer(
        const RowSet& lookUpAnswer, const LedgerKey& key);

    /// Deletes the rows that are older than the retention.
    [[nodiscard]] Statement deleteExpiredRows(WallClockTime now) const;

private:
    Options options;
};

/// SQLSTATE of a unique violation, which insert() causes if the request id exists.
inline constexpr auto uniqueViolationSqlState = "23505";

} // namespace cyclamendrift
