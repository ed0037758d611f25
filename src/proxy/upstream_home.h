#pragma once

#include "confirmations.h"
#include "lane.h"
#include "slot_connections.h"

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/ledger.h>
#include <cyclamendrift/connections/outlier_detector.h>
#include <cyclamendrift/connections/retry_budget.h>
#include <cyclamendrift/proxy/database_home.h>
#include <cyclamendrift/proxy/database_home_factory.h>
#include <cyclamendrift/sessions/replica_tracker.h>
#include <cyclamendrift/transactions/transaction_table.h>
#include <cyclamendrift/upstreams/upstream_error.h>

#include <asio/awaitable.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace cyclamendrift {

/// Serves one database from its upstreams: puts the decisions of connections, transactions, sessions and
/// commits together. All but the first line of each public call runs on the home's executor.
class UpstreamHome final : public DatabaseHome, public std::enable_shared_from_this<UpstreamHome> {
public:
    explicit UpstreamHome(DatabaseHomeOptions options);

    /// Begins to open connections and to keep time.
    void start();

    [[nodiscard]] asio::awaitable<HomeAnswer> execute(HomeRequest request) override;
    [[nodiscard]] asio::awaitable<TransactionId> begin(BeginHomeRequest request) override;
    [[nodiscard]] asio::awaitable<Progress> end(EndHomeRequest request) override;
    void withdrawKey(const KeyId& key) override;
    [[nodiscard]] asio::awaitable<void> drain() override;
    [[nodiscard]] HomeStatus status() const override;
    void setView(const std::shared_ptr<const GroupView>& view) override;
    void observe(const StatusSample& sample) override;

private:
    /// A statement within [status; statement; status].
    struct StatusedAnswer {
        RowSet rows;
        SlotStatus before;
        SlotStatus after;
        Instant sentAt;
    };
    /// What the attempts at a read have in common.
    struct ReadState {
        ReplicaTracker::Request wanted;
        bool atPrimary = false;
        std::size_t retries = 0;
    };
    /// How one attempt at a write ended without an answer.
    enum class WriteFailure : std::uint8_t {
        /// It was rolled back before its COMMIT was sent.
        NotCommitted,
        /// Nothing was sent, or the slot is no primary.
        TryAnother,
        /// The COMMIT was sent and got no answer.
        LostCommit,
    };
    struct FailedWrite {
        WriteFailure failure = WriteFailure::NotCommitted;
        RequestError refusal;
    };
    using WriteAttempt = std::variant<HomeAnswer, FailedWrite>;
    class InFlight;
    class WriteWatch;

    // upstream_home.cpp
    [[nodiscard]] std::shared_ptr<Lane> makeLane() const;
    template <class Result> asio::awaitable<Result> counted(asio::awaitable<Result> work);
    void count(const RequestError& refusal);
    void endTransactions(const std::vector<TransactionTable::Ended>& ended);
    void publishStatus();
    [[nodiscard]] Instant now() const noexcept { return this->options.timers->now(); }
    [[nodiscard]] asio::awaitable<void> pause(Duration duration);
    template <class Request> [[nodiscard]] Lane::Request turnFor(const Request& request) const;

    // home_slots.cpp
    [[nodiscard]] std::size_t trafficBudget() const;
    void tick();
    void dispatch();
    void scheduleDispatch();
    void updateSlots();
    void updateAvailability();
    void applyView(const GroupView& next);
    void takeSample(const StatusSample& sample);
    [[nodiscard]] std::shared_ptr<SlotConnections> makeSlot(const api::Slot& slot, bool leaving);
    void removeSlot(const SlotName& name);
    [[nodiscard]] bool isServing() const noexcept { return this->view.phase == GroupView::Phase::Serving; }
    [[nodiscard]] bool isLeaving(const api::Slot& slot) const;
    [[nodiscard]] Lane& laneOf(const SlotName& slot);

    // home_reads.cpp
    [[nodiscard]] asio::awaitable<HomeAnswer> read(HomeRequest request);
    [[nodiscard]] asio::awaitable<std::unique_ptr<PooledConnection>> connectionForRead(
        const HomeRequest& request, const ReadState& state);
    [[nodiscard]] asio::awaitable<std::optional<HomeAnswer>> readOnce(
        const HomeRequest& request, ReadState& state);
    /// False when the connection did not stand its proof; nothing has been sent on it for the caller then.
    [[nodiscard]] asio::awaitable<bool> isAlive(PooledConnection& connection, Instant deadline);
    [[nodiscard]] asio::awaitable<StatusedAnswer> sendRead(
        PooledConnection& connection, const HomeRequest& request, Instant deadline);
    [[nodiscard]] asio::awaitable<std::optional<HomeAnswer>> confirmPrimaryRead(
        const HomeRequest& request, StatusedAnswer answer, SlotName slot);

    // home_writes.cpp
    [[nodiscard]] asio::awaitable<HomeAnswer> write(HomeRequest request);
    [[nodiscard]] asio::awaitable<WriteAttempt> writeOnce(const HomeRequest& request, const LedgerKey& key);
    [[nodiscard]] asio::awaitable<WriteAttempt> commitWrite(std::shared_ptr<PooledConnection> connection,
        const HomeRequest& request, const LedgerKey& key, RowSet rows);
    [[nodiscard]] static FailedWrite failedCommit(const UpstreamError& error);
    [[nodiscard]] asio::awaitable<WriteAttempt> refusedByDatabase(
        std::shared_ptr<PooledConnection> connection, const HomeRequest& request, const LedgerKey& key,
        UpstreamError error);
    /// Closes the connection of a write that gets no answer and that the database is not working on.
    [[nodiscard]] asio::awaitable<void> watchWrite(std::shared_ptr<bool> answered, SlotName slot,
        std::weak_ptr<PooledConnection> connection, LedgerKey key);
    [[nodiscard]] asio::awaitable<bool> isAtWork(SlotConnections& slot, const LedgerKey& key);
    [[nodiscard]] asio::awaitable<void> ensureLedger(PooledConnection& connection, Instant deadline);
    [[nodiscard]] asio::awaitable<void> pruneLedger();
    /// Finds out what became of a write whose COMMIT got no answer: its answer if it committed, NotRun if it
    /// did not and never will, Unknown if that cannot be told before the deadline.
    [[nodiscard]] asio::awaitable<HomeAnswer> resolve(Lane::Request turn, LedgerKey key, Progress seen);
    [[nodiscard]] asio::awaitable<std::optional<HomeAnswer>> resolveOnce(
        const Lane::Request& turn, const LedgerKey& key, Progress seen);

    // home_transactions.cpp
    [[nodiscard]] asio::awaitable<TransactionId> beginHere(BeginHomeRequest request);
    [[nodiscard]] asio::awaitable<std::unique_ptr<PooledConnection>> openTransaction(
        const BeginHomeRequest& request);
    [[nodiscard]] asio::awaitable<HomeAnswer> executeInTransaction(
        HomeRequest request, TransactionId transaction);
    [[nodiscard]] asio::awaitable<Progress> endHere(EndHomeRequest request);
    [[nodiscard]] asio::awaitable<Progress> commitPinned(std::shared_ptr<PooledConnection> connection,
        const EndHomeRequest& request, const LedgerKey& key, ExchangeId exchange);
    [[nodiscard]] asio::awaitable<void> claimForCommit(
        PooledConnection& connection, const EndHomeRequest& request, const LedgerKey& key);
    [[nodiscard]] std::shared_ptr<PooledConnection> pinnedConnection(PinnedConnectionId number) const;

    DatabaseHomeOptions options;
    RandomSource random;
    Ledger ledger;
    ReplicaTracker tracker;
    TransactionTable transactions;
    RetryBudget retryBudget;
    OutlierDetector outliers;
    GroupView view;
    std::shared_ptr<Lane> primaryLane;
    std::shared_ptr<Confirmations> confirmations;
    std::map<SlotName, std::shared_ptr<Lane>> replicaLanes;
    std::map<SlotName, std::shared_ptr<SlotConnections>> slots;
    /// Slots that are asked for their status only, as their VMs are leaving.
    std::set<SlotName> leavingSlots;
    std::map<PinnedConnectionId, std::shared_ptr<PooledConnection>> pinned;
    std::uint64_t lastPinned = 0;
    std::unique_ptr<TimerService::Subscription> ticks;
    std::optional<Instant> outageSince;
    Term ledgerTerm {};
    Instant nextPrune;
    bool pruning = false;
    bool dispatchScheduled = false;
    bool draining = false;
    bool drained = false;
    std::size_t inFlight = 0;
    HomeCounters counters;

    mutable std::mutex statusMutex;
    HomeStatus published;
};

} // namespace cyclamendrift
