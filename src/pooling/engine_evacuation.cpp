#include "engine_state.h"

namespace cyclamendrift {

void SessionEngine::State::setEvacuatedZones(const std::set<ZoneName>& zones)
{
    std::erase_if(this->evacuatedSince, [&zones](const auto& item) { return !zones.contains(item.first); });
    for (const auto& zone : zones)
        this->evacuatedSince.try_emplace(zone, this->now);
    for (auto& [service, group] : this->groups) {
        this->dispatchWaiting(group);
        this->refuseOverdueStatements(group);
    }
    this->closeIdleConnections();
}

bool SessionEngine::State::isEvacuated(const UpstreamState& upstream) const
{
    return this->evacuatedSince.contains(upstream.entry.zone);
}

bool SessionEngine::State::acceptsStatements(const UpstreamState& upstream) const
{
    return upstream.isInService() && !this->isEvacuated(upstream);
}

const char* SessionEngine::State::stopReason(const GroupState& group, const UpstreamDemand& demand) const
{
    if (this->evacuatedSince.empty() && this->routes->coldStartRates.empty())
        return nullptr;
    const auto requirement = this->replicaRequirement(group, demand);
    const char* reason = nullptr;
    for (const auto& item : group.upstreams) {
        const auto& upstream = item.second;
        const bool mayServe = requirement.has_value() || group.view.primary == item.first;
        if (!upstream.isInService() || !mayServe)
            continue;
        if (this->isEvacuated(upstream))
            reason = "the availability zone of the upstreams is evacuated";
        else if (upstream.coldStart.isExcluded(this->now))
            reason = "the upstreams are cold";
        else
            return nullptr;
    }
    return reason;
}

bool SessionEngine::State::hasEvacuationGraceEnded(const PooledConnection& connection) const
{
    if (this->evacuatedSince.empty())
        return false;
    const auto& upstream = this->groups.at(connection.service).upstreams.at(connection.upstream);
    const auto since = this->evacuatedSince.find(upstream.entry.zone);
    return since != this->evacuatedSince.end()
        && this->now >= since->second + this->options.settings.evacuationGrace;
}

bool SessionEngine::State::isTransactionEvacuated(const CallerSession& session)
{
    if (this->evacuatedSince.empty() || !session.pinned)
        return false;
    const auto* connection = this->findConnection(*session.pinned);
    return connection != nullptr && this->hasEvacuationGraceEnded(*connection);
}

} // namespace cyclamendrift
