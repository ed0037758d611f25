#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Open transactions, their owners and their connections.
namespace cyclamendrift {

/// Identifies one exchange of a transaction with its connection; unique within a table.
enum class ExchangeId : std::uint64_t {};

/// Identifies the connection that a transaction is pinned to; assigned by the user of the table.
enum class PinnedConnectionId : std::uint64_t {};

/// Right to use the connection of a transaction for one exchange.
struct TransactionLease {
    PinnedConnectionId connection {};
    ExchangeId exchange {};
    /// Whether a statement of the transaction has failed, so that it can only be rolled back.
    bool failed = false;
};

/// How an exchange of a transaction ended.
enum class ExchangeResult : std::uint8_t { Answered, StatementFailed, ConnectionLost };

/// What the user of the table must do after an exchange.
enum class TransactionAction : std::uint8_t {
    /// Return the answer to the caller; the transaction stays open.
    KeepOpen,
    /// The transaction became too old during the exchange or its connection was lost: roll back and discard
    /// the connection.
    RollBack,
    /// The transaction has ended or the answer belongs to an earlier exchange: discard the answer.
    DiscardAnswer,
};

/// Tracks the open transactions of a home proxy. Each is pinned to one connection, belongs to one key and
/// team, and runs one exchange at a time, so that its statements and answers cannot be mixed with those of
/// another transaction.
///
///     table.reserve(team); // throws RequestError
///     auto id = table.open({ .team = team, .key = key, .connection = connection }, now);
///     auto lease = table.beginExchange(id, team, key, now); // throws RequestError
///     ...
///     table.endExchange(id, lease.exchange, ExchangeResult::Answered, now);
class TransactionTable {
public:
    struct Options {
        /// Name of this VM; every transaction id starts with it.
        VmName vm;
        /// Time without a statement after which a transaction is rolled back.
        Duration idleTimeout = std::chrono::seconds { 10 };
        /// Maximum time from the begin to the end of a transaction; it also bounds a caller that sends a
        /// statement now and then and so never becomes idle.
        Duration maxAge = std::chrono::seconds { 60 };
        /// Maximum number of open transactions; the other connections stay free for single statements.
        std::size_t maxOpen = 4;
        std::size_t maxOpenPerTeam = 2;
    };

    struct Owner {
        TeamName team;
        KeyId key;
        PinnedConnectionId connection {};
    };

    /// A transaction that must be rolled back now; the table no longer holds it.
    struct Ended {
        TransactionId id;
        PinnedConnectionId connection {};
    };

    TransactionTable(Options options, RandomSource& random);

    /// Whether a team may open one more transaction now.
    [[nodiscard]] bool canOpen(const TeamName& team) const;

    /// Counts a transaction that is about to be opened, or throws RequestError with Overloaded at a limit.
    void reserve(const TeamName& team);

    /// Releases a reservation of reserve() if the transaction could not be opened.
    void releaseReservation(const TeamName& team);

    /// Adds a transaction for which reserve() was called, and returns its id.
    [[nodiscard]] TransactionId open(Owner owner, Instant now);

    /// Begins an exchange on the connection of the transaction. Throws RequestError with UnknownTransaction
    /// if this team and key have no transaction with this id, and with Conflict while another exchange runs;
    /// no statement has run in either case.
    [[nodiscard]] TransactionLease beginExchange(
        const TransactionId& id, const TeamName& team, const KeyId& key, Instant now);

    /// Ends an exchange and returns what to do with its answer and transaction.
    [[nodiscard]] TransactionAction endExchange(
        const TransactionId& id, ExchangeId exchange, ExchangeResult result, Instant now);

    /// Removes a transaction that was committed or rolled back in this exchange; returns false if the
    /// exchange is no longer the running one.
    [[nodiscard]] bool close(const TransactionId& id, ExchangeId exchange);

    /// Removes and returns the transactions that were idle or open for too long. One with a running exchange
    /// that is too old is removed by endExchange().
    [[nodiscard]] std::vector<Ended> expire(Instant now);

    /// Removes and returns the transactions of a withdrawn key, including those with a running exchange,
    /// whose answer is then discarded.
    [[nodiscard]] std::vector<Ended> withdrawKey(const KeyId& key);

    /// Number of open transactions.
    [[nodiscard]] std::size_t size() const noexcept { return this->transactions.size(); }

    /// Returns the VM whose name the transaction id contains; empty if it contains none.
    [[nodiscard]] static VmName ownerVmOf(const TransactionId& id);

private:
    struct Transaction {
        Owner owner;
        Instant openedAt;
        Instant lastUsed;
        /// Empty between exchanges.
        std::optional<ExchangeId> runningExchange;
        bool failed = false;
        bool rollBackPending = false;
    };
    using Transactions = std::map<TransactionId, Transaction>;

    [[nodiscard]] std::size_t reservationsOf(const TeamName& team) const;
    [[nodiscard]] TransactionId newId();

    Options options;
    RandomSource& random;
    Transactions transactions;
    std::map<TeamName, std::size_t> reservationsByTeam;
    std::size_t totalReservations = 0;
    std::uint64_t lastExchange = 0;
    std::uint64_t lastTransaction = 0;
};

} // namespace cyclamendrift
