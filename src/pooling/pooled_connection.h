#pragma once

#include "upstream_connections.h"
#include "waiting_statements.h"

#include <cyclamendrift/connections/concurrency_limit.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
#include <cyclamendrift/pooling/cold_start_limit.h>
#include <cyclamendrift/pooling/engine_actions.h>
#include <cyclamendrift/pooling/leader_view.h>
#include <cyclamendrift/pooling/progress_history.h>
#include <cyclamendrift/pooling/reply.h>
#include <cyclamendrift/pooling/session_state.h>
#include <cyclamendrift/pooling/upstream_directory.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace cyclamendrift {

/// Purpose of a statement on a connection.
enum class StepKind : std::uint8_t {
    /// Sets up the session's variables and prepared statements.
    Setup,
    /// Opens the session's transaction.
    Open,
    /// The caller's own statement.
    Main,
    /// Rolls back a transaction that is no longer used.
    Drop,
};

struct Step {
    StepKind kind = StepKind::Main;
    UpstreamStatement statement;
};

/// One connection to an upstream, opened on behalf of one team.
struct PooledConnection {
    enum class Phase : std::uint8_t { Opening, Idle, Working };

    ConnectionId id {};
    UpstreamName upstream;
    ServiceName service;
    TeamName team;
    Phase phase = Phase::Opening;
    /// The session that it serves or whose transaction it holds; empty when that session has ended.
    std::optional<CallerId> user;
    ConnectionState state;
    std::deque<Step> steps;
    std::deque<StepKind> sent;
    bool inTransaction = false;
    /// True while its statement opens or continues a transaction, so that the answer does not make it idle.
    bool keptAfterAnswer = false;
    Instant sentAt;
    Instant idleSince;
    /// When the last answer arrived on it.
    Instant answeredAt;
    /// Deadline for the answer to what was sent last.
    Instant answerBy;
    /// The term of the view on which the last statement or the open transaction relies for its freshness;
    /// empty when the statement names a position instead.
    std::optional<Term> viewTerm;
    /// What the indexes hold of this connection; empty until they do.
    std::optional<ConnectionStatus> indexed;

    [[nodiscard]] ConnectionStatus status() const noexcept
    {
        const bool opening = this->phase == Phase::Opening;
        const bool idle = this->phase == Phase::Idle;
        const bool running = opening || !this->sent.empty();
        return { .running = running,
            .opening = opening,
            .idle = idle,
            .freedByAnswer = running && !this->keptAfterAnswer,
            .transactionIdleSince = this->inTransaction && !running ? this->answeredAt : Instant::max(),
            .idleSince = idle ? this->idleSince : Instant::min(),
            .answerBy = running ? this->answerBy : Instant::max() };
    }

    /// True when the answer comes from a later term than the view on which its freshness relies. The upstream
    /// may then already follow the next primary and lack some of its commits.
    [[nodiscard]] bool isFromLaterTerm(const Reply& reply) const noexcept
    {
        return !reply.failure && this->viewTerm && reply.progress && reply.progress->term > *this->viewTerm;
    }
};

/// An upstream with what this VM has observed of it.
struct UpstreamState {
    UpstreamEntry entry;
    /// False once it has left the directory; its open transactions may still be finished.
    bool listed = true;
    UpstreamConnections connections;
    Instant unreachableUntil = Instant::min();
    int failures = 0;
    Instant busyUntil = Instant::min();
    /// Until then connections are opened sparingly, because it has refused something for lack of capacity.
    Instant saturatedUntil = Instant::min();
    Instant laggingUntil = Instant::min();
    int laggingCount = 0;
    Instant noBorrowingUntil = Instant::min();
    /// No connection is opened until then, because the upstream had none left.
    Instant fullUntil = Instant::min();
    /// Attempts that it refused for that reason since it last accepted one.
    int fullCount = 0;
    Instant lastAnswer = Instant::min();
    std::optional<Instant> failingSince;
    ConcurrencyLimit limit;
    ColdStartLimit coldStart;
    /// When it will be warm, by its latest directory entry.
    Instant coldUntil = Instant::min();
    /// Latest reported progress of its log.
    Progress knownProgress;
    /// How far it lagged behind the primary at that time.
    Duration lag {};

    /// True when this VM has received an answer from it, or failed to.
    [[nodiscard]] bool wasObserved() const noexcept
    {
        return this->lastAnswer != Instant::min() || this->failingSince.has_value();
    }
    /// True when it is listed and has not announced its shutdown.
    [[nodiscard]] bool isInService() const noexcept { return this->listed && !this->entry.draining; }
};

/// A position that a read needs, and when the primary had reached it.
using ReplicaRequirement = ProgressHistory::Observation;

/// Time for which an answer that contradicts the view counts. The coordinator needs about three seconds to
/// find and record a newer primary. If it finds none by then, the group uses the recorded primary again
/// instead of being blocked forever.
inline constexpr Duration contradictionLifetime = std::chrono::seconds { 5 };

/// An upstream that refused to act as the primary in a term.
struct LeadRefusal {
    UpstreamName upstream;
    Term term {};
};

/// The upstreams of one service.
struct GroupState {
    ServiceName name;
    LeaderView view;
    ProgressHistory history;
    std::map<UpstreamName, UpstreamState> upstreams;
    WaitingStatements waiting;
    /// Highest term in any reported position.
    Term newestTerm {};
    std::optional<LeadRefusal> leadRefusal;
    /// When an answer last contradicted the view.
    Instant contradictedAt = Instant::min();
    /// When a statement that is to run here requests the view of the primary again.
    Instant trackAgainAt = Instant::min();
    /// When the position of the primary in another availability zone may be requested again.
    Instant positionRequestAgainAt = Instant::min();

    /// True when recent answers have shown that the view's primary has been replaced. Renewing the view does
    /// not clear this; a view of another primary or of a later term does.
    [[nodiscard]] bool isContradicted(Instant now) const noexcept
    {
        if (now >= this->contradictedAt + contradictionLifetime)
            return false;
        const bool refused = this->leadRefusal && this->leadRefusal->upstream == this->view.primary
            && this->leadRefusal->term == this->view.term;
        return this->view.phase != LeaderView::Phase::Unknown
            && (refused || this->newestTerm > this->view.term);
    }

    /// True when the view may be used.
    [[nodiscard]] bool hasLeader(Instant now) const noexcept
    {
        return this->view.isValid(now) && !this->isContradicted(now);
    }

    /// True when the view may be used and names this upstream as the primary.
    [[nodiscard]] bool isLedBy(const UpstreamName& upstream, Instant now) const noexcept
    {
        return this->hasLeader(now) && this->view.primary == upstream;
    }
};

} // namespace cyclamendrift
