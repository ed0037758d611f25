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

/// State machine that keeps one database group served by a primary: detects that the primary has failed,
/// promotes another slot and makes the remaining slots replicate from it. Performs no I/O; the caller passes
/// in events and carries out the returned actions. Not thread-safe.
///
/// Any number of VMs may run a coordinator for the same group, and each may stop for any time at any point:
/// the group record in the store arbitrates between them, and slots reject lower terms.
///
///     FailoverCoordinator coordinator { { .vm = self, .slots = slots, .seed = seed } };
///     for (const auto& action : coordinator.handle(SlotAnswered { sample }, now))
///         begin(action);
class FailoverCoordinator {
public:
    struct Options {
        VmName vm;
        std::vector<SlotName> slots;
        /// Rank among the home proxies of the database, from 0; higher ranks act later.
        std::size_t rank = 0;
        FailoverSettings settings;
        Instant startedAt;
        /// Random seed for change ids; must differ between coordinators, since change ids must be unique.
        std::uint64_t seed = 0;
    };

    explicit FailoverCoordinator(Options options);

    /// Processes an event and returns the actions to start.
    [[nodiscard]] FailoverActions handle(const FailoverEvent& event, Instant now);

    /// Processes the passage of time; to be called about every 50 ms.
    [[nodiscard]] FailoverActions tick(Instant now);

    /// Returns the view that was published last.
    [[nodiscard]] const GroupView& view() const noexcept { return this->publishedView; }

private:
    /// Reason for claiming a term.
    enum class Purpose : std::uint8_t { ReplacePrimary, AddReplica };

    /// Progress of a term change by this VM, from the claim to the selection of the primary.
    struct Attempt {
        Term term {};
        Purpose purpose = Purpose::ReplacePrimary;
        /// Slots that are selected only if no other slot is as safe.
        std::vector<SlotName> avoided;
        /// Replicas to add to the in-sync set.
        std::vector<SlotName> joining;
        /// True once the record contains the claim.
        bool claimed = false;
        /// Slots fenced at `term`, with the final progress of their logs.
        std::map<SlotName, Progress> fenced;
        std::optional<Instant> enoughFencedAt;
    };

    /// A compare-and-swap of the record whose outcome is not known yet.
    struct PendingSwap {
        SwapRecord swap;
        /// True if the call got no answer, so that only reading the record can show its outcome.
        bool unanswered = false;
    };

    // Reading and writing the group record.
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

    // Slot status and failure detection.
    void on(const SlotAnswered& event);
    void on(const SlotUnreachable& event);
    void on(const SlotRefused& event);
    void on(const SiblingsAnswered& event);
    void on(const LeavingSlotsChanged& event);
    void probeDueSlots();
    void askSiblingsAbout(SlotMonitor& slot);
    [[nodiscard]] bool isDown(const SlotMonitor& slot) const;

    // Term changes and promotion.
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

    // Maintenance of a settled group.
    void applyRecord();
    void promoteRecordedPrimary(SlotMonitor& primary);
    void redirectReplicas(const SlotMonitor& primary);
    void updateCaughtUpSince(SlotMonitor& slot);
    void setReplicaTargets(const StatusSample& sample);
    [[nodiscard]] bool hasFallenBehind(const SlotMonitor& replica) const;
    void shrinkInSyncSetIfNeeded();
    void rejoinCaughtUpReplicas();
    [[nodiscard]] bool isServing() const;
    void publishViewIfChanged();

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
    /// True once the store has answered that there is no record.
    bool recordAbsent = false;
    /// True while a slot reports a higher term than the known record.
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
