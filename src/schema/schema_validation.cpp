#include <cyclamendrift/schema/schema_validation.h>

#include <cyclamendrift/schema/key_hash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <string_view>

namespace cyclamendrift {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr int maxSlots = 3;
constexpr std::uint32_t maxConnectionCap = 10000;
constexpr std::uint32_t maxWeight = 1000;
constexpr std::uint32_t maxPort = 65535;
constexpr double maxRate = 1e6;

/// Names go into store keys, metrics and headers; a slash or blank there would make one name read as another.
bool isName(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
            || c == '_' || c == '.';
    };
    return !name.empty() && name.size() <= maxNameLength && std::all_of(name.begin(), name.end(), allowed);
}

std::string item(std::string_view list, int index)
{
    return std::string { list } + '[' + std::to_string(index) + ']';
}

class Validator {
public:
    explicit Validator(const api::Schema& schema)
        : schema(schema)
    {
    }

    std::vector<SchemaProblem> run()
    {
        for (int i = 0; i < this->schema.services_size(); ++i)
            this->checkService(this->schema.services(i), item("services", i));
        for (int i = 0; i < this->schema.teams_size(); ++i)
            this->checkTeam(this->schema.teams(i), item("teams", i));
        for (int i = 0; i < this->schema.keys_size(); ++i)
            this->checkKey(this->schema.keys(i), item("keys", i));
        return std::move(this->problems);
    }

private:
    void report(const std::string& path, std::string message)
    {
        this->problems.push_back({ .path = path, .message = std::move(message) });
    }

    void checkName(const std::string& path, const std::string& name, std::set<std::string>& known)
    {
        if (!isName(name))
            this->report(path, "must be 1 to 64 letters, digits, '-', '_' or '.'");
        else if (!known.insert(name).second)
            this->report(path, "\"" + name + "\" is already in use");
    }

    void checkService(const api::Service& service, const std::string& path)
    {
        this->checkName(path + ".name", service.name(), this->serviceNames);
        if (service.databases().empty())
            this->report(path + ".databases", "a service needs a database");
        std::set<std::string> names;
        for (int i = 0; i < service.databases_size(); ++i)
            this->checkDatabase(service.databases(i), path + '.' + item("databases", i), names);
    }

    void checkDatabase(const api::Database& database, const std::string& path, std::set<std::string>& names)
    {
        this->checkName(path + ".name", database.name(), names);
        const auto cap = database.connection_cap();
        if (cap < minConnectionCap || cap > maxConnectionCap)
            this->report(path + ".connection_cap",
                "must be 4 to 10000: two homes with a traffic and a control connection each");
        if (database.slots_size() < 1 || database.slots_size() > maxSlots)
            this->report(path + ".slots", "a database has 1 to 3 slots");
        std::set<std::string> slots;
        for (int i = 0; i < database.slots_size(); ++i)
            this->checkSlot(database.slots(i), path + '.' + item("slots", i), slots);
    }

    void checkSlot(const api::Slot& slot, const std::string& path, std::set<std::string>& names)
    {
        this->checkName(path + ".name", slot.name(), names);
        if (slot.address().empty())
            this->report(path + ".address", "is missing");
        if (slot.port() == 0 || slot.port() > maxPort)
            this->report(path + ".port", "must be 1 to 65535");
        if (!isName(slot.availability_zone()))
            this->report(path + ".availability_zone", "must be 1 to 64 letters, digits, '-', '_' or '.'");
        const auto endpoint = slot.address() + ':' + std::to_string(slot.port());
        if (!slot.address().empty() && !this->endpoints.insert(endpoint).second)
            this->report(path + ".address", endpoint + " already belongs to another slot");
    }

    void checkTeam(const api::Team& team, const std::string& path)
    {
        this->checkName(path + ".name", team.name(), this->teamNames);
        if (!std::isfinite(team.rate_per_second()) || team.rate_per_second() <= 0
            || team.rate_per_second() > maxRate)
            this->report(path + ".rate_per_second", "must be above 0 and at most 1000000");
        if (team.burst() < 1 || team.burst() > maxRate)
            this->report(path + ".burst", "must be 1 to 1000000");
        if (team.weight() > maxWeight)
            this->report(path + ".weight", "must be at most 1000");
        std::set<std::string> listed;
        for (int i = 0; i < team.services_size(); ++i)
            this->checkReference(team.services(i), path + '.' + item("services", i), listed);
    }

    void checkReference(const std::string& service, const std::string& path, std::set<std::string>& listed)
    {
        if (!this->serviceNames.contains(service))
            this->report(path, "there is no service \"" + service + '"');
        else if (!listed.insert(service).second)
            this->report(path, "\"" + service + "\" is listed twice");
    }

    void checkKey(const api::Key& key, const std::string& path)
    {
        this->checkName(path + ".id", key.id(), this->keyIds);
        if (!this->teamNames.contains(key.team()))
            this->report(path + ".team", "there is no team \"" + key.team() + '"');
        if (!isSecretHash(key.secret_hash()))
            this->report(path + ".secret_hash",
                "must be the BLAKE2b-256 of the secret as 64 hex digits in lower case");
        else if (!this->hashes.insert(key.secret_hash()).second)
            this->report(path + ".secret_hash", "another key has the same secret");
    }

    const api::Schema& schema;
    std::vector<SchemaProblem> problems;
    std::set<std::string> serviceNames;
    std::set<std::string> teamNames;
    std::set<std::string> keyIds;
    std::set<std::string> hashes;
    std::set<std::string> endpoints;
};

} // namespace

std::vector<SchemaProblem> validateSchema(const api::Schema& schema) { return Validator { schema }.run(); }

std::string SchemaProblem::text() const
{
    std::string place;
    if (this->line > 0)
        place = std::to_string(this->line) + ':' + std::to_string(this->column) + ": ";
    if (!this->path.empty())
        place += this->path + ": ";
    return place + this->message;
}

std::string joinProblems(const std::vector<SchemaProblem>& problems)
{
    std::string text;
    for (const auto& problem : problems)
        text += problem.text() + '\n';
    return text;
}

} // namespace cyclamendrift
