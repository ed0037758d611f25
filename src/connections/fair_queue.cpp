#include <cyclamendrift/connections/fair_queue.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamendrift {

namespace {

/// Weight of a new sample in the mean hold time, which covers about the last twenty requests.
constexpr double holdTimeSmoothing = 0.05;
/// Number of teams up to which idle ones are kept, so that a short pause does not erase a team's past use.
constexpr std::size_t maxTeamsBeforeCleanup = 64;

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration duration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

template <class Requests> void moveExpired(Requests& requests, Instant now, std::vector<QueuedRequest>& into)
{
    auto keptEnd = requests.begin();
    for (auto& request : requests) {
        if (request.deadline <= now)
            into.push_back(std::move(request));
        else
            *keptEnd++ = std::move(request);
    }
    requests.erase(keptEnd, requests.end());
}

} // namespace

FairQueue::FairQueue(Options options)
    : options(options)
    , expectedHold(seconds(options.expectedHold))
{
}

FairQueue::Team& FairQueue::activateTeam(const QueuedRequest& request)
{
    auto [entry, isNew] = this->teams.try_emplace(request.team);
    auto& team = entry->second;
    if (isNew)
        team.expectedHold = this->expectedHold;
    team.weight = std::max<std::uint32_t>(request.weight, 1);
    if (team.size() == 0)
        team.virtualTime = std::max(team.virtualTime, this->virtualNow);
    return team;
}

double FairQueue::backlogSeconds(const QueuedRequest& request) const
{
    double total = 0;
    double activeWeight = std::max<std::uint32_t>(request.weight, 1);
    double ownAhead = 0;
    const double ownWeight = activeWeight;
    for (const auto& [name, team] : this->teams) {
        if (team.size() == 0)
            continue;
        total += static_cast<double>(team.size()) * team.expectedHold;
        if (name != request.team) {
            activeWeight += team.weight;
            continue;
        }
        const auto ahead = request.priority == Priority::High ? team.high.size() : team.size();
        ownAhead = static_cast<double>(ahead) * team.expectedHold;
    }
    // Two upper bounds: the team's own queue drains at least at its share of the connections, and no more
    // than the whole queue can be served before the request.
    return std::min(total, ownAhead * activeWeight / ownWeight);
}

Duration FairQueue::expectedWait(const QueuedRequest& request, Instant now) const
{
    const auto connections = static_cast<double>(std::max<std::size_t>(this->options.connections, 1));
    const auto queueing = duration(this->backlogSeconds(request) / connections);
    const auto unavailable = std::max(this->availableFrom - now, Duration {});
    return queueing + unavailable;
}

Admission FairQueue::push(QueuedRequest request, Instant now)
{
    const auto ownTeam = this->teams.find(request.team);
    const auto ownQueued = ownTeam == this->teams.end() ? 0 : ownTeam->second.size();
    const auto hold
        = duration(ownTeam == this->teams.end() ? this->expectedHold : ownTeam->second.expectedHold);
    const auto wait = this->expectedWait(request, now);
    const auto lateBy = now + wait + hold - request.deadline;
    if (lateBy > Duration {}) {
        const bool unavailable = this->availableFrom + hold > request.deadline;
        return QueueRefusal { unavailable ? this->unavailableReason : RefusalReason::Overloaded, lateBy };
    }
    Queued result;
    if (ownQueued >= this->options.maxQueuedPerTeam || this->queued >= this->options.maxQueued) {
        result.evicted = this->makeRoomFor(request);
        if (!result.evicted)
            return QueueRefusal { RefusalReason::Overloaded, std::max(wait, hold) };
    }
    auto& team = this->activateTeam(request);
    auto& requests = request.priority == Priority::High ? team.high : team.normal;
    requests.push_back(std::move(request));
    ++this->queued;
    return result;
}

std::optional<QueuedRequest> FairQueue::makeRoomFor(const QueuedRequest& request)
{
    const auto own = this->teams.find(request.team);
    const bool hasNormalRequests = own != this->teams.end() && !own->second.normal.empty();
    if (request.priority == Priority::High && hasNormalRequests) {
        auto& normalRequests = own->second.normal;
        auto evicted = std::move(normalRequests.back());
        normalRequests.pop_back();
        --this->queued;
        return evicted;
    }
    if (own != this->teams.end() && own->second.size() >= this->options.maxQueuedPerTeam)
        return std::nullopt;
    return this->evictFromLongestQueue(request);
}

std::optional<QueuedRequest> FairQueue::evictFromLongestQueue(const QueuedRequest& request)
{
    // Evicts the newest request of the team with the most requests relative to its weight. Refusing every new
    // request would let one team's flood keep all places of a full queue.
    const auto load = [](const Teams::value_type& entry) {
        return static_cast<double>(entry.second.size()) / entry.second.weight;
    };
    const auto longest = std::max_element(this->teams.begin(), this->teams.end(),
        [&](const auto& left, const auto& right) { return load(left) < load(right); });
    if (longest == this->teams.end() || longest->first == request.team)
        return std::nullopt;
    const auto own = this->teams.find(request.team);
    const double ownLoad = (own == this->teams.end() ? 1.0 : static_cast<double>(own->second.size()) + 1)
        / std::max(request.weight, 1U);
    if (ownLoad >= load(*longest))
        return std::nullopt;
    auto& requests = longest->second.normal.empty() ? longest->second.high : longest->second.normal;
    auto evicted = std::move(requests.back());
    requests.pop_back();
    --this->queued;
    return evicted;
}

FairQueue::Teams::iterator FairQueue::selectHighPriority(const Team& leastServed)
{
    // Without a limit a team that marks all its requests as high priority would starve the others. The lead
    // is measured in connection time, so serving the team uses it up.
    const double limit = leastServed.virtualTime + seconds(this->options.priorityLead);
    auto selected = this->teams.end();
    for (auto entry = this->teams.begin(); entry != this->teams.end(); ++entry) {
        const auto& team = entry->second;
        if (team.high.empty() || team.virtualTime > limit)
            continue;
        if (selected == this->teams.end() || team.virtualTime < selected->second.virtualTime)
            selected = entry;
    }
    return selected;
}

FairQueue::Teams::iterator FairQueue::selectNext()
{
    auto leastServed = this->teams.end();
    for (auto entry = this->teams.begin(); entry != this->teams.end(); ++entry) {
        if (entry->second.size() == 0)
            continue;
        if (leastServed == this->teams.end() || entry->second.virtualTime < leastServed->second.virtualTime)
            leastServed = entry;
    }
    if (leastServed == this->teams.end())
        return leastServed;
    this->virtualNow = std::max(this->virtualNow, leastServed->second.virtualTime);
    const auto preferred = this->selectHighPriority(leastServed->second);
    return preferred == this->teams.end() ? leastServed : preferred;
}

QueuedRequest FairQueue::popFrom(Team& team)
{
    auto& requests = team.high.empty() ? team.normal : team.high;
    auto request = std::move(requests.front());
    requests.pop_front();
    --this->queued;
    // Charges the expected hold time now and corrects it in finished(); otherwise one team could get all free
    // connections before any of them is released.
    team.virtualTime += team.expectedHold / team.weight;
    request.chargedTime = duration(team.expectedHold);
    return request;
}

std::optional<QueuedRequest> FairQueue::pop()
{
    const auto next = this->selectNext();
    if (next == this->teams.end())
        return std::nullopt;
    return this->popFrom(next->second);
}

void FairQueue::finished(const QueuedRequest& request, Duration held)
{
    const double actual = seconds(held);
    this->expectedHold += holdTimeSmoothing * (actual - this->expectedHold);
    const auto entry = this->teams.find(request.team);
    if (entry == this->teams.end())
        return;
    auto& team = entry->second;
    team.virtualTime += (actual - seconds(request.chargedTime)) / team.weight;
    team.expectedHold += holdTimeSmoothing * (actual - team.expectedHold);
    this->dropIdleTeams();
}

void FairQueue::dropIdleTeams()
{
    if (this->teams.size() <= maxTeamsBeforeCleanup)
        return;
    std::erase_if(this->teams, [&](const auto& entry) {
        return entry.second.size() == 0 && entry.second.virtualTime <= this->virtualNow;
    });
}

std::vector<QueuedRequest> FairQueue::expire(Instant now)
{
    std::vector<QueuedRequest> expired;
    for (auto& [name, team] : this->teams) {
        moveExpired(team.high, now, expired);
        moveExpired(team.normal, now, expired);
    }
    this->queued -= expired.size();
    return expired;
}

std::vector<QueuedRequest> FairQueue::clear(Instant now)
{
    auto all = this->expire(now);
    while (this->queued > 0)
        all.push_back(this->popFrom(this->selectNext()->second));
    return all;
}

void FairQueue::setConnections(std::size_t connections) noexcept { this->options.connections = connections; }

void FairQueue::setAvailableFrom(Instant instant, RefusalReason reason) noexcept
{
    this->availableFrom = instant;
    this->unavailableReason = reason;
}

} // namespace cyclamendrift
