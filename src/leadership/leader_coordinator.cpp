#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

LeaderCoordinator::LeaderCoordinator(Options options)
    : options(std::move(options))
    , promotions(this->options.settings.promotionSettled)
{
}

const LeadershipRecord& LeaderCoordinator::record() const
{
    if (!this->known.record)
        throw LeadershipError { "nothing was read of who leads" };
    return *this->known.record;
}

const LeadershipDuty& LeaderCoordinator::duty() const
{
    if (!this->known.duty)
        throw LeadershipError { "nobody is known to hold the duty" };
    return *this->known.duty;
}

bool LeaderCoordinator::isPrimary(const UpstreamName& name) const
{
    return this->known.record && this->known.record->primary == name;
}

LeaderCoordinator::Member* LeaderCoordinator::find(const UpstreamName& name)
{
    const auto match = std::find_if(this->members.begin(), this->members.end(),
        [&name](const Member& member) { return member.entry.name == name; });
    return match == this->members.end() ? nullptr : &*match;
}

bool LeaderCoordinator::holdsDuty(Instant now) const noexcept
{
    return this->known.duty && this->known.duty->holder == this->options.vm && now < this->leaseUntil;
}

void LeaderCoordinator::onSnapshot(const LeadershipSnapshot& snapshot, Instant now)
{
    // An answer that was on its way while this VM wrote the record may still hold the one before.
    const bool older
        = snapshot.askedAt < this->known.askedAt || snapshot.recordRevision < this->known.recordRevision;
    if (this->readOnce && older)
        return;
    const bool sameRecord = this->readOnce && this->known.record == snapshot.record;
    this->noteStanding(snapshot.record, now);
    this->known = snapshot;
    if (snapshot.askedAt < this->dutyKnownFrom)
        this->known.duty.reset();
    this->readOnce = true;
    this->doubted = false;
    if (!sameRecord) {
        this->forgetConfirmations();
        if (const auto& record = snapshot.record)
            this->note("leadership_read",
                { { "primary", record->primary.string() }, { "term", textOf(record->term) },
                    { "claimed_term", textOf(record->claimedTerm) }, { "author", record->author.string() } });
    }
    if (!this->known.duty || this->known.duty->holder != this->options.vm) {
        this->replacement.reset();
        this->growth.reset();
    }
    if (snapshot.record)
        this->noteClaim(*snapshot.record, now);
    // The answer to the change that settled it may have been lost.
    const bool settled = snapshot.record && snapshot.record->isSettled();
    if (this->replacement && settled && !this->replacement->claimPending)
        this->replacement.reset();
    if (snapshot.duty || snapshot.askedAt < this->dutyKnownFrom)
        this->dutyFreeSince.reset();
    else if (!this->dutyFreeSince)
        this->dutyFreeSince = now;
}

void LeaderCoordinator::onLeaseLost(Instant now)
{
    this->dutyKnownFrom = now;
    this->known.duty.reset();
    this->dutyFreeSince.reset();
    this->replacement.reset();
    this->growth.reset();
}

void LeaderCoordinator::onDirectory(UpstreamDirectory entries, Instant now)
{
    std::erase_if(this->members, [&](const Member& member) {
        const bool listed = std::any_of(entries.begin(), entries.end(),
            [&member](const UpstreamEntry& entry) { return entry.name == member.entry.name; });
        if (!listed && !member.entry.draining)
            this->missingSince.emplace(member.entry.name, now);
        return !listed;
    });
    for (auto& entry : entries) {
        this->missingSince.erase(entry.name);
        if (auto* member = this->find(entry.name))
            member->entry = std::move(entry);
        else
            this->members.push_back({ .entry = std::move(entry) });
    }
    std::erase_if(this->missingSince,
        [&](const auto& item) { return now >= item.second + this->options.settings.missingReplicaKept; });
}

void LeaderCoordinator::onTraffic(const UpstreamName& upstream, Instant lastAnswer,
    std::optional<Instant> failingSince, bool contradictsView)
{
    auto* member = this->find(upstream);
    if (member == nullptr)
        return;
    member->lastAnswer = std::max(member->lastAnswer, lastAnswer);
    member->trafficFailingSince = failingSince;
    // What is told of one upstream is told of all of the group.
    this->trafficContradicts = contradictsView;
    if (contradictsView)
        this->doubted = true;
}

void LeaderCoordinator::onStatus(
    const UpstreamName& upstream, const UpstreamStatus& status, Instant askedAt, Instant now)
{
    auto* member = this->find(upstream);
    if (member == nullptr)
        return;
    member->lastAnswer = std::max(member->lastAnswer, now);
    member->questionsFailingSince.reset();
    if (askedAt < member->statusAt)
        return;
    const bool ledBefore = member->status && member->status->isPrimary && member->status->term == status.term;
    if (status.isPrimary && !ledBefore)
        member->leadsSince = now;
    member->status = status;
    member->statusAt = askedAt;
    const auto& record = this->known.record;
    if (!record)
        return;
    // A newer primary leads, whatever the store or another replica said up to now.
    if (status.term > record->term) {
        this->doubted = true;
        this->disprovedAt = now;
    }
    // A promotion ends the pause of every replica, and one that lags answers as before until it hears of the
    // new term. By then each view has ended; only what still holds may be prolonged.
    const bool confirms = !status.isPrimary && status.term == record->term && status.heldTerm <= record->term
        && upstream != record->primary && this->view().isValid(now);
    if (confirms)
        this->noteConfirmation(*member, askedAt, now);
    if (this->replacement && !status.isPrimary)
        this->notePause(upstream, status, askedAt, now);
    if (this->replacement && this->replacement->planned && upstream == record->primary && !status.isPrimary)
        this->replacement->demotedAt = status.received;
}

void LeaderCoordinator::onSilence(const UpstreamName& upstream, Instant now)
{
    auto* member = this->find(upstream);
    if (member == nullptr)
        return;
    // Traffic may have got an answer since the last question that failed.
    const auto& since = member->questionsFailingSince;
    if (!since || *since <= member->lastAnswer)
        member->questionsFailingSince = now;
}

void LeaderCoordinator::onWritten(const LeadershipRecord& record, std::uint64_t revision, Instant now)
{
    // An answer may be overtaken by a reading of what came after it.
    if (revision < this->known.recordRevision)
        return;
    this->noteStanding(record, now);
    this->known.record = record;
    this->known.recordRevision = revision;
    this->forgetConfirmations();
    if (record.isSettled()) {
        this->replacement.reset();
        // The swap itself read the store at a moment after it was sent; the next snapshot renews the view.
        this->doubted = true;
    }
    this->noteClaim(record, now);
    this->publishIfChanged(now);
}

void LeaderCoordinator::onPromotionRefused(const UpstreamName& upstream)
{
    this->promotions.noteOutcome(upstream);
    if (this->replacement && this->replacement->promoted == upstream)
        this->giveUpPromotion();
}

bool LeaderCoordinator::wantsSnapshot() const noexcept
{
    return this->doubted || (this->known.record && !this->known.record->isSettled());
}

std::vector<LeadershipAction> LeaderCoordinator::tick(Instant now)
{
    if (this->readOnce) {
        this->takeDutyIfFree(now);
        this->renewFromReplica(now);
        if (this->holdsDuty(now)) {
            if (!this->known.record)
                this->bootstrap(now);
            else if (this->known.record->isSettled())
                this->watchPrimary(now);
            else
                this->carryOn(now);
            this->settleOthers(now);
        }
    }
    this->publishIfChanged(now);
    return std::exchange(this->actions, {});
}

bool LeaderCoordinator::needsLease(Instant now) const
{
    const bool isHolder = this->known.duty && this->known.duty->holder == this->options.vm;
    return isHolder || this->isTurnToTakeDuty(now);
}

bool LeaderCoordinator::isTurnToTakeDuty(Instant now) const
{
    if (this->known.duty || !this->dutyFreeSince || now < this->noDutyBefore)
        return false;
    return now >= *this->dutyFreeSince + this->options.settings.rankDelay * static_cast<int>(this->rank);
}

void LeaderCoordinator::takeDutyIfFree(Instant now)
{
    if (!this->isTurnToTakeDuty(now) || now >= this->leaseUntil
        || now < this->lastDutyTry + this->options.settings.storeRetry)
        return;
    this->lastDutyTry = now;
    this->actions.emplace_back(TakeDuty {});
}

void LeaderCoordinator::ask(Member& member, Instant now)
{
    if (takeTurn(member, this->options.settings.askInterval, now))
        this->actions.emplace_back(AskStatus { member.entry.name });
}

bool LeaderCoordinator::takeTurn(Member& member, Duration interval, Instant now)
{
    if (now < member.lastAsked + interval)
        return false;
    member.lastAsked = now;
    return true;
}

void LeaderCoordinator::bootstrap(Instant now)
{
    for (auto& member : this->members) {
        if (member.status && member.status->isPrimary
            && member.statusAt + this->options.settings.viewLifetime > now) {
            this->writeLeader(member.entry.name, member.status->term, now);
            return;
        }
        if (member.entry.claimsPrimary)
            this->ask(member, now);
    }
}

void LeaderCoordinator::write(LeadershipRecord record, Instant now)
{
    if (now < this->lastWrite + this->options.settings.storeRetry)
        return;
    this->lastWrite = now;
    record.author = this->options.vm;
    record.changeId = this->options.vm.string() + '/' + std::to_string(this->options.seed) + '/'
        + std::to_string(++this->changes);
    this->lastChange = record.changeId;
    this->lastExpected = this->known.recordRevision;
    this->actions.emplace_back(WriteLeadership { .record = std::move(record),
        .expectedRevision = this->known.recordRevision,
        .dutyRevision = this->duty().revision });
}

bool LeaderCoordinator::knowsRecord() const noexcept
{
    return this->known.recordRevision > this->lastExpected;
}

void LeaderCoordinator::writeLeader(const UpstreamName& leader, Term term, Instant now)
{
    this->write({ .term = term, .primary = leader, .claimedTerm = term }, now);
}

void LeaderCoordinator::watchPrimary(Instant now)
{
    const auto& record = this->record();
    auto* primary = this->find(record.primary);
    if (this->adoptLeader(now))
        return;
    if (primary == nullptr)
        return this->claim(false, "the primary is gone from the directory", now);
    if (primary->entry.draining)
        return this->claim(true, "the primary is leaving", now);
    const bool resigned
        = primary->status && !primary->status->isPrimary && primary->status->term <= record.term;
    if (resigned && primary->statusAt > this->known.askedAt - this->options.settings.viewLifetime)
        return this->claim(false, "the primary says that it is a replica", now);
    if (!this->primaryIsSilent(now)) {
        // A claim that was never written has come to nothing.
        this->replacement.reset();
        this->growth.reset();
        return;
    }
    if (this->logGrows(now)) {
        // Replicas receive what the primary writes, so it serves others and only this VM is cut off from it.
        this->note("duty_yielded",
            { { "primary", record.primary.string() }, { "reason", "its log grows elsewhere" } });
        this->noDutyBefore = now + this->options.settings.yieldPause;
        this->growth.reset();
        this->actions.emplace_back(YieldDuty { this->duty().revision });
        this->known.duty.reset();
        return;
    }
    const bool compared = this->growth && now >= this->growth->since + this->options.settings.growthTime * 2;
    if (compared && now >= primary->lastAnswer + this->options.settings.deadAfter)
        this->claim(false, "the primary does not answer", now);
}

bool LeaderCoordinator::primaryIsSilent(Instant now)
{
    auto& primary = *this->find(this->record().primary);
    const bool quiet = now >= primary.lastAnswer + this->options.settings.quietTime;
    const bool failing = primary.isFailing();
    if (quiet || failing)
        this->ask(primary, now);
    return failing && now >= primary.lastAnswer + this->options.settings.askInterval * 2;
}

bool LeaderCoordinator::logGrows(Instant now)
{
    if (!this->growth)
        this->growth = std::make_unique<Growth>(Growth { .since = now });
    bool grows = false;
    for (auto& member : this->members) {
        if (member.entry.name == this->known.record->primary)
            continue;
        this->ask(member, now);
        if (!member.status || member.statusAt < this->growth->since)
            continue;
        const auto first
            = this->growth->received.try_emplace(member.entry.name, member.status->received).first;
        grows = grows || member.status->received > first->second;
    }
    return grows;
}

void LeaderCoordinator::note(std::string_view event, std::vector<std::pair<std::string, std::string>> fields)
{
    this->actions.emplace_back(
        LeadershipNote { .event = std::string { event }, .fields = std::move(fields) });
}

} // namespace cyclamendrift
