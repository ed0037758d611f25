#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/core/statement.h>

#include <asio/awaitable.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cyclamendrift {

/// A statement on its way to the home proxy of its database, after the entry proxy has checked key, team and
/// limit.
struct HomeRequest {
    RequestId id;
    TeamName team;
    KeyId key;
    DatabaseName database;
    Statement statement;
    Access access;
    Priority priority = Priority::Normal;
    /// What the caller's session has seen of this database.
    Progress seen;
    /// Set within a transaction.
    std::optional<TransactionId> transaction;
    Instant deadline;
    std::string traceparent;
};

/// The whole answer to a statement.
struct HomeAnswer {
    RowSet rows;
    /// What the session has seen now; to be merged into its token.
    Progress seen;
    /// True when the ledger held the outcome of an earlier request with the same id.
    bool replayed = false;
    SlotName slot;
};

/// Opening of a transaction.
struct BeginHomeRequest {
    RequestId id;
    TeamName team;
    KeyId key;
    DatabaseName database;
    Priority priority = Priority::Normal;
    Progress seen;
    Instant deadline;
    std::string traceparent;
};

/// End of a transaction.
struct EndHomeRequest {
    RequestId id;
    TeamName team;
    KeyId key;
    TransactionId transaction;
    bool commit = false;
    Instant deadline;
    std::string traceparent;
};

/// What a home has done since it started.
struct HomeCounters {
    std::uint64_t replicaReads = 0;
    std::uint64_t primaryReads = 0;
    std::uint64_t writes = 0;
    /// Writes answered from the ledger.
    std::uint64_t replays = 0;
    std::uint64_t retries = 0;
    /// Writes whose COMMIT got no answer, and those of them whose fate the ledger then told.
    std::uint64_t lostCommits = 0;
    std::uint64_t resolvedCommits = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t ranAndFailed = 0;
    std::uint64_t transactions = 0;
    /// Transactions that timed out or whose key was withdrawn.
    std::uint64_t transactionsEnded = 0;
};

/// How a database fares, for `status` and `/metrics`.
struct HomeStatus {
    Term term {};
    SlotName primary;
    /// One of: serving, failing over, no primary.
    std::string state;
    std::uint64_t queued = 0;
    std::uint64_t connections = 0;
    std::uint64_t openTransactions = 0;
    HomeCounters counters;
};

/// Serves one database at one of its home proxies: holds its connections, queue and transactions, and keeps
/// its primary alive. Every failure is a RequestError with a true outcome.
class DatabaseHome {
public:
    virtual ~DatabaseHome() = default;

    /// Runs a statement, alone or within a transaction.
    [[nodiscard]] virtual asio::awaitable<HomeAnswer> execute(HomeRequest request) = 0;

    /// Opens a transaction, pinned to one connection to the primary.
    [[nodiscard]] virtual asio::awaitable<TransactionId> begin(BeginHomeRequest request) = 0;

    /// Commits or rolls back; returns what the session has seen then.
    [[nodiscard]] virtual asio::awaitable<Progress> end(EndHomeRequest request) = 0;

    /// Ends what a withdrawn key has open: its transactions are rolled back.
    virtual void withdrawKey(const KeyId& key) = 0;

    /// Takes nothing new; returns when all that was accepted has been answered.
    [[nodiscard]] virtual asio::awaitable<void> drain() = 0;

    /// How the database fares now.
    [[nodiscard]] virtual HomeStatus status() const = 0;

    /// Takes in what the driver of the group knows of it; any thread may call.
    virtual void setView(const std::shared_ptr<const GroupView>& view) { (void)view; }

    /// Takes in what a slot said of itself; any thread may call.
    virtual void observe(const StatusSample& sample) { (void)sample; }
};

} // namespace cyclamendrift
