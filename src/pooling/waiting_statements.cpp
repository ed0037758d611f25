#include "waiting_statements.h"

namespace cyclamendrift {

WaitingStatement WaitingStatements::add(WaitingStatement statement)
{
    statement.position.number = ++this->lastNumber;
    const auto& stored = this->queues[statement.demand].emplace(statement.position, statement).first->second;
    this->teams.emplace(std::pair { stored.team, stored.position }, &stored);
    this->deadlines.emplace(std::pair { stored.deadline, stored.position.number }, &stored);
    return statement;
}

void WaitingStatements::remove(const WaitingStatement& statement)
{
    const auto queue = this->queues.find(statement.demand);
    if (queue == this->queues.end())
        return;
    const auto stored = queue->second.find(statement.position);
    if (stored == queue->second.end())
        return;
    this->teams.erase({ stored->second.team, stored->first });
    this->deadlines.erase({ stored->second.deadline, stored->first.number });
    queue->second.erase(stored);
    if (queue->second.empty())
        this->queues.erase(queue);
}

const WaitingStatement* WaitingStatements::nextOf(
    const TeamName& team, const std::optional<WaitingPosition>& after) const
{
    constexpr WaitingPosition lowest { .arrivedAt = Instant::min() };
    const auto found = this->teams.upper_bound({ team, after.value_or(lowest) });
    return found == this->teams.end() || found->first.first != team ? nullptr : found->second;
}

const WaitingStatement* WaitingStatements::mostOverdue() const
{
    return this->deadlines.empty() ? nullptr : this->deadlines.begin()->second;
}

} // namespace cyclamendrift
