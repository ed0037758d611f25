#pragma once

#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/leadership/leadership_events.h>
#include <cyclamendrift/limits/team_share.h>

namespace cyclamendrift {

/// Limits the rate at which a VM asks replicas to confirm views. Each request takes a connection of its own.
/// With the replicas of more than a thousand services, unlimited requests would keep a store reader from
/// answering its siblings, and all views in the fleet would expire. Requests that watch or replace a primary
/// are not limited.
///
///     if (throttle.allow(request, now)) send(request);
class ConfirmationThrottle {
public:
    /// Requests per second of one VM. The replicas of fifty services can be asked every 200 ms.
    static constexpr double requestsPerSecond = 500;
    static constexpr double burst = 100;

    ConfirmationThrottle();

    /// False for a request that is not sent; the coordinator repeats it.
    [[nodiscard]] bool allow(const AskStatus& request, Instant now);

private:
    TeamShare bucket;
};

} // namespace cyclamendrift
