#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <algorithm>
#include <utility>

// How the holder of a group's duty replaces its primary: claim the next term in the store, pause the
// replicas, write down which of them has received most, wait until every view of the old primary has ended,
// promote it, write down who leads. See promotion.cpp for the choice and what follows it.
namespace cyclamendrift {

namespace {

Term next(Term term) { return Term { static_cast<std::uint64_t>(term) + 1 }; }

} // namespace

void LeaderCoordinator::claimNextTerm(bool planned, std::string_view reason, Instant now)
{
    const auto& record = this->record();
    const bool hasOtherUpstream = std::any_of(
        this->members.begin(), this->members.end(), [&record](const Member& member) {
            const bool leads = member.status && member.status->isPrimary && member.status->term > record.term;
            return member.entry.name != record.primary && (leads || !member.entry.draining);
        });
    if (!hasOtherUpstream)
        return;
    if (now < this->lastWriteAt + this->options.settings.storeRetryInterval)
        return;
    const auto term = next(record.term);
    // A claim whose write has no answer yet is the same one.
    if (!this->replacement)
        this->logEvent("replacing_primary",
            { { "primary", record.primary.string() }, { "term", textOf(term) },
                { "reason", std::string { reason } } });
    this->replacement = std::make_unique<Replacement>(Replacement { .term = term, .planned = planned });
    this->logBaseline.reset();
    this->writeRecord({ .term = record.term, .primary = record.primary, .claimedTerm = term }, now);
}

void LeaderCoordinator::continueReplacement(Instant now)
{
    const auto& record = this->record();
    // A claim of another VM, or of an earlier turn of this one, is taken over by writing it anew: from then
    // on whoever wrote it before cannot change the record, and this VM knows that the record holds it.
    if (!this->replacement) {
        const auto* primary = this->find(record.primary);
        this->replacement = std::make_unique<Replacement>(Replacement {
            .term = record.claimedTerm, .planned = primary != nullptr && primary->entry.draining });
    }
    if (this->replacement->claimPending) {
        this->writeRecord({ .term = record.term,
                              .primary = record.primary,
                              .claimedTerm = record.claimedTerm,
                              .chosen = record.chosen },
            now);
        return;
    }
    if (const auto leader = this->newestLeader(record.claimedTerm))
        return this->completeReplacement(*leader, now);
    if (this->hasPrimaryReturned(now)) {
        this->cancelReplacement(now);
        return;
    }
    if (!this->replacement->attemptedPrimary.empty()) {
        // Whether the record still holds the claim is not known any more; promoting now could make two
        // primaries.
        this->replacement.reset();
        return;
    }
    if (this->replacement->planned)
        this->demoteOldPrimary(now);
    this->pauseReplicas(now);
    if (this->replacement->promoted.empty())
        this->startPromotion(now);
    else
        this->sendPromotion(now);
}

void LeaderCoordinator::onClaimWritten(const LeadershipRecord& record, Instant now)
{
    if (!this->replacement || record.isSettled() || record.changeId != this->lastChangeId)
        return;
    if (!std::exchange(this->replacement->claimPending, false))
        return;
    this->replacement->claimedAt = now;
    this->replacement->inheritedChoice = record.chosen;
    // Whoever wrote that choice may have promoted it until this claim took its place.
    if (!record.chosen.empty())
        this->pendingPromotions.recordInherited(record.chosen, now);
}

bool LeaderCoordinator::hasPrimaryReturned(Instant now)
{
    const auto& record = this->record();
    const auto& replacement = *this->replacement;
    auto* primary = this->find(record.primary);
    const bool promotionSent = replacement.lastPromotionAt != Instant::min();
    if (primary == nullptr || replacement.planned || promotionSent
        || this->pendingPromotions.isOtherPending(record.primary, now))
        return false;
    this->askStatus(*primary, now);
    return primary->status && primary->status->isPrimary && primary->statusAt > replacement.claimedAt
        && now < primary->statusAt + this->options.settings.viewLifetime;
}

void LeaderCoordinator::cancelReplacement(Instant now)
{
    // Nobody was promoted under this claim, and the old primary is there with its whole log: keeping it loses
    // nothing.
    const auto& record = this->record();
    if (std::exchange(this->replacement->attemptedPrimary, record.primary) != record.primary)
        this->logEvent("primary_is_back", { { "primary", record.primary.string() } });
    for (const auto& member : this->members) {
        if (member.entry.name != record.primary)
            this->actions.emplace_back(ResumeReplica { member.entry.name });
    }
    this->writeLeader(record.primary, record.term, now);
}

void LeaderCoordinator::demoteOldPrimary(Instant now)
{
    auto* primary = this->find(this->record().primary);
    if (primary == nullptr || this->replacement->demotedProgress)
        return;
    if (markAskedIfDue(*primary, this->options.settings.askInterval, now))
        this->actions.emplace_back(
            DemotePrimary { .upstream = primary->entry.name, .term = this->replacement->term });
}

void LeaderCoordinator::pauseReplicas(Instant now)
{
    const auto& settings = this->options.settings;
    for (auto& member : this->members) {
        if (member.entry.name == this->record().primary)
            continue;
        if (const auto pause = this->replacement->paused.find(member.entry.name);
            pause != this->replacement->paused.end()) {
            // It is asked once more at the end, as a restart in between would not show otherwise.
            const bool due = now >= pause->second.since + settings.viewLifetime;
            if (due && !this->isPausedForViewLifetime(pause->second))
                this->askStatus(member, now);
            continue;
        }
        if (!markAskedIfDue(member, settings.askInterval, now))
            continue;
        // A replica that still receives what the demoted primary has written is left to it for a moment.
        const auto& demoted = this->replacement->demotedProgress;
        const bool mayCatchUp
            = this->replacement->planned && now < this->replacement->claimedAt + settings.catchUpTimeout;
        const bool caughtUp = demoted && member.status && member.status->received >= *demoted;
        if (mayCatchUp && !caughtUp)
            this->actions.emplace_back(AskStatus { member.entry.name });
        else
            this->actions.emplace_back(
                PauseReplica { .upstream = member.entry.name, .term = this->replacement->term });
    }
}

void LeaderCoordinator::recordPause(
    const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now)
{
    auto& paused = this->replacement->paused;
    // A restart ends a pause, and the replica may have vouched for the old primary since. It is paused anew.
    if (status.pausedBelowTerm < this->replacement->term) {
        paused.erase(upstream);
        return;
    }
    auto& pause = paused.try_emplace(upstream, Pause { .since = now }).first->second;
    pause.received = status.received;
    pause.lastSeen = askedAt;
}

bool LeaderCoordinator::isPausedForViewLifetime(const Pause& pause) const noexcept
{
    return pause.lastSeen >= pause.since + this->options.settings.viewLifetime;
}

bool LeaderCoordinator::areAllPausedForViewLifetime(Instant now) const
{
    const auto& paused = this->replacement->paused;
    return !this->hasMissingReplica(now)
        && std::all_of(this->members.begin(), this->members.end(), [&](const Member& member) {
               const auto pause = paused.find(member.entry.name);
               return this->isPrimary(member.entry.name)
                   || (pause != paused.end() && this->isPausedForViewLifetime(pause->second));
           });
}

Instant LeaderCoordinator::oldViewsExpireAt(Instant now) const
{
    const auto& settings = this->options.settings;
    const auto& replacement = *this->replacement;
    const auto lifetime = settings.viewLifetime + settings.viewMargin;
    // A replica that could not be paused may alone vouch for the old primary to VMs that the store turns
    // away.
    if (!this->areAllPausedForViewLifetime(now))
        return replacement.claimedAt + settings.singleReplicaPeriod + lifetime;
    auto from = replacement.claimedAt;
    for (const auto& [name, pause] : replacement.paused)
        from = std::max(from, pause.since);
    return from + lifetime;
}

void LeaderCoordinator::reconcileUpstreams(Instant now)
{
    const auto& record = this->latestSnapshot.record;
    if (!record || !record->isSettled())
        return;
    for (auto& member : this->members) {
        if (member.entry.name == record->primary)
            continue;
        const bool oldPrimary
            = member.status && member.status->isPrimary && member.status->term < record->term;
        const bool leftPaused
            = member.status && !member.status->isPrimary && member.status->pausedBelowTerm > Term {};
        if (member.status && !oldPrimary && !leftPaused)
            continue;
        if (!markAskedIfDue(member, this->options.settings.reconcileInterval, now))
            continue;
        if (!member.status)
            this->actions.emplace_back(AskStatus { member.entry.name });
        else if (oldPrimary)
            this->actions.emplace_back(DemotePrimary { .upstream = member.entry.name, .term = record->term });
        else
            this->actions.emplace_back(ResumeReplica { member.entry.name });
    }
}

} // namespace cyclamendrift
