#include <cyclamendrift/failover/slot_monitor.h>

#include <cyclamendrift/failover/failover_error.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

SlotMonitor::SlotMonitor(SlotName name, Instant now)
    : nextProbeAt(now)
    , nextOrderAt(now)
    , nextSiblingQueryAt(now)
    , slotName(std::move(name))
    , lastAnswerAt(now)
    , lastRelayedAt(now)
    , lastProgressAt(now)
{
}

void SlotMonitor::onAnswered(const StatusSample& sample)
{
    this->lastAnswerAt = std::max(this->lastAnswerAt, sample.receivedAt);
    this->lastSiblingsAnswer.reset();
    this->acceptSample(sample);
}

void SlotMonitor::onRelayed(const StatusSample& sample)
{
    this->lastRelayedAt = std::max(this->lastRelayedAt, sample.receivedAt);
    this->acceptSample(sample);
}

void SlotMonitor::onRefused(Instant now)
{
    this->lastAnswerAt = std::max(this->lastAnswerAt, now);
    this->lastSiblingsAnswer.reset();
}

void SlotMonitor::onSiblingsAnswered(const SiblingsAnswered& answer)
{
    // Reports requested before the slot last answered this VM say nothing about the time since then.
    if (answer.askedAt > this->lastAnswerAt)
        this->lastSiblingsAnswer = answer;
}

const SlotStatus& SlotMonitor::status() const
{
    if (!this->newestSample)
        throw FailoverError { "the slot has not returned a status yet" };
    return this->newestSample->status;
}

Duration SlotMonitor::timeSinceAnyAnswer(Instant now) const noexcept
{
    return now - std::max(this->lastAnswerAt, this->lastRelayedAt);
}

void SlotMonitor::setTarget(Progress progress, Instant now)
{
    const bool reached = this->newestSample && this->newestSample->status.progress >= progress;
    if (!this->target && !reached)
        this->target = Target { .progress = progress, .since = now };
}

Duration SlotMonitor::timeBehind(Instant now) const noexcept
{
    return this->target ? now - this->target->since : Duration::zero();
}

void SlotMonitor::acceptSample(const StatusSample& sample)
{
    // Statuses from several connections and siblings arrive out of order; an older one must not hide a fence.
    if (this->newestSample && sample.askedAt < this->newestSample->askedAt)
        return;
    if (!this->newestSample || this->newestSample->status.progress != sample.status.progress)
        this->lastProgressAt = sample.receivedAt;
    this->newestSample = sample;
    if (this->target && sample.status.progress >= this->target->progress)
        this->target.reset();
}

} // namespace cyclamendrift
