#pragma once

#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/failover/failover_events.h>

#include <cstddef>
#include <optional>

namespace cyclamendrift {

/// Tracks one slot as seen from one VM: its newest status, the time since its last answer, and for how long
/// it has lagged behind its primary.
class SlotMonitor {
public:
    SlotMonitor(SlotName name, Instant now);

    [[nodiscard]] const SlotName& name() const noexcept { return this->slotName; }

    /// Records a status that the slot returned to this VM.
    void onAnswered(const StatusSample& sample);
    /// Records a status that the slot returned to a sibling.
    void onRelayed(const StatusSample& sample);
    /// Records an error answer, which shows that the slot is alive.
    void onRefused(Instant now);
    /// Records the reports of siblings about the slot.
    void onSiblingsAnswered(const SiblingsAnswered& answer);

    /// The status that was requested last; empty if there is none.
    [[nodiscard]] const std::optional<StatusSample>& latestSample() const noexcept
    {
        return this->newestSample;
    }
    /// The status that was requested last; throws FailoverError if there is none.
    [[nodiscard]] const SlotStatus& status() const;
    /// Time since the slot last answered this VM, or since construction if it never has.
    [[nodiscard]] Duration timeSinceAnswer(Instant now) const noexcept { return now - this->lastAnswerAt; }
    /// Time since the slot last answered this VM or a sibling that reported a status.
    [[nodiscard]] Duration timeSinceAnyAnswer(Instant now) const noexcept;
    /// The last reports of siblings; empty if the slot has answered this VM since.
    [[nodiscard]] const std::optional<SiblingsAnswered>& siblingsAnswer() const noexcept
    {
        return this->lastSiblingsAnswer;
    }

    /// Sets the progress that the replica should reach, unless it has reached it or has a target already.
    void setTarget(Progress target, Instant now);
    /// Time since the current target was set; zero if there is none.
    [[nodiscard]] Duration timeBehind(Instant now) const noexcept;
    /// Time since the slot last reported a change of its progress.
    [[nodiscard]] Duration timeSinceProgress(Instant now) const noexcept
    {
        return now - this->lastProgressAt;
    }
    /// Removes the target; for a new term.
    void clearTarget() noexcept { this->target.reset(); }

    /// Since when the replica has kept up with its primary; empty while it lags.
    std::optional<Instant> caughtUpSince;
    /// Earliest times of the next probe, the next order (fence, promote or follow) and the next question to
    /// siblings about the slot.
    Instant nextProbeAt;
    Instant nextOrderAt;
    Instant nextSiblingQueryAt;
    /// Since when the primary of the record has answered without acting as primary; else empty.
    std::optional<Instant> notActingSince;

private:
    /// Progress of the primary that the replica has to reach.
    struct Target {
        Progress progress;
        Instant since;
    };

    void acceptSample(const StatusSample& sample);

    SlotName slotName;
    std::optional<StatusSample> newestSample;
    Instant lastAnswerAt;
    Instant lastRelayedAt;
    Instant lastProgressAt;
    std::optional<SiblingsAnswered> lastSiblingsAnswer;
    std::optional<Target> target;
};

} // namespace cyclamendrift
