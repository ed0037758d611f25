#include "fleet_node.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/schema/key_hash.h>

#include <asio/dispatch.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t homesPerDatabase = 2;
constexpr Duration limitInterval = std::chrono::milliseconds { 50 };
constexpr std::size_t maxChangeIdLength = 64;
constexpr Duration trustRetry = std::chrono::seconds { 2 };

template <class Message> Message parse(const std::string& body)
{
    Message message;
    if (!message.ParseFromString(body))
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::BadRequest,
            .message = "the message of a sibling cannot be parsed" } };
    return message;
}

} // namespace

/// One collection of the status of all members.
struct FleetNode::StatusRound {
    explicit StatusRound(const asio::any_io_executor& executor)
        : done(executor, asio::steady_timer::time_point::max())
    {
    }

    asio::steady_timer done;
    std::size_t pending = 0;
    std::vector<api::VmStatus> answers;
};

FleetNode::FleetNode(FleetOptions options)
    : context(std::make_shared<FleetContext>(std::move(options)))
{
    auto& node = *this;
    this->configurationPart = std::make_unique<FleetConfiguration>(this->context,
        FleetConfiguration::Callbacks {
            .onDocument = [&node](const auto& before, const auto& after) { node.onDocument(before, after); },
            .announce = [&node] { node.membershipPart->announce(); },
            .findAddress = [&node](const VmName& vm) -> std::optional<SiblingAddress> {
                const auto member = node.membershipPart->view().find(vm);
                return member ? std::optional { addressOf(*member) } : std::nullopt;
            },
            .finish = [&node](auto& document) { node.limitsPart->assignNewTeams(document); } });
    auto& configuration = *this->configurationPart;
    this->membershipPart = std::make_unique<FleetMembership>(this->context,
        FleetMembership::Callbacks { .sequence = [&configuration] { return configuration.sequence(); },
            .writeStatements = [&configuration](auto& answer) { configuration.writeStatements(answer); },
            .onAnswer =
                [&configuration](const auto& peer, const auto& answer, Instant askedAt) {
                    configuration.onStatements(answer.statements(), askedAt);
                    configuration.onPeerSequence(peer, answer.sequence());
                },
            .onHeartbeat = [&configuration](const auto& peer,
                               auto sequence) { configuration.onPeerSequence(peer, sequence); },
            .onListed = [&configuration](auto listed) { configuration.setListed(listed); } });
    this->limitsPart = std::make_unique<FleetLimits>(this->context, configuration, *this->membershipPart);
}

void FleetNode::start()
{
    this->context->owner = this->weak_from_this();
    if (const auto& schema = this->context->options.initialSchema) {
        auto document = std::make_shared<wire::ConfigurationDocument>();
        document->set_sequence(1);
        document->set_revision(1);
        *document->mutable_schema() = *schema;
        this->limitsPart->assignNewTeams(*document);
        this->configurationPart->adoptInitial(std::move(document));
    }
    const std::weak_ptr<FleetNode> weak = this->weak_from_this();
    const auto fleetTick = [weak](Instant now) {
        const auto self = weak.lock();
        if (!self)
            return;
        self->membershipPart->tick(now);
        self->configurationPart->tick(now);
        self->limitsPart->tick(now);
        self->reportCondition();
    };
    auto& timers = this->context->options.timers;
    this->fleetTicks = timers.every(fleetInterval, fleetTick);
    this->limitTicks = timers.every(limitInterval, [weak](Instant /*now*/) {
        if (const auto self = weak.lock())
            self->limitsPart->pumpAll();
    });
    asio::dispatch(this->context->options.executor, [weak, fleetTick] {
        if (const auto self = weak.lock())
            fleetTick(self->context->now());
    });
}

void FleetNode::stop()
{
    this->fleetTicks.reset();
    this->limitTicks.reset();
    this->configurationPart->stop();
}

void FleetNode::onDocument(const DocumentPointer& before, const DocumentPointer& after)
{
    this->limitsPart->onDocument(*after);
    if (!before)
        return;
    for (const auto& key : withdrawnKeys(before->schema(), after->schema())) {
        for (const auto& callback : this->keyCallbacks)
            callback(key);
    }
}

std::shared_ptr<const ConfigurationSnapshot> FleetNode::configuration() const
{
    const auto published = this->configurationPart->published();
    return published ? published->snapshot : nullptr;
}

CallerIdentity FleetNode::authenticate(std::string_view secret) const
{
    // A VM that is cut off cannot learn that a key was withdrawn; the key would go on working here for as
    // long as the cut lasts. It rather refuses all, with the time to try elsewhere.
    if (!this->configurationPart->isTrusted(this->context->now())) {
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::BadKey,
            .message = "this VM cannot confirm its keys with the fleet",
            .retryAfter = trustRetry } };
    }
    const auto published = this->configurationPart->published();
    const auto owner = published ? published->keys.find(hashSecret(secret)) : std::nullopt;
    if (!owner) {
        throw RequestError {
            { .outcome = Outcome::NotRun, .reason = RefusalReason::BadKey, .message = "the key is not known" }
        };
    }
    return { .key = owner->key, .team = owner->team };
}

asio::awaitable<void> FleetNode::admit(TeamName team, Instant deadline)
{
    return this->limitsPart->admit(std::move(team), deadline);
}

std::vector<SiblingAddress> FleetNode::homesOf(const DatabaseName& database) const
{
    return this->membershipPart->homesOf("database/" + database.path(), homesPerDatabase);
}

std::vector<ListedSibling> FleetNode::listedSiblings() const
{
    return this->membershipPart->listedSiblings();
}

bool FleetNode::isLeaving(std::string_view address, std::uint16_t port) const
{
    return this->membershipPart->isLeavingUpstream(address, port);
}

void FleetNode::onKeyWithdrawn(std::function<void(const KeyId&)> callback)
{
    asio::dispatch(
        this->context->options.executor, [self = this->shared_from_this(), callback = std::move(callback)] {
            self->keyCallbacks.push_back(callback);
        });
}

asio::awaitable<std::optional<std::string>> FleetNode::handle(
    VmName /*from*/, std::string method, std::string body)
{
    if (!method.starts_with("Fleet"))
        co_return std::nullopt;
    auto work = [](std::shared_ptr<FleetNode> self, std::string name,
                    std::string content) -> asio::awaitable<std::optional<std::string>> {
        co_return co_await self->handleHere(std::move(name), std::move(content));
    };
    auto started = work(this->shared_from_this(), std::move(method), std::move(body));
    co_return co_await asio::co_spawn(
        this->context->options.executor, std::move(started), asio::use_awaitable);
}

asio::awaitable<std::optional<std::string>> FleetNode::handleHere(std::string method, std::string body)
{
    if (method == fleet_method::heartbeat)
        co_return this->membershipPart->handleHeartbeat(parse<wire::Heartbeat>(body)).SerializeAsString();
    if (method == fleet_method::probe) {
        auto request = parse<wire::ProbeRequest>(body);
        const auto answer = co_await this->membershipPart->handleProbe(std::move(request));
        co_return answer.SerializeAsString();
    }
    if (method == fleet_method::pull)
        co_return this->configurationPart->handlePull(parse<wire::ConfigurationPull>(body))
            .SerializeAsString();
    if (method == fleet_method::push)
        co_return this->configurationPart->handlePush(parse<wire::ConfigurationPush>(body))
            .SerializeAsString();
    if (method == fleet_method::grant)
        co_return this->limitsPart->handleGrant(parse<wire::LimitGrantRequest>(body)).SerializeAsString();
    if (method == fleet_method::status)
        co_return this->ownStatus().SerializeAsString();
    co_return std::nullopt;
}

asio::awaitable<api::ApplyResponse> FleetNode::change(std::string changeId, ConfigurationEdit edit)
{
    if (changeId.empty() || changeId.size() > maxChangeIdLength) {
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::BadRequest,
            .message = "change_id must have 1 to 64 characters" } };
    }
    auto work = [](std::shared_ptr<FleetNode> self, std::string id,
                    ConfigurationEdit wanted) -> asio::awaitable<api::ApplyResponse> {
        co_return co_await self->configurationPart->change(std::move(id), std::move(wanted));
    };
    auto started = work(this->shared_from_this(), std::move(changeId), std::move(edit));
    co_return co_await asio::co_spawn(
        this->context->options.executor, std::move(started), asio::use_awaitable);
}

asio::awaitable<api::ApplyResponse> FleetNode::apply(api::ApplyRequest request)
{
    return this->change(request.change_id(),
        ReplaceSchema { .expectedRevision = request.expected_revision(), .schema = request.schema() });
}

asio::awaitable<api::ApplyResponse> FleetNode::grant(api::GrantRequest request)
{
    GrantKey edit;
    edit.key.set_id(request.key_id());
    edit.key.set_team(request.team());
    edit.key.set_secret_hash(request.secret_hash());
    return this->change(request.change_id(), std::move(edit));
}

asio::awaitable<api::ApplyResponse> FleetNode::revoke(api::RevokeRequest request)
{
    return this->change(request.change_id(), RevokeKey { .keyId = request.key_id() });
}

asio::awaitable<api::ApplyResponse> FleetNode::setLimits(api::SetLimitsRequest request)
{
    return this->change(request.change_id(),
        ChangeLimits {
            .team = request.team(), .ratePerSecond = request.rate_per_second(), .burst = request.burst() });
}

void FleetNode::reportCondition()
{
    const auto status = this->ownStatus();
    const FleetCondition now { .revision = status.revision(),
        .keysTrusted = status.keys_trusted(),
        .storeReachable = status.store_reachable(),
        .listReadable = this->membershipPart->isListReadable() };
    if (now == this->condition)
        return;
    const auto before = std::exchange(this->condition, now);
    if (this->context->options.onCondition)
        this->context->options.onCondition(before, now);
}

api::VmStatus FleetNode::ownStatus() const
{
    const auto& self = this->membershipPart->view().self();
    const auto& document = this->configurationPart->document();
    api::VmStatus status;
    status.set_vm(self.vm.string());
    status.set_availability_zone(self.zone.string());
    status.set_state(std::string { nameOf(self.state) });
    status.set_revision(document ? document->revision() : 0);
    status.set_keys_trusted(this->configurationPart->isTrusted(this->context->now()));
    status.set_store_reachable(this->configurationPart->isStoreReachable());
    return status;
}

asio::awaitable<api::StatusResponse> FleetNode::status()
{
    co_return co_await asio::co_spawn(
        this->context->options.executor, collectStatus(this->shared_from_this()), asio::use_awaitable);
}

asio::awaitable<api::StatusResponse> FleetNode::collectStatus(std::shared_ptr<FleetNode> self)
{
    const auto members = self->membershipPart->view().members();
    auto round = std::make_shared<StatusRound>(self->context->options.executor);
    round->pending = members.size() - 1;
    round->answers.push_back(self->ownStatus());
    for (const auto& member : members) {
        if (member.vm != self->context->options.self.vm)
            self->context->spawn(askStatus(self, member, round));
    }
    while (round->pending > 0) {
        std::error_code woken;
        co_await round->done.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
    api::StatusResponse response;
    const auto& document = self->configurationPart->document();
    response.set_revision(document ? document->revision() : 0);
    for (auto& answer : round->answers)
        *response.add_vms() = std::move(answer);
    if (!document)
        co_return response;
    for (const auto& service : document->schema().services()) {
        for (const auto& database : service.databases()) {
            auto& entry = *response.add_databases();
            entry.set_service(service.name());
            entry.set_database(database.name());
            for (const auto& home : self->homesOf({ ServiceName { service.name() }, database.name() }))
                entry.add_homes(home.vm.string());
        }
    }
    co_return response;
}

asio::awaitable<void> FleetNode::askStatus(
    std::shared_ptr<FleetNode> self, MemberRecord member, std::shared_ptr<StatusRound> round)
{
    api::VmStatus status;
    try {
        const wire::StatusQuery query;
        status = co_await self->context->call<api::VmStatus>(addressOf(member), fleet_method::status, query);
        if (member.state != MemberState::Live)
            status.set_state(std::string { nameOf(member.state) });
    } catch (const std::exception&) {
        // Nothing is claimed of a VM that did not answer: revision 0, nothing trusted.
        status.set_vm(member.vm.string());
        status.set_availability_zone(member.zone.string());
        status.set_state(std::string { nameOf(MemberState::Dead) });
    }
    round->answers.push_back(std::move(status));
    if (--round->pending == 0)
        round->done.cancel();
}

asio::awaitable<void> FleetNode::leave()
{
    co_await asio::co_spawn(
        this->context->options.executor, leaveHere(this->shared_from_this()), asio::use_awaitable);
}

asio::awaitable<void> FleetNode::leaveHere(std::shared_ptr<FleetNode> self)
{
    self->membershipPart->leave();
    co_await self->limitsPart->leave();
}

} // namespace cyclamendrift
