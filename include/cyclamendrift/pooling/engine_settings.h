#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>

namespace cyclamendrift {

/// Timeouts and limits of a SessionEngine.
struct EngineSettings {
    /// Time to open a connection. A healthy upstream needs about 12 ms plus a round trip below 5 ms; an
    /// unreachable host never answers.
    Duration openTimeout = std::chrono::milliseconds { 300 };
    /// Time to set session variables and prepare statements. These take none of the upstream's concurrency,
    /// so an answer that takes longer is not coming.
    Duration setupTimeout = std::chrono::milliseconds { 400 };
    /// Backoff after a connection could not be opened. It doubles with each failure up to the maximum, which
    /// bounds how long a recovered upstream stays unused.
    Duration reconnectBackoff = std::chrono::milliseconds { 100 };
    Duration maxReconnectBackoff = std::chrono::milliseconds { 1000 };
    /// Backoff after an upstream reported that it is at its maximum concurrency; about the time until one of
    /// its statements ends.
    Duration busyBackoff = std::chrono::milliseconds { 10 };
    /// Time for which a statement skips an upstream that had no connection left. Meanwhile other VMs close
    /// the connections that they borrowed.
    Duration connectionLimitBackoff = std::chrono::milliseconds { 40 };
    /// Backoff after a replica reported that it lags. It doubles with each further report up to the maximum.
    Duration laggingBackoff = std::chrono::milliseconds { 40 };
    Duration maxLaggingBackoff = std::chrono::milliseconds { 640 };
    /// Connections to an upstream that a VM may open beyond its share, as long as no other VM is short of
    /// one.
    std::size_t maxBorrowedConnections = 1;
    /// Time for which this VM borrows no connections after an upstream had none left.
    Duration borrowBackoff = std::chrono::milliseconds { 500 };
    /// Time after which an unused connection is closed. A VM's share does not cover all of its teams, so an
    /// idle connection is more likely to be in the way of another team. When all VMs lose power, their open
    /// connections also stay taken at the upstreams for three more seconds.
    Duration idleTimeout = std::chrono::milliseconds { 200 };
    /// Idle timeout of services with owner VMs. An owner has a connection for most teams, and a team sends
    /// fewer than two statements a second to a service. Opening a connection takes the upstream as long as a
    /// short statement.
    Duration ownerIdleTimeout = std::chrono::seconds { 10 };
    /// A VM whose even share of an upstream's connections is at least this large serves its callers by
    /// itself, without owner VMs: one statement and one idle transaction for each of two teams.
    std::size_t minShareWithoutOwners = 4;
    /// For this long after this VM has learned of the evacuation of an availability zone, transactions that
    /// are open there may go on. Operators expect the zone to be free of statements within some seconds.
    Duration evacuationGrace = std::chrono::milliseconds { 1000 };
    /// Retry advice when every upstream that could run a statement is in an evacuated availability zone, or
    /// is cold and gets its statements from other VMs.
    Duration stoppedRetryAfter = std::chrono::milliseconds { 1000 };
    /// Subtracted from the staleness that a route allows, to cover the time until a statement reaches the
    /// upstream.
    Duration stalenessMargin = std::chrono::milliseconds { 100 };
    /// A statement that waits for a valid view of the primary is refused after this fraction (1/n) of its
    /// target latency. By then the view is not merely late but lost, and the caller does better to try
    /// another VM.
    int leaderlessWaitDivisor = 4;
    /// A connection that becomes free prefers a statement of its own team, unless one of another team arrived
    /// earlier by more than this. A connection is bound to its team, and opening one for another team takes
    /// the upstream as long as a short statement.
    Duration teamAffinityWindow = std::chrono::milliseconds { 80 };
    /// Retry advice while this VM lacks a later configuration, or nobody has confirmed the one that it has;
    /// another VM has the latest.
    Duration outdatedRetryAfter = std::chrono::milliseconds { 200 };
    /// Retry advice while a primary is being replaced; about the duration of a replacement.
    Duration primaryChangeRetryAfter = std::chrono::milliseconds { 1000 };
    /// For this long after an upstream refused something for lack of capacity, connections to it are opened
    /// one at a time, and none for a team whose running statement is about to free one.
    Duration saturationHold = std::chrono::milliseconds { 200 };
    /// Time for which opening a connection takes one of the upstream's places, as long as a short statement.
    Duration connectionOpeningTime = std::chrono::milliseconds { 12 };
    /// Bounds of the retry advice that is derived from the observed drain of the upstreams.
    Duration minDrainRetryAfter = std::chrono::milliseconds { 50 };
    Duration maxDrainRetryAfter = std::chrono::milliseconds { 1000 };
    /// Retry advice when all connections are in use and no drain has been observed.
    Duration overloadRetryAfter = std::chrono::milliseconds { 100 };
    /// An operation beyond this VM's share of its team's limit waits for tokens of siblings for this fraction
    /// (1/n) of its target latency. A round trip to the siblings takes 2 to 4 ms.
    int admissionWaitDivisor = 4;
    /// Operations of a team get its tokens in the order of their priority across the fleet: requests for
    /// tokens wait at the VMs that hold the limit.
    bool urgentFirst = false;
    /// Backoff after siblings had no tokens to give.
    Duration tokenRequestBackoff = std::chrono::milliseconds { 60 };
    /// Maximum attempts of a statement that no upstream has run, including the first.
    std::size_t attempts = 6;
    /// Time for which an owner VM is skipped after it could not be reached or did not answer. An owner that
    /// hangs costs each VM one statement in this time.
    Duration ownerBackoff = std::chrono::milliseconds { 2000 };
    /// An owner VM answers at the latest when the statement times out; the forwarding VM waits this much
    /// longer.
    Duration ownerReplyGrace = std::chrono::milliseconds { 50 };
    /// While this VM shuts down, a caller that has connected gets this much time to start its session.
    Duration sessionStartTimeout = std::chrono::milliseconds { 300 };
    /// The transaction of a sibling's caller is aborted after this multiple of the configured idle time, even
    /// if no other statement waits for its connection.
    int remoteTransactionIdleFactor = 10;
    /// Interval at which this VM reports that it runs statements of a service.
    Duration trackInterval = std::chrono::seconds { 10 };
    /// Pause between attempts to open a connection to an upstream that had none left; doubles with each
    /// further refusal up to the maximum.
    Duration fullUpstreamBackoff = std::chrono::milliseconds { 40 };
    Duration maxFullUpstreamBackoff = std::chrono::milliseconds { 320 };
    /// Maximum number of statements that a caller may send ahead of their replies.
    std::size_t maxPipelinedStatements = 64;
};

} // namespace cyclamendrift
