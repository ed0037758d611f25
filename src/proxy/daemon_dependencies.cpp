#include <cyclamendrift/proxy/proxy_dependencies.h>

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/schema/schema_file.h>

#include <fstream>
#include <sstream>
#include <utility>

namespace cyclamendrift {

namespace {

[[noreturn]] void failWithoutStore()
{
    throw StoreError(StoreError::Kind::Unreachable, "this proxy runs without a store");
}

/// Stands where the platform's store will be; a proxy then lives on a schema file.
class NoStore final : public Store {
public:
    asio::awaitable<std::optional<StoreEntry>> get(std::string /*key*/) override
    {
        failWithoutStore();
        co_return std::nullopt;
    }
    asio::awaitable<std::vector<StoreEntry>> list(std::string /*prefix*/) override
    {
        failWithoutStore();
        co_return std::vector<StoreEntry> {};
    }
    asio::awaitable<SwapOutcome> compareAndSwap(SwapOptions /*options*/) override
    {
        failWithoutStore();
        co_return SwapConflict {};
    }
    asio::awaitable<LeaseId> grantLease(Duration /*timeToLive*/) override
    {
        failWithoutStore();
        co_return LeaseId::None;
    }
    asio::awaitable<void> keepAlive(LeaseId /*lease*/) override
    {
        failWithoutStore();
        co_return;
    }
    asio::awaitable<void> revokeLease(LeaseId /*lease*/) override
    {
        failWithoutStore();
        co_return;
    }
    asio::awaitable<void> watch(std::string /*prefix*/, std::uint64_t /*fromRevision*/,
        std::function<void(const StoreChange&)> /*onChange*/) override
    {
        failWithoutStore();
        co_return;
    }
};

class NoVmList final : public VmList {
public:
    asio::awaitable<std::vector<VmEntry>> fetch() override { co_return std::vector<VmEntry> {}; }
};

/// First step: the first slot is primary for good. The driver of the group takes over this task.
std::shared_ptr<DatabaseHome> makeHomeWithFixedPrimary(DatabaseHomeOptions options)
{
    GroupView view { .phase = GroupView::Phase::Serving, .term = Term { 1 } };
    for (const auto& slot : options.description.slots())
        view.slots.emplace_back(slot.name());
    view.primary = view.slots.front();
    view.inSync = view.slots;
    auto home = makeDatabaseHome(std::move(options));
    home->setView(std::make_shared<const GroupView>(std::move(view)));
    return home;
}

constexpr std::string_view fileScheme = "file://";

api::Schema readSchema(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    std::ostringstream text;
    text << file.rdbuf();
    auto read = parseSchemaFile(text.str());
    if (!file || !read.problems.empty())
        throw SettingsError({ { .file = path, .message = joinProblems(read.problems) } });
    return std::move(read.schema);
}

} // namespace

// First step: the platform's adapters follow; until then store_url names a schema file.
ProxyDependencies daemonDependencies(const Settings& settings)
{
    ProxyDependencies dependencies;
    dependencies.makeStore = [](const auto&) { return std::make_shared<NoStore>(); };
    dependencies.makeVmList = [](const auto&) { return std::make_shared<NoVmList>(); };
    dependencies.connector = &Connection::open;
    dependencies.makeHome = &makeHomeWithFixedPrimary;
    const auto& url = settings.platform.storeUrl;
    if (url.starts_with(fileScheme)) {
        dependencies.makeFleet = [schema = readSchema(url.substr(fileScheme.size()))](FleetOptions options) {
            options.initialSchema = schema;
            return makeFleet(std::move(options));
        };
    }
    return dependencies;
}

} // namespace cyclamendrift
