#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/proxy/fleet.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <utility>

namespace cyclamendrift {

/// What of a configuration is looked up for each request.
class SchemaIndex {
public:
    explicit SchemaIndex(const ConfigurationSnapshot& snapshot);

    /// Throws RequestError with NotPermitted when the team may not use the service, or UnknownDatabase.
    void checkAccess(const TeamName& team, const DatabaseName& database) const;

    /// The revision that it was made from.
    [[nodiscard]] std::uint64_t revision() const noexcept { return this->madeFrom; }

private:
    std::uint64_t madeFrom;
    std::set<std::pair<TeamName, ServiceName>> permissions;
    std::set<DatabaseName> databases;
};

/// Keeps the index of the configuration in force; safe to call from any thread.
class SchemaIndexCache {
public:
    /// The index of a snapshot, made anew only when its revision is another than the last one's.
    [[nodiscard]] std::shared_ptr<const SchemaIndex> indexOf(const ConfigurationSnapshot& snapshot);

private:
    std::mutex mutex;
    std::shared_ptr<const SchemaIndex> latest;
};

} // namespace cyclamendrift
