#include <cyclamendrift/limits/limit_shares.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace cyclamendrift {

namespace {

// Besides what it was asked for, each VM counts with an even part of this fraction of the limit. Records of
// demand come one after the other: without it the first VM to write one would have nearly the whole limit
// until the others follow, and a VM that a team begins to ask would have nothing for its first callers.
constexpr double evenFraction = 0.4;
// Half-life of the measured demand; about the time of a list's round through the store.
constexpr double meanSeconds = 2.0;
// Changes of demand below this are not worth a write.
constexpr double relativeChange = 0.35;
constexpr double absoluteChange = 2.5;

// A part below one operation would never let anybody in. Rounding parts up to it goes beyond the limit by one
// operation a holder at the most.
constexpr double leastBurst = 1;

double valueAt(const DemandByTeam& demand, const TeamName& team)
{
    const auto match = demand.find(team);
    return match == demand.end() ? 0 : match->second;
}

double partOf(const TeamName& team, const TeamLimit& limit, const VmName& self,
    const std::map<VmName, DemandByTeam>& listed)
{
    const auto own = listed.find(self);
    const bool isListed = own != listed.end();
    const auto vms = static_cast<double>(listed.size() + (isListed ? 0 : 1));
    double total = 0;
    for (const auto& [vm, demand] : listed)
        total += valueAt(demand, team);
    const double even = std::max(evenFraction * limit.ratePerSecond, 1.0) / vms;
    const double asked = isListed ? valueAt(own->second, team) : 0;
    return (asked + even) / (total + even * vms);
}

} // namespace

void LimitShares::updateByDemand(const std::map<TeamName, TeamLimit>& limits, const VmName& self,
    const std::map<VmName, DemandByTeam>& listed, Instant now)
{
    this->forgetAllBut(limits);
    for (const auto& [team, limit] : limits) {
        const auto part = partOf(team, limit, self, listed);
        this->take(team,
            { .ratePerSecond = limit.ratePerSecond * part,
                .burst = std::max(limit.burst * part, leastBurst) },
            now);
    }
}

void LimitShares::updateByHolders(
    const std::map<TeamName, TeamLimit>& limits, const VmName& self, const LimitHolders& holders, Instant now)
{
    this->forgetAllBut(limits);
    for (const auto& [team, limit] : limits) {
        const auto chosen = holders.holdersOf(team);
        TeamShare::Rule rule;
        if (std::find(chosen.begin(), chosen.end(), self) != chosen.end()) {
            const auto count = static_cast<double>(chosen.size());
            rule = { .ratePerSecond = limit.ratePerSecond / count,
                .burst = std::max(limit.burst / count, leastBurst),
                .heldForOthers = true };
        }
        this->take(team, rule, now);
    }
}

void LimitShares::forgetAllBut(const std::map<TeamName, TeamLimit>& limits)
{
    std::erase_if(this->parts, [&limits](const auto& item) { return !limits.contains(item.first); });
}

void LimitShares::take(const TeamName& team, const TeamShare::Rule& rule, Instant now)
{
    auto& history = this->parts[team];
    history.push_back({ .since = now, .rule = rule });
    while (history.size() > 1 && history[1].since + growthDelay <= now)
        history.pop_front();
}

std::map<TeamName, TeamShare::Rule> LimitShares::current() const
{
    std::map<TeamName, TeamShare::Rule> rules;
    for (const auto& [team, history] : this->parts) {
        auto rule = history.back().rule;
        for (const auto& part : history) {
            rule.ratePerSecond = std::min(rule.ratePerSecond, part.rule.ratePerSecond);
            rule.burst = std::min(rule.burst, part.rule.burst);
        }
        rules.emplace(team, rule);
    }
    return rules;
}

void DemandMeter::note(const std::map<TeamName, std::uint64_t>& asked, Instant now)
{
    if (!this->started) {
        this->started = true;
        this->notedAt = now;
        return;
    }
    const std::chrono::duration<double> elapsed = now - this->notedAt;
    if (elapsed.count() <= 0)
        return;
    this->notedAt = now;
    const double kept = std::exp2(-elapsed.count() / meanSeconds);
    for (auto& [team, rate] : this->perSecond)
        rate *= kept;
    for (const auto& [team, count] : asked)
        this->perSecond[team] += (1 - kept) * static_cast<double>(count) / elapsed.count();
}

bool DemandMeter::differsSignificantly(const DemandByTeam& told, const DemandByTeam& now)
{
    std::set<TeamName> teams;
    for (const auto& [team, rate] : told)
        teams.insert(team);
    for (const auto& [team, rate] : now)
        teams.insert(team);
    return std::any_of(teams.begin(), teams.end(), [&](const TeamName& team) {
        const auto before = valueAt(told, team);
        const auto after = valueAt(now, team);
        return std::abs(after - before) > std::max(absoluteChange, relativeChange * std::max(before, after));
    });
}

} // namespace cyclamendrift
