#include "engine_state.h"

#include <algorithm>

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

const char* SessionEngine::State::stopReason(const GroupState& group, const CallerSession& session) const
{
    if (this->evacuatedSince.empty() && this->routes->coldStartRates.empty())
        return nullptr;
    const bool needsPrimary = !this->replicaRequirement(group, session);
    const char* reason = nullptr;
    for (const auto& [name, upstream] : group.upstreams) {
        if (!upstream.listed || upstream.entry.draining || (needsPrimary && group.view.primary != name))
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

void SessionEngine::State::abortEvacuatedTransactions()
{
    if (this->evacuatedSince.empty())
        return;
    std::vector<CallerId> sessions;
    for (const auto& [key, connection] : this->connections) {
        if (connection.user && connection.inTransaction && this->hasEvacuationGraceEnded(connection))
            sessions.push_back(*connection.user);
    }
    for (const auto id : sessions) {
        auto* session = this->findCaller(id);
        // A statement that is running is answered first.
        if (session != nullptr && session->pinned && !session->work)
            this->abortTransaction(*session, "the upstream's availability zone is evacuated");
    }
}

} // namespace cyclamendrift
