#include "upstream_connections.h"

namespace cyclamendrift {

void UpstreamConnections::add(ConnectionId id, const TeamName& team, const ConnectionStatus& status)
{
    this->all.insert(id);
    this->count(id, team, status);
}

void UpstreamConnections::update(
    ConnectionId id, const TeamName& team, const ConnectionStatus& before, const ConnectionStatus& after)
{
    this->uncount(id, team, before);
    this->count(id, team, after);
}

void UpstreamConnections::remove(ConnectionId id, const TeamName& team, const ConnectionStatus& status)
{
    this->uncount(id, team, status);
    this->all.erase(id);
}

std::optional<ConnectionId> UpstreamConnections::idleOf(const TeamName& team) const
{
    const auto found = this->idleByTeam.lower_bound({ team, ConnectionId {} });
    if (found == this->idleByTeam.end() || found->first != team)
        return std::nullopt;
    return found->second;
}

void UpstreamConnections::count(ConnectionId id, const TeamName& team, const ConnectionStatus& status)
{
    this->runningCount += status.running ? 1 : 0;
    this->openingCount += status.opening ? 1 : 0;
    if (status.freedByAnswer)
        ++this->freedByAnswer[team];
    if (status.transactionIdleSince != Instant::max())
        this->transactions.emplace(status.transactionIdleSince, id);
    if (!status.idle)
        return;
    this->idleByTime.emplace(status.idleSince, id);
    this->idleByTeam.emplace(team, id);
}

void UpstreamConnections::uncount(ConnectionId id, const TeamName& team, const ConnectionStatus& status)
{
    this->runningCount -= status.running ? 1 : 0;
    this->openingCount -= status.opening ? 1 : 0;
    if (const auto count = this->freedByAnswer.find(team); status.freedByAnswer && --count->second == 0)
        this->freedByAnswer.erase(count);
    this->transactions.erase({ status.transactionIdleSince, id });
    if (!status.idle)
        return;
    this->idleByTime.erase({ status.idleSince, id });
    this->idleByTeam.erase({ team, id });
}

} // namespace cyclamendrift
