#include <cyclamendrift/sessions/primary_read.h>

#include <algorithm>
#include <variant>

namespace cyclamendrift {

ConfirmationTracker::Options makePrimaryReadOptions(
    const Access& access, const SlotStatus& after, Instant sentAt, Instant deadline)
{
    auto options = ConfirmationTracker::afterCommit(after, deadline);
    // A slot that has become a replica may lag far behind its new primary; afterCommit() gives up its reads.
    if (!after.primary || std::holds_alternative<SessionRead>(access))
        return options;
    options.notBefore = sentAt;
    // The rows age while the read waits for its confirmation.
    if (const auto* bounded = std::get_if<BoundedRead>(&access))
        options.deadline = std::min(options.deadline, sentAt + bounded->maxStaleness);
    return options;
}

} // namespace cyclamendrift
