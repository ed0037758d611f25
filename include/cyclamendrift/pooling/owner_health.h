#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <map>
#include <vector>

namespace cyclamendrift {

/// Tracks which owner VMs can be reached. A statement may take long because it is slow, or because the
/// network to its owner is interrupted. An owner that has not answered for a while therefore gets a liveness
/// check; one that fails the check counts as unreachable until it answers again. VMs of one availability zone
/// tend to fail together, so the others of that zone are suspected and checked as well.
///
///     for (const auto& owner : health.beginDueChecks(now))
///         checkLiveness(owner);
class OwnerHealth {
public:
    /// Sets the owners at which statements wait, each with the time of its oldest statement.
    void recordWaiting(const std::map<VmName, Instant>& oldest);
    /// Records that an owner has answered any request.
    void answered(const VmName& owner, Instant now);

    /// Starts the checks that are due and returns the owners to check.
    [[nodiscard]] std::vector<VmName> beginDueChecks(Instant now);
    /// Records the result of a check. Returns true when the owner has become unreachable by it.
    [[nodiscard]] bool checkEnded(const VmName& owner, bool alive, Instant now);

    /// Suspects VMs that share an availability zone with one that has become unreachable, unless they have
    /// answered lately. They count as unreachable until they have been checked.
    void suspect(const std::vector<VmName>& sameZone, Instant now);

    [[nodiscard]] bool isUnreachable(const VmName& owner) const;

private:
    struct Owner {
        Instant waitingSince = Instant::max();
        Instant lastAnswerAt = Instant::min();
        Instant nextCheckAt = Instant::min();
        bool checking = false;
        bool unreachable = false;
        bool suspected = false;
        /// Start of the time in which it has been unreachable.
        Instant unreachableSince = Instant::min();
    };

    std::map<VmName, Owner> owners;
};

} // namespace cyclamendrift
