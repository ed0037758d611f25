#pragma once

#include <cyclamendrift/core/instant.h>

#include <asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The platform's key-value service.
namespace cyclamendrift {

/// A lease of the store; keys written under it vanish when it lapses.
enum class LeaseId : std::uint64_t { None = 0 };

/// A key with its value and the revision of the store at which it was last changed.
struct StoreEntry {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    /// The lease that it was written under, from stores that tell it.
    LeaseId lease = LeaseId::None;
};

/// One change to the store; `value` is empty when the key was deleted. An empty key tells that nothing under
/// the prefix has changed up to `revision`; not every store tells so.
struct StoreChange {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t revision = 0;
};

/// All entries under a prefix, with the revision of the store as of which they stand.
struct StoreListing {
    std::vector<StoreEntry> entries;
    std::uint64_t revision = 0;
    /// Calls that it took.
    std::uint64_t pages = 1;
};

/// How fresh a listing must be.
enum class ReadFreshness : std::uint8_t {
    /// It holds everything that was acknowledged before the call.
    Linearizable,
    /// It may be seconds old, and costs less.
    MayLag,
};

/// A further key that must stand at a revision for a compare-and-swap to take place; 0 when it must not
/// exist.
struct KeyGuard {
    std::string key;
    std::uint64_t revision = 0;
};

/// What a compare-and-swap is to do.
struct SwapOptions {
    std::string key;
    /// The revision at which the key must stand; 0 when it must not exist.
    std::uint64_t expectedRevision = 0;
    /// Empty to delete the key.
    std::optional<std::string> value;
    LeaseId lease = LeaseId::None;
    /// Empty for none. When one of them does not hold, the outcome is a conflict.
    std::vector<KeyGuard> guards;
};

/// The swap took place, at this revision.
struct Swapped {
    std::uint64_t revision = 0;
};
/// The key stood at another revision; `current` is empty when it does not exist.
struct SwapConflict {
    std::optional<StoreEntry> current;
};
/// Outcome of a compare-and-swap that was answered.
using SwapOutcome = std::variant<Swapped, SwapConflict>;

/// The platform's key-value service. Each call costs one call of its budget, a waiting watch included. Every
/// failure is a StoreError. Called on the control thread.
class Store {
public:
    virtual ~Store() = default;

    /// The entry under a key, if there is one; linearizable.
    [[nodiscard]] virtual asio::awaitable<std::optional<StoreEntry>> get(std::string key) = 0;

    /// All entries whose keys begin with a prefix.
    [[nodiscard]] virtual asio::awaitable<std::vector<StoreEntry>> list(std::string prefix) = 0;

    /// All entries under a prefix as of one revision of the store. A store that knows neither takes list().
    [[nodiscard]] virtual asio::awaitable<StoreListing> listing(std::string prefix, ReadFreshness freshness);

    /// Changes a key if it stands at the expected revision. After StoreError with NoAnswer read the key to
    /// learn whether the change took effect: the value must therefore name its author and change.
    [[nodiscard]] virtual asio::awaitable<SwapOutcome> compareAndSwap(SwapOptions options) = 0;

    /// Makes a lease that lapses `timeToLive` after its last renewal.
    [[nodiscard]] virtual asio::awaitable<LeaseId> grantLease(Duration timeToLive) = 0;

    /// Renews a lease; throws LeaseGone when it has lapsed.
    [[nodiscard]] virtual asio::awaitable<void> keepAlive(LeaseId lease) = 0;

    /// Ends a lease and deletes its keys.
    [[nodiscard]] virtual asio::awaitable<void> revokeLease(LeaseId lease) = 0;

    /// Hands over every change under a prefix from a revision on, until the watch breaks (StoreError) or the
    /// coroutine is cancelled.
    [[nodiscard]] virtual asio::awaitable<void> watch(
        std::string prefix, std::uint64_t fromRevision, std::function<void(const StoreChange&)> onChange)
        = 0;
};

} // namespace cyclamendrift
