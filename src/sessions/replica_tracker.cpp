#include <cyclamendrift/sessions/replica_tracker.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

/// Primary samples kept to compute staleness; covers about 25 s with a sample every 100 ms.
constexpr std::size_t maxPrimaryHistory = 256;

/// False for a slot that is fenced above its term, whose log the next primary may truncate, and for a
/// primary, which may hold records that no other slot has. Their statuses prove nothing about the rows read.
bool isReadable(const SlotStatus& status) { return !status.primary && status.fenced <= status.progress.term; }

bool requiresPrimary(const Access& access)
{
    return std::holds_alternative<PrimaryRead>(access) || std::holds_alternative<Write>(access);
}

} // namespace

ReplicaTracker::ReplicaTracker(Options options)
    : options(options)
{
}

void ReplicaTracker::setView(GroupView view)
{
    if (view.term < this->view.term)
        return;
    this->view = std::move(view);
    std::erase_if(this->slots, [&](const auto& entry) {
        return std::find(this->view.slots.begin(), this->view.slots.end(), entry.first)
            == this->view.slots.end();
    });
}

void ReplicaTracker::observe(const StatusSample& sample)
{
    if (sample.status.primary)
        this->recordPrimaryProgress(sample);
    auto& slot = this->slots[sample.slot];
    if (sample.askedAt < slot.sample.askedAt)
        return;
    slot.sample = sample;
    slot.usable = true;
}

void ReplicaTracker::recordPrimaryProgress(const StatusSample& sample)
{
    // A fenced primary has been superseded, so there may be commits that it does not know of.
    if (sample.status.fenced > sample.status.progress.term)
        return;
    const auto firstLater = std::find_if(this->primaryHistory.begin(), this->primaryHistory.end(),
        [&](const PrimaryProgressSample& point) { return point.askedAt > sample.askedAt; });
    this->primaryHistory.insert(
        firstLater, { .progress = sample.status.progress, .askedAt = sample.askedAt });
    if (this->primaryHistory.size() > maxPrimaryHistory)
        this->primaryHistory.pop_front();
}

void ReplicaTracker::started(const SlotName& slot) { ++this->slots[slot].runningStatements; }

void ReplicaTracker::finished(const SlotName& slot) noexcept
{
    const auto found = this->slots.find(slot);
    if (found != this->slots.end() && found->second.runningStatements > 0)
        --found->second.runningStatements;
}

void ReplicaTracker::failed(const SlotName& slot) noexcept
{
    const auto found = this->slots.find(slot);
    if (found != this->slots.end())
        found->second.usable = false;
}

SlotSelection ReplicaTracker::selectSlot(const Request& request, Instant now, RandomSource& random) const
{
    if (requiresPrimary(request.access))
        return this->selectPrimary();
    const auto candidates = this->readableReplicas(request, now);
    if (!candidates.empty())
        return ReadFromReplica { this->selectLessLoaded(candidates, random) };
    const auto until = request.arrivedAt + this->options.maxCatchUpWait;
    if (now < until && this->canCatchUp(request, now))
        return WaitForReplica { until };
    return this->selectPrimary();
}

bool ReplicaTracker::provesFreshness(
    const Request& request, const SlotStatus& before, const SlotStatus& after, Instant now) const
{
    // A replica that switched to another primary in between has truncated its log, so the first status does
    // not bound what the statement read.
    const bool isSameLog = before.progress.term == after.progress.term && before.progress <= after.progress
        && isReadable(after);
    return isSameLog && isReadable(before) && this->isFresh(request, before, now);
}

std::optional<Duration> ReplicaTracker::stalenessBound(const SlotStatus& replica, Instant now) const
{
    if (!isReadable(replica))
        return std::nullopt;
    // The terms must match: a replica in another term does not prove that this primary was still the primary
    // when it reported its position.
    const auto newestCovered = std::find_if(
        this->primaryHistory.rbegin(), this->primaryHistory.rend(), [&](const PrimaryProgressSample& point) {
            return point.progress.term == replica.progress.term && point.progress <= replica.progress;
        });
    if (newestCovered == this->primaryHistory.rend())
        return std::nullopt;
    return now - newestCovered->askedAt;
}

bool ReplicaTracker::isFresh(const Request& request, const SlotStatus& status, Instant now) const
{
    if (status.progress < request.seen)
        return false;
    const auto* bounded = std::get_if<BoundedRead>(&request.access);
    if (bounded == nullptr)
        return true;
    const auto age = this->stalenessBound(status, now);
    return age && *age <= bounded->maxStaleness;
}

bool ReplicaTracker::canServeReads(const SlotName& name, const Slot& slot, Instant now) const
{
    const bool leaving
        = std::find(this->view.leaving.begin(), this->view.leaving.end(), name) != this->view.leaving.end();
    return slot.usable && !leaving && name != this->view.primary && isReadable(slot.sample.status)
        && now - slot.sample.receivedAt <= this->options.maxSilence;
}

std::vector<SlotName> ReplicaTracker::readableReplicas(const Request& request, Instant now) const
{
    std::vector<SlotName> readable;
    for (const auto& [name, slot] : this->slots) {
        if (this->canServeReads(name, slot, now) && this->isFresh(request, slot.sample.status, now))
            readable.push_back(name);
    }
    return readable;
}

/// Takes the less loaded of two random candidates. Always taking the least loaded one would send the reads of
/// all home proxies to the same replica whenever their other replicas are equally loaded.
const SlotName& ReplicaTracker::selectLessLoaded(
    const std::vector<SlotName>& candidates, RandomSource& random) const
{
    std::uniform_int_distribution<std::size_t> draw { 0, candidates.size() - 1 };
    const auto& first = candidates[draw(random)];
    const auto& second = candidates[draw(random)];
    return this->slots.at(second).runningStatements < this->slots.at(first).runningStatements ? second
                                                                                              : first;
}

/// True while a replica in the session's term or a later one still answers, as its next sample may have
/// caught up.
bool ReplicaTracker::canCatchUp(const Request& request, Instant now) const
{
    return std::any_of(this->slots.begin(), this->slots.end(), [&](const auto& entry) {
        const auto& [name, slot] = entry;
        return this->canServeReads(name, slot, now) && slot.sample.status.progress.term >= request.seen.term;
    });
}

SlotSelection ReplicaTracker::selectPrimary() const
{
    if (this->view.phase != GroupView::Phase::Serving)
        return NoSlotAvailable {};
    return UsePrimary { this->view.primary };
}

} // namespace cyclamendrift
