#include <cyclamendrift/leadership/leader_coordinator.h>

#include "term_text.h"

#include <cyclamendrift/core/duration_text.h>

#include <algorithm>
#include <string>
#include <utility>

// Validity of a VM's view of the primary: what it relies on, and how it is renewed while the store cannot be
// read.
namespace cyclamendrift {

namespace {

// A view whose only change is a later expiry is published at this interval.
constexpr Duration publishInterval = std::chrono::milliseconds { 250 };

std::string formatAge(Instant since, Instant now)
{
    if (since == Instant::min())
        return "none";
    return millisecondsText(now - since);
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
    if (!this->hasSnapshot || !this->latestSnapshot.record)
        return view;
    const auto& record = this->record();
    view.phase = record.isSettled() ? LeaderView::Phase::Settled : LeaderView::Phase::Changing;
    view.primary = record.primary;
    view.term = record.term;
    const auto viewConfirmedAt = std::max(this->latestSnapshot.askedAt, this->replicasConfirmedAt);
    if (viewConfirmedAt > this->viewDisprovedAt)
        view.expiresAt = viewConfirmedAt + this->options.settings.viewLifetime;
    return view;
}

std::optional<Instant> LeaderCoordinator::viewConfirmedAt(Instant now) const
{
    if (!this->view().isValid(now))
        return std::nullopt;
    return std::max(this->latestSnapshot.askedAt, this->replicasConfirmedAt);
}

bool LeaderCoordinator::hasMissingReplica(Instant now) const
{
    return std::any_of(this->missingSince.begin(), this->missingSince.end(), [&](const auto& item) {
        return !this->isPrimary(item.first)
            && now < item.second + this->options.settings.missingReplicaRetention;
    });
}

Instant LeaderCoordinator::allReplicasConfirmedAt(Instant now) const
{
    if (this->hasMissingReplica(now))
        return Instant::min();
    auto earliest = Instant::max();
    for (const auto& member : this->members) {
        if (!this->isPrimary(member.entry.name))
            earliest = std::min(earliest, member.confirmedAt);
    }
    return earliest;
}

void LeaderCoordinator::recordConfirmation(Member& replica, Instant askedAt, Instant now)
{
    replica.confirmedAt = std::max(replica.confirmedAt, askedAt);
    const bool oneReplicaSuffices
        = askedAt < this->latestSnapshot.askedAt + this->options.settings.singleReplicaPeriod;
    const auto confirmed = oneReplicaSuffices ? replica.confirmedAt : this->allReplicasConfirmedAt(now);
    if (confirmed <= this->replicasConfirmedAt)
        return;
    this->replicasConfirmedAt = confirmed;
    this->confirmedBy = replica.entry.name;
    ++this->counts.replicaConfirmations;
}

void LeaderCoordinator::onSiblingView(std::uint64_t recordRevision, Instant viewConfirmedAt)
{
    if (recordRevision != this->latestSnapshot.recordRevision || viewConfirmedAt <= this->siblingConfirmedAt)
        return;
    this->siblingConfirmedAt = viewConfirmedAt;
    if (viewConfirmedAt <= this->replicasConfirmedAt)
        return;
    this->replicasConfirmedAt = viewConfirmedAt;
    this->confirmedBy = UpstreamName {};
}

void LeaderCoordinator::clearConfirmations() noexcept
{
    this->replicasConfirmedAt = Instant::min();
    this->siblingConfirmedAt = Instant::min();
    for (auto& member : this->members)
        member.confirmedAt = Instant::min();
}

bool LeaderCoordinator::needsReplicaConfirmation(Instant now) const noexcept
{
    const auto& settings = this->options.settings;
    if (!this->confirmsForSiblings)
        return now >= std::max(this->latestSnapshot.askedAt, this->siblingConfirmedAt)
            + settings.siblingConfirmationMaxAge;
    const bool ownReading = this->latestSnapshot.source == ViewSource::Store;
    const auto maxAge = ownReading ? settings.ownSnapshotMaxAge : settings.siblingSnapshotMaxAge;
    // With the records of many services each reading takes longer than `maxAge`. If that alone made replicas
    // be asked, the requests to the replicas of all services would delay the readings further.
    const auto latest = std::max(maxAge, settings.viewLifetime - settings.confirmationTime);
    return now
        >= this->latestSnapshot.askedAt + std::clamp(this->latestSnapshot.expectedMaxAge, maxAge, latest);
}

void LeaderCoordinator::renewFromReplicas(Instant now)
{
    const auto& settings = this->options.settings;
    // An expired view cannot be extended.
    if (!this->needsReplicaConfirmation(now) || !this->view().isValid(now))
        return;
    for (auto& member : this->members) {
        const bool due = now >= member.confirmedAt + settings.confirmationInterval;
        if (due && !this->isPrimary(member.entry.name) && markAskedIfDue(member, settings.askInterval, now))
            this->actions.emplace_back(AskStatus { .upstream = member.entry.name, .confirmsView = true });
    }
}

void LeaderCoordinator::publishViewIfChanged(Instant now)
{
    this->logValidityChange(now);
    const auto next = this->view();
    const bool changed = next.phase != this->publishedView.phase
        || next.primary != this->publishedView.primary || next.term != this->publishedView.term;
    const bool renewed
        = next.expiresAt > this->publishedView.expiresAt && now >= this->lastPublishedAt + publishInterval;
    const bool expired = next.expiresAt < this->publishedView.expiresAt && this->publishedView.isValid(now);
    if (!changed && !renewed && !expired)
        return;
    if (changed)
        this->logEvent("leader_view",
            { { "primary", next.primary.string() }, { "term", textOf(next.term) },
                { "phase", next.phase == LeaderView::Phase::Settled ? "led" : "changing" },
                { "source", std::string { nameOf(this->viewSource(now)) } } });
    this->publishedView = next;
    this->lastPublishedAt = now;
    this->actions.emplace_back(PublishView { next });
}

ViewSource LeaderCoordinator::viewSource(Instant now) const noexcept
{
    const bool storeReadExpired = now >= this->latestSnapshot.askedAt + this->options.settings.viewLifetime;
    if (!storeReadExpired || this->replicasConfirmedAt <= this->latestSnapshot.askedAt)
        return this->latestSnapshot.source;
    return this->confirmedBy.empty() ? ViewSource::Sibling : ViewSource::Replica;
}

void LeaderCoordinator::logValidityChange(Instant now)
{
    const auto current = this->view();
    if (current.phase != LeaderView::Phase::Settled) {
        this->wasLoggedAsValid = false;
        return;
    }
    const bool isValid = current.isValid(now);
    const auto source = this->viewSource(now);
    const bool sameView = current.primary == this->publishedView.primary
        && current.term == this->publishedView.term
        && this->publishedView.phase == LeaderView::Phase::Settled;
    const bool expired = this->wasLoggedAsValid && !isValid;
    const bool restored = sameView && !this->wasLoggedAsValid && isValid;
    // Whether this VM or a sibling has read the store makes no difference to how far a view can be trusted.
    const bool sourceChanged = sameView && isValid && source != this->loggedSource
        && (source == ViewSource::Replica || this->loggedSource == ViewSource::Replica);
    if (expired)
        ++this->counts.viewsExpired;
    if (expired || restored || sourceChanged)
        this->logEvent(expired ? "leader_view_ended"
                : restored     ? "leader_view_back"
                               : "leader_view_source",
            { { "primary", current.primary.string() }, { "term", textOf(current.term) },
                { "source", std::string { nameOf(source) } },
                { "replica", source == ViewSource::Replica ? this->confirmedBy.string() : "" },
                { "store_age_ms", formatAge(this->latestSnapshot.askedAt, now) },
                { "replica_age_ms", formatAge(this->replicasConfirmedAt, now) },
                { "sibling_age_ms", formatAge(this->siblingConfirmedAt, now) } });
    this->wasLoggedAsValid = isValid;
    this->loggedSource = source;
}

} // namespace cyclamendrift
