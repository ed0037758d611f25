#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <algorithm>
#include <utility>

// Selection and promotion of a replica by the group's coordinator, and detection of the upstream that leads.
// Two promotions at once could result in two primaries, so a promotion is sent only for the replica that the
// record names.
namespace cyclamendrift {

bool LeaderCoordinator::areAllReplicasPaused() const
{
    return std::all_of(this->members.begin(), this->members.end(), [this](const Member& member) {
        return this->isPrimary(member.entry.name) || this->replacement->paused.contains(member.entry.name);
    });
}

std::optional<LeaderCoordinator::Leader> LeaderCoordinator::newestLeader(Term minTerm) const
{
    std::optional<Leader> newest;
    for (const auto& member : this->members) {
        if (!member.status || !member.status->isPrimary || member.status->term < minTerm)
            continue;
        if (!newest || member.status->term > newest->term)
            newest = Leader {
                .name = member.entry.name, .term = member.status->term, .since = member.leadsSince
            };
    }
    return newest;
}

bool LeaderCoordinator::isEligible(const UpstreamName& name)
{
    const auto& refused = this->replacement->refused;
    const auto* member = this->find(name);
    return member != nullptr && this->mayLead(member->entry)
        && std::find(refused.begin(), refused.end(), name) == refused.end();
}

std::vector<LeaderCoordinator::Candidate> LeaderCoordinator::findCandidates(Instant now)
{
    const auto& paused = this->replacement->paused;
    // One replica that is known to have been paused for the whole view lifetime is enough for every view to
    // have expired; it need not be the one that is promoted.
    const bool viewsExpired = std::any_of(paused.begin(), paused.end(),
        [this](const auto& item) { return this->isPausedForViewLifetime(item.second); });
    std::vector<Candidate> found;
    this->addReturnedPrimary(found, now);
    if (!viewsExpired && now >= this->oldViewsExpireAt(now))
        return found;
    for (const auto& [name, pause] : paused) {
        if (this->isEligible(name))
            found.push_back({ .name = name, .received = pause.received });
    }
    return found;
}

std::optional<LeaderCoordinator::Candidate> LeaderCoordinator::selectCandidate(Instant now)
{
    auto found = this->findCandidates(now);
    // When all replicas were refused, they may be running again by now, so all are considered again.
    if (found.empty() && now >= this->oldViewsExpireAt(now))
        this->replacement->refused.clear();
    std::erase_if(found, [this, now](const Candidate& candidate) {
        return this->pendingPromotions.isOtherPending(candidate.name, now);
    });
    const auto best = std::max_element(found.begin(), found.end(),
        [](const Candidate& left, const Candidate& right) { return left.received < right.received; });
    return best == found.end() ? std::nullopt : std::optional { *best };
}

void LeaderCoordinator::startPromotion(Instant now)
{
    auto& replacement = *this->replacement;
    // Paused replicas receive nothing, so the choice can be written while views are still expiring.
    if (!this->areAllReplicasPaused() && now < replacement.claimedAt + this->options.settings.viewLifetime)
        return;
    const auto best = this->selectCandidate(now);
    if (!best)
        return;
    const auto& record = this->record();
    if (record.chosen != best->name || !this->hasNoPendingWrite()) {
        this->writeRecord({ .term = record.term,
                              .primary = record.primary,
                              .claimedTerm = record.claimedTerm,
                              .chosen = best->name },
            now);
        return;
    }
    if (now < this->oldViewsExpireAt(now))
        return;
    replacement.promoted = best->name;
    replacement.promotedSince = now;
    if (replacement.accepted && replacement.accepted->upstream != best->name)
        replacement.accepted.reset();
    this->logEvent(
        "primary_chosen", { { "upstream", best->name.string() }, { "received", textOf(best->received) } });
    this->sendPromotion(now);
}

void LeaderCoordinator::sendPromotion(Instant now)
{
    const auto& settings = this->options.settings;
    auto& replacement = *this->replacement;
    const auto* promoted = this->find(replacement.promoted);
    if (promoted == nullptr || now >= replacement.promotedSince + settings.promotionTimeout) {
        this->abandonPromotion();
        return;
    }
    // A further promotion of a replica that no longer answers would only prolong the wait until it is
    // settled.
    const bool answers = promoted->lastAnswer >= replacement.lastPromotionAt;
    const bool evacuated = this->isInEvacuatedZone(promoted->entry);
    if (answers && !evacuated && now >= replacement.lastPromotionAt + settings.promotionRetryInterval) {
        replacement.lastPromotionAt = now;
        this->pendingPromotions.recordSent(replacement.promoted, now);
        this->actions.emplace_back(
            PromoteUpstream { .upstream = replacement.promoted, .token = this->coordinatorLease().token });
    }
    this->askAllMembers(now);
}

void LeaderCoordinator::askAllMembers(Instant now)
{
    for (auto& member : this->members)
        this->askStatus(member, now);
}

void LeaderCoordinator::abandonPromotion()
{
    this->replacement->refused.push_back(std::exchange(this->replacement->promoted, UpstreamName {}));
}

void LeaderCoordinator::completeReplacement(const Leader& leader, Instant now)
{
    if (this->pendingPromotions.isOtherPending(leader.name, now)
        || now < this->oldViewsExpireAtForLeader(leader)) {
        this->askAllMembers(now);
        return;
    }
    this->pendingPromotions.recordOutcome(leader.name);
    if (std::exchange(this->replacement->attemptedPrimary, leader.name) != leader.name)
        this->logEvent(
            "primary_replaced", { { "primary", leader.name.string() }, { "term", textOf(leader.term) } });
    this->writeLeader(leader.name, leader.term, now);
}

bool LeaderCoordinator::replaceByNewerLeader(Instant now)
{
    const auto& record = this->record();
    const auto leader = this->newestLeader(record.term);
    if (!leader || leader->term == record.term) {
        const bool newerTermSeen = this->trafficContradictsView
            || std::any_of(this->members.begin(), this->members.end(), [&record](const Member& member) {
                   return member.status && member.status->term > record.term;
               });
        if (newerTermSeen)
            this->askAllMembers(now);
        return false;
    }
    // A VM that reads the claim gives up its view of the old primary.
    if (leader->name == record.primary)
        this->writeLeader(leader->name, leader->term, now);
    else
        this->claimNextTerm(false, "another upstream leads", now);
    return true;
}

Instant LeaderCoordinator::oldViewsExpireAtForLeader(const Leader& leader) const
{
    const auto& settings = this->options.settings;
    const auto& replacement = *this->replacement;
    // A coordinator waits for the old views to expire before it promotes the replica that it has chosen.
    const bool coordinatorWaited
        = replacement.lastPromotionAt != Instant::min() || leader.name == replacement.inheritedChoice;
    if (coordinatorWaited || this->isPrimary(leader.name))
        return Instant::min();
    // One replica extends a view for `singleReplicaPeriod` after the store was read; all replicas together
    // extend it until one of them has become the leader.
    const auto claimed = this->claimHeldSince.value_or(replacement.claimedAt);
    return std::max(claimed + settings.singleReplicaPeriod, leader.since) + settings.viewLifetime
        + settings.viewMargin;
}

void LeaderCoordinator::updateClaimStart(const std::optional<LeadershipRecord>& next, Instant now)
{
    if (!next || next->isSettled()) {
        this->claimHeldSince.reset();
        return;
    }
    // A change by this VM directly followed the record that it knew; before a change by another VM the claim
    // may have been withdrawn.
    const auto& previous = this->latestSnapshot.record;
    const bool unbroken = this->claimHeldSince && previous
        && (next->changeId == previous->changeId || next->changeId == this->lastChangeId);
    if (!unbroken)
        this->claimHeldSince = now;
}

} // namespace cyclamendrift
