// How shards of limits get owners: for new teams, from owners that are gone, and on leaving.

#include "fleet_limits.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// How long an owner has to be gone before its shards move, and how much longer each further mover waits.
constexpr Duration moveAfter = std::chrono::milliseconds { 500 };
constexpr Duration moverStep = std::chrono::seconds { 3 };
constexpr std::size_t moverCount = 3;

} // namespace

bool FleetLimits::isGone(const wire::LimitShard& shard) const
{
    const auto owner = this->membership.view().find(VmName { shard.vm() });
    if (!owner)
        return true;
    // A process that was never heard has no number yet; that alone is no reason to take its shards.
    const bool replaced = owner->process != 0 && owner->process != shard.process();
    return replaced || owner->state >= MemberState::Leaving;
}

std::optional<MemberRecord> FleetLimits::chooseOwner(
    const std::string& team, std::uint32_t index, const std::vector<std::string>& taken) const
{
    const auto candidates = this->membership.view().candidates();
    const auto subject = "limit/" + team + '/' + std::to_string(index);
    std::optional<MemberRecord> fallback;
    for (const auto& candidate : selectOwners(candidates, subject, candidates.size())) {
        auto member = this->membership.view().find(candidate.vm);
        if (!member || member->process == 0)
            continue;
        if (std::find(taken.begin(), taken.end(), candidate.vm.string()) == taken.end())
            return member;
        if (!fallback)
            fallback = std::move(member);
    }
    return fallback;
}

void FleetLimits::assignNewTeams(wire::ConfigurationDocument& document)
{
    for (const auto& team : document.schema().teams()) {
        const auto& shards = document.limit_shards();
        const auto belongs = [&team](const wire::LimitShard& shard) { return shard.team() == team.name(); };
        if (std::any_of(shards.begin(), shards.end(), belongs))
            continue;
        const auto count = shardCountFor(team.burst());
        std::vector<std::string> taken;
        for (std::uint32_t index = 0; index < count; ++index) {
            const auto owner = this->chooseOwner(team.name(), index, taken);
            auto& shard = *document.add_limit_shards();
            shard.set_team(team.name());
            shard.set_index(index);
            shard.set_vm(owner ? owner->vm.string() : std::string {});
            shard.set_process(owner ? owner->process : 0);
            shard.set_epoch(document.sequence());
            shard.set_released(true);
            shard.set_released_level(shardOf(ruleFrom(team), index, count).burst.millionths);
            taken.push_back(shard.vm());
        }
    }
}

void FleetLimits::reassign(Instant now)
{
    const auto& document = this->configuration.document();
    if (!document || this->moving || this->leaving || !this->configuration.isStoreReachable())
        return;
    std::vector<wire::LimitShard> moves;
    std::map<std::string, std::vector<std::string>> taken;
    for (const auto& shard : document->limit_shards()) {
        if (!this->isGone(shard))
            taken[shard.team()].push_back(shard.vm());
    }
    for (const auto& shard : document->limit_shards()) {
        if (!this->isGone(shard))
            continue;
        const auto owner = this->chooseOwner(shard.team(), shard.index(), taken[shard.team()]);
        if (!owner)
            continue;
        auto move = shard;
        move.set_vm(owner->vm.string());
        move.set_process(owner->process);
        move.set_released(false);
        taken[shard.team()].push_back(move.vm());
        moves.push_back(std::move(move));
    }
    if (moves.empty()) {
        this->goneSince = Instant::max();
        return;
    }
    this->goneSince = std::min(this->goneSince, now);
    // One mover after another, so that they do not all write at once; the first is enough unless it is gone.
    const auto movers = selectOwners(this->membership.view().candidates(), "limits", moverCount);
    for (std::size_t rank = 0; rank < movers.size(); ++rank) {
        const auto due = this->goneSince + moveAfter + moverStep * static_cast<int>(rank);
        if (movers[rank].vm == this->context->options.self.vm && now >= due) {
            this->moving = true;
            this->context->spawn(moveShards(this->context->hold(this), std::move(moves)));
            return;
        }
    }
}

asio::awaitable<void> FleetLimits::moveShards(
    std::shared_ptr<FleetLimits> self, std::vector<wire::LimitShard> shards)
{
    try {
        ConfigurationEdit edit = MoveShards { .shards = std::move(shards) };
        const auto response = co_await self->configuration.change(std::string {}, std::move(edit));
        static_cast<void>(response);
    } catch (const std::exception&) {
        // The next tick looks again at what is still to be moved.
    }
    self->moving = false;
}

asio::awaitable<void> FleetLimits::leave()
{
    this->leaving = true;
    const auto now = this->context->now();
    const auto document = this->configuration.document();
    std::vector<wire::LimitShard> moves;
    if (document) {
        for (const auto& shard : document->limit_shards()) {
            const auto match = this->owned.find({ shard.team(), shard.index() });
            if (match == this->owned.end() || match->second.epoch != shard.epoch() || !match->second.bucket)
                continue;
            const auto owner = this->chooseOwner(shard.team(), shard.index(), { shard.vm() });
            if (!owner || owner->vm == this->context->options.self.vm)
                continue;
            // Nothing is granted after this, so what is written down is all that the next owner has to count.
            const auto left = match->second.bucket->release(now);
            auto move = shard;
            move.set_vm(owner->vm.string());
            move.set_process(owner->process);
            move.set_released(true);
            move.set_released_level(left.level.millionths);
            move.set_released_outstanding(left.outstanding.millionths);
            moves.push_back(std::move(move));
        }
    }
    std::vector<GatePointer> all;
    {
        const std::scoped_lock lock { this->gatesMutex };
        for (const auto& [team, gate] : this->gates)
            all.push_back(gate);
    }
    for (const auto& gate : all) {
        std::vector<ShardRequest> messages;
        {
            const std::scoped_lock lock { gate->mutex };
            messages = gate->client.returnAllGrants(now);
        }
        this->sendAsks(gate, std::move(messages));
    }
    if (!moves.empty())
        co_await moveShards(this->context->hold(this), std::move(moves));
}

} // namespace cyclamendrift
