#pragma once

#include <cyclamendrift/platform/store.h>

#include <asio/any_io_executor.hpp>
#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace cyclamendrift::standins {

/// Calls as the platform counts them; a waiting watch is one.
struct StoreCalls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/// The platform's store in memory, with its outages, slowness and lost answers. Used on one thread.
///
///     MemoryStore store { context.get_executor() };
///     store.loseAnswers(1);
///     co_await store.compareAndSwap(change); // takes effect and throws StoreError with NoAnswer
class MemoryStore final : public Store {
public:
    explicit MemoryStore(const asio::any_io_executor& executor);

    [[nodiscard]] asio::awaitable<std::optional<StoreEntry>> get(std::string key) override;
    [[nodiscard]] asio::awaitable<std::vector<StoreEntry>> list(std::string prefix) override;
    [[nodiscard]] asio::awaitable<SwapOutcome> compareAndSwap(SwapOptions options) override;
    [[nodiscard]] asio::awaitable<LeaseId> grantLease(Duration timeToLive) override;
    [[nodiscard]] asio::awaitable<void> keepAlive(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> revokeLease(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> watch(std::string prefix, std::uint64_t fromRevision,
        std::function<void(const StoreChange&)> onChange) override;

    /// The next changes under a prefix from a revision on; waits until there are any.
    [[nodiscard]] asio::awaitable<std::vector<StoreChange>> nextChanges(
        std::string prefix, std::uint64_t fromRevision);
    /// Counts a watch; throws during an outage.
    void beginWatch();
    /// Throws when the changes from a revision on are not all there any more.
    void requireHistory(std::uint64_t fromRevision) const;

    /// Revision of the last change.
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->lastRevision; }
    [[nodiscard]] const StoreCalls& calls() const noexcept { return this->counted; }

    /// During an outage every call ends with Unreachable and every watch breaks.
    void setOutage(bool outage);
    /// Makes each call wait before it takes effect.
    void slow(Duration delay) noexcept { this->delay = delay; }
    /// The next changes take effect and end with NoAnswer.
    void loseAnswers(std::size_t count) noexcept { this->answersToLose = count; }
    /// Lapses a lease at once, as if its time had passed.
    void lapse(LeaseId lease);
    /// Forgets the changes before a revision; a watch from there ends with Compacted.
    void compact(std::uint64_t revision);

private:
    struct Kept {
        std::string value;
        std::uint64_t revision = 0;
        LeaseId lease = LeaseId::None;
    };
    struct Lease {
        Duration timeToLive {};
        Instant lapsesAt;
    };

    asio::awaitable<void> arrive(std::uint64_t StoreCalls::*counter);
    void loseAnswer();
    void put(const std::string& key, std::optional<std::string> value, LeaseId lease);
    void record(StoreChange change);
    void wakeWatches();
    void awaitLapse();

    asio::any_io_executor executor;
    asio::steady_timer lapseTimer;
    std::map<std::string, Kept> entries;
    std::map<LeaseId, Lease> leases;
    std::vector<StoreChange> history;
    std::shared_ptr<std::set<asio::steady_timer*>> watches
        = std::make_shared<std::set<asio::steady_timer*>>();
    StoreCalls counted;
    Duration delay {};
    std::uint64_t lastRevision = 1;
    std::uint64_t compactedBefore = 0;
    std::uint64_t lastLease = 0;
    std::size_t answersToLose = 0;
    bool outage = false;
};

} // namespace cyclamendrift::standins
