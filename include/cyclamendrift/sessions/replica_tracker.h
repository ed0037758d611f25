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

/// Send the statement to this replica, as [status; statement; status]; see ReplicaTracker::proves.
struct ReadFromReplica {
    SlotName slot;
};
/// Send the statement to the primary; a read's answer then waits in ConfirmationTracker.
struct UsePrimary {
    SlotName slot;
};
/// Ask again at the next sample, or at this time at the latest.
struct WaitForReplica {
    Instant until;
};
/// No slot is good for it now; hold it until the view changes or its deadline.
struct NoSlot { };
/// Where a statement goes.
using SlotChoice = std::variant<ReadFromReplica, UsePrimary, WaitForReplica, NoSlot>;

/// Knows how far each slot has come and picks the one for a statement, so that as many reads as possible go
/// to replicas while sessions read their writes, never go back, and bounded reads keep their bound.
///
///     const auto choice = tracker.choose({ .access = SessionRead {}, .seen = seen, .arrivedAt = now }, now,
///     random);
class ReplicaTracker {
public:
    struct Options {
        /// A replica that has not answered for this long gets no reads.
        Duration silentAfter = std::chrono::seconds { 2 };
        /// How long a read may wait for a replica to catch up before it goes to the primary.
        Duration patience = std::chrono::milliseconds { 5 };
    };

    /// A statement that needs a slot.
    struct Request {
        Access access;
        /// What the session has seen; every read must cover it.
        Progress seen;
        /// When the home took it in; waiting counts from here.
        Instant arrivedAt;
    };

    explicit ReplicaTracker(Options options);

    /// Takes in a view; drops what was known of slots that are no members any more.
    void setView(GroupView view);

    /// Takes in what a slot said of itself, primary or replica.
    void observe(const StatusSample& sample);

    /// Counts a statement in progress at a slot, for the spreading of load.
    void started(const SlotName& slot);
    /// Ends what started() counted.
    void finished(const SlotName& slot) noexcept;
    /// Keeps reads off a slot until its next sample.
    void failed(const SlotName& slot) noexcept;

    /// Where a statement goes now.
    [[nodiscard]] SlotChoice choose(const Request& request, Instant now, RandomSource& random) const;

    /// True when the two statuses read around a statement, on the same connection to a replica, prove that
    /// its rows were fresh enough. When false, the read has to be sent elsewhere. On true, the session has
    /// seen `after.progress`.
    [[nodiscard]] bool proves(
        const Request& request, const SlotStatus& before, const SlotStatus& after, Instant sentAt) const;

    /// How old the data of a replica with this status may be at most; empty when nothing bounds it. The age
    /// is counted from when a covered status of the primary was asked for, so it is true also when the
    /// primary has been out of reach since.
    [[nodiscard]] std::optional<Duration> ageOf(const SlotStatus& replica, Instant now) const;

private:
    struct Slot {
        StatusSample sample;
        std::uint32_t outstanding = 0;
        bool usable = false;
    };
    struct PrimaryPoint {
        Progress progress;
        Instant askedAt;
    };

    [[nodiscard]] bool isFresh(const Request& request, const SlotStatus& status, Instant now) const;
    [[nodiscard]] bool mayRead(const SlotName& name, const Slot& slot, Instant now) const;
    [[nodiscard]] std::vector<SlotName> readableReplicas(const Request& request, Instant now) const;
    [[nodiscard]] const SlotName& leastLoaded(
        const std::vector<SlotName>& candidates, RandomSource& random) const;
    [[nodiscard]] bool mayCatchUp(const Request& request, Instant now) const;
    [[nodiscard]] SlotChoice primaryChoice() const;
    void rememberPrimary(const StatusSample& sample);

    Options options;
    GroupView view;
    std::map<SlotName, Slot> slots;
    std::deque<PrimaryPoint> primaryHistory;
};

} // namespace cyclamendrift
