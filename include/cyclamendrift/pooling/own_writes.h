#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/pooling/progress_history.h>

#include <cstddef>
#include <vector>

namespace cyclamendrift {

/// Progress of a session's own acknowledged writes, by service. It is kept for the services that were written
/// to last; a read of another service may have to run at the primary, as mayLack() tells.
///
///     ownWrites.record(service, { .progress = progress, .seenAt = sentAt }, now);
///     ownWrites.latestTo(service); // the progress that a replica of the service must have reached
///     ownWrites.mayLack(service, now - maxStaleness);
class OwnWrites {
public:
    /// Services for which the progress is kept.
    static constexpr std::size_t maxServices = 8;

    /// Records a write that is acknowledged now, with the progress that its answer reported. The progress of
    /// a service never decreases.
    void record(const ServiceName& service, const ProgressHistory::Observation& write, Instant now);

    /// Records a write that is acknowledged now and whose progress is not known.
    void recordUnknown(const ServiceName& service, Instant now);

    /// The session's latest write to the service; null when none is kept.
    [[nodiscard]] const ProgressHistory::Observation* latestTo(const ServiceName& service) const noexcept;

    /// True when a write to the service may have been acknowledged at or after `since` whose progress is not
    /// kept.
    [[nodiscard]] bool mayLack(const ServiceName& service, Instant since) const noexcept;

private:
    struct Entry {
        ServiceName service;
        ProgressHistory::Observation write;
        Instant acknowledgedAt;
    };

    /// In the order of their latest write.
    std::vector<Entry> entries;
    /// The latest acknowledgement of a write whose progress was not known or was discarded to make room.
    Instant lastWithoutProgress = Instant::min();
};

} // namespace cyclamendrift
