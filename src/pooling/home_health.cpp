#include <cyclamendrift/pooling/home_health.h>

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

void HomeHealth::noteWaiting(const std::map<VmName, Instant>& oldest)
{
    for (auto& [home, state] : this->homes)
        state.waitingSince = Instant::max();
    for (const auto& [home, since] : oldest)
        this->homes[home].waitingSince = since;
    std::erase_if(this->homes, [](const auto& item) {
        const auto& state = item.second;
        return state.waitingSince == Instant::max() && !state.asking && !state.outOfReach;
    });
}

void HomeHealth::answered(const VmName& home, Instant now)
{
    const auto match = this->homes.find(home);
    if (match == this->homes.end())
        return;
    match->second.lastHeard = now;
    match->second.outOfReach = false;
}

std::vector<VmName> HomeHealth::due(Instant now)
{
    std::vector<VmName> asked;
    for (auto& [home, state] : this->homes) {
        if (state.outOfReach && now >= state.lostAt + forgottenAfter)
            state.outOfReach = false;
        const bool waits = state.waitingSince != Instant::max()
            && now >= std::max(state.waitingSince, state.lastHeard) + patience;
        if (state.asking || now < state.askAgainAt || (!waits && !state.outOfReach))
            continue;
        state.asking = true;
        asked.push_back(home);
    }
    return asked;
}

bool HomeHealth::askEnded(const VmName& home, bool gaveSign, Instant now)
{
    const auto match = this->homes.find(home);
    if (match == this->homes.end())
        return false;
    auto& state = match->second;
    state.asking = false;
    state.askAgainAt = now + retryPause;
    if (gaveSign) {
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

bool HomeHealth::isOutOfReach(const VmName& home) const
{
    const auto match = this->homes.find(home);
    return match != this->homes.end() && match->second.outOfReach;
}

} // namespace cyclamendrift
