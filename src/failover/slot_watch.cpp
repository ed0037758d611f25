#include <cyclamendrift/failover/slot_watch.h>

#include <cyclamendrift/failover/failover_error.h>

#include <algorithm>
#include <utility>

namespace cyclamendrift {

SlotWatch::SlotWatch(SlotName name, Instant now)
    : nextProbe(now)
    , nextOrder(now)
    , nextQuestion(now)
    , slotName(std::move(name))
    , lastAnswer(now)
    , lastRelayed(now)
    , lastMove(now)
{
}

void SlotWatch::answered(const StatusSample& sample)
{
    this->lastAnswer = std::max(this->lastAnswer, sample.receivedAt);
    this->siblings.reset();
    this->take(sample);
}

void SlotWatch::relayed(const StatusSample& sample)
{
    this->lastRelayed = std::max(this->lastRelayed, sample.receivedAt);
    this->take(sample);
}

void SlotWatch::refused(Instant now)
{
    this->lastAnswer = std::max(this->lastAnswer, now);
    this->siblings.reset();
}

void SlotWatch::judged(const SiblingsAnswered& answer)
{
    // An answer from before the slot last spoke to this VM says nothing of its silence.
    if (answer.askedAt > this->lastAnswer)
        this->siblings = answer;
}

const SlotStatus& SlotWatch::status() const
{
    if (!this->newest)
        throw FailoverError { "the slot has given no status yet" };
    return this->newest->status;
}

Duration SlotWatch::silenceToAll(Instant now) const noexcept
{
    return now - std::max(this->lastAnswer, this->lastRelayed);
}

void SlotWatch::expect(Progress progress, Instant now)
{
    const bool reached = this->newest && this->newest->status.progress >= progress;
    if (!this->goal && !reached)
        this->goal = Goal { .progress = progress, .since = now };
}

Duration SlotWatch::behind(Instant now) const noexcept
{
    return this->goal ? now - this->goal->since : Duration::zero();
}

void SlotWatch::take(const StatusSample& sample)
{
    // Several connections and siblings bring statuses out of order; an older one must not hide a fence.
    if (this->newest && sample.askedAt < this->newest->askedAt)
        return;
    if (!this->newest || this->newest->status.progress != sample.status.progress)
        this->lastMove = sample.receivedAt;
    this->newest = sample;
    if (this->goal && sample.status.progress >= this->goal->progress)
        this->goal.reset();
}

} // namespace cyclamendrift
