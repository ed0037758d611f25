#include <cyclamendrift/sessions/primary_read.h>

#include <algorithm>
#include <variant>

namespace cyclamendrift {

Acknowledgements::Options confirmationOfPrimaryRead(
    const Access& access, Progress progress, Instant sentAt, Instant deadline)
{
    Acknowledgements::Options options { .progress = progress, .deadline = deadline };
    if (std::holds_alternative<SessionRead>(access))
        return options;
    options.notBefore = sentAt;
    // A confirmation can be long in coming; by then the rows are as old as the wait.
    if (const auto* bounded = std::get_if<BoundedRead>(&access))
        options.deadline = std::min(deadline, sentAt + bounded->maxStaleness);
    return options;
}

} // namespace cyclamendrift
