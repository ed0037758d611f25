#include "engine_state.h"

#include <algorithm>

namespace cyclamendrift {

void SessionEngine::State::recordTerm(GroupState& group, const TermSource& source, Term term)
{
    if (term > group.view.term)
        group.contradictedAt = this->now;
    if (group.view.phase == LeaderView::Phase::Settled && term > group.view.term)
        this->logContradiction(group, source, term, "later term");
    // No newer primary can lead while a view is valid, unless the guarantee was broken. In that case the
    // former primary may since have reported positions that lack commits of the newer one.
    if (group.view.isValid(this->now) && term > group.view.term)
        group.history.clear();
    group.newestTerm = std::max(group.newestTerm, term);
}

void SessionEngine::State::recordLeadRefusal(const PooledConnection& connection)
{
    auto& group = this->group(connection.service);
    const auto& view = group.view;
    // A refusal applies to the view under which the statement was sent. The upstream may have been promoted
    // since, and the current view may be right.
    if (view.phase != LeaderView::Phase::Settled || view.primary != connection.upstream
        || connection.viewTerm != view.term)
        return;
    group.leadRefusal = { .upstream = view.primary, .term = view.term };
    group.contradictedAt = this->now;
    this->logContradiction(group, this->sourceOf(connection), view.term, "refused to act as primary");
}

TermSource SessionEngine::State::sourceOf(const PooledConnection& connection)
{
    const auto* session = connection.user ? this->findCaller(*connection.user) : nullptr;
    return { .source = connection.upstream.view(),
        .statementId = session != nullptr ? std::string_view { session->statementId } : "" };
}

void SessionEngine::State::logContradiction(
    const GroupState& group, const TermSource& source, Term term, std::string_view reason)
{
    const auto& view = group.view;
    const bool atPrimary = view.primary.view() == source.source;
    this->log("view_contradicted",
        { { "id", std::string { source.statementId } }, { "service", group.name.string() },
            { "upstream", std::string { source.source } },
            { "answer_term", std::to_string(static_cast<std::uint64_t>(term)) },
            { "view_primary", view.primary.string() },
            { "view_term", std::to_string(static_cast<std::uint64_t>(view.term)) },
            { "view_left_ms", millisecondsText(view.expiresAt - this->now) },
            { "at_view_primary", atPrimary ? "yes" : "no" }, { "reason", std::string { reason } } });
}

} // namespace cyclamendrift
