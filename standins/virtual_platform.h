#pragma once

#include "virtual_clock.h"
#include "virtual_reply.h"

#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/platform/vm_list.h>

#include <asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamendrift::standins {

/// The platform's store and list in virtual time, with their faults.
class VirtualPlatform {
public:
    /// What goes wrong with the store as one process sees it.
    struct Link {
        bool cut = false;
    };

    explicit VirtualPlatform(VirtualClock& clock, std::uint64_t seed)
        : clock(clock)
        , random(seed)
    {
    }

    VirtualClock& clock;
    RandomSource random;
    /// No call is answered while this is set, and none takes effect.
    bool down = false;
    /// Part of the answers that are lost after the call took effect.
    double lostAnswers = 0;
    /// Time that a call takes each way.
    Duration latency = std::chrono::milliseconds { 1 };
    Duration callTimeout = std::chrono::milliseconds { 500 };
    std::map<std::string, StoreEntry> entries;
    std::uint64_t revision = 0;
    std::vector<VmEntry> list;
    /// Calls as the platform counts them, a watch as one when it is opened.
    std::uint64_t calls = 0;
    std::uint64_t listCalls = 0;
    /// Every document that was ever written under any key.
    std::vector<StoreEntry> history;

    struct Watcher {
        std::string prefix;
        std::shared_ptr<VirtualProcess> process;
        std::shared_ptr<Link> link;
        std::function<void(const StoreChange&)> onChange;
        std::shared_ptr<VirtualReply<bool>> ended;
    };
    std::map<std::uint64_t, Watcher> watchers;
    std::uint64_t lastWatcher = 0;

    [[nodiscard]] std::optional<StoreEntry> find(const std::string& key) const;
    [[nodiscard]] SwapOutcome swap(const SwapOptions& options);
    /// Ends every watch, as an outage does.
    void breakWatches();

private:
    [[nodiscard]] SwapConflict conflictOn(const std::string& key) const;
    void record(const std::string& key, const std::string& value);
};

/// The store as one process reaches it.
class VirtualStore final : public Store {
public:
    VirtualStore(VirtualPlatform& platform, std::shared_ptr<VirtualProcess> process,
        std::shared_ptr<VirtualPlatform::Link> link)
        : platform(platform)
        , process(std::move(process))
        , link(std::move(link))
    {
    }

    [[nodiscard]] asio::awaitable<std::optional<StoreEntry>> get(std::string key) override;
    [[nodiscard]] asio::awaitable<std::vector<StoreEntry>> list(std::string prefix) override;
    [[nodiscard]] asio::awaitable<SwapOutcome> compareAndSwap(SwapOptions options) override;
    [[nodiscard]] asio::awaitable<LeaseId> grantLease(Duration timeToLive) override;
    [[nodiscard]] asio::awaitable<void> keepAlive(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> revokeLease(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> watch(std::string prefix, std::uint64_t fromRevision,
        std::function<void(const StoreChange&)> onChange) override;

private:
    template <class Result> [[nodiscard]] asio::awaitable<Result> perform(std::function<Result()> effect);

    VirtualPlatform& platform;
    std::shared_ptr<VirtualProcess> process;
    std::shared_ptr<VirtualPlatform::Link> link;
};

/// The platform's list as one process fetches it.
class VirtualVmList final : public VmList {
public:
    VirtualVmList(VirtualPlatform& platform, std::shared_ptr<VirtualProcess> process,
        std::shared_ptr<VirtualPlatform::Link> link)
        : platform(platform)
        , process(std::move(process))
        , link(std::move(link))
    {
    }

    [[nodiscard]] asio::awaitable<std::vector<VmEntry>> fetch() override;

private:
    VirtualPlatform& platform;
    std::shared_ptr<VirtualProcess> process;
    std::shared_ptr<VirtualPlatform::Link> link;
};

} // namespace cyclamendrift::standins
