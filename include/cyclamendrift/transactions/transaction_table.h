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

/// Open transactions and whose they are.
namespace cyclamendrift {

/// Number of one exchange of a transaction with its connection; never used twice in a table.
enum class ExchangeId : std::uint64_t {};

/// The connection that a transaction is pinned to, as its table's owner numbers them.
enum class PinnedConnectionId : std::uint64_t {};

/// The right to use a transaction's connection for one exchange.
struct TransactionLease {
    PinnedConnectionId connection {};
    ExchangeId exchange {};
    /// True after a statement of it failed; it can only be rolled back.
    bool failed = false;
};

/// How an exchange of a transaction ended.
enum class ExchangeResult : std::uint8_t { Answered, StatementFailed, ConnectionLost };

/// What the owner has to do after an exchange.
enum class TransactionAction : std::uint8_t {
    /// Pass the answer on; the transaction stays open.
    KeepOpen,
    /// Its end was asked for meanwhile, or its connection is gone: roll back and discard the connection.
    RollBack,
    /// The transaction has ended: the answer belongs to nobody, or came out of turn.
    DiscardAnswer,
};

/// Transactions of one home. Each is pinned to one connection, belongs to one key and team, and is lent out
/// for one exchange at a time, so that its statements and answers cannot meet another's.
///
///     auto id = table.open({ .team = team, .key = key, .connection = connection }, now);
///     auto lease = table.enter(*id, team, key, now); // throws RequestError
///     ...
///     table.leave(*id, lease.exchange, ExchangeResult::Answered, now);
class TransactionTable {
public:
    struct Options {
        /// This VM; every transaction id starts with its name.
        VmName vm;
        /// Without a statement for this long, it is rolled back.
        Duration idleTimeout = std::chrono::seconds { 10 };
        /// From its begin to its end at most; a caller that trickles statements cannot hold on for ever.
        Duration maxAge = std::chrono::seconds { 60 };
        /// Open at a time; the other connections stay free for single statements.
        std::size_t maxOpen = 4;
        std::size_t maxOpenPerTeam = 2;
    };

    struct Owner {
        TeamName team;
        KeyId key;
        PinnedConnectionId connection {};
    };

    /// A transaction that has to be rolled back now; the table has forgotten it.
    struct Ended {
        TransactionId id;
        PinnedConnectionId connection {};
    };

    TransactionTable(Options options, RandomSource& random);

    /// True when a team may open one more now.
    [[nodiscard]] bool canOpen(const TeamName& team) const;

    /// Reserves a place for a transaction that is about to be opened, or throws RequestError with Overloaded.
    void reserve(const TeamName& team);

    /// Gives back a place that reserve() took, when the transaction did not come about.
    void releaseReservation(const TeamName& team);

    /// Enters a transaction whose place was reserved, and returns its id.
    [[nodiscard]] TransactionId open(Owner owner, Instant now);

    /// Lends the connection for one exchange. Throws RequestError: UnknownTransaction when there is none of
    /// this id for this team and key, Conflict while another exchange runs. Nothing has run then.
    [[nodiscard]] TransactionLease beginExchange(
        const TransactionId& id, const TeamName& team, const KeyId& key, Instant now);

    /// Ends an exchange.
    [[nodiscard]] TransactionAction endExchange(
        const TransactionId& id, ExchangeId exchange, ExchangeResult result, Instant now);

    /// Forgets a transaction that was committed or rolled back in this exchange; false when it came too late.
    [[nodiscard]] bool close(const TransactionId& id, ExchangeId exchange);

    /// Ends those that were idle or open for too long; one in an exchange ends at leave().
    [[nodiscard]] std::vector<Ended> expire(Instant now);

    /// Ends those of a withdrawn key; one in an exchange is cut off from its connection at once.
    [[nodiscard]] std::vector<Ended> withdrawKey(const KeyId& key);

    /// Open transactions.
    [[nodiscard]] std::size_t size() const noexcept { return this->transactions.size(); }

    /// The VM that a transaction id names as its home; empty when it names none.
    [[nodiscard]] static VmName ownerVmOf(const TransactionId& id);

private:
    struct Transaction {
        Owner owner;
        Instant openedAt;
        Instant lastUsed;
        /// The exchange that is running.
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
