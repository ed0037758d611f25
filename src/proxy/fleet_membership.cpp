#include "fleet_membership.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t helpersPerProbe = 3;
constexpr std::size_t announceFanout = 3;
/// The list is fetched this often by each, and by all together a few times per second at most.
constexpr Duration fetchInterval = std::chrono::seconds { 2 };
constexpr std::size_t fetchesPerSecond = 20;

MembershipView::Options viewOptions(FleetContext& context)
{
    const auto& options = context.options;
    // Later processes of a VM must have a higher incarnation than earlier ones, and nothing is kept between
    // them. The wall clock only orders them; should it run backwards, refuting raises the incarnation anyway.
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return { .self = { .vm = options.self.vm,
                 .zone = options.zone,
                 .host = options.self.host,
                 .port = options.self.port,
                 .process = context.process,
                 .incarnation = options.incarnation.value_or(static_cast<std::uint64_t>(incarnation)) },
        .randomSeed = context.random() };
}

std::string endpoint(std::string_view address, std::uint16_t port)
{
    return std::string { address }.append(":").append(std::to_string(port));
}

std::vector<MemberRecord> recordsFrom(const google::protobuf::RepeatedPtrField<wire::Member>& rumours)
{
    std::vector<MemberRecord> records;
    for (const auto& rumour : rumours)
        records.push_back(fromWire(rumour));
    return records;
}

} // namespace

/// One attempt of several helpers to reach a VM.
struct FleetMembership::ProbeRound {
    MemberRecord target;
    std::size_t pending = 0;
    bool reached = false;
};

FleetMembership::FleetMembership(std::shared_ptr<FleetContext> given, Callbacks callbacks)
    : context(std::move(given))
    , callbacks(std::move(callbacks))
    , members(viewOptions(*this->context))
{
    this->publish();
}

void FleetMembership::tick(Instant now)
{
    this->members.tick(now);
    for (auto& target : this->members.selectProbeTargets())
        this->context->spawn(probe(this->context->hold(this), std::move(target)));
    if (!this->fetching && now >= this->nextFetch) {
        this->fetching = true;
        this->context->spawn(fetchList(this->context->hold(this)));
    }
    this->publish();
}

void FleetMembership::announce()
{
    for (auto& target : this->members.selectIndirectProbers(VmName {}, announceFanout))
        this->context->spawn(probe(this->context->hold(this), std::move(target)));
}

void FleetMembership::leave()
{
    this->members.leave();
    this->publish();
    this->announce();
}

void FleetMembership::publish()
{
    if (this->publishedVersion == this->members.version())
        return;
    this->publishedVersion = this->members.version();
    this->owners.setCandidates(this->members.candidates());
    const std::scoped_lock lock { this->mutex };
    this->addresses.clear();
    for (const auto& member : this->members.members())
        this->addresses[member.vm] = { addressOf(member), this->members.linkBroken(member.vm) };
}

wire::Heartbeat FleetMembership::makeHeartbeat(const VmName& to)
{
    wire::Heartbeat message;
    *message.mutable_sender() = toWire(this->members.self());
    message.set_sequence(this->callbacks.sequence());
    for (const auto& rumour : this->members.nextGossipUpdates(to))
        *message.add_rumours() = toWire(rumour);
    return message;
}

asio::awaitable<bool> FleetMembership::heartbeat(MemberRecord target)
{
    const auto asked = this->context->now();
    const auto message = this->makeHeartbeat(target.vm);
    bool reached = false;
    try {
        const auto answer = co_await this->context->call<wire::HeartbeatAnswer>(
            addressOf(target), fleet_method::heartbeat, message);
        const auto sender = fromWire(answer.sender());
        this->members.onContact(sender, recordsFrom(answer.rumours()), this->context->now());
        this->callbacks.onAnswer(addressOf(sender), answer, asked);
        reached = true;
    } catch (const std::exception&) {
        // The caller decides what it means that the VM was not reached.
        reached = false;
    }
    co_return reached;
}

asio::awaitable<void> FleetMembership::probe(std::shared_ptr<FleetMembership> self, MemberRecord target)
{
    const bool reached = co_await self->heartbeat(target);
    if (!reached) {
        self->members.setLinkWorking(target.vm, false);
        if (target.state == MemberState::Live)
            self->tryHelpers(target);
    }
}

void FleetMembership::tryHelpers(const MemberRecord& target)
{
    const auto helpers = this->members.selectIndirectProbers(target.vm, helpersPerProbe);
    auto round = std::make_shared<ProbeRound>(ProbeRound { .target = target, .pending = helpers.size() });
    if (helpers.empty())
        this->finishRound(*round);
    for (const auto& helper : helpers)
        this->context->spawn(askHelper(this->context->hold(this), helper, round));
}

asio::awaitable<void> FleetMembership::askHelper(
    std::shared_ptr<FleetMembership> self, MemberRecord helper, std::shared_ptr<ProbeRound> round)
{
    try {
        wire::ProbeRequest request;
        *request.mutable_target() = toWire(round->target);
        const auto answer = co_await self->context->call<wire::ProbeAnswer>(
            addressOf(helper), fleet_method::probe, request);
        round->reached = round->reached || answer.reached();
    } catch (const std::exception&) {
        // A helper that cannot be asked says nothing about the target.
    }
    --round->pending;
    self->finishRound(*round);
}

void FleetMembership::finishRound(const ProbeRound& round)
{
    if (round.pending == 0 && !round.reached)
        this->members.onUnreachable(round.target.vm, this->context->now());
}

wire::HeartbeatAnswer FleetMembership::handleHeartbeat(const wire::Heartbeat& request)
{
    const auto sender = fromWire(request.sender());
    this->members.onContact(sender, recordsFrom(request.rumours()), this->context->now());
    this->callbacks.onHeartbeat(addressOf(sender), request.sequence());
    wire::HeartbeatAnswer answer;
    *answer.mutable_sender() = toWire(this->members.self());
    answer.set_sequence(this->callbacks.sequence());
    for (const auto& rumour : this->members.nextGossipUpdates(sender.vm))
        *answer.add_rumours() = toWire(rumour);
    this->callbacks.writeStatements(answer);
    return answer;
}

asio::awaitable<wire::ProbeAnswer> FleetMembership::handleProbe(wire::ProbeRequest request)
{
    wire::ProbeAnswer answer;
    const auto target = fromWire(request.target());
    const bool reached = co_await this->heartbeat(target);
    answer.set_reached(reached);
    co_return answer;
}

asio::awaitable<void> FleetMembership::fetchList(std::shared_ptr<FleetMembership> self)
{
    auto pause = fetchInterval;
    try {
        const auto entries = co_await self->context->options.vmList.fetch();
        self->takeList(entries);
        self->listReadable = true;
        const Duration crowd = std::chrono::seconds { entries.size() / fetchesPerSecond };
        pause = std::max(pause, crowd);
    } catch (const std::exception&) {
        // The last list stays in use: an outage of the platform is no death of any VM.
        self->listReadable = false;
        pause = 2 * fetchInterval;
    }
    self->nextFetch = self->context->now() + self->context->jittered(pause);
    self->fetching = false;
}

void FleetMembership::takeList(const std::vector<VmEntry>& entries)
{
    std::vector<ListedVm> listed;
    std::vector<VmName> staying;
    std::set<std::string> leaving;
    std::vector<ListedSibling> siblings;
    for (const auto& entry : entries) {
        if (entry.upstream) {
            if (entry.leaving)
                leaving.insert(endpoint(entry.address, entry.port));
            continue;
        }
        listed.push_back({ entry.name, entry.zone, entry.address, entry.port, entry.leaving });
        siblings.push_back({ .address = { .vm = entry.name, .host = entry.address, .port = entry.port },
            .zone = entry.zone });
        if (!entry.leaving)
            staying.push_back(entry.name);
    }
    this->members.onList(listed);
    // An empty list is a fault of the platform, not a fleet without VMs. Without witnesses every change would
    // count as accepted by all.
    if (!staying.empty())
        this->callbacks.onListed(staying);
    {
        const std::scoped_lock lock { this->mutex };
        this->leavingUpstreams = std::move(leaving);
        if (!siblings.empty())
            this->siblingsOnList = std::move(siblings);
    }
    this->publish();
}

std::vector<SiblingAddress> FleetMembership::homesOf(const std::string& subject, std::size_t count) const
{
    const auto chosen = this->owners.owners(subject, count);
    const std::scoped_lock lock { this->mutex };
    std::vector<SiblingAddress> reachable;
    std::vector<SiblingAddress> others;
    for (const auto& home : chosen) {
        const auto match = this->addresses.find(home.vm);
        if (match != this->addresses.end())
            (match->second.linkBroken ? others : reachable).push_back(match->second.address);
    }
    reachable.insert(reachable.end(), others.begin(), others.end());
    return reachable;
}

std::vector<ListedSibling> FleetMembership::listedSiblings() const
{
    const std::scoped_lock lock { this->mutex };
    return this->siblingsOnList;
}

bool FleetMembership::isLeavingUpstream(std::string_view address, std::uint16_t port) const
{
    const std::scoped_lock lock { this->mutex };
    return this->leavingUpstreams.contains(endpoint(address, port));
}

} // namespace cyclamendrift
