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

/// Time of day, as rows that outlive a process have to carry it.
using WallClockTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// One write in the ledger: whose request it is and what it asked for.
struct LedgerKey {
    TeamName team;
    RequestId request;
    /// From Ledger::hashStatement().
    std::string statementHash;
};

/// The request has not committed.
struct NotInLedger { };
/// It committed; this was its answer.
struct AlreadyCommitted {
    RowSet answer;
};
/// The id belongs to another statement of the same team.
struct StatementMismatch { };
/// What the ledger says about a request.
using LedgerLookupResult = std::variant<NotInLedger, AlreadyCommitted, StatementMismatch>;

/// SQL of the table that keeps the outcome of each write in the database that it wrote to. The row is
/// inserted in the write's own transaction, before its statement: it commits when the write commits, and a
/// second attempt with the same id fails on the primary key before its statement runs.
///
///     Ledger ledger { {} };
///     pipeline = { begin, ledger.insert(key, now), statement };
///     pipeline = { ledger.recordAnswer(key, answer), commit, status };
class Ledger {
public:
    struct Options {
        std::string table = "cyclamendrift_ledger";
        /// For this long a request id is remembered.
        std::chrono::milliseconds retention = std::chrono::hours { 1 };
        /// Rows of a larger answer are not kept, only the number of affected rows.
        std::size_t maxAnswerBytes = 65536;
    };

    explicit Ledger(Options options);

    /// Hash of a statement with its parameters.
    [[nodiscard]] static std::string hashStatement(const Statement& statement);

    /// Creates the table if it is missing.
    [[nodiscard]] Statement createTable() const;

    /// Claims the request id; fails with a unique violation when it is taken.
    [[nodiscard]] Statement insert(const LedgerKey& key, WallClockTime now) const;

    /// Adds the answer, in the same transaction.
    [[nodiscard]] Statement recordAnswer(const LedgerKey& key, const RowSet& answer) const;

    /// Claims the request id if it is free. Waits until an attempt that is still open has ended, and affects
    /// one row when no attempt has committed and none that was open can any more. Roll it back afterwards.
    [[nodiscard]] Statement claim(const LedgerKey& key, WallClockTime now) const;

    /// Reads what became of a request.
    [[nodiscard]] Statement lookUp(const LedgerKey& key) const;

    /// What the answer to lookUp() says.
    [[nodiscard]] static LedgerLookupResult parseLookupAnswer(
        const RowSet& lookUpAnswer, const LedgerKey& key);

    /// Deletes what is older than the retention.
    [[nodiscard]] Statement deleteExpiredRows(WallClockTime now) const;

private:
    Options options;
};

/// SQLSTATE of a unique violation, by which a taken request id shows.
inline constexpr auto uniqueViolationSqlState = "23505";

} // namespace cyclamendrift
