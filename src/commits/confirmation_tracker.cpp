#include <cyclamendrift/commits/confirmation_tracker.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

/// Between the commit and the status query the slot may have been fenced and made to follow another primary,
/// which drops the commit. Every replica in the new term would confirm the new position, and the caller would
/// be told that the lost commit succeeded.
ConfirmationTracker::Options ConfirmationTracker::afterCommit(
    const SlotStatus& status, Instant deadline) noexcept
{
    if (!status.primary)
        return { .progress = status.progress, .notBefore = Instant::max(), .deadline = Instant::min() };
    return { .progress = status.progress, .deadline = deadline };
}

ConfirmationTicket ConfirmationTracker::add(Options options)
{
    const ConfirmationTicket ticket { ++this->lastTicket };
    this->pending.emplace(ticket, options);
    return ticket;
}

void ConfirmationTracker::cancel(ConfirmationTicket ticket) noexcept { this->pending.erase(ticket); }

void ConfirmationTracker::observe(const StatusSample& sample)
{
    auto& latestSample = this->latestSamples[sample.slot];
    // Samples arrive over several connections and through siblings, so an older sample may arrive after a
    // newer one. Storing it would hide a fence that the newer sample showed.
    if (sample.askedAt >= latestSample.askedAt)
        latestSample = sample;
}

void ConfirmationTracker::setView(GroupView view)
{
    if (view.term >= this->view.term)
        this->view = std::move(view);
}

ConfirmationTracker::Settled ConfirmationTracker::take(Instant now)
{
    Settled settled;
    for (auto& [ticket, options] : this->pending) {
        const bool lost = this->failsToCarryOver(options);
        if (!lost && this->isConfirmed(options))
            settled.confirmed.push_back(ticket);
        else if (lost || options.deadline <= now)
            settled.unconfirmed.push_back(ticket);
    }
    for (const auto ticket : settled.confirmed)
        this->pending.erase(ticket);
    for (const auto ticket : settled.unconfirmed)
        this->pending.erase(ticket);
    return settled;
}

std::optional<Instant> ConfirmationTracker::nextDeadline() const noexcept
{
    const auto earliest = std::min_element(this->pending.begin(), this->pending.end(),
        [](const auto& left, const auto& right) { return left.second.deadline < right.second.deadline; });
    if (earliest == this->pending.end())
        return std::nullopt;
    return earliest->second.deadline;
}

bool ConfirmationTracker::isConfirmed(const Options& options) const
{
    if (options.progress.term != this->view.term)
        return false;
    if (this->view.slots.size() < minMajorityGroupSize) {
        return std::all_of(this->view.inSync.begin(), this->view.inSync.end(), [&](const SlotName& slot) {
            return slot == this->view.primary || this->confirms(slot, options);
        });
    }
    const auto replicas = std::count_if(this->view.slots.begin(), this->view.slots.end(),
        [&](const SlotName& slot) { return this->confirms(slot, options); });
    constexpr std::size_t primaryItself = 1;
    return static_cast<std::size_t>(replicas) + primaryItself >= majorityOf(this->view.slots.size());
}

/// A replica that is fenced for a later term is not counted: the primary of this term is being replaced, and
/// the next view tells whether the commit was kept. A replica in another term is not counted either: its log
/// may hold other data at that position.
bool ConfirmationTracker::confirms(const SlotName& slot, const Options& options) const
{
    const auto found = this->latestSamples.find(slot);
    if (found == this->latestSamples.end() || slot == this->view.primary)
        return false;
    const auto& sample = found->second;
    const auto& status = sample.status;
    return status.progress.term == options.progress.term && status.fenced <= options.progress.term
        && status.progress.position >= options.progress.position && sample.askedAt >= options.notBefore;
}

/// Returns true if a promotion lost the commit or read; otherwise moves a commit of the previous term to the
/// current one. A promotion keeps a commit if the promoted log reached it. The commit is not safe yet: until
/// a replica holds the beginning of the new term, the next promotion may select a log without it. It
/// therefore stays pending as if it had been made in the new term. A read that must come from the current
/// primary is not carried over: when it was sent, the new primary may already have been acknowledging
/// commits.
bool ConfirmationTracker::failsToCarryOver(Options& options) const
{
    if (options.progress.term >= this->view.term)
        return false;
    const auto& base = this->view.base;
    const bool mustBeFresh = options.notBefore > Instant::min();
    if (mustBeFresh || base.term != options.progress.term || base.position < options.progress.position)
        return true;
    options.progress = { .term = this->view.term, .position = LogPosition {} };
    return false;
}

} // namespace cyclamendrift
