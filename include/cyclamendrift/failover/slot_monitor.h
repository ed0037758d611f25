#pragma once

#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/failover/failover_events.h>

#include <cstddef>
#include <optional>

namespace cyclamendrift {

/// What one VM knows of one slot over time: its last status, since when it is silent, and since when it is
/// behind its primary.
class SlotMonitor {
public:
    SlotMonitor(SlotName name, Instant now);

    [[nodiscard]] const SlotName& name() const noexcept { return this->slotName; }

    /// Takes in a status that this VM got itself.
    void onAnswered(const StatusSample& sample);
    /// Takes in a status that a sibling got.
    void onRelayed(const StatusSample& sample);
    /// Takes in an error answer, which shows that it lives.
    void onRefused(Instant now);
    /// Takes in what siblings said.
    void onSiblingsAnswered(const SiblingsAnswered& answer);

    /// The newest status, by when it was asked for; empty when there is none.
    [[nodiscard]] const std::optional<StatusSample>& latestSample() const noexcept
    {
        return this->newestSample;
    }
    /// The newest status; throws FailoverError when there is none.
    [[nodiscard]] const SlotStatus& status() const;
    /// Since when it has not answered this VM.
    [[nodiscard]] Duration timeSinceAnswer(Instant now) const noexcept { return now - this->lastAnswerAt; }
    /// Since when it has not answered anyone, as far as this VM knows.
    [[nodiscard]] Duration timeSinceAnyAnswer(Instant now) const noexcept;
    /// What siblings said last, unless the slot has answered since.
    [[nodiscard]] const std::optional<SiblingsAnswered>& siblingsAnswer() const noexcept
    {
        return this->lastSiblingsAnswer;
    }

    /// Sets the position of its primary that it should reach, if it has none to reach now.
    void setTarget(Progress target, Instant now);
    /// For how long it has not reached what its primary had.
    [[nodiscard]] Duration timeBehind(Instant now) const noexcept;
    /// For how long its log has not moved.
    [[nodiscard]] Duration timeSinceProgress(Instant now) const noexcept
    {
        return now - this->lastProgressAt;
    }
    /// Forgets what it was expected to reach; for a new term.
    void clearTarget() noexcept { this->target.reset(); }

    /// Since when it keeps up with its primary; empty when it does not.
    std::optional<Instant> caughtUpSince;
    /// Times at which something may next be sent to it.
    Instant nextProbeAt;
    Instant nextOrderAt;
    Instant nextSiblingQueryAt;
    /// Since when it answers as something other than the record says.
    std::optional<Instant> notActingSince;

private:
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
