#include "fleet_limits.h"

#include <cyclamendrift/core/clock_drift.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/schema/duration_codec.h>

#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamendrift {

namespace {

[[noreturn]] void refuse(const TeamName& team, const AdmissionResult& verdict)
{
    if (verdict.noOwner) {
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::Overloaded,
            .message = "no VM that counts the limit of team " + team.string() + " can be reached",
            .retryAfter = verdict.retryAfter } };
    }
    throw RequestError { { .outcome = Outcome::NotRun,
        .reason = RefusalReason::OverLimit,
        .message = "team " + team.string() + " is over its rate",
        .retryAfter = verdict.retryAfter } };
}

} // namespace

LimitRule FleetLimits::ruleFrom(const api::Team& team)
{
    const auto rate = std::llround(team.rate_per_second() * static_cast<double>(oneRequest.millionths));
    return { .ratePerSecond = Tokens { rate },
        .burst = Tokens { static_cast<std::int64_t>(team.burst()) * oneRequest.millionths } };
}

FleetLimits::FleetLimits(
    std::shared_ptr<FleetContext> context, FleetConfiguration& configuration, FleetMembership& membership)
    : context(std::move(context))
    , configuration(configuration)
    , membership(membership)
{
}

void FleetLimits::onDocument(const wire::ConfigurationDocument& document)
{
    this->rules.clear();
    for (const auto& team : document.schema().teams())
        this->rules[team.name()] = ruleFrom(team);
    this->shardCounts.clear();
    for (const auto& shard : document.limit_shards())
        ++this->shardCounts[shard.team()];
    this->updateOwned(document);
    this->updateGates(document);
}

LimitRule FleetLimits::ruleOf(const std::string& team) const
{
    const auto match = this->rules.find(team);
    return match == this->rules.end() ? LimitRule {} : match->second;
}

void FleetLimits::updateGates(const wire::ConfigurationDocument& document)
{
    std::unordered_map<TeamName, GatePointer> next;
    for (const auto& team : document.schema().teams()) {
        const TeamName name { team.name() };
        auto gate = this->findGate(name);
        if (!gate)
            gate = std::make_shared<TeamGate>(LimitClient::Options {});
        gate->team = name;
        gate->shards.clear();
        next.emplace(name, std::move(gate));
    }
    for (const auto& shard : document.limit_shards()) {
        const auto match = next.find(TeamName { shard.team() });
        if (match != next.end())
            match->second->shards[shard.index()] = shard;
    }
    for (const auto& [name, gate] : next) {
        std::vector<ShardRef> places;
        for (const auto& [index, shard] : gate->shards)
            places.push_back({ .index = index, .epoch = shard.epoch() });
        const std::scoped_lock lock { gate->mutex };
        gate->client.setShards(this->ruleOf(name.string()), places);
    }
    const std::scoped_lock lock { this->gatesMutex };
    this->gates = std::move(next);
}

void FleetLimits::updateOwned(const wire::ConfigurationDocument& document)
{
    const auto now = this->context->now();
    std::map<ShardId, OwnedShard> next;
    for (const auto& shard : document.limit_shards()) {
        if (shard.vm() != this->context->options.self.vm.string()
            || shard.process() != this->context->process)
            continue;
        const ShardId id { shard.team(), shard.index() };
        const auto rule = shardOf(this->ruleOf(shard.team()), shard.index(), this->shardCounts[shard.team()]);
        const auto known = this->owned.find(id);
        if (known != this->owned.end() && known->second.epoch == shard.epoch()) {
            auto& kept = next.emplace(id, std::move(known->second)).first->second;
            if (kept.bucket)
                kept.bucket->setRule(rule, now);
            continue;
        }
        auto& fresh = next[id];
        fresh.epoch = shard.epoch();
        if (shard.released()) {
            const LimitShardHome::Options handedOver { .rule = rule,
                .level = Tokens { shard.released_level() },
                .outstanding = Tokens { shard.released_outstanding() },
                .now = now };
            fresh.bucket = std::make_unique<LimitShardHome>(handedOver);
        }
    }
    this->owned = std::move(next);
}

void FleetLimits::startOwned(Instant now)
{
    for (auto& [id, shard] : this->owned) {
        if (shard.bucket)
            continue;
        // The owner before may be paused or cut off and still believe in its document. Once a quorum holds
        // the new one it loses trust within the window, and its last grants lapse after that. Starting
        // sooner, two owners would hand out of one bucket and the team would get more than its rate and
        // burst.
        const bool isScheduled = shard.startAt != Instant::max();
        if (!isScheduled && this->configuration.isAccepted(shard.epoch))
            shard.startAt = now + coveringDrift(ConfigurationTrust::Options {}.window + grantLifetime);
        if (now < shard.startAt)
            continue;
        const auto rule = shardOf(this->ruleOf(id.team), id.index, this->shardCounts[id.team]);
        const LimitShardHome::Options empty { .rule = rule, .now = now };
        shard.bucket = std::make_unique<LimitShardHome>(empty);
    }
}

void FleetLimits::tick(Instant now)
{
    this->startOwned(now);
    this->reassign(now);
}

void FleetLimits::pumpAll()
{
    std::vector<GatePointer> all;
    {
        const std::scoped_lock lock { this->gatesMutex };
        for (const auto& [team, gate] : this->gates)
            all.push_back(gate);
    }
    for (const auto& gate : all)
        this->pump(gate);
}

FleetLimits::GatePointer FleetLimits::findGate(const TeamName& team) const
{
    const std::scoped_lock lock { this->gatesMutex };
    const auto match = this->gates.find(team);
    return match == this->gates.end() ? nullptr : match->second;
}

asio::awaitable<void> FleetLimits::admit(TeamName team, Instant deadline)
{
    const auto gate = this->findGate(team);
    if (!gate) {
        throw RequestError { { .outcome = Outcome::NotRun,
            .reason = RefusalReason::NotPermitted,
            .message = "there is no team " + team.string() } };
    }
    bool admitted = false;
    bool mustPump = false;
    {
        const auto now = this->context->now();
        const std::scoped_lock lock { gate->mutex };
        admitted = gate->client.tryAcquire(now);
        mustPump = admitted && !gate->pumpPosted && gate->client.hasRequests(now);
        gate->pumpPosted = gate->pumpPosted || mustPump;
    }
    if (mustPump)
        asio::post(
            this->context->options.executor, [self = this->context->hold(this), gate] { self->pump(gate); });
    if (admitted)
        co_return;
    co_await asio::co_spawn(this->context->options.executor,
        waitForGrant(this->context->hold(this), gate, deadline), asio::use_awaitable);
}

asio::awaitable<void> FleetLimits::waitForGrant(
    std::shared_ptr<FleetLimits> self, GatePointer gate, Instant deadline)
{
    asio::steady_timer wake { self->context->options.executor, asio::steady_timer::time_point::max() };
    PendingAdmission admission { .wake = &wake };
    std::uint64_t ticket = 0;
    {
        const std::scoped_lock lock { gate->mutex };
        ticket = static_cast<std::uint64_t>(gate->client.wait(self->context->now(), deadline));
    }
    gate->pending[ticket] = &admission;
    self->pump(gate);
    while (!admission.verdict) {
        std::error_code woken;
        co_await wake.async_wait(asio::redirect_error(asio::use_awaitable, woken));
    }
    if (!admission.verdict->admitted)
        refuse(gate->team, *admission.verdict);
}

void FleetLimits::pump(const GatePointer& gate)
{
    const auto now = this->context->now();
    std::vector<ShardRequest> messages;
    std::vector<AdmissionResult> results;
    {
        const std::scoped_lock lock { gate->mutex };
        gate->pumpPosted = false;
        messages = gate->client.createRequests(now);
        results = gate->client.results(now);
    }
    this->resume(*gate, results);
    this->sendAsks(gate, std::move(messages));
}

void FleetLimits::sendAsks(const GatePointer& gate, std::vector<ShardRequest> messages)
{
    for (auto& message : messages)
        this->context->spawn(sendAsk(this->context->hold(this), gate, std::move(message)));
}

void FleetLimits::resume(TeamGate& gate, const std::vector<AdmissionResult>& results)
{
    for (const auto& verdict : results) {
        const auto match = gate.pending.find(static_cast<std::uint64_t>(verdict.ticket));
        if (match == gate.pending.end())
            continue;
        match->second->verdict = verdict;
        match->second->wake->cancel();
        gate.pending.erase(match);
    }
}

wire::LimitGrantRequest FleetLimits::toRequest(const TeamGate& gate, const ShardRequest& message) const
{
    wire::LimitGrantRequest request;
    request.set_team(gate.team.string());
    request.set_index(message.shard.index);
    request.set_epoch(message.shard.epoch);
    request.set_want(message.want.millionths);
    for (const auto& settlement : message.settlements) {
        auto& entry = *request.add_settlements();
        entry.set_grant(settlement.grant);
        entry.set_unspent(settlement.unspent.millionths);
    }
    return request;
}

asio::awaitable<void> FleetLimits::sendAsk(
    std::shared_ptr<FleetLimits> self, GatePointer gate, ShardRequest message)
{
    const auto askedAt = self->context->now();
    wire::LimitGrantAnswer answer;
    try {
        const auto request = self->toRequest(*gate, message);
        const auto place = gate->shards.find(message.shard.index);
        const bool known = place != gate->shards.end() && place->second.epoch() == message.shard.epoch;
        const auto owner = known ? self->membership.view().find(VmName { place->second.vm() }) : std::nullopt;
        if (owner && owner->vm == self->context->options.self.vm)
            answer = self->handleGrant(request);
        else if (owner)
            answer = co_await self->context->call<wire::LimitGrantAnswer>(
                addressOf(*owner), fleet_method::grant, request);
        else
            answer.set_result(wire::LimitGrantAnswer::RESULT_NOT_OWNER);
    } catch (const std::exception&) {
        answer.set_result(wire::LimitGrantAnswer::RESULT_NOT_OWNER);
    }
    {
        const auto now = self->context->now();
        const std::scoped_lock lock { gate->mutex };
        if (answer.result() == wire::LimitGrantAnswer::RESULT_NOT_OWNER) {
            gate->client.onFailure(message.shard, now);
        } else {
            const LimitGrant grant { .id = answer.grant(),
                .amount = Tokens { answer.amount() },
                .retryAfter = durationFrom(answer.retry_after_us()) };
            gate->client.onAnswer({ .shard = message.shard, .grant = grant, .askedAt = askedAt }, now);
        }
    }
    self->pump(gate);
}

wire::LimitGrantAnswer FleetLimits::handleGrant(const wire::LimitGrantRequest& request)
{
    const auto now = this->context->now();
    wire::LimitGrantAnswer answer;
    const auto match = this->owned.find({ request.team(), request.index() });
    const bool isOwner = match != this->owned.end() && match->second.epoch == request.epoch()
        && match->second.bucket && this->configuration.isTrusted(now);
    if (!isOwner) {
        answer.set_result(wire::LimitGrantAnswer::RESULT_NOT_OWNER);
        return answer;
    }
    auto& bucket = *match->second.bucket;
    for (const auto& settlement : request.settlements())
        bucket.settle(settlement.grant(), Tokens { settlement.unspent() }, now);
    const auto grant = bucket.grant(Tokens { request.want() }, now);
    answer.set_result(
        grant.id != 0 ? wire::LimitGrantAnswer::RESULT_GRANTED : wire::LimitGrantAnswer::RESULT_DENIED);
    answer.set_grant(grant.id);
    answer.set_amount(grant.amount.millionths);
    answer.set_retry_after_us(wireMicroseconds(grant.retryAfter));
    return answer;
}

} // namespace cyclamendrift
