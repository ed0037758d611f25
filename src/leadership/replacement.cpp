#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <algorithm>
#include <utility>

// Replacement of a primary by the group's coordinator: claim the next term in the store, pause the replicas,
// write down which of them has received most, wait until every view of the old primary has expired, promote
// that replica, and write down the new leader. See promotion.cpp for the selection and the steps after it.
namespace cyclamendrift {

namespace {

Term next(Term term) { return Term { static_cast<std::uint64_t>(term) + 1 }; }

} // namespace

void LeaderCoordinator::claimNextTerm(bool planned, std::string_view reason, Instant now)
{
    const auto& record = this->record();
    const auto term = next(record.term);
    const auto leader = this->newestLeader(term);
    const bool otherLeads = leader && leader->name != record.primary;
    if (!otherLeads && !this->hasSuccessor())
        return;
    if (now < this->lastWriteAt + this->options.settings.storeRetryInterval)
        return;
    // A claim whose write is not answered yet is the same one.
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
    // A claim of another VM, or of an earlier lease of this one, is taken over by writing it again: from then
    // on its previous author cannot change the record, and this VM knows that the record contains the claim.
    if (!this->replacement) {
        const auto* primary = this->find(record.primary);
        this->replacement = std::make_unique<Replacement>(Replacement {
            .term = record.claimedTerm, .planned = primary != nullptr && !this->mayLead(primary->entry) });
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
    const auto* returned = this->findReturnedPrimary(now);
    if (returned != nullptr && this->isStillPrimary(*returned, now)) {
        this->cancelReplacement(now);
        return;
    }
    if (!this->replacement->attemptedPrimary.empty()) {
        // It is no longer known whether the record still contains the claim; promoting now could result in
        // two primaries.
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
    // The author of that choice may have promoted it until this claim replaced the record.
    if (!record.chosen.empty())
        this->pendingPromotions.recordInherited(record.chosen, now);
}

const LeaderCoordinator::Member* LeaderCoordinator::findReturnedPrimary(Instant now)
{
    const auto& replacement = *this->replacement;
    auto* primary = this->find(this->record().primary);
    if (primary == nullptr || replacement.planned)
        return nullptr;
    this->askStatus(*primary, now);
    const bool reported = primary->status && primary->status->isPrimary
        && primary->statusAt > replacement.claimedAt
        && now < primary->statusAt + this->options.settings.viewLifetime;
    return reported ? primary : nullptr;
}

bool LeaderCoordinator::isStillPrimary(const Member& returned, Instant now) const
{
    const auto& replacement = *this->replacement;
    if (replacement.accepted && replacement.accepted->upstream == returned.entry.name) {
        // Its promotion changes nothing if it was the primary all along, and otherwise starts a newer term.
        return returned.status && returned.status->term == this->record().term
            && returned.statusAt >= replacement.accepted->at + this->options.settings.promotionEffectTime;
    }
    // A former coordinator may have promoted its choice, however long that upstream has been silent.
    const bool promotionSent
        = replacement.lastPromotionAt != Instant::min() || !replacement.inheritedChoice.empty();
    return !promotionSent && !this->pendingPromotions.isOtherPending(returned.entry.name, now);
}

void LeaderCoordinator::addReturnedPrimary(std::vector<Candidate>& candidates, Instant now)
{
    const auto* returned = this->findReturnedPrimary(now);
    if (returned == nullptr || !returned->status || !this->isEligible(returned->entry.name))
        return;
    candidates.push_back({ .name = returned->entry.name, .received = returned->status->received });
}

void LeaderCoordinator::cancelReplacement(Instant now)
{
    // The old primary leads and is running with its whole log, so keeping it loses nothing.
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
            // The replica is asked once more at the end, because a restart in between would otherwise go
            // unnoticed.
            const bool due = now >= pause->second.since + settings.viewLifetime;
            if (due && !this->isPausedForViewLifetime(pause->second))
                this->askStatus(member, now);
            continue;
        }
        if (!markAskedIfDue(member, settings.askInterval, now))
            continue;
        // A replica that is still receiving what the demoted primary has written may continue for
        // `catchUpTimeout`.
        const auto& demoted = this->replacement->demotedProgress;
        const auto* primary = this->find(this->record().primary);
        const bool primaryStays = primary != nullptr && !primary->entry.draining && !primary->isFailing();
        const auto timeout = primaryStays ? settings.evacuationCatchUpTimeout : settings.catchUpTimeout;
        const bool mayCatchUp = this->replacement->planned && now < this->replacement->claimedAt + timeout;
        const bool caughtUp = demoted && member.status && member.status->received >= *demoted;
        if (mayCatchUp && !caughtUp)
            this->actions.emplace_back(AskStatus { .upstream = member.entry.name });
        else
            this->actions.emplace_back(
                PauseReplica { .upstream = member.entry.name, .term = this->replacement->term });
    }
}

void LeaderCoordinator::recordPause(
    const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now)
{
    auto& paused = this->replacement->paused;
    // A restart ends a pause, and the replica may have confirmed the old primary since. It is paused again.
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
    // A replica that could not be paused may on its own confirm the old primary to VMs that cannot read the
    // store.
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
            this->actions.emplace_back(AskStatus { .upstream = member.entry.name });
        else if (oldPrimary)
            this->actions.emplace_back(DemotePrimary { .upstream = member.entry.name, .term = record->term });
        else
            this->actions.emplace_back(ResumeReplica { member.entry.name });
    }
}

} // namespace cyclamendrift
