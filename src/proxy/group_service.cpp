#include "group_service.h"

#include <cyclamendrift/core/error.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/proxy/sibling_choice.h>
#include <cyclamendrift/schema/schema_lookup.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <group.pb.h>

#include <asio/co_spawn.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace cyclamendrift {

namespace {

/// More opinions cost time and messages and change few decisions.
constexpr std::size_t maxSiblingsAsked = 3;
/// Enough to find that many among the homes of other databases, several of which are on the same VMs.
constexpr std::size_t homesLookedAt = 16;

/// A home with the driver that keeps its primary alive.
class DrivenHome final : public DatabaseHome {
public:
    DrivenHome(std::shared_ptr<DatabaseHome> home, std::shared_ptr<GroupDriver> driver,
        asio::any_io_executor control)
        : home(std::move(home))
        , driver(std::move(driver))
        , control(std::move(control))
    {
        asio::post(this->control, [driver = this->driver] { driver->start(); });
    }
    DrivenHome(const DrivenHome&) = delete;
    DrivenHome& operator=(const DrivenHome&) = delete;
    ~DrivenHome() override
    {
        asio::post(this->control, [driver = std::move(this->driver)] { driver->stop(); });
    }

    asio::awaitable<HomeAnswer> execute(HomeRequest request) override
    {
        return this->home->execute(std::move(request));
    }
    asio::awaitable<TransactionId> begin(BeginHomeRequest request) override
    {
        return this->home->begin(std::move(request));
    }
    asio::awaitable<Progress> end(EndHomeRequest request) override
    {
        return this->home->end(std::move(request));
    }
    void withdrawKey(const KeyId& key) override { this->home->withdrawKey(key); }
    asio::awaitable<void> drain() override { return this->home->drain(); }
    HomeStatus status() const override { return this->home->status(); }
    void setView(const std::shared_ptr<const GroupView>& view) override { this->home->setView(view); }
    void observe(const StatusSample& sample) override { this->home->observe(sample); }

private:
    std::shared_ptr<DatabaseHome> home;
    std::shared_ptr<GroupDriver> driver;
    asio::any_io_executor control;
};

/// Opinions as they come in; `done` ends the wait when all have answered.
struct OpinionRound {
    OpinionRound(const asio::any_io_executor& executor, Instant deadline)
        : done(executor, deadline)
    {
    }

    SiblingOpinions result;
    std::size_t left = 0;
    asio::steady_timer done;
};

/// Holds the options for as long as the probe takes.
asio::awaitable<SlotOpinion> probe(GroupDriver::Options options, SlotName slot)
{
    co_return co_await probeSlot(options, std::move(slot));
}

} // namespace

GroupService::GroupService(Options options)
    : options(std::move(options))
{
}

std::shared_ptr<DatabaseHome> GroupService::drive(
    std::shared_ptr<DatabaseHome> home, const DatabaseName& name, const api::Database& description)
{
    auto driverOptions = this->driverOptions(name, description);
    const std::weak_ptr<DatabaseHome> weakHome = home;
    driverOptions.onView = [weakHome](const std::shared_ptr<const GroupView>& view) {
        if (const auto target = weakHome.lock())
            target->setView(view);
    };
    driverOptions.onSample = [weakHome](const StatusSample& sample) {
        if (const auto target = weakHome.lock())
            target->observe(sample);
    };
    driverOptions.onEvent = [path = name.path()](const std::string& text) {
        logEvent(LogLevel::Info, "group_changed", { { "database", path }, { "change", text } });
    };
    driverOptions.askSiblings = [weak = this->weak_from_this(), name](
                                    SlotName slot, Instant deadline) -> asio::awaitable<SiblingOpinions> {
        const auto self = weak.lock();
        if (!self)
            co_return SiblingOpinions {};
        co_return co_await self->askSiblings(name, std::move(slot), deadline);
    };
    auto driver = makeGroupDriver(std::move(driverOptions));
    {
        const std::scoped_lock lock { this->mutex };
        this->drivers[name] = driver;
    }
    return std::make_shared<DrivenHome>(std::move(home), std::move(driver), this->options.control);
}

asio::awaitable<std::string> GroupService::opinionFor(IncomingSiblingCall call)
{
    wire::SlotOpinionRequest request;
    const auto snapshot = this->options.fleet->configuration();
    const bool valid = request.ParseFromString(call.body);
    const DatabaseName name { ServiceName { request.service() }, request.database() };
    const auto* description = snapshot ? findDatabase(snapshot->schema, name) : nullptr;
    if (!valid || description == nullptr)
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::UnknownDatabase,
            .message = "there is no database " + name.path() } };
    const SlotName slot { request.slot() };
    const auto driver = this->driverOf(name);
    auto asked = driver ? driver->opinionOf(slot) : probe(this->driverOptions(name, *description), slot);
    co_return encodeOpinion(
        co_await asio::co_spawn(this->options.control, std::move(asked), asio::use_awaitable));
}

GroupDriver::Options GroupService::driverOptions(
    const DatabaseName& name, const api::Database& description) const
{
    return { .executor = this->options.control,
        .vm = this->options.self,
        .name = name,
        .description = description,
        .credentials = this->options.credentials,
        .connector = this->options.connector,
        .store = this->options.store,
        .isLeaving = [fleet = this->options.fleet](std::string_view address,
                         std::uint16_t port) { return fleet->isLeaving(address, port); },
        .rank = this->rankIn(name),
        .settings = this->options.failover,
        .seed = std::random_device {}() };
}

std::size_t GroupService::rankIn(const DatabaseName& name) const
{
    const auto homes = this->options.fleet->homesOf(name);
    const auto self = std::find_if(homes.begin(), homes.end(),
        [this](const SiblingAddress& home) { return home.vm == this->options.self; });
    return static_cast<std::size_t>(self - homes.begin());
}

/// The other home of the database comes first: it is in another availability zone where there is one. Homes
/// of other databases follow.
std::vector<SiblingAddress> GroupService::siblingsFor(const DatabaseName& name) const
{
    std::vector<SiblingAddress> reachable;
    const auto addHomes = [&](const DatabaseName& database) {
        for (auto& home : this->options.fleet->homesOf(database))
            reachable.push_back(std::move(home));
    };
    addHomes(name);
    const auto snapshot = this->options.fleet->configuration();
    if (snapshot) {
        for (const auto& service : snapshot->schema.services()) {
            for (const auto& database : service.databases()) {
                if (reachable.size() < homesLookedAt)
                    addHomes({ ServiceName { service.name() }, database.name() });
            }
        }
    }
    const auto listed = this->options.fleet->listedSiblings();
    return chooseSiblings({ .self = this->options.self,
        .zone = this->options.zone,
        .reachable = reachable,
        .listed = listed,
        .most = maxSiblingsAsked });
}

asio::awaitable<SiblingOpinions> GroupService::askSiblings(
    DatabaseName name, SlotName slot, Instant deadline) const
{
    wire::SlotOpinionRequest request;
    request.set_service(name.service.string());
    request.set_database(name.name);
    request.set_slot(slot.string());
    const auto siblings = this->siblingsFor(name);
    const auto round = std::make_shared<OpinionRound>(this->options.control, deadline);
    // Before the list was read nobody knows who could be asked, and nobody's silence is no agreement.
    const bool mayBeAlone = !this->options.fleet->listedSiblings().empty();
    round->result.asked = mayBeAlone ? siblings.size() : std::max<std::size_t>(1, siblings.size());
    round->left = siblings.size();
    for (const auto& sibling : siblings) {
        SiblingCall call {
            .method = slotOpinionMethod, .body = request.SerializeAsString(), .deadline = deadline
        };
        asio::co_spawn(this->options.control, this->options.callSibling(sibling, std::move(call)),
            [round](const std::exception_ptr& failure, const std::string& body) {
                try {
                    if (!failure)
                        round->result.opinions.push_back(decodeOpinion(body));
                } catch (const Error&) {
                    // An opinion that can't be read counts like one that was not given.
                    static_cast<void>(body);
                }
                if (--round->left == 0)
                    round->done.cancel();
            });
    }
    asio::error_code ignored;
    if (round->left > 0)
        co_await round->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return round->result;
}

std::shared_ptr<GroupDriver> GroupService::driverOf(const DatabaseName& name)
{
    const std::scoped_lock lock { this->mutex };
    const auto driver = this->drivers.find(name);
    return driver == this->drivers.end() ? nullptr : driver->second.lock();
}

} // namespace cyclamendrift
