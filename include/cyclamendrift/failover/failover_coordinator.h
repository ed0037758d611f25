#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/failover/failover_actions.h>
#include <cyclamendrift/failover/failover_events.h>
#include <cyclamendrift/failover/failover_settings.h>
#include <cyclamendrift/failover/slot_watch.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamendrift {

/// Keeps a primary for one database, as seen from one VM: finds out that it failed, replaces it, and brings
/// the other slots behind the new one. Any number of VMs may run one for the same database, and each may stop
/// for any time at any point: the record in the store decides between them, and slots refuse lower terms.
///
///     FailoverCoordinator coordinator { { .vm = self, .slots = slots, .seed = seed } };
///     for (const auto& action : coordinator.handle(SlotAnswered { sample }, now))
///         begin(action);
class FailoverCoordinator {
public:
    struct Options {
        VmName vm;
        std::vector<SlotName> slots;
        /// Place among the homes of the database, 0 for the first.
        std::size_t rank = 0;
        FailoverSettings settings;
        Instant startedAt;
        /// Makes change ids unique; two coordinators must not share one.
        std::uint64_t seed = 0;
    };

    explicit FailoverCoordinator(Options options);

    /// Takes in an event.
    [[nodiscard]] FailoverActions handle(const FailoverEvent& event, Instant now);

    /// To be called every 50 ms or so.
    [[nodiscard]] FailoverActions tick(Instant now);

    /// The view as it was last published.
    [[nodiscard]] const GroupView& view() const noexcept { return this->published; }

private:
    /// Why a term was claimed.
    enum class Purpose : std::uint8_t { ReplacePrimary, AddReplica };

    /// A term that this VM has claimed, or is claiming.
    struct Attempt {
        Term term {};
        Purpose purpose = Purpose::ReplacePrimary;
        std::vector<SlotName> avoided;
        std::vector<SlotName> joining;
        /// True once the record holds the claim.
        bool claimed = false;
        std::map<SlotName, Progress> fenced;
        std::optional<Instant> enoughFencedAt;
    };

    /// A swap whose outcome is not known yet.
    struct PendingSwap {
        SwapRecord swap;
        bool unanswered = false;
    };

    // What is known of the record.
    void on(const RecordRead& event);
    void on(const RecordUnavailable& event);
    void on(const RecordSwapped& event);
    void on(const RecordConflict& event);
    void on(const RecordSwapUnanswered& event);
    void adopt(const RevisedRecord& revised);
    void adoptOwn(GroupRecord record, std::uint64_t revision);
    void resolveSwap(const RecordRead& event);
    void readRecordIfDue();
    [[nodiscard]] Duration recordInterval() const noexcept;
    void swap(GroupRecord record);
    [[nodiscard]] std::string newChangeId();

    // What is known of the slots.
    void on(const SlotAnswered& event);
    void on(const SlotSilent& event);
    void on(const SlotRefused& event);
    void on(const SiblingsAnswered& event);
    void on(const LeavingChanged& event);
    void probe();
    void askSiblingsAbout(SlotWatch& slot);
    [[nodiscard]] bool isGone(const SlotWatch& slot) const;

    // Promotion.
    void considerPromotion();
    void considerTakeover();
    void claim(Purpose purpose, std::vector<SlotName> avoided, std::vector<SlotName> joining);
    [[nodiscard]] bool enoughReachable(const std::vector<SlotName>& avoided) const;
    [[nodiscard]] bool mustReplace(const SlotWatch& primary) const;
    [[nodiscard]] bool hasResigned(const SlotWatch& primary) const;
    [[nodiscard]] bool isStalled(const SlotWatch& primary) const;
    [[nodiscard]] bool canReplaceLeaving(const SlotWatch& primary) const;
    void fenceRemaining();
    void noteFence(const StatusSample& sample);
    void chooseIfSure();
    [[nodiscard]] bool othersMayStillAnswer();
    void writeChoice(const SlotName& chosen);

    // What keeps a settled group whole.
    void carryOutRecord();
    void promoteChosen(SlotWatch& primary);
    void bringBehind(const SlotWatch& primary);
    void noteKeepingUp(SlotWatch& slot);
    void expectOfReplicas(const StatusSample& sample);
    [[nodiscard]] bool hasFallenOut(const SlotWatch& replica) const;
    void considerShrink();
    void considerRejoin();
    [[nodiscard]] bool isServing() const;
    void publish();

    void act();
    [[nodiscard]] const GroupRecord& record() const;
    [[nodiscard]] Attempt& ownAttempt();
    void bootstrap();
    [[nodiscard]] SlotWatch* find(const SlotName& name);
    [[nodiscard]] const SlotWatch* find(const SlotName& name) const;
    [[nodiscard]] bool isActing(const SlotWatch& slot) const;
    [[nodiscard]] bool answersNow(const SlotWatch& slot) const noexcept;
    [[nodiscard]] bool isLeaving(const SlotName& name) const;
    [[nodiscard]] bool usesMajority() const noexcept;
    [[nodiscard]] Duration rankDelay() const noexcept;
    [[nodiscard]] Term highestTermSeen() const;
    [[nodiscard]] FailoverActions finish();

    Options options;
    RandomSource random;
    Instant now;
    std::vector<SlotWatch> slots;
    std::vector<SlotName> leaving;
    std::optional<RevisedRecord> current;
    /// True once the store said that there is no record.
    bool absent = false;
    /// True while a slot shows a term that the record as known does not explain.
    bool doubted = false;
    bool readingRecord = false;
    std::optional<Instant> lastRead;
    Instant adoptedAt;
    std::optional<PendingSwap> pendingSwap;
    std::optional<Attempt> attempt;
    Duration rejoinAfter {};
    std::optional<Instant> lastRejoin;
    GroupView published;
    FailoverActions actions;
};

} // namespace cyclamendrift
