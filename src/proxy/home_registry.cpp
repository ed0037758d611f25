#include <cyclamendrift/proxy/home_registry.h>

#include <cyclamendrift/core/request_error.h>

#include <cyclamendrift/schema/schema_lookup.h>

#include <asio/co_spawn.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/this_coro.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <utility>

namespace cyclamendrift {

namespace {

/// Choosing homes costs time in proportion to the number of VMs; a bound on the databases of one call keeps
/// the control thread free for leases and heartbeats.
constexpr std::size_t databasesPerRefresh = 256;
constexpr auto comeBackForConfiguration = std::chrono::milliseconds { 500 };

struct NamedDatabase {
    DatabaseName name;
    const api::Database* description = nullptr;
};

std::vector<NamedDatabase> databasesOf(const api::Schema& schema)
{
    std::vector<NamedDatabase> databases;
    for (const auto& service : schema.services()) {
        for (const auto& database : service.databases())
            databases.push_back({ { ServiceName { service.name() }, database.name() }, &database });
    }
    return databases;
}

RequestError unknownDatabase(const DatabaseName& name)
{
    return RequestError { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::UnknownDatabase,
        .message = "there is no database " + name.path() } };
}

/// An answer of one of several homes, or the refusal to go on with.
template <class Answer> struct Attempt {
    std::optional<Answer> answer;
    std::optional<RequestError> refusal;
};

/// Asks the homes of a transaction one after the other until one knows it.
template <class Answer, class Ask>
asio::awaitable<Answer> askEach(std::vector<std::shared_ptr<DatabaseHome>> homes, Ask ask)
{
    Attempt<Answer> attempt;
    for (const auto& home : homes) {
        try {
            attempt.answer = co_await ask(*home);
            break;
        } catch (const RequestError& error) {
            if (error.reason() != RefusalReason::UnknownTransaction)
                throw;
            attempt.refusal = error;
        }
    }
    if (attempt.answer)
        co_return std::move(*attempt.answer);
    if (attempt.refusal)
        throw RequestError { *attempt.refusal };
    throw RequestError { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::UnknownTransaction,
        .message = "no such transaction is open" } };
}

} // namespace

HomeRegistry::HomeRegistry(Options options)
    : options(std::move(options))
{
}

asio::awaitable<HomeAnswer> HomeRegistry::execute(HomeRequest request)
{
    if (!request.transaction) {
        const auto home = this->homeFor(request.database);
        co_return co_await home->execute(std::move(request));
    }
    co_return co_await askEach<HomeAnswer>(
        this->allOf(request.database), [&request](DatabaseHome& home) { return home.execute(request); });
}

asio::awaitable<TransactionId> HomeRegistry::begin(BeginHomeRequest request)
{
    const auto home = this->homeFor(request.database);
    co_return co_await home->begin(std::move(request));
}

asio::awaitable<Progress> HomeRegistry::end(DatabaseName database, EndHomeRequest request)
{
    co_return co_await askEach<Progress>(
        this->allOf(database), [&request](DatabaseHome& home) { return home.end(request); });
}

void HomeRegistry::refresh()
{
    const auto snapshot = this->options.fleet->configuration();
    if (!snapshot)
        return;
    const auto databases = databasesOf(snapshot->schema);
    if (snapshot->revision != this->refreshedRevision)
        this->forgetRemoved(*snapshot);
    this->refreshedRevision = snapshot->revision;
    const auto count = std::min(databases.size(), databasesPerRefresh);
    for (std::size_t step = 0; step < count; ++step) {
        const auto& database = databases[(this->nextToRefresh + step) % databases.size()];
        this->refresh(database.name, *database.description);
    }
    if (!databases.empty())
        this->nextToRefresh = (this->nextToRefresh + count) % databases.size();
}

void HomeRegistry::refresh(const DatabaseName& database, const api::Database& description)
{
    const auto homes = this->options.fleet->homesOf(database);
    const bool isHome = std::any_of(homes.begin(), homes.end(),
        [this](const SiblingAddress& home) { return home.vm == this->options.self; });
    const auto text = description.SerializeAsString();
    const std::scoped_lock lock { this->mutex };
    auto& entry = this->entries[database];
    // Only the registry holds a retired home that has ended all it had open.
    std::erase_if(entry.retired, [](const auto& home) { return home.use_count() == 1; });
    if (entry.current && (!isHome || entry.description != text))
        this->retire(entry);
    if (isHome && !entry.current) {
        entry.current = this->options.makeHome(database, description);
        entry.description = text;
    }
}

void HomeRegistry::withdrawKey(const KeyId& key)
{
    for (const auto& home : this->all())
        home->withdrawKey(key);
}

asio::awaitable<void> HomeRegistry::drain()
{
    const auto homes = this->all();
    const auto executor = co_await asio::this_coro::executor;
    const auto left = std::make_shared<std::size_t>(homes.size());
    const auto done = std::make_shared<asio::steady_timer>(executor, asio::steady_timer::time_point::max());
    for (const auto& home : homes) {
        asio::co_spawn(executor, home->drain(), [home, left, done](const std::exception_ptr&) {
            if (--*left == 0)
                done->cancel();
        });
    }
    asio::error_code cancelled;
    if (*left > 0)
        co_await done->async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
}

std::optional<HomeStatus> HomeRegistry::statusOf(const DatabaseName& database) const
{
    const std::scoped_lock lock { this->mutex };
    const auto entry = this->entries.find(database);
    if (entry == this->entries.end() || !entry->second.current)
        return std::nullopt;
    return entry->second.current->status();
}

std::vector<RegisteredHomeStatus> HomeRegistry::status() const
{
    std::vector<RegisteredHomeStatus> result;
    const std::scoped_lock lock { this->mutex };
    for (const auto& [name, entry] : this->entries) {
        if (entry.current)
            result.push_back({ name, entry.current->status() });
    }
    return result;
}

std::shared_ptr<DatabaseHome> HomeRegistry::homeFor(const DatabaseName& database)
{
    {
        const std::scoped_lock lock { this->mutex };
        const auto entry = this->entries.find(database);
        if (entry != this->entries.end() && entry->second.current)
            return entry->second.current;
    }
    const auto snapshot = this->options.fleet->configuration();
    if (!snapshot)
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::StoreUnavailable,
            .message = "this proxy has no configuration yet",
            .retryAfter = comeBackForConfiguration } };
    const auto* description = findDatabase(snapshot->schema, database);
    if (description == nullptr)
        throw unknownDatabase(database);
    const std::scoped_lock lock { this->mutex };
    auto& entry = this->entries[database];
    if (!entry.current) {
        entry.current = this->options.makeHome(database, *description);
        entry.description = description->SerializeAsString();
    }
    return entry.current;
}

std::vector<std::shared_ptr<DatabaseHome>> HomeRegistry::allOf(const DatabaseName& database)
{
    const std::scoped_lock lock { this->mutex };
    const auto entry = this->entries.find(database);
    if (entry == this->entries.end())
        return {};
    auto homes = entry->second.retired;
    if (entry->second.current)
        homes.insert(homes.begin(), entry->second.current);
    return homes;
}

std::vector<std::shared_ptr<DatabaseHome>> HomeRegistry::all() const
{
    std::vector<std::shared_ptr<DatabaseHome>> homes;
    const std::scoped_lock lock { this->mutex };
    for (const auto& [name, entry] : this->entries) {
        if (entry.current)
            homes.push_back(entry.current);
        homes.insert(homes.end(), entry.retired.begin(), entry.retired.end());
    }
    return homes;
}

void HomeRegistry::retire(Entry& entry)
{
    entry.retired.push_back(entry.current);
    this->options.drainHome(std::exchange(entry.current, nullptr));
}

void HomeRegistry::forgetRemoved(const ConfigurationSnapshot& snapshot)
{
    const std::scoped_lock lock { this->mutex };
    for (auto& [name, entry] : this->entries) {
        if (entry.current && findDatabase(snapshot.schema, name) == nullptr)
            this->retire(entry);
    }
}

} // namespace cyclamendrift
