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

/// What a LeaderCoordinator is told and what it wants done.
namespace cyclamendrift {

/// What an upstream says of itself when it is asked.
struct UpstreamStatus {
    bool isPrimary = false;
    Term term {};
    /// How much of the log it has received.
    Progress received;
    /// It receives nothing while this is above its term; 0 when it was not paused.
    Term pausedBelowTerm {};
};

/// The duty to look after a group: held by one VM at a time, under a lease.
struct CoordinatorLease {
    VmName holder;
    /// Grows with each change of holder.
    std::uint64_t token = 0;
    /// The revision at which the store holds it.
    std::uint64_t revision = 0;
};

/// Who vouches for a view of who leads.
enum class ViewSource : std::uint8_t {
    /// This VM has read the store.
    Store,
    /// A sibling has read the store.
    Sibling,
    /// A replica follows the primary.
    Replica,
};

/// The name of a source, as log lines have it.
[[nodiscard]] std::string_view nameOf(ViewSource source) noexcept;

/// What the store says of a group, as of one moment.
struct LeadershipSnapshot {
    std::optional<LeadershipRecord> record;
    std::uint64_t recordRevision = 0;
    std::optional<CoordinatorLease> coordinatorLease;
    /// When the store was asked; everything acknowledged before is in the snapshot.
    Instant askedAt;
    /// Store or Sibling.
    ViewSource source = ViewSource::Store;
};

/// Ask an upstream for its status.
struct AskStatus {
    UpstreamName upstream;
};
/// Make a replica stop receiving below a term, and tell its status.
struct PauseReplica {
    UpstreamName upstream;
    Term term {};
};
/// Let a paused replica receive again.
struct ResumeReplica {
    UpstreamName upstream;
};
/// Make a primary of a lower term a replica.
struct DemotePrimary {
    UpstreamName upstream;
    Term term {};
};
/// Take the duty of the group, which nobody holds.
struct AcquireCoordinatorLease { };
/// Give the duty up, because another VM can do it better.
struct ReleaseCoordinatorLease {
    std::uint64_t revision = 0;
};
/// Change the record if it and the duty stand at these revisions.
struct WriteLeadershipRecord {
    LeadershipRecord record;
    std::uint64_t expectedRevision = 0;
    std::uint64_t leaseRevision = 0;
};
/// Name the upstream that takes over.
struct PromoteUpstream {
    UpstreamName upstream;
    std::uint64_t token = 0;
};
/// Hand a view to whoever sends statements.
struct PublishView {
    LeaderView view;
};
/// A change of belief that the log should hold.
struct LogLeadershipEvent {
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};
/// Anything that a coordinator wants done.
using LeadershipAction
    = std::variant<AskStatus, PauseReplica, ResumeReplica, DemotePrimary, AcquireCoordinatorLease,
        ReleaseCoordinatorLease, WriteLeadershipRecord, PromoteUpstream, PublishView, LogLeadershipEvent>;

} // namespace cyclamendrift
