#include <cyclamendrift/pooling/owner_health.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Most statements take less; those that take longer cost a question of some hundred bytes.
constexpr Duration patience = std::chrono::milliseconds { 150 };
// Between two questions to a home out of reach.
constexpr Duration retryPause = std::chrono::milliseconds { 300 };
// A home that has been out of reach for so long has left, or will be found in reach by the next statement.
constexpr Duration forgottenAfter = std::chrono::seconds { 20 };

} // namespace

void OwnerHealth::recordWaiting(const std::map<VmName, Instant>& oldest)
{
    for (auto& [owner, state] : this->owners)
        state.waitingSince = Instant::max();
    for (const auto& [owner, since] : oldest)
        this->owners[owner].waitingSince = since;
    std::erase_if(this->owners, [](const auto& item) {
        const auto& state = item.second;
        return state.waitingSince == Instant::max() && !state.asking && !state.outOfReach;
    });
}

void OwnerHealth::answered(const VmName& owner, Instant now)
{
    const auto match = this->owners.find(owner);
    if (match == this->owners.end())
        return;
    match->second.lastHeard = now;
    match->second.outOfReach = false;
}

std::vector<VmName> OwnerHealth::beginDueChecks(Instant now)
{
    std::vector<VmName> asked;
    for (auto& [owner, state] : this->owners) {
        if (state.outOfReach && now >= state.lostAt + forgottenAfter)
            state.outOfReach = false;
        const bool waits = state.waitingSince != Instant::max()
            && now >= std::max(state.waitingSince, state.lastHeard) + patience;
        if (state.asking || now < state.askAgainAt || (!waits && !state.outOfReach))
            continue;
        state.asking = true;
        asked.push_back(owner);
    }
    return asked;
}

bool OwnerHealth::checkEnded(const VmName& owner, bool alive, Instant now)
{
    const auto match = this->owners.find(owner);
    if (match == this->owners.end())
        return false;
    auto& state = match->second;
    state.asking = false;
    state.askAgainAt = now + retryPause;
    if (alive) {
        state.lastHeard = now;
        state.outOfReach = false;
        return false;
    }
    if (state.outOfReach)
        return false;
    state.outOfReach = true;
    state.lostAt = now;
    return true;
}

bool OwnerHealth::isUnreachable(const VmName& owner) const
{
    const auto match = this->owners.find(owner);
    return match != this->owners.end() && match->second.outOfReach;
}

} // namespace cyclamendrift
