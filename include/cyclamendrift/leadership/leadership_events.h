#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/leadership/leadership_record.h>
#include <cyclamendrift/pooling/leader_view.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

/// Inputs and actions of a LeaderCoordinator.
namespace cyclamendrift {

/// The status that an upstream reports.
struct UpstreamStatus {
    bool isPrimary = false;
    Term term {};
    /// How much of the log it has received.
    Progress received;
    /// The replica is paused while this is above its term; 0 when it was not paused.
    Term pausedBelowTerm {};
};

/// The lease of a group's coordinator: held by at most one VM at a time, and tied to that VM's own lease.
struct CoordinatorLease {
    VmName holder;
    /// Fencing token; increases with each change of holder.
    std::uint64_t token = 0;
    /// The revision of the lease's key in the store.
    std::uint64_t revision = 0;
};

/// What the validity of a view relies on.
enum class ViewSource : std::uint8_t {
    /// This VM has read the store.
    Store,
    /// A sibling has read the store, or has reported replicas' confirmations.
    Sibling,
    /// A replica has confirmed that it follows the primary.
    Replica,
};

/// The name of a source as it appears in log lines.
[[nodiscard]] std::string_view nameOf(ViewSource source) noexcept;

/// What the store contains about a group at one moment.
struct LeadershipSnapshot {
    std::optional<LeadershipRecord> record;
    std::uint64_t recordRevision = 0;
    std::optional<CoordinatorLease> coordinatorLease;
    /// When the read was sent; every change acknowledged before is in the snapshot.
    Instant askedAt;
    /// Who read the store: `Store` or `Sibling`.
    ViewSource source = ViewSource::Store;
    /// How old this snapshot is expected to be when the next one arrives; zero when that is unknown. The
    /// records of many services take several calls to the store.
    Duration expectedMaxAge {};
};

/// Ask an upstream for its status.
struct AskStatus {
    UpstreamName upstream;
    /// True when a replica is asked only to confirm the view of the primary.
    bool confirmsView = false;
};
/// Make a replica stop receiving from primaries of a term below `term`, and return its status.
struct PauseReplica {
    UpstreamName upstream;
    Term term {};
};
/// Let a paused replica receive again.
struct ResumeReplica {
    UpstreamName upstream;
};
/// Turn a primary of a term below `term` into a replica.
struct DemotePrimary {
    UpstreamName upstream;
    Term term {};
};
/// Acquire the coordinator lease of the group, which no VM holds.
struct AcquireCoordinatorLease { };
/// Release the coordinator lease, because another VM is in a better position to hold it.
struct ReleaseCoordinatorLease {
    std::uint64_t revision = 0;
};
/// Change the record if the record and the coordinator lease are at these revisions.
struct WriteLeadershipRecord {
    LeadershipRecord record;
    std::uint64_t expectedRevision = 0;
    std::uint64_t leaseRevision = 0;
};
/// Ask the platform to promote an upstream.
struct PromoteUpstream {
    UpstreamName upstream;
    std::uint64_t token = 0;
};
/// Pass the view on to the components that send statements.
struct PublishView {
    LeaderView view;
};
/// Write a log line about a change in what this VM knows about the group.
struct LogLeadershipEvent {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};
/// An action that a LeaderCoordinator requests.
using LeadershipAction
    = std::variant<AskStatus, PauseReplica, ResumeReplica, DemotePrimary, AcquireCoordinatorLease,
        ReleaseCoordinatorLease, WriteLeadershipRecord, PromoteUpstream, PublishView, LogLeadershipEvent>;

} // namespace cyclamendrift
