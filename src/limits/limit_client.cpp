#include <cyclamendrift/limits/limit_client.h>

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace cyclamendrift {

namespace {

/// Time constant of the decaying mean of the demand.
constexpr double demandAveragingSeconds = 0.5;
/// A proxy requests at most this part of a team's burst ahead of need and leaves the rest to other proxies.
constexpr std::int64_t prefetchBurstDivisor = 16;
/// A grant with less time left than this is returned while no request waits.
constexpr auto minRemainingLifetime = std::chrono::milliseconds { 200 };

double toSeconds(Duration duration) { return std::chrono::duration<double> { duration }.count(); }

} // namespace

void LimitClient::setShards(const LimitRule& wholeRule, std::span<const ShardRef> shardRefs)
{
    this->rule = wholeRule;
    std::vector<Shard> next;
    for (const auto& place : shardRefs) {
        if (auto* known = this->find(place))
            next.push_back(std::move(*known));
        else
            next.push_back({ .place = place });
    }
    this->shards = std::move(next);
}

LimitClient::Shard* LimitClient::find(const ShardRef& place)
{
    for (auto& shard : this->shards) {
        if (shard.place.index == place.index && shard.place.epoch == place.epoch)
            return &shard;
    }
    return nullptr;
}

void LimitClient::recordDemand(Instant now)
{
    const auto elapsed = std::max(toSeconds(now - this->demandAt), 0.0);
    this->demand = this->demand * std::exp(-elapsed / demandAveragingSeconds) + 1 / demandAveragingSeconds;
    this->demandAt = now;
}

bool LimitClient::isIdle(Instant now) const noexcept
{
    return this->waiters.empty() && now - this->demandAt > this->options.idleTimeout;
}

Tokens LimitClient::availableTokens(Instant now) const
{
    Tokens total;
    for (const auto& batch : this->batches) {
        if (now < batch.expiresAt)
            total += batch.remaining;
    }
    return total;
}

bool LimitClient::spendOne(Instant now)
{
    this->removeExpiredBatches(now);
    if (this->availableTokens(now) < oneRequest)
        return false;
    auto needed = oneRequest;
    while (needed.millionths > 0) {
        auto& batch = this->batches.front();
        const auto taken = std::min(needed, batch.remaining);
        batch.remaining -= taken;
        needed -= taken;
        if (batch.remaining.millionths == 0) {
            this->settle(batch);
            this->batches.pop_front();
        }
    }
    return true;
}

void LimitClient::settle(const Batch& batch)
{
    if (auto* shard = this->find(batch.shard))
        shard->settlements.push_back({ .grant = batch.grant, .unspent = batch.remaining });
}

void LimitClient::removeExpiredBatches(Instant now)
{
    // After a pause of the process its grants may have expired. The owner has counted them as spent and may
    // have granted the same tokens again; spending them now would exceed the team's rate and burst.
    std::erase_if(this->batches, [now](const Batch& batch) { return batch.expiresAt <= now; });
}

bool LimitClient::tryAcquire(Instant now)
{
    this->recordDemand(now);
    return this->waiters.empty() && this->spendOne(now);
}

AdmissionTicket LimitClient::wait(Instant now, Instant deadline)
{
    const AdmissionTicket ticket { ++this->lastTicket };
    const auto until = std::min(deadline, now + this->options.maxWait);
    this->waiters.push_back({ .ticket = ticket, .since = now, .until = until });
    return ticket;
}

Tokens LimitClient::targetTokens(Instant now) const
{
    if (this->isIdle(now))
        return {};
    const auto expected = this->demand * toSeconds(this->options.targetBatchTime);
    const Tokens wanted { static_cast<std::int64_t>(expected) * oneRequest.millionths };
    const Tokens maxAhead { this->rule.burst.millionths / prefetchBurstDivisor };
    return std::max(std::min(wanted, maxAhead), oneRequest);
}

Tokens LimitClient::missingTokens(Instant now) const
{
    const auto ahead = this->targetTokens(now);
    auto available = this->availableTokens(now);
    for (const auto& shard : this->shards)
        available += shard.requested.value_or(Tokens {});
    const bool belowHalf = available + available < ahead;
    if (this->waiters.empty() && !belowHalf)
        return {};
    const Tokens waiting { static_cast<std::int64_t>(this->waiters.size()) * oneRequest.millionths };
    return std::max(waiting + ahead - available, Tokens {});
}

bool LimitClient::hasRequests(Instant now) const
{
    const auto canBeAsked
        = [now](const Shard& shard) { return !shard.requested && shard.requestAllowedAt <= now; };
    if (this->missingTokens(now).millionths > 0)
        return std::any_of(this->shards.begin(), this->shards.end(), canBeAsked);
    return this->isIdle(now) && !this->batches.empty();
}

std::vector<ShardRequest> LimitClient::createRequests(Instant now)
{
    this->removeExpiredBatches(now);
    if (this->isIdle(now))
        return this->returnAllGrants(now);
    // A token that is returned in time goes back into the bucket; one that expires is lost to the team.
    for (const auto& batch : this->batches) {
        if (batch.expiresAt - now < minRemainingLifetime && this->waiters.empty())
            this->settle(batch);
    }
    if (this->waiters.empty())
        std::erase_if(this->batches,
            [now](const Batch& batch) { return batch.expiresAt - now < minRemainingLifetime; });

    std::vector<Shard*> askableShards;
    for (std::size_t i = 0; i < this->shards.size(); ++i) {
        auto& shard = this->shards[(this->nextShard + i) % this->shards.size()];
        if (!shard.requested && shard.requestAllowedAt <= now)
            askableShards.push_back(&shard);
    }
    const auto missing = this->missingTokens(now);
    if (askableShards.empty() || missing.millionths <= 0)
        return {};
    // Each shard is asked for at least one whole token, so that one missing token goes to a single shard.
    const auto requests = (missing.millionths + oneRequest.millionths - 1) / oneRequest.millionths;
    const auto count = std::min<std::int64_t>(requests, static_cast<std::int64_t>(askableShards.size()));
    std::vector<ShardRequest> messages;
    for (std::int64_t i = 0; i < count; ++i) {
        auto& shard = *askableShards[static_cast<std::size_t>(i)];
        const Tokens want { (requests / count + (i < requests % count ? 1 : 0)) * oneRequest.millionths };
        shard.requested = want;
        messages.push_back(
            { .shard = shard.place, .want = want, .settlements = std::exchange(shard.settlements, {}) });
    }
    this->nextShard = (this->nextShard + static_cast<std::size_t>(count)) % this->shards.size();
    return messages;
}

void LimitClient::onAnswer(const ShardAnswer& answer, Instant now)
{
    if (answer.grant.amount.millionths > 0) {
        // The lifetime counts from the time of the request. The owner granted later, so this proxy stops
        // spending before the owner lets the grant expire.
        this->batches.push_back({ .shard = answer.shard,
            .grant = answer.grant.id,
            .remaining = answer.grant.amount,
            .expiresAt = answer.askedAt + grantLifetime });
    }
    auto* shard = this->find(answer.shard);
    if (!shard)
        return;
    const auto want = std::exchange(shard->requested, std::nullopt).value_or(Tokens {});
    shard->failed = false;
    if (answer.grant.amount < want)
        shard->requestAllowedAt = now + std::max(answer.grant.retryAfter, this->options.minRetryPause);
}

void LimitClient::onFailure(const ShardRef& place, Instant now)
{
    auto* shard = this->find(place);
    if (!shard)
        return;
    shard->requested.reset();
    shard->failed = true;
    shard->requestAllowedAt = now + this->options.noAnswerPause;
}

Instant LimitClient::earliestRequestTime() const
{
    auto next = Instant::max();
    for (const auto& shard : this->shards)
        next = std::min(next, shard.requestAllowedAt);
    return next;
}

std::vector<AdmissionResult> LimitClient::results(Instant now)
{
    std::vector<AdmissionResult> finished;
    while (!this->waiters.empty() && this->spendOne(now)) {
        finished.push_back({ .ticket = this->waiters.front().ticket, .admitted = true });
        this->waiters.pop_front();
    }
    if (this->waiters.empty())
        return finished;
    const bool isRequestPending = std::any_of(this->shards.begin(), this->shards.end(),
        [](const Shard& shard) { return shard.requested.has_value(); });
    const bool noOwner = std::all_of(
        this->shards.begin(), this->shards.end(), [](const Shard& shard) { return shard.failed; });
    // While a request for tokens is in flight, its answer may still admit the waiting requests. Otherwise a
    // request that cannot be served in time is refused at once. Its retry time is when those before it will
    // have been served.
    const auto earliestGrantAt = isRequestPending ? now : std::max(this->earliestRequestTime(), now);
    std::int64_t place = 0;
    std::deque<Waiter> stillWaiting;
    for (const auto& waiter : this->waiters) {
        const Tokens before { place * oneRequest.millionths };
        const bool shardsKnown = !this->shards.empty();
        const auto servedAt
            = shardsKnown ? earliestGrantAt + timeToAccrue(this->rule.ratePerSecond, before) : Instant::max();
        if (servedAt < waiter.until && now < waiter.until) {
            stillWaiting.push_back(waiter);
            ++place;
            continue;
        }
        const auto wait = shardsKnown ? servedAt - now : Duration { std::chrono::seconds { 1 } };
        finished.push_back({ .ticket = waiter.ticket,
            .retryAfter = std::max<Duration>(wait, this->options.minRetryPause),
            .noOwner = noOwner });
    }
    this->waiters = std::move(stillWaiting);
    return finished;
}

std::vector<ShardRequest> LimitClient::returnAllGrants(Instant now)
{
    this->removeExpiredBatches(now);
    for (const auto& batch : this->batches)
        this->settle(batch);
    this->batches.clear();
    std::vector<ShardRequest> messages;
    for (auto& shard : this->shards) {
        if (!shard.settlements.empty())
            messages.push_back({ .shard = shard.place, .settlements = std::exchange(shard.settlements, {}) });
    }
    return messages;
}

} // namespace cyclamendrift
