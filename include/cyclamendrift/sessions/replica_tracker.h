#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/core/statement.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace cyclamendrift {

/// Send the statement to this replica, between two status queries; see ReplicaTracker::provesFreshness().
struct ReadFromReplica {
    SlotName slot;
};
/// Send the statement to the primary. The answer of a read has to be confirmed through ConfirmationTracker.
struct UsePrimary {
    SlotName slot;
};
/// Call selectSlot() again after the next status sample, or at `until` at the latest.
struct WaitForReplica {
    Instant until;
};
/// No slot can take the statement; hold it until the view changes or its deadline passes.
struct NoSlotAvailable { };
/// The slot for a statement, or what to wait for.
using SlotSelection = std::variant<ReadFromReplica, UsePrimary, WaitForReplica, NoSlotAvailable>;

/// Tracks the progress of each slot of a group and selects the slot for a statement. Sends as many reads as
/// possible to replicas while it keeps read-your-writes, monotonic reads and the bounds of bounded reads.
///
///     const auto selection
///         = tracker.selectSlot({ .access = SessionRead {}, .seen = seen, .arrivedAt = now }, now, random);
class ReplicaTracker {
public:
    struct Options {
        /// Longest time since a replica's last status at which it still gets reads.
        Duration maxSilence = std::chrono::seconds { 2 };
        /// Longest time that a read waits for a replica to catch up before it goes to the primary.
        Duration maxCatchUpWait = std::chrono::milliseconds { 5 };
    };

    /// A statement that needs a slot.
    struct Request {
        Access access;
        /// The progress that the session has seen; a read needs a slot that has reached it.
        Progress seen;
        /// When the home proxy received the statement; maxCatchUpWait starts here.
        Instant arrivedAt;
    };

    explicit ReplicaTracker(Options options);

    /// Replaces the view unless its term is older, and forgets slots that are no longer members.
    void setView(GroupView view);

    /// Records a status sample of the primary or of a replica.
    void observe(const StatusSample& sample);

    /// Counts a statement that runs at a slot, for load balancing.
    void started(const SlotName& slot);
    /// Reports the end of a statement that was reported by started().
    void finished(const SlotName& slot) noexcept;
    /// Excludes a slot from reads until its next status sample.
    void failed(const SlotName& slot) noexcept;

    /// Selects the slot for a statement.
    [[nodiscard]] SlotSelection selectSlot(const Request& request, Instant now, RandomSource& random) const;

    /// True if the statuses read before and after a statement, on the same connection to a replica, prove
    /// that its rows were fresh enough; the session has then seen `after.progress`. If false, the read has to
    /// be sent to another slot.
    [[nodiscard]] bool provesFreshness(
        const Request& request, const SlotStatus& before, const SlotStatus& after, Instant sentAt) const;

    /// Returns an upper bound on the staleness of a replica with this status; empty if there is none. The
    /// bound counts from when the newest primary status that the replica covers was requested, so it also
    /// holds while the primary cannot be reached.
    [[nodiscard]] std::optional<Duration> stalenessBound(const SlotStatus& replica, Instant now) const;

private:
    struct Slot {
        StatusSample sample;
        std::uint32_t runningStatements = 0;
        bool usable = false;
    };
    struct PrimaryProgressSample {
        Progress progress;
        Instant askedAt;
    };

    [[nodiscard]] bool isFresh(const Request& request, const SlotStatus& status, Instant now) const;
    [[nodiscard]] bool canServeReads(const SlotName& name, const Slot& slot, Instant now) const;
    [[nodiscard]] std::vector<SlotName> readableReplicas(const Request& request, Instant now) const;
    [[nodiscard]] const SlotName& selectLessLoaded(
        const std::vector<SlotName>& candidates, RandomSource& random) const;
    [[nodiscard]] bool canCatchUp(const Request& request, Instant now) const;
    [[nodiscard]] SlotSelection selectPrimary() const;
    void recordPrimaryProgress(const StatusSample& sample);

    Options options;
    GroupView view;
    std::map<SlotName, Slot> slots;
    std::deque<PrimaryProgressSample> primaryHistory;
};

} // namespace cyclamendrift
