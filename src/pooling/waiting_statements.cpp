#include "waiting_statements.h"

namespace cyclamendrift {

WaitingStatement WaitingStatements::add(WaitingStatement statement)
{
    statement.position.number = ++this->lastNumber;
    const auto& stored = this->queues[statement.demand].emplace(statement.position, statement).first->second;
    this->teams.emplace(std::pair { stored.team, stored.position }, &stored);
    this->deadlines.emplace(std::pair { stored.deadline, stored.position.number }, &stored);
    ++this->counts[{ stored.demand, stored.position.priority }];
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
    const auto count = this->counts.find({ statement.demand, stored->first.priority });
    if (--count->second == 0)
        this->counts.erase(count);
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

std::size_t WaitingStatements::count(const UpstreamDemand& demand, std::uint32_t priority) const
{
    std::size_t sum = 0;
    for (auto item = this->counts.lower_bound({ demand, 0 });
         item != this->counts.end() && item->first.first == demand && item->first.second <= priority; ++item)
        sum += item->second;
    return sum;
}

std::size_t WaitingStatements::countBehind(const WaitingStatement& statement, std::size_t maximum) const
{
    const auto queue = this->queues.find(statement.demand);
    if (queue == this->queues.end())
        return 0;
    std::size_t behind = 0;
    for (auto other = queue->second.upper_bound(statement.position); other != queue->second.end()
         && other->first.priority == statement.position.priority && behind < maximum;
         ++other)
        ++behind;
    return behind;
}

const WaitingStatement* WaitingStatements::mostOverdue() const
{
    return this->deadlines.empty() ? nullptr : this->deadlines.begin()->second;
}

} // namespace cyclamendrift
