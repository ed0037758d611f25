#pragma once

#include <cyclamendrift/core/instant.h>

#include <cstddef>

namespace cyclamendrift {

/// Times and bounds that a SessionEngine goes by.
struct EngineSettings {
    /// A connection that is not open after this is given up: a dark host never answers, and opening takes
    /// some 12 ms plus a round trip below 5 ms on a healthy one.
    Duration openTimeout = std::chrono::milliseconds { 300 };
    /// Setting values and names takes no slot of the upstream, so an answer that takes longer means silence.
    Duration setupTimeout = std::chrono::milliseconds { 400 };
    /// After a failed connection an upstream is left alone for this long, doubling up to the second figure.
    /// It bounds how long a healed upstream goes unused.
    Duration reconnectBackoff = std::chrono::milliseconds { 100 };
    Duration maxReconnectBackoff = std::chrono::milliseconds { 1000 };
    /// Pause after an upstream said that it is full; about the time in which one of its slots comes free.
    Duration busyBackoff = std::chrono::milliseconds { 10 };
    /// Pause of one piece of work after an upstream had no connection left; others close borrowed ones
    /// meanwhile.
    Duration connectionLimitBackoff = std::chrono::milliseconds { 40 };
    /// Pause after a replica said that it lags; doubles up to the second figure while it goes on.
    Duration laggingBackoff = std::chrono::milliseconds { 40 };
    Duration maxLaggingBackoff = std::chrono::milliseconds { 640 };
    /// Connections beyond its share that a VM may take of an upstream while nobody misses them.
    std::size_t maxBorrowedConnections = 1;
    /// After an upstream had no connection left, this VM keeps to its own share for this long.
    Duration borrowBackoff = std::chrono::milliseconds { 500 };
    /// A connection that nobody has used for so long is closed. A VM's share does not cover all its teams, so
    /// a connection that is kept longer is rather in the way of another team's; and when all VMs lose power,
    /// what was open then stays taken at the upstreams for three seconds more.
    Duration idleTimeout = std::chrono::milliseconds { 200 };
    /// The same where services have homes, which have a connection for most of their teams: small teams ask
    /// about once a second.
    Duration ownerIdleTimeout = std::chrono::milliseconds { 1000 };
    /// A VM whose even part of an upstream's connections is as large serves its callers by itself, without
    /// homes: a statement and a transaction at rest for each of two teams.
    std::size_t minShareWithoutOwners = 4;
    /// Subtracted from the staleness that a route allows, for the way of the statement to the upstream.
    Duration stalenessMargin = std::chrono::milliseconds { 100 };
    /// Work that waits for a view of the primary is refused after this part of its target latency; by then
    /// the view is not late but lost, and the caller does better elsewhere.
    int leaderlessWaitDivisor = 4;
    /// A connection that comes free goes to waiting work of its own team rather than to work of another team
    /// that came up to so much earlier: a connection is bound to its team, and opening one for another takes
    /// the upstream as long as a short statement.
    Duration teamAffinityWindow = std::chrono::milliseconds { 80 };
    /// Retry advice while a primary is being replaced; the change takes about so long.
    Duration primaryChangeRetryAfter = std::chrono::milliseconds { 1000 };
    /// Retry advice when all connections are taken.
    Duration overloadRetryAfter = std::chrono::milliseconds { 100 };
    /// An operation beyond this VM's share of its team's limit waits this part of its target latency for
    /// siblings to give some of theirs; a round trip to them takes 2 to 4 ms.
    int admissionWaitDivisor = 4;
    /// Pause after siblings had nothing to give.
    Duration tokenRequestBackoff = std::chrono::milliseconds { 60 };
    /// Tries of one statement that was not run, the first included.
    std::size_t attempts = 6;
    /// A home that could not be reached, or did not answer, is passed over for so long. A home that freezes
    /// costs each VM one statement in this time.
    Duration ownerBackoff = std::chrono::milliseconds { 2000 };
    /// A statement that was handed on is given up this much after its own time limit, at which the home
    /// answers.
    Duration ownerReplyGrace = std::chrono::milliseconds { 50 };
    /// While this VM stops, a caller that has connected but not begun its session gets this much time for it.
    Duration sessionStartTimeout = std::chrono::milliseconds { 300 };
    /// Statements that a caller may have sent ahead of their answers.
    std::size_t maxPipelinedStatements = 64;
};

} // namespace cyclamendrift
