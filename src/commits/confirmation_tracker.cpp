#include <cyclamendrift/commits/confirmation_tracker.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

/// Between the commit and its status the slot may have been fenced and made to follow another primary, which
/// dropped the commit. Its new position would be confirmed by every replica of the new term, and the caller
/// would be told of a commit that is gone.
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
    // Samples come over several connections and through siblings, so an old one may arrive late; it would
    // hide a fence that was seen since.
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

/// A replica that has been fenced since is not counted: the primary of this term is being superseded, and the
/// next view says whether the commit was kept. Nor is one in another term: its log at that position may hold
/// something else.
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

/// After a promotion a commit of the term before is kept if the promoted log reached it. It is not safe yet:
/// until a replica holds the beginning of the new term, the next promotion may choose a log without it. So it
/// waits on, as if it had been made in the new term. A read that had to come from the primary in force is not
/// carried over: when it was sent, the new primary may have been acknowledging commits already.
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
