#include <cyclamendrift/pooling/progress_history.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Routes allow a staleness of a few seconds, so no read uses older observations.
constexpr Duration maxObservationAge = std::chrono::seconds { 10 };
// Observations at shorter intervals make little difference to what a replica must have reached.
constexpr Duration minObservationInterval = std::chrono::milliseconds { 20 };

} // namespace

void ProgressHistory::record(const Observation& observation)
{
    if (!this->observations.empty() && observation.progress.term < this->observations.back().progress.term)
        return;
    if (!this->observations.empty() && observation.progress.term > this->observations.back().progress.term)
        this->observations.clear();
    if (!this->observations.empty()
        && observation.seenAt < this->observations.back().seenAt + minObservationInterval)
        return;
    // A position that was reached earlier is still reached. Positions therefore never decrease, which allows
    // a binary search.
    auto recorded = observation;
    if (!this->observations.empty())
        recorded.progress = std::max(recorded.progress, this->observations.back().progress);
    this->observations.push_back(recorded);
    while (this->observations.front().seenAt + maxObservationAge < observation.seenAt)
        this->observations.pop_front();
}

std::optional<ProgressHistory::Observation> ProgressHistory::oldestCovering(Instant instant) const
{
    const auto fresh = std::lower_bound(this->observations.begin(), this->observations.end(), instant,
        [](const Observation& observation, Instant wanted) { return observation.seenAt < wanted; });
    return fresh == this->observations.end() ? std::nullopt : std::optional { *fresh };
}

Duration ProgressHistory::lagOf(const Progress& progress, Instant now) const
{
    const auto beyond = std::partition_point(this->observations.begin(), this->observations.end(),
        [&progress](const Observation& observation) { return observation.progress <= progress; });
    return beyond == this->observations.end() ? Duration {} : now - beyond->seenAt;
}

} // namespace cyclamendrift
