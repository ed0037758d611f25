#include "memory_store.h"

#include <cyclamendrift/platform/store_error.h>

#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace cyclamendrift::standins {

namespace {

/// Keeps a watch's timer among those that a change wakes for as long as the watch waits. A watch whose caller
/// gave up ends with an exception out of its wait, and a timer left behind would be woken after it is gone.
/// The set is shared, as a wait that is still open ends with the context and thus after the store.
class WatchEntry {
public:
    WatchEntry(std::shared_ptr<std::set<asio::steady_timer*>> watches, asio::steady_timer& timer)
        : watches(std::move(watches))
        , timer(timer)
    {
        this->watches->insert(&this->timer);
    }
    ~WatchEntry() { this->watches->erase(&this->timer); }
    WatchEntry(const WatchEntry&) = delete;
    WatchEntry& operator=(const WatchEntry&) = delete;

private:
    std::shared_ptr<std::set<asio::steady_timer*>> watches;
    asio::steady_timer& timer;
};

} // namespace

MemoryStore::MemoryStore(const asio::any_io_executor& executor)
    : executor(executor)
    , lapseTimer(executor)
{
}

asio::awaitable<std::optional<StoreEntry>> MemoryStore::get(std::string key)
{
    co_await this->arrive(&StoreCalls::reads);
    const auto found = this->entries.find(key);
    if (found == this->entries.end())
        co_return std::nullopt;
    co_return StoreEntry { .key = key,
        .value = found->second.value,
        .revision = found->second.revision,
        .lease = found->second.lease };
}

asio::awaitable<std::vector<StoreEntry>> MemoryStore::list(std::string prefix)
{
    co_await this->arrive(&StoreCalls::reads);
    std::vector<StoreEntry> result;
    for (auto entry = this->entries.lower_bound(prefix); entry != this->entries.end(); ++entry) {
        if (!entry->first.starts_with(prefix))
            break;
        result.push_back({ .key = entry->first,
            .value = entry->second.value,
            .revision = entry->second.revision,
            .lease = entry->second.lease });
    }
    co_return result;
}

asio::awaitable<SwapOutcome> MemoryStore::compareAndSwap(SwapOptions options)
{
    co_await this->arrive(&StoreCalls::writes);
    if (options.lease != LeaseId::None && !this->leases.contains(options.lease))
        throw StoreError { StoreError::Kind::LeaseGone, "the lease does not exist" };
    const auto found = this->entries.find(options.key);
    const bool exists = found != this->entries.end();
    const bool guarded
        = std::all_of(options.guards.begin(), options.guards.end(), [this](const KeyGuard& guard) {
              const auto entry = this->entries.find(guard.key);
              return (entry == this->entries.end() ? 0 : entry->second.revision) == guard.revision;
          });
    SwapOutcome outcome;
    if (guarded && (exists ? found->second.revision : 0) == options.expectedRevision) {
        this->put(options.key, std::move(options.value), options.lease);
        outcome = Swapped { this->lastRevision };
    } else {
        SwapConflict conflict;
        if (exists)
            conflict.current = StoreEntry { options.key, found->second.value, found->second.revision };
        outcome = std::move(conflict);
    }
    this->loseAnswer();
    co_return outcome;
}

asio::awaitable<LeaseId> MemoryStore::grantLease(Duration timeToLive)
{
    co_await this->arrive(&StoreCalls::writes);
    const LeaseId lease { ++this->lastLease };
    this->leases[lease] = { timeToLive, std::chrono::steady_clock::now() + timeToLive };
    this->awaitLapse();
    this->loseAnswer();
    co_return lease;
}

asio::awaitable<void> MemoryStore::keepAlive(LeaseId lease)
{
    co_await this->arrive(&StoreCalls::writes);
    const auto found = this->leases.find(lease);
    if (found == this->leases.end())
        throw StoreError { StoreError::Kind::LeaseGone, "the lease has lapsed" };
    found->second.lapsesAt = std::chrono::steady_clock::now() + found->second.timeToLive;
    this->awaitLapse();
    this->loseAnswer();
}

asio::awaitable<void> MemoryStore::revokeLease(LeaseId lease)
{
    co_await this->arrive(&StoreCalls::writes);
    if (!this->leases.contains(lease))
        throw StoreError { StoreError::Kind::LeaseGone, "the lease does not exist" };
    this->lapse(lease);
    this->loseAnswer();
}

asio::awaitable<void> MemoryStore::watch(
    std::string prefix, std::uint64_t fromRevision, std::function<void(const StoreChange&)> onChange)
{
    this->beginWatch();
    auto next = fromRevision == 0 ? this->lastRevision + 1 : fromRevision;
    while (true) {
        const auto changes = co_await this->nextChanges(prefix, next);
        for (const auto& change : changes) {
            onChange(change);
            next = change.revision + 1;
        }
    }
}

asio::awaitable<std::vector<StoreChange>> MemoryStore::nextChanges(
    std::string prefix, std::uint64_t fromRevision)
{
    while (true) {
        if (this->outage)
            throw StoreError { StoreError::Kind::NoAnswer, "the watch broke" };
        this->requireHistory(fromRevision);
        std::vector<StoreChange> result;
        const auto matches = [&](const StoreChange& change) {
            return change.revision >= fromRevision && change.key.starts_with(prefix);
        };
        std::copy_if(this->history.begin(), this->history.end(), std::back_inserter(result), matches);
        if (!result.empty())
            co_return result;
        asio::steady_timer timer { this->executor, Instant::max() };
        const WatchEntry entry { this->watches, timer };
        std::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void MemoryStore::beginWatch()
{
    ++this->counted.watches;
    if (this->outage)
        throw StoreError { StoreError::Kind::Unreachable, "the store is down" };
}

void MemoryStore::requireHistory(std::uint64_t fromRevision) const
{
    if (fromRevision < this->compactedBefore)
        throw StoreError { StoreError::Kind::Compacted, "the changes asked for are gone" };
}

void MemoryStore::setOutage(bool outage)
{
    this->outage = outage;
    this->wakeWatches();
}

void MemoryStore::lapse(LeaseId lease)
{
    this->leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : this->entries) {
        if (entry.lease == lease)
            keys.push_back(key);
    }
    for (const auto& key : keys)
        this->put(key, std::nullopt, LeaseId::None);
}

void MemoryStore::compact(std::uint64_t revision)
{
    this->compactedBefore = revision;
    std::erase_if(
        this->history, [revision](const StoreChange& change) { return change.revision < revision; });
}

asio::awaitable<void> MemoryStore::arrive(std::uint64_t StoreCalls::*counter)
{
    ++(this->counted.*counter);
    if (this->delay > Duration::zero()) {
        asio::steady_timer timer { this->executor, this->delay };
        co_await timer.async_wait(asio::use_awaitable);
    }
    if (this->outage)
        throw StoreError { StoreError::Kind::Unreachable, "the store is down" };
}

void MemoryStore::loseAnswer()
{
    if (this->answersToLose == 0)
        return;
    --this->answersToLose;
    throw StoreError { StoreError::Kind::NoAnswer, "the answer was lost" };
}

void MemoryStore::put(const std::string& key, std::optional<std::string> value, LeaseId lease)
{
    if (!value && !this->entries.contains(key))
        return;
    ++this->lastRevision;
    if (value)
        this->entries[key] = { *value, this->lastRevision, lease };
    else
        this->entries.erase(key);
    this->record({ .key = key, .value = std::move(value), .revision = this->lastRevision });
}

void MemoryStore::record(StoreChange change)
{
    this->history.push_back(std::move(change));
    this->wakeWatches();
}

void MemoryStore::wakeWatches()
{
    for (auto* timer : *this->watches)
        timer->cancel();
}

void MemoryStore::awaitLapse()
{
    auto first = Instant::max();
    for (const auto& [lease, kept] : this->leases)
        first = std::min(first, kept.lapsesAt);
    if (first == Instant::max())
        return;
    this->lapseTimer.expires_at(first);
    this->lapseTimer.async_wait([this](const std::error_code& error) {
        if (error)
            return;
        const auto now = std::chrono::steady_clock::now();
        const auto all = this->leases;
        for (const auto& [lease, kept] : all) {
            if (kept.lapsesAt <= now)
                this->lapse(lease);
        }
        this->awaitLapse();
    });
}

} // namespace cyclamendrift::standins
