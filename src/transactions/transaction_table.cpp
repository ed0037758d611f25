#include <cyclamendrift/transactions/transaction_table.h>

#include <cyclamendrift/core/request_error.h>

#include <sstream>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr char vmNameSeparator = '/';

} // namespace

TransactionTable::TransactionTable(Options options, RandomSource& random)
    : options(std::move(options))
    , random(random)
{
}

std::size_t TransactionTable::reservationsOf(const TeamName& team) const
{
    const auto entry = this->reservationsByTeam.find(team);
    return entry == this->reservationsByTeam.end() ? 0 : entry->second;
}

bool TransactionTable::canOpen(const TeamName& team) const
{
    return this->totalReservations < this->options.maxOpen
        && this->reservationsOf(team) < this->options.maxOpenPerTeam;
}

void TransactionTable::reserve(const TeamName& team)
{
    // Each open transaction occupies a connection, so a team that opens many would starve the others even
    // with a fair queue.
    if (!this->canOpen(team))
        throw notRun(RefusalReason::Overloaded, "too many open transactions", this->options.idleTimeout / 10);
    ++this->reservationsByTeam[team];
    ++this->totalReservations;
}

void TransactionTable::releaseReservation(const TeamName& team)
{
    const auto entry = this->reservationsByTeam.find(team);
    if (entry == this->reservationsByTeam.end())
        return;
    --this->totalReservations;
    if (--entry->second == 0)
        this->reservationsByTeam.erase(entry);
}

TransactionId TransactionTable::newId()
{
    std::ostringstream text;
    text << this->options.vm.view() << vmNameSeparator << ++this->lastTransaction << '-' << std::hex
         << this->random();
    return TransactionId { text.str() };
}

VmName TransactionTable::ownerVmOf(const TransactionId& id)
{
    const auto end = id.view().rfind(vmNameSeparator);
    return end == std::string_view::npos ? VmName {} : VmName { std::string { id.view().substr(0, end) } };
}

TransactionId TransactionTable::open(Owner owner, Instant now)
{
    auto id = this->newId();
    this->transactions.emplace(
        id, Transaction { .owner = std::move(owner), .openedAt = now, .lastUsed = now });
    return id;
}

TransactionLease TransactionTable::beginExchange(
    const TransactionId& id, const TeamName& team, const KeyId& key, Instant now)
{
    const auto entry = this->transactions.find(id);
    const bool known = entry != this->transactions.end() && !entry->second.rollBackPending;
    // The error for another team's or key's transaction is the same as for an unknown id, so that callers
    // cannot probe for ids.
    if (!known || entry->second.owner.team != team || entry->second.owner.key != key)
        throw notRun(RefusalReason::UnknownTransaction,
            "no open transaction has this id; it was rolled back unless it was committed");
    auto& transaction = entry->second;
    if (transaction.runningExchange)
        throw notRun(RefusalReason::Conflict, "another statement of this transaction is still running");
    transaction.runningExchange = ExchangeId { ++this->lastExchange };
    transaction.lastUsed = now;
    return { transaction.owner.connection, *transaction.runningExchange, transaction.failed };
}

TransactionAction TransactionTable::endExchange(
    const TransactionId& id, ExchangeId exchange, ExchangeResult result, Instant now)
{
    const auto entry = this->transactions.find(id);
    if (entry == this->transactions.end() || entry->second.runningExchange != exchange)
        return TransactionAction::DiscardAnswer;
    auto& transaction = entry->second;
    transaction.runningExchange.reset();
    transaction.lastUsed = now;
    if (result == ExchangeResult::ConnectionLost || transaction.rollBackPending) {
        this->releaseReservation(transaction.owner.team);
        this->transactions.erase(entry);
        return TransactionAction::RollBack;
    }
    // The database answers a COMMIT of an aborted transaction with success although it rolls back, and the
    // caller would assume that its writes were committed. The failure is therefore recorded here.
    transaction.failed = transaction.failed || result == ExchangeResult::StatementFailed;
    return TransactionAction::KeepOpen;
}

bool TransactionTable::close(const TransactionId& id, ExchangeId exchange)
{
    const auto entry = this->transactions.find(id);
    if (entry == this->transactions.end() || entry->second.runningExchange != exchange)
        return false;
    this->releaseReservation(entry->second.owner.team);
    this->transactions.erase(entry);
    return true;
}

std::vector<TransactionTable::Ended> TransactionTable::expire(Instant now)
{
    std::vector<Ended> ended;
    for (auto entry = this->transactions.begin(); entry != this->transactions.end();) {
        auto& transaction = entry->second;
        const bool tooOld = now - transaction.openedAt >= this->options.maxAge;
        const bool idle
            = !transaction.runningExchange && now - transaction.lastUsed >= this->options.idleTimeout;
        if (!tooOld && !idle) {
            ++entry;
            continue;
        }
        if (transaction.runningExchange) {
            transaction.rollBackPending = true;
            ++entry;
            continue;
        }
        ended.push_back({ entry->first, transaction.owner.connection });
        this->releaseReservation(transaction.owner.team);
        entry = this->transactions.erase(entry);
    }
    return ended;
}

std::vector<TransactionTable::Ended> TransactionTable::withdrawKey(const KeyId& key)
{
    // A withdrawn key must stop working within seconds, even for a statement that was already sent: the
    // answer then matches no transaction, and the connection is discarded.
    std::vector<Ended> ended;
    for (auto entry = this->transactions.begin(); entry != this->transactions.end();) {
        if (entry->second.owner.key != key) {
            ++entry;
            continue;
        }
        ended.push_back({ entry->first, entry->second.owner.connection });
        this->releaseReservation(entry->second.owner.team);
        entry = this->transactions.erase(entry);
    }
    return ended;
}

} // namespace cyclamendrift
