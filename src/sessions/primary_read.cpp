#include <cyclamendrift/sessions/primary_read.h>

#include <algorithm>
#include <variant>

namespace cyclamendrift {

ConfirmationTracker::Options confirmationOfPrimaryRead(
    const Access& access, const SlotStatus& after, Instant sentAt, Instant deadline)
{
    auto options = ConfirmationTracker::afterCommit(after, deadline);
    // A slot that has become a replica meanwhile may be far behind its new primary.
    if (!after.primary || std::holds_alternative<SessionRead>(access))
        return options;
    options.notBefore = sentAt;
    // A confirmation can be long in coming; by then the rows are as old as the wait.
    if (const auto* bounded = std::get_if<BoundedRead>(&access))
        options.deadline = std::min(options.deadline, sentAt + bounded->maxStaleness);
    return options;
}

} // namespace cyclamendrift
