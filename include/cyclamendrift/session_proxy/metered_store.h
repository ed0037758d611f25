#pragma once

#include <cyclamendrift/platform/store.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamendrift {

/// Forwards calls to another store and counts them, failed ones included, by operation and purpose.
class MeteredStore final : public Store {
public:
    struct Options {
        Store& store;
        /// Returns the purpose of a key or prefix; used as a label.
        std::function<std::string_view(std::string_view key)> purposeOf;
        /// Called after each successful listing; may be empty.
        std::function<void()> onListing {};
    };
    /// Operation and purpose of a call.
    using Kind = std::pair<std::string_view, std::string_view>;
    using Counts = std::map<Kind, std::uint64_t>;

    explicit MeteredStore(Options options);

    [[nodiscard]] asio::awaitable<std::optional<StoreEntry>> get(std::string key) override;
    [[nodiscard]] asio::awaitable<std::vector<StoreEntry>> list(std::string prefix) override;
    [[nodiscard]] asio::awaitable<StoreListing> listing(std::string prefix, ReadFreshness freshness) override;
    [[nodiscard]] asio::awaitable<SwapOutcome> compareAndSwap(SwapOptions options) override;
    [[nodiscard]] asio::awaitable<LeaseId> grantLease(Duration timeToLive) override;
    [[nodiscard]] asio::awaitable<void> keepAlive(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> revokeLease(LeaseId lease) override;
    [[nodiscard]] asio::awaitable<void> watch(std::string prefix, std::uint64_t fromRevision,
        std::function<void(const StoreChange&)> onChange) override;

    [[nodiscard]] const Counts& counts() const noexcept { return this->calls; }

private:
    void count(std::string_view call, std::string_view purpose, std::uint64_t times = 1);

    Options options;
    Counts calls;
};

} // namespace cyclamendrift
