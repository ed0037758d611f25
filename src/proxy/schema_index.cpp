#include <cyclamendrift/proxy/schema_index.h>

#include <cyclamendrift/core/request_error.h>

namespace cyclamendrift {

SchemaIndex::SchemaIndex(const ConfigurationSnapshot& snapshot)
    : madeFrom(snapshot.revision)
{
    for (const auto& team : snapshot.schema.teams()) {
        for (const auto& service : team.services())
            this->permissions.emplace(TeamName { team.name() }, ServiceName { service });
    }
    for (const auto& service : snapshot.schema.services()) {
        for (const auto& database : service.databases())
            this->databases.insert({ ServiceName { service.name() }, database.name() });
    }
}

void SchemaIndex::checkAccess(const TeamName& team, const DatabaseName& database) const
{
    // The permission comes first, so that a team can't learn which databases other services have.
    if (!this->permissions.contains({ team, database.service }))
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::NotPermitted,
            .message = "team " + team.string() + " may not use service " + database.service.string() } };
    if (!this->databases.contains(database))
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::UnknownDatabase,
            .message = "there is no database " + database.path() } };
}

std::shared_ptr<const SchemaIndex> SchemaIndexCache::indexOf(const ConfigurationSnapshot& snapshot)
{
    const std::scoped_lock lock { this->mutex };
    if (!this->latest || this->latest->revision() != snapshot.revision)
        this->latest = std::make_shared<const SchemaIndex>(snapshot);
    return this->latest;
}

} // namespace cyclamendrift
