#include <cyclamendrift/pooling/owner_health.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

// Time without an answer after which an owner is checked. Most statements take less; a check for one that
// takes longer costs a request of some hundred bytes.
constexpr Duration answerWait = std::chrono::milliseconds { 150 };
// Interval between two checks of an unreachable owner.
constexpr Duration recheckInterval = std::chrono::milliseconds { 300 };
// An owner that has been unreachable for this long has left the fleet; otherwise the next statement will
// detect it again.
constexpr Duration maxUnreachableTime = std::chrono::seconds { 20 };

} // namespace

void OwnerHealth::recordWaiting(const std::map<VmName, Instant>& oldest)
{
    for (auto& [owner, state] : this->owners)
        state.waitingSince = Instant::max();
    for (const auto& [owner, since] : oldest)
        this->owners[owner].waitingSince = since;
    std::erase_if(this->owners, [](const auto& item) {
        const auto& state = item.second;
        return state.waitingSince == Instant::max() && !state.checking && !state.unreachable
            && !state.suspected;
    });
}

void OwnerHealth::answered(const VmName& owner, Instant now)
{
    const auto match = this->owners.find(owner);
    if (match == this->owners.end())
        return;
    match->second.lastAnswerAt = now;
    match->second.unreachable = false;
    match->second.suspected = false;
}

void OwnerHealth::suspect(const std::vector<VmName>& sameZone, Instant now)
{
    for (const auto& vm : sameZone) {
        auto& state = this->owners[vm];
        if (state.unreachable || state.suspected || now < state.lastAnswerAt + answerWait)
            continue;
        state.suspected = true;
        state.nextCheckAt = now;
    }
}

std::vector<VmName> OwnerHealth::beginDueChecks(Instant now)
{
    std::vector<VmName> selected;
    for (auto& [owner, state] : this->owners) {
        if (state.unreachable && now >= state.unreachableSince + maxUnreachableTime)
            state.unreachable = false;
        const bool waits = state.waitingSince != Instant::max()
            && now >= std::max(state.waitingSince, state.lastAnswerAt) + answerWait;
        const bool needsCheck = waits || state.unreachable || state.suspected;
        if (state.checking || now < state.nextCheckAt || !needsCheck)
            continue;
        state.checking = true;
        selected.push_back(owner);
    }
    return selected;
}

bool OwnerHealth::checkEnded(const VmName& owner, bool alive, Instant now)
{
    const auto match = this->owners.find(owner);
    if (match == this->owners.end())
        return false;
    auto& state = match->second;
    state.checking = false;
    state.suspected = false;
    state.nextCheckAt = now + recheckInterval;
    if (alive) {
        state.lastAnswerAt = now;
        state.unreachable = false;
        return false;
    }
    if (state.unreachable)
        return false;
    state.unreachable = true;
    state.unreachableSince = now;
    return true;
}

bool OwnerHealth::isUnreachable(const VmName& owner) const
{
    const auto match = this->owners.find(owner);
    return match != this->owners.end() && (match->second.unreachable || match->second.suspected);
}

} // namespace cyclamendrift
