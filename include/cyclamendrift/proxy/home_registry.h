#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/proxy/database_home.h>
#include <cyclamendrift/proxy/fleet.h>

#include <cyclamendrift.pb.h>

#include <asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cyclamendrift {

/// How one database fares at this VM.
struct RegisteredHomeStatus {
    DatabaseName database;
    HomeStatus status;
};

/// The databases that this VM is home of. A home is started when this VM becomes one of a database's homes or
/// when the first request for it comes in, and replaced when the configuration of its slots changes; what an
/// older home still has open ends there. Safe to call from any thread.
class HomeRegistry {
public:
    /// Makes the home of a database as the configuration describes it.
    using Factory
        = std::function<std::shared_ptr<DatabaseHome>(const DatabaseName&, const api::Database& description)>;

    struct Options {
        VmName self;
        std::shared_ptr<Fleet> fleet;
        Factory makeHome;
        /// Drains a home in the background and holds it until that is done.
        std::function<void(std::shared_ptr<DatabaseHome>)> drainHome;
    };

    explicit HomeRegistry(Options options);

    /// Runs a statement at the home of its database; the call and those below throw RequestError.
    [[nodiscard]] asio::awaitable<HomeAnswer> execute(HomeRequest request);

    /// Opens a transaction at the home of its database.
    [[nodiscard]] asio::awaitable<TransactionId> begin(BeginHomeRequest request);

    /// Ends a transaction.
    [[nodiscard]] asio::awaitable<Progress> end(DatabaseName database, EndHomeRequest request);

    /// Starts the homes that this VM should have and retires those it should not. Looks at a bounded number
    /// of databases in one call and goes on with the next ones in the call after.
    void refresh();

    /// Rolls back what a withdrawn key has open.
    void withdrawKey(const KeyId& key);

    /// Takes nothing new; returns when all homes have answered what they accepted.
    [[nodiscard]] asio::awaitable<void> drain();

    /// How one database fares, empty when this VM is not home of it.
    [[nodiscard]] std::optional<HomeStatus> statusOf(const DatabaseName& database) const;

    /// How the databases fare whose home this VM is.
    [[nodiscard]] std::vector<RegisteredHomeStatus> status() const;

private:
    struct Entry {
        std::shared_ptr<DatabaseHome> current;
        /// The description that `current` was made from, serialized for comparison.
        std::string description;
        /// Older homes that may still have transactions open.
        std::vector<std::shared_ptr<DatabaseHome>> retired;
    };

    [[nodiscard]] std::shared_ptr<DatabaseHome> homeFor(const DatabaseName& database);
    [[nodiscard]] std::vector<std::shared_ptr<DatabaseHome>> allOf(const DatabaseName& database);
    [[nodiscard]] std::vector<std::shared_ptr<DatabaseHome>> all() const;
    void refresh(const DatabaseName& database, const api::Database& description);
    void retire(Entry& entry);
    void forgetRemoved(const ConfigurationSnapshot& snapshot);

    Options options;
    mutable std::mutex mutex;
    std::map<DatabaseName, Entry> entries;
    std::size_t nextToRefresh = 0;
    std::uint64_t refreshedRevision = 0;
};

} // namespace cyclamendrift
