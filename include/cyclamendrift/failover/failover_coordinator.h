#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/failover/failover_actions.h>
#include <cyclamendrift/failover/failover_events.h>
#include <cyclamendrift/failover/failover_settings.h>
#include <cyclamendrift/failover/slot_monitor.h>

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
    [[nodiscard]] const GroupView& view() const noexcept { return this->publishedView; }

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
    void on(const RecordReadFailed& event);
    void on(const RecordSwapped& event);
    void on(const RecordConflict& event);
    void on(const RecordSwapUnanswered& event);
    void adoptRecord(const VersionedRecord& stored);
    void adoptOwnRecord(GroupRecord record, std::uint64_t revision);
    void resolveSwap(const RecordRead& event);
    void readRecordIfDue();
    [[nodiscard]] Duration recordReadInterval() const noexcept;
    void swap(GroupRecord record);
    [[nodiscard]] std::string makeChangeId();

    // What is known of the slots.
    void on(const SlotAnswered& event);
    void on(const SlotUnreachable& event);
    void on(const SlotRefused& event);
    void on(const SiblingsAnswered& event);
    void on(const LeavingSlotsChanged& event);
    void probeDueSlots();
    void askSiblingsAbout(SlotMonitor& slot);
    [[nodiscard]] bool isDown(const SlotMonitor& slot) const;

    // Promotion.
    void replacePrimaryIfNeeded();
    void takeOverPromotionIfStalled();
    void claimTerm(Purpose purpose, std::vector<SlotName> avoided, std::vector<SlotName> joining);
    [[nodiscard]] bool enoughSlotsReachable(const std::vector<SlotName>& avoided) const;
    [[nodiscard]] bool mustReplace(const SlotMonitor& primary) const;
    [[nodiscard]] bool hasSteppedDown(const SlotMonitor& primary) const;
    [[nodiscard]] bool isStalled(const SlotMonitor& primary) const;
    [[nodiscard]] bool canReplaceLeaving(const SlotMonitor& primary) const;
    void fenceRemainingSlots();
    void recordFence(const StatusSample& sample);
    void selectPrimaryIfSafe();
    [[nodiscard]] bool othersMayStillAnswer();
    void writeSelection(const SlotName& selected);

    // What keeps a settled group whole.
    void applyRecord();
    void promoteRecordedPrimary(SlotMonitor& primary);
    void redirectReplicas(const SlotMonitor& primary);
    void updateCaughtUpSince(SlotMonitor& slot);
    void setReplicaTargets(const StatusSample& sample);
    [[nodiscard]] bool hasFallenBehind(const SlotMonitor& replica) const;
    void shrinkInSyncSetIfNeeded();
    void rejoinCaughtUpReplicas();
    [[nodiscard]] bool isServing() const;
    void publish();

    void advance();
    [[nodiscard]] const GroupRecord& record() const;
    [[nodiscard]] Attempt& ownAttempt();
    void bootstrap();
    [[nodiscard]] SlotMonitor* find(const SlotName& name);
    [[nodiscard]] const SlotMonitor* find(const SlotName& name) const;
    [[nodiscard]] bool isActingPrimary(const SlotMonitor& slot) const;
    [[nodiscard]] bool isResponsive(const SlotMonitor& slot) const noexcept;
    [[nodiscard]] bool isLeaving(const SlotName& name) const;
    [[nodiscard]] bool usesMajority() const noexcept;
    [[nodiscard]] Duration rankDelay() const noexcept;
    [[nodiscard]] Term highestTermSeen() const;
    [[nodiscard]] FailoverActions decideActions();

    Options options;
    RandomSource random;
    Instant now;
    std::vector<SlotMonitor> slots;
    std::vector<SlotName> leaving;
    std::optional<VersionedRecord> current;
    /// True once the store said that there is no record.
    bool recordAbsent = false;
    /// True while a slot shows a term that the record as known does not explain.
    bool recordMayBeOutdated = false;
    bool readingRecord = false;
    std::optional<Instant> lastReadAt;
    Instant adoptedAt;
    std::optional<PendingSwap> pendingSwap;
    std::optional<Attempt> attempt;
    Duration rejoinDelay {};
    std::optional<Instant> lastRejoinAt;
    GroupView publishedView;
    FailoverActions actions;
};

} // namespace cyclamendrift
