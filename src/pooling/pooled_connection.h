#pragma once

#include <cyclamendrift/connections/concurrency_limit.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/progress.h>
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
#include <vector>

namespace cyclamendrift {

/// What a statement on a connection is for.
enum class StepKind : std::uint8_t {
    /// Puts the session's values and names in place.
    Setup,
    /// Opens the session's transaction.
    Open,
    /// The caller's own statement.
    Main,
    /// Drops a transaction that nobody waits for.
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
    /// The session that it works for or whose transaction it holds; empty when that caller is gone.
    std::optional<CallerId> user;
    ConnectionState state;
    std::deque<Step> steps;
    std::deque<StepKind> sent;
    bool inTransaction = false;
    Instant sentAt;
    Instant idleSince;
    /// The answer to what was sent last is due by then.
    Instant answerBy;
    /// The term of the view on which the statement that was sent last, or the open transaction, relies for
    /// its freshness; empty when a position was named.
    std::optional<Term> viewTerm;

    /// True when the answer comes from a later term than the view on which its freshness rests: the upstream
    /// may follow the next primary by then and lack commits of it.
    [[nodiscard]] bool isFromLaterTerm(const Reply& reply) const noexcept
    {
        return !reply.failure && this->viewTerm && reply.progress && reply.progress->term > *this->viewTerm;
    }
};

/// One upstream with what this VM has seen of it.
struct UpstreamState {
    UpstreamEntry entry;
    /// False once it has left the directory; its open transactions may still end.
    bool listed = true;
    std::vector<ConnectionId> connections;
    /// Statements that it works on for this VM.
    int connectionsInUse = 0;
    Instant unreachableUntil = Instant::min();
    int failures = 0;
    Instant busyUntil = Instant::min();
    Instant laggingUntil = Instant::min();
    int laggingCount = 0;
    Instant noBorrowingUntil = Instant::min();
    Instant lastAnswer = Instant::min();
    std::optional<Instant> failingSince;
    ConcurrencyLimit limit;
    /// How far its log was when it last told.
    Progress knownProgress;
    /// How far it was behind the primary then.
    Duration lag {};
};

/// A position that a read needs, and when the primary had come to it.
struct ReplicaRequirement {
    Progress progress;
    Instant at;
};

/// What answers have shown against a view counts for so long. The duty's holder needs some three seconds to
/// find and record a newer primary; if it finds none by then, a group is not kept from the primary on record
/// for ever.
inline constexpr Duration contradictionLifetime = std::chrono::seconds { 5 };

/// An upstream that refused to act as the primary of a term.
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
    /// Sessions whose work waits for a connection.
    std::vector<CallerId> waiting;
    /// The newest term of any position that was told.
    Term newestTerm {};
    std::optional<LeadRefusal> leadRefusal;
    /// When an answer has contradicted the view last.
    Instant contradictedAt = Instant::min();

    /// True when answers have shown lately that a newer primary leads than the view's. A renewal changes
    /// nothing of that; a view of another primary or of a later term does.
    [[nodiscard]] bool isContradicted(Instant now) const noexcept
    {
        if (now >= this->contradictedAt + contradictionLifetime)
            return false;
        const bool refused = this->leadRefusal && this->leadRefusal->upstream == this->view.primary
            && this->leadRefusal->term == this->view.term;
        return this->view.phase != LeaderView::Phase::Unknown
            && (refused || this->newestTerm > this->view.term);
    }

    /// True when the view may be acted on.
    [[nodiscard]] bool hasLeader(Instant now) const noexcept
    {
        return this->view.isValid(now) && !this->isContradicted(now);
    }

    /// True when the view may be acted on and names this upstream.
    [[nodiscard]] bool isLedBy(const UpstreamName& upstream, Instant now) const noexcept
    {
        return this->hasLeader(now) && this->view.primary == upstream;
    }
};

} // namespace cyclamendrift
