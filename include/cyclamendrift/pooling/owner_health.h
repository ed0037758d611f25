#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <map>
#include <vector>

namespace cyclamendrift {

/// Which homes can be reached. A statement may take long because it is slow, or because nothing gets through
/// to its home; a home that is slow to answer is therefore asked for a sign of life, and one that gives none
/// is out of reach until it does.
///
///     for (const auto& home : health.due(now))
///         askForSignOfLife(home);
class OwnerHealth {
public:
    /// Statements wait at these homes, the oldest of each since that instant.
    void recordWaiting(const std::map<VmName, Instant>& oldest);
    /// A home has answered something.
    void answered(const VmName& owner, Instant now);

    /// The homes to ask for a sign of life now; each counts as asked.
    [[nodiscard]] std::vector<VmName> beginDueChecks(Instant now);
    /// Takes in what came of a question; returns true when the home is newly out of reach.
    [[nodiscard]] bool checkEnded(const VmName& owner, bool alive, Instant now);

    [[nodiscard]] bool isUnreachable(const VmName& owner) const;

private:
    struct Owner {
        Instant waitingSince = Instant::max();
        Instant lastAnswerAt = Instant::min();
        Instant nextCheckAt = Instant::min();
        bool checking = false;
        bool unreachable = false;
        /// Since when it has been out of reach.
        Instant unreachableSince = Instant::min();
    };

    std::map<VmName, Owner> owners;
};

} // namespace cyclamendrift
