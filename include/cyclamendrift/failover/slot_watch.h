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
class SlotWatch {
public:
    SlotWatch(SlotName name, Instant now);

    [[nodiscard]] const SlotName& name() const noexcept { return this->slotName; }

    /// Takes in a status that this VM got itself.
    void answered(const StatusSample& sample);
    /// Takes in a status that a sibling got.
    void relayed(const StatusSample& sample);
    /// Takes in an error answer, which shows that it lives.
    void refused(Instant now);
    /// Takes in what siblings said.
    void judged(const SiblingsAnswered& answer);

    /// The newest status, by when it was asked for; empty when there is none.
    [[nodiscard]] const std::optional<StatusSample>& latest() const noexcept { return this->newest; }
    /// The newest status; throws FailoverError when there is none.
    [[nodiscard]] const SlotStatus& status() const;
    /// Since when it has not answered this VM.
    [[nodiscard]] Duration silence(Instant now) const noexcept { return now - this->lastAnswer; }
    /// Since when it has not answered anyone, as far as this VM knows.
    [[nodiscard]] Duration silenceToAll(Instant now) const noexcept;
    /// What siblings said last, unless the slot has answered since.
    [[nodiscard]] const std::optional<SiblingsAnswered>& judgement() const noexcept { return this->siblings; }

    /// Sets the position of its primary that it should reach, if it has none to reach now.
    void expect(Progress goal, Instant now);
    /// For how long it has not reached what its primary had.
    [[nodiscard]] Duration behind(Instant now) const noexcept;
    /// For how long its log has not moved.
    [[nodiscard]] Duration still(Instant now) const noexcept { return now - this->lastMove; }
    /// Forgets what it was expected to reach; for a new term.
    void forgetGoal() noexcept { this->goal.reset(); }

    /// Since when it keeps up with its primary; empty when it does not.
    std::optional<Instant> keepsUpSince;
    /// Times at which something may next be sent to it.
    Instant nextProbe;
    Instant nextOrder;
    Instant nextQuestion;
    /// Since when it answers as something other than the record says.
    std::optional<Instant> amissSince;

private:
    struct Goal {
        Progress progress;
        Instant since;
    };

    void take(const StatusSample& sample);

    SlotName slotName;
    std::optional<StatusSample> newest;
    Instant lastAnswer;
    Instant lastRelayed;
    Instant lastMove;
    std::optional<SiblingsAnswered> siblings;
    std::optional<Goal> goal;
};

} // namespace cyclamendrift
