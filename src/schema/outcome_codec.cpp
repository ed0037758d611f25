#include <cyclamendrift/schema/outcome_codec.h>

namespace cyclamendrift {

api::Outcome wireOutcome(Outcome outcome) noexcept
{
    switch (outcome) {
    case Outcome::NotRun:
        return api::OUTCOME_NOT_RUN;
    case Outcome::Unknown:
        return api::OUTCOME_UNKNOWN;
    case Outcome::RanAndFailed:
        return api::OUTCOME_RAN_AND_FAILED;
    }
    return api::OUTCOME_UNKNOWN;
}

/// Anything that a newer process may come to say and this one does not know leaves the outcome unknown.
Outcome outcomeFrom(api::Outcome outcome) noexcept
{
    if (outcome == api::OUTCOME_NOT_RUN)
        return Outcome::NotRun;
    if (outcome == api::OUTCOME_RAN_AND_FAILED)
        return Outcome::RanAndFailed;
    return Outcome::Unknown;
}

} // namespace cyclamendrift
