#pragma once

#include <cyclamendrift/platform/store.h>

#include <asio/any_io_executor.hpp>

#include <chrono>
#include <memory>
#include <string>

namespace cyclamendrift {

/// The platform's store over etcd v3's HTTP/JSON gateway. A compare-and-swap is sent once and never again by
/// itself. Leases are granted in whole seconds, rounded up.
///
///     EtcdStore store { executor, { .url = "http://10.0.0.5:2379" } };
class EtcdStore final : public Store {
public:
    struct Options {
        /// Address of the gateway, as in "http://10.0.0.5:2379".
        std::string url;
        Duration connectTimeout = std::chrono::seconds { 1 };
        /// Longest time for a call other than a watch.
        Duration callTimeout = std::chrono::seconds { 2 };
        /// A watch ends with NoAnswer after this time, to be begun anew: one that has gone silent for good
        /// would otherwise look like one without changes for ever.
        Duration watchTimeout = std::chrono::minutes { 1 };
    };

    EtcdStore(const asio::any_io_executor& executor, Options options);
    ~EtcdStore() override;

    [[nodiscard]] asio::awaitable<std::optional<StoreEntry>> get(std::string key) override;
    [[nodiscard]] asio::awaitable<std::vector<StoreEntry>> list(std::string prefix) override;
    [[nodiscard]] asio::awaitable<SwapOutcome> compareAndSwap(SwapOptions options) override;
    [[nodiscard]] asio::awaitable<LeaseId> grantLease(Duration timeToLive) override;
    [[nodiscard]] asio::awaitable<void> keepAlive(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> revokeLease(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> watch(std::string prefix, std::uint64_t fromRevision,
        std::function<void(const StoreChange&)> onChange) override;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift
