#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <algorithm>
#include <utility>

// How the holder of a group's duty chooses and promotes a replica, and learns who leads. Two promotions at
// once would make two primaries, so one is sent only for the replica that the record names.
namespace cyclamendrift {

bool LeaderCoordinator::allPaused() const
{
    return std::all_of(this->members.begin(), this->members.end(), [this](const Member& member) {
        return this->isPrimary(member.entry.name) || this->replacement->paused.contains(member.entry.name);
    });
}

std::optional<LeaderCoordinator::Leader> LeaderCoordinator::newestLeader(Term least) const
{
    std::optional<Leader> newest;
    for (const auto& member : this->members) {
        if (!member.status || !member.status->isPrimary || member.status->term < least)
            continue;
        if (!newest || member.status->term > newest->term)
            newest = Leader {
                .name = member.entry.name, .term = member.status->term, .since = member.leadsSince
            };
    }
    return newest;
}

std::vector<LeaderCoordinator::Candidate> LeaderCoordinator::candidates(Instant now)
{
    const auto& refused = this->replacement->refused;
    const auto& paused = this->replacement->paused;
    // One that is known to have been paused all along suffices to end every view; which one is promoted does
    // not matter for that.
    const bool viewsEnded = std::any_of(
        paused.begin(), paused.end(), [this](const auto& item) { return this->outlastedViews(item.second); });
    std::vector<Candidate> found;
    if (!viewsEnded && now >= this->viewsEndAt(now))
        return found;
    for (const auto& [name, pause] : paused) {
        const auto* member = this->find(name);
        const bool wasRefused = std::find(refused.begin(), refused.end(), name) != refused.end();
        if (member == nullptr || wasRefused || member->entry.draining)
            continue;
        found.push_back({ .name = name, .received = pause.received });
    }
    return found;
}

std::optional<LeaderCoordinator::Candidate> LeaderCoordinator::pick(Instant now)
{
    auto found = this->candidates(now);
    // When every one was refused, they may be running again by now.
    if (found.empty() && now >= this->viewsEndAt(now))
        this->replacement->refused.clear();
    std::erase_if(found,
        [this, now](const Candidate& candidate) { return this->promotions.anyBut(candidate.name, now); });
    const auto best = std::max_element(found.begin(), found.end(),
        [](const Candidate& left, const Candidate& right) { return left.received < right.received; });
    return best == found.end() ? std::nullopt : std::optional { *best };
}

void LeaderCoordinator::choose(Instant now)
{
    auto& replacement = *this->replacement;
    // Replicas receive nothing while they are paused, so the choice can be written while views end.
    if (!this->allPaused() && now < replacement.claimedAt + this->options.settings.viewLifetime)
        return;
    const auto best = this->pick(now);
    if (!best)
        return;
    const auto& record = this->record();
    if (record.chosen != best->name || !this->knowsRecord()) {
        this->write({ .term = record.term,
                        .primary = record.primary,
                        .claimedTerm = record.claimedTerm,
                        .chosen = best->name },
            now);
        return;
    }
    if (now < this->viewsEndAt(now))
        return;
    replacement.promoted = best->name;
    replacement.promotedSince = now;
    this->note(
        "primary_chosen", { { "upstream", best->name.string() }, { "received", textOf(best->received) } });
    this->promote(now);
}

void LeaderCoordinator::promote(Instant now)
{
    const auto& settings = this->options.settings;
    auto& replacement = *this->replacement;
    const auto* promoted = this->find(replacement.promoted);
    if (promoted == nullptr || now >= replacement.promotedSince + settings.promoteTimeout) {
        this->giveUpPromotion();
        return;
    }
    // One that has fallen silent would only be waited for longer.
    const bool answers = promoted->lastAnswer >= replacement.lastPromote;
    if (answers && now >= replacement.lastPromote + settings.promoteInterval) {
        replacement.lastPromote = now;
        this->promotions.noteSent(replacement.promoted, now);
        this->actions.emplace_back(
            PromoteUpstream { .upstream = replacement.promoted, .token = this->duty().token });
    }
    this->askAll(now);
}

void LeaderCoordinator::askAll(Instant now)
{
    for (auto& member : this->members)
        this->ask(member, now);
}

void LeaderCoordinator::giveUpPromotion()
{
    this->replacement->refused.push_back(std::exchange(this->replacement->promoted, UpstreamName {}));
}

void LeaderCoordinator::finish(const Leader& leader, Instant now)
{
    if (this->promotions.anyBut(leader.name, now) || now < this->viewsEndBefore(leader)) {
        this->askAll(now);
        return;
    }
    this->promotions.noteOutcome(leader.name);
    if (std::exchange(this->replacement->settledOn, leader.name) != leader.name)
        this->note(
            "primary_replaced", { { "primary", leader.name.string() }, { "term", textOf(leader.term) } });
    this->writeLeader(leader.name, leader.term, now);
}

bool LeaderCoordinator::adoptLeader(Instant now)
{
    const auto& record = this->record();
    const auto leader = this->newestLeader(record.term);
    if (!leader || leader->term == record.term) {
        const bool heardOf = this->trafficContradicts
            || std::any_of(this->members.begin(), this->members.end(), [&record](const Member& member) {
                   return member.status && member.status->term > record.term;
               });
        if (heardOf)
            this->askAll(now);
        return false;
    }
    // Whoever reads the claim gives up its view of the old primary.
    if (leader->name == record.primary)
        this->writeLeader(leader->name, leader->term, now);
    else
        this->claim(false, "another upstream leads", now);
    return true;
}

Instant LeaderCoordinator::viewsEndBefore(const Leader& leader) const
{
    const auto& settings = this->options.settings;
    const auto& replacement = *this->replacement;
    // A holder waits before it promotes what it has chosen.
    const bool waited = replacement.lastPromote != Instant::min() || leader.name == replacement.inherited;
    if (waited || this->isPrimary(leader.name))
        return Instant::min();
    // One replica's word prolongs a view for a moment after the store was read, that of all of them until one
    // has become the leader.
    const auto claimed = this->claimStandsSince.value_or(replacement.claimedAt);
    return std::max(claimed + settings.loneReplicaTime, leader.since) + settings.viewLifetime
        + settings.viewMargin;
}

void LeaderCoordinator::noteStanding(const std::optional<LeadershipRecord>& next, Instant now)
{
    if (!next || next->isSettled()) {
        this->claimStandsSince.reset();
        return;
    }
    // A change of this VM followed what it knew; before one of another VM the claim may have been withdrawn.
    const auto& previous = this->known.record;
    const bool unbroken = this->claimStandsSince && previous
        && (next->changeId == previous->changeId || next->changeId == this->lastChange);
    if (!unbroken)
        this->claimStandsSince = now;
}

} // namespace cyclamendrift
