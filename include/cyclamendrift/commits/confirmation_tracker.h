#pragma once

#include <cyclamendrift/commits/group_view.h>
#include <cyclamendrift/commits/status_sample.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cyclamendrift {

/// Identifies one commit or primary read that waits for its confirmation.
enum class ConfirmationTicket : std::uint64_t {};

/// Tracks commits and primary reads until no possible promotion can lose what their answers report. Reads
/// wait as well: data that only the primary holds may be lost with it, and the session would then read an
/// older state than before.
///
///     const auto ticket = tracker.add({ .progress = answer.progress, .deadline = deadline });
///     tracker.observe(sampleOfReplica);
///     for (const auto confirmed : tracker.take(now).confirmed)
///         answer(confirmed);
class ConfirmationTracker {
public:
    struct Options {
        /// Progress that the primary reported after the commit or read, on the same connection.
        Progress progress;
        /// Samples requested before this time do not confirm. Leave it unset for a write. A read that must
        /// come from the current primary sets the time at which it was sent: a replica that is still in the
        /// term at a later time proves that no other primary had been promoted.
        Instant notBefore = Instant::min();
        /// Time after which the ticket is settled as unconfirmed.
        Instant deadline = Instant::max();
    };

    /// Tickets that were settled by one call of take(); each ticket is reported once.
    struct Settled {
        /// Commits and reads whose data every possible promotion keeps.
        std::vector<ConfirmationTicket> confirmed;
        /// To be answered at once: the outcome of a write is unknown, a read has had no effect.
        std::vector<ConfirmationTicket> unconfirmed;
    };

    /// Returns what a commit waits for, from the status that was read after it on the same connection. The
    /// status of a slot that is no longer the primary proves nothing, so the next take() reports such a
    /// commit as unconfirmed.
    ///
    ///     tracker.add(ConfirmationTracker::afterCommit(status, deadline));
    [[nodiscard]] static Options afterCommit(const SlotStatus& status, Instant deadline) noexcept;

    /// Adds a commit or read. If it needs no confirmation, the next take() returns it.
    [[nodiscard]] ConfirmationTicket add(Options options);

    /// Removes a ticket whose caller has disconnected.
    void cancel(ConfirmationTicket ticket) noexcept;

    /// Records the status of a slot.
    void observe(const StatusSample& sample);

    /// Replaces the view unless its term is older. At the next take(), commits of an older term stay pending
    /// if the new primary is known to have them; the others are unconfirmed.
    void setView(GroupView view);

    /// Removes the tickets that are settled at `now` and returns them.
    [[nodiscard]] Settled take(Instant now);

    /// Earliest deadline of a pending ticket, at which take() must be called; empty when none is pending.
    [[nodiscard]] std::optional<Instant> nextDeadline() const noexcept;

    /// Number of pending tickets.
    [[nodiscard]] std::size_t waiting() const noexcept { return this->pending.size(); }

private:
    [[nodiscard]] bool isConfirmed(const Options& options) const;
    [[nodiscard]] bool confirms(const SlotName& slot, const Options& options) const;
    [[nodiscard]] bool failsToCarryOver(Options& options) const;

    GroupView view;
    std::map<SlotName, StatusSample> latestSamples;
    std::map<ConfirmationTicket, Options> pending;
    std::uint64_t lastTicket = 0;
};

} // namespace cyclamendrift
