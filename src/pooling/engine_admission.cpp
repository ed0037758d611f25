#include "engine_state.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

// Further operations of the same team and priority join the next request. Each request takes a stream of the
// connections to the holders, which statements use as well.
constexpr std::uint32_t maxOpenRequests = 8;
// A request that ends sooner than this before its time was refused: its holders do not let requests wait.
// Covers a round trip to another availability zone.
constexpr Duration refusedEarlyMargin = std::chrono::milliseconds { 12 };
// Within less time no answer of another VM arrives.
constexpr Duration minRequestTime = std::chrono::milliseconds { 2 };
constexpr Duration minRequestBackoff = std::chrono::milliseconds { 5 };
// The times between which a queue is served again, in addition to the events of the team.
constexpr Duration minServeInterval = std::chrono::milliseconds { 1 };
constexpr Duration maxServeInterval = std::chrono::milliseconds { 20 };

} // namespace

void SessionEngine::State::queueByPriority(CallerSession& session, Budget& budget, CallerQuery query)
{
    const auto maxWait = session.route.targetLatency / this->options.settings.admissionWaitDivisor;
    const auto until = this->now + maxWait;
    session.waiting
        = std::make_unique<WaitingOperation>(WaitingOperation { .query = std::move(query), .until = until });
    budget.queue.add({ .id = { .number = static_cast<std::uint64_t>(session.id) },
                         .priority = session.route.priority,
                         .until = until },
        this->now);
    this->serveTokens(TeamName { session.team }, budget);
}

void SessionEngine::State::serveTokens(const TeamName& team, Budget& budget)
{
    if (!this->routes->limits.contains(team))
        return this->releaseWaiting(team, budget);
    for (const auto& outcome : budget.queue.serve(budget.share, this->now))
        this->finishWait(team, budget, outcome);
    this->requestMissingTokens(team, budget);
    // Tokens beyond this VM's burst would add up to more than the limit over the VMs.
    if (const auto surplus = budget.share.takeSurplus(this->now); surplus > 0)
        this->actions.emplace_back(ReturnTokens { .team = team, .count = surplus });
    const auto next = budget.queue.nextEvent(budget.share, this->now);
    this->setTokensDue(team, budget,
        next == Instant::max()
            ? next
            : std::clamp(next, this->now + minServeInterval, this->now + maxServeInterval));
}

void SessionEngine::State::finishWait(
    const TeamName& team, Budget& budget, const TokenQueue::Outcome& outcome)
{
    if (outcome.id.sibling) {
        this->counters.admissions.at(outcome.priority).tokensGiven += outcome.given;
        this->actions.emplace_back(
            AnswerTokenRequest { .team = team, .request = outcome.id.number, .given = outcome.given });
        return;
    }
    auto* session = this->findCaller(CallerId { outcome.id.number });
    if (session == nullptr || !session->waiting)
        return budget.share.receive(outcome.given, this->now);
    const auto waiting = std::move(session->waiting);
    if (outcome.given == 0)
        return this->refuseOverRate(*session, budget.share.timeToNext(this->now));
    session->tokenSpent = true;
    this->countAdmission(*session);
    this->runOperation(*session, std::move(waiting->query));
}

void SessionEngine::State::releaseWaiting(const TeamName& team, Budget& budget)
{
    this->setTokensDue(team, budget, Instant::max());
    for (const auto& outcome : budget.queue.clear()) {
        auto* session = outcome.id.sibling ? nullptr : this->findCaller(CallerId { outcome.id.number });
        if (session == nullptr || !session->waiting) {
            this->finishWait(team, budget, outcome);
            continue;
        }
        const auto waiting = std::move(session->waiting);
        // The team's keys may have been withdrawn along with its limit.
        if (!this->checkPermission(*session))
            continue;
        this->countAdmission(*session);
        this->runOperation(*session, std::move(waiting->query));
    }
}

void SessionEngine::State::requestMissingTokens(const TeamName& team, Budget& budget)
{
    const auto waiting = budget.queue.ownWaiters();
    for (std::uint32_t priority = 0; priority < tokenPriorities; ++priority) {
        auto& requested = budget.requested.at(priority);
        if (waiting.at(priority) <= requested || budget.openRequests.at(priority) >= maxOpenRequests
            || this->now < budget.requestAllowedAt.at(priority))
            continue;
        const auto until = budget.queue.lastOwnEnd(priority);
        if (until <= this->now + minRequestTime)
            continue;
        const auto wanted = waiting.at(priority) - requested;
        requested += wanted;
        ++budget.openRequests.at(priority);
        this->actions.emplace_back(
            RequestTokens { .team = team, .wanted = wanted, .priority = priority, .until = until });
    }
}

void SessionEngine::State::setTokensDue(const TeamName& team, Budget& budget, Instant due)
{
    if (budget.due == due)
        return;
    if (budget.due != Instant::max())
        this->tokensDue.erase({ budget.due, team });
    budget.due = due;
    if (due != Instant::max())
        this->tokensDue.emplace(due, team);
}

void SessionEngine::State::serveDueTokens()
{
    while (!this->tokensDue.empty() && this->tokensDue.begin()->first <= this->now) {
        const auto team = this->tokensDue.begin()->second;
        this->tokensDue.erase(this->tokensDue.begin());
        auto& budget = this->budgets[team];
        budget.due = Instant::max();
        this->serveTokens(team, budget);
    }
}

void SessionEngine::tokenRequestEnded(const RequestTokens& request, std::uint32_t given, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    auto& budget = engine.budgets[request.team];
    const auto priority = clampPriority(request.priority);
    budget.requested.at(priority) -= std::min(budget.requested.at(priority), request.wanted);
    budget.openRequests.at(priority) -= std::min(budget.openRequests.at(priority), 1U);
    budget.share.receive(given, now);
    if (given == 0)
        budget.requestAllowedAt.at(priority) = now + minServeInterval;
    if (given == 0 && now + refusedEarlyMargin < request.until) {
        // A holder that has no tokens for a priority may have some for more urgent ones.
        const auto backoff = std::clamp((request.until - now) / 2, minRequestBackoff,
            std::max(minRequestBackoff, engine.options.settings.tokenRequestBackoff));
        for (auto paused = priority; paused < tokenPriorities; ++paused)
            budget.requestAllowedAt.at(paused) = now + backoff;
    }
    engine.serveTokens(request.team, budget);
}

void SessionEngine::siblingRequestedTokens(const SiblingTokenRequest& request, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    const auto budget = engine.budgets.find(request.team);
    const bool holds = budget != engine.budgets.end() && engine.routes->limits.contains(request.team)
        && budget->second.share.rate() > 0;
    if (!holds) {
        engine.actions.emplace_back(AnswerTokenRequest { .team = request.team, .request = request.number });
        return;
    }
    budget->second.queue.add({ .id = { .sibling = true, .number = request.number },
                                 .priority = request.priority,
                                 .wanted = request.wanted,
                                 .until = request.until },
        now);
    engine.serveTokens(budget->first, budget->second);
}

void SessionEngine::siblingWithdrewRequest(const TeamName& team, std::uint64_t number, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    const auto budget = engine.budgets.find(team);
    if (budget == engine.budgets.end())
        return;
    budget->second.queue.remove({ .sibling = true, .number = number });
    engine.actions.emplace_back(AnswerTokenRequest { .team = team, .request = number });
    engine.serveTokens(budget->first, budget->second);
}

void SessionEngine::siblingReturnedTokens(const TeamName& team, std::uint32_t count, Instant now)
{
    auto& engine = *this->state;
    engine.now = now;
    const auto budget = engine.budgets.find(team);
    if (budget == engine.budgets.end())
        return;
    budget->second.share.takeBack(count, now);
    if (engine.options.settings.urgentFirst)
        engine.serveTokens(budget->first, budget->second);
}

Instant SessionEngine::nextTokenDue() const
{
    const auto& due = this->state->tokensDue;
    return due.empty() ? Instant::max() : due.begin()->first;
}

void SessionEngine::serveWaitingRequests(Instant now)
{
    this->state->now = now;
    this->state->serveDueTokens();
}

} // namespace cyclamendrift
