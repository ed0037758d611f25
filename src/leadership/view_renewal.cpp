#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <algorithm>
#include <string>
#include <utility>

// For how long a VM may act on its view of the primary: who vouches for it, and how it is renewed while the
// store is silent.
namespace cyclamendrift {

namespace {

// How often a view that did not change is handed on again with its new end.
constexpr Duration publishInterval = std::chrono::milliseconds { 250 };

std::string ageText(Instant since, Instant now)
{
    if (since == Instant::min())
        return "none";
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - since).count());
}

} // namespace

std::string_view nameOf(ViewSource source) noexcept
{
    switch (source) {
    case ViewSource::Store:
        return "store";
    case ViewSource::Sibling:
        return "sibling";
    case ViewSource::Replica:
        return "replica";
    }
    return "unknown";
}

LeaderView LeaderCoordinator::view() const
{
    LeaderView view;
    if (!this->readOnce || !this->known.record)
        return view;
    const auto& record = this->record();
    view.phase = record.isSettled() ? LeaderView::Phase::Settled : LeaderView::Phase::Changing;
    view.primary = record.primary;
    view.term = record.term;
    const auto vouchedAt = std::max(this->known.askedAt, this->replicasVouchedAt);
    if (vouchedAt > this->disprovedAt)
        view.expiresAt = vouchedAt + this->options.settings.viewLifetime;
    return view;
}

std::optional<Instant> LeaderCoordinator::vouchedAt(Instant now) const
{
    if (!this->view().isValid(now))
        return std::nullopt;
    return std::max(this->known.askedAt, this->replicasVouchedAt);
}

bool LeaderCoordinator::missesReplica(Instant now) const
{
    return std::any_of(this->missingSince.begin(), this->missingSince.end(), [&](const auto& item) {
        return !this->isPrimary(item.first) && now < item.second + this->options.settings.missingReplicaKept;
    });
}

Instant LeaderCoordinator::confirmedByAll(Instant now) const
{
    if (this->missesReplica(now))
        return Instant::min();
    auto earliest = Instant::max();
    for (const auto& member : this->members) {
        if (!this->isPrimary(member.entry.name))
            earliest = std::min(earliest, member.confirmedAt);
    }
    return earliest;
}

void LeaderCoordinator::noteConfirmation(Member& replica, Instant askedAt, Instant now)
{
    replica.confirmedAt = std::max(replica.confirmedAt, askedAt);
    const bool loneWordCounts = askedAt < this->known.askedAt + this->options.settings.loneReplicaTime;
    const auto confirmed = loneWordCounts ? replica.confirmedAt : this->confirmedByAll(now);
    if (confirmed <= this->replicasVouchedAt)
        return;
    this->replicasVouchedAt = confirmed;
    this->vouchedBy = replica.entry.name;
    ++this->counts.replicaConfirmations;
}

void LeaderCoordinator::onSiblingView(std::uint64_t recordRevision, Instant vouchedAt)
{
    if (recordRevision != this->known.recordRevision || vouchedAt <= this->siblingVouchedAt)
        return;
    this->siblingVouchedAt = vouchedAt;
    if (vouchedAt <= this->replicasVouchedAt)
        return;
    this->replicasVouchedAt = vouchedAt;
    this->vouchedBy = UpstreamName {};
}

void LeaderCoordinator::forgetConfirmations() noexcept
{
    this->replicasVouchedAt = Instant::min();
    this->siblingVouchedAt = Instant::min();
    for (auto& member : this->members)
        member.confirmedAt = Instant::min();
}

bool LeaderCoordinator::isSilent(Instant now) const noexcept
{
    const auto& settings = this->options.settings;
    if (!this->vouchesForSiblings)
        return now >= std::max(this->known.askedAt, this->siblingVouchedAt) + settings.siblingSilence;
    const bool ownReading = this->known.source == ViewSource::Store;
    return now >= this->known.askedAt + (ownReading ? settings.ownReadingSilence : settings.storeSilence);
}

void LeaderCoordinator::renewFromReplica(Instant now)
{
    const auto& settings = this->options.settings;
    // What has ended cannot be prolonged.
    if (!this->isSilent(now) || !this->view().isValid(now))
        return;
    for (auto& member : this->members) {
        const bool due = now >= member.confirmedAt + settings.confirmInterval;
        if (due && !this->isPrimary(member.entry.name))
            this->ask(member, now);
    }
}

void LeaderCoordinator::publishIfChanged(Instant now)
{
    this->noteValidity(now);
    const auto next = this->view();
    const bool changed = next.phase != this->published.phase || next.primary != this->published.primary
        || next.term != this->published.term;
    const bool renewed
        = next.expiresAt > this->published.expiresAt && now >= this->lastPublished + publishInterval;
    const bool ended = next.expiresAt < this->published.expiresAt && this->published.isValid(now);
    if (!changed && !renewed && !ended)
        return;
    if (changed)
        this->note("leader_view",
            { { "primary", next.primary.string() }, { "term", textOf(next.term) },
                { "phase", next.phase == LeaderView::Phase::Settled ? "led" : "changing" },
                { "source", std::string { nameOf(this->viewSource(now)) } } });
    this->published = next;
    this->lastPublished = now;
    this->actions.emplace_back(PublishLeader { next });
}

ViewSource LeaderCoordinator::viewSource(Instant now) const noexcept
{
    const bool endedAtStore = now >= this->known.askedAt + this->options.settings.viewLifetime;
    if (!endedAtStore || this->replicasVouchedAt <= this->known.askedAt)
        return this->known.source;
    return this->vouchedBy.empty() ? ViewSource::Sibling : ViewSource::Replica;
}

void LeaderCoordinator::noteValidity(Instant now)
{
    const auto current = this->view();
    if (current.phase != LeaderView::Phase::Settled) {
        this->notedAsHeld = false;
        return;
    }
    const bool isValid = current.isValid(now);
    const auto source = this->viewSource(now);
    const bool sameView = current.primary == this->published.primary && current.term == this->published.term
        && this->published.phase == LeaderView::Phase::Settled;
    const bool ended = this->notedAsHeld && !isValid;
    const bool back = sameView && !this->notedAsHeld && isValid;
    // Whether this VM or a sibling has read the store makes no difference to how far a view can be trusted.
    const bool handedOver = sameView && isValid && source != this->notedSource
        && (source == ViewSource::Replica || this->notedSource == ViewSource::Replica);
    if (ended)
        ++this->counts.viewsEnded;
    if (ended || back || handedOver)
        this->note(ended ? "leader_view_ended"
                : back   ? "leader_view_back"
                         : "leader_view_source",
            { { "primary", current.primary.string() }, { "term", textOf(current.term) },
                { "source", std::string { nameOf(source) } },
                { "replica", source == ViewSource::Replica ? this->vouchedBy.string() : "" },
                { "store_age_ms", ageText(this->known.askedAt, now) },
                { "replica_age_ms", ageText(this->replicasVouchedAt, now) },
                { "sibling_age_ms", ageText(this->siblingVouchedAt, now) } });
    this->notedAsHeld = isValid;
    this->notedSource = source;
}

} // namespace cyclamendrift
