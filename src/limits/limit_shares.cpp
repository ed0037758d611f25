#include <cyclamendrift/limits/limit_shares.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace cyclamendrift {

namespace {

// This fraction of the limit's rate is added to the demand, split evenly over the VMs. VMs write their demand
// one after the other: without an even part the first VM to write would get nearly the whole limit until the
// others follow, and a VM that a team has just started to call would have no share for the first callers.
constexpr double evenSplitFraction = 0.4;
// About the time in which a new list reaches all VMs through the store.
constexpr double demandHalfLifeSeconds = 2.0;
// Changes of demand below the larger of these two are not worth a write to the store.
constexpr double minRelativeChange = 0.35;
constexpr double minChangePerSecond = 2.5;

// A share with a burst below one operation would never admit an operation. Rounding up to one exceeds the
// limit's burst by at most one operation per holder.
constexpr double minBurst = 1;

double rateOf(const DemandByTeam& demand, const TeamName& team)
{
    const auto match = demand.find(team);
    return match == demand.end() ? 0 : match->second;
}

double shareOf(const TeamName& team, const TeamLimit& limit, const VmName& self,
    const std::map<VmName, DemandByTeam>& listed)
{
    const auto own = listed.find(self);
    const bool isListed = own != listed.end();
    const auto vms = static_cast<double>(listed.size() + (isListed ? 0 : 1));
    double total = 0;
    for (const auto& [vm, demand] : listed)
        total += rateOf(demand, team);
    const double evenShare = std::max(evenSplitFraction * limit.ratePerSecond, 1.0) / vms;
    const double requested = isListed ? rateOf(own->second, team) : 0;
    return (requested + evenShare) / (total + evenShare * vms);
}

} // namespace

void LimitShares::updateByDemand(const std::map<TeamName, TeamLimit>& limits, const VmName& self,
    const std::map<VmName, DemandByTeam>& listed, Instant now)
{
    this->removeOtherTeams(limits);
    for (const auto& [team, limit] : limits) {
        const auto share = shareOf(team, limit, self, listed);
        this->appendRule(team,
            { .ratePerSecond = limit.ratePerSecond * share,
                .burst = std::max(limit.burst * share, minBurst) },
            now);
    }
}

void LimitShares::updateByHolders(
    const std::map<TeamName, TeamLimit>& limits, const VmName& self, const LimitHolders& holders, Instant now)
{
    this->removeOtherTeams(limits);
    // In a large fleet most VMs hold no limit, and ranking the holders of every team would be in vain.
    const bool mayHold = holders.mayHold(self);
    for (const auto& [team, limit] : limits) {
        const auto teamHolders = mayHold ? holders.holdersOf(team) : std::vector<VmName> {};
        TeamShare::Rule rule;
        if (std::find(teamHolders.begin(), teamHolders.end(), self) != teamHolders.end()) {
            const auto count = static_cast<double>(teamHolders.size());
            rule = { .ratePerSecond = limit.ratePerSecond / count,
                .burst = std::max(limit.burst / count, minBurst),
                .heldForOthers = true };
        }
        this->appendRule(team, rule, now);
    }
}

void LimitShares::removeOtherTeams(const std::map<TeamName, TeamLimit>& limits)
{
    std::erase_if(this->histories, [&limits](const auto& item) { return !limits.contains(item.first); });
}

void LimitShares::appendRule(const TeamName& team, const TeamShare::Rule& rule, Instant now)
{
    auto& history = this->histories[team];
    history.push_back({ .since = now, .rule = rule });
    while (history.size() > 1 && history[1].since + growthDelay <= now)
        history.pop_front();
}

std::map<TeamName, TeamShare::Rule> LimitShares::current() const
{
    std::map<TeamName, TeamShare::Rule> rules;
    for (const auto& [team, history] : this->histories) {
        auto rule = history.back().rule;
        for (const auto& share : history) {
            rule.ratePerSecond = std::min(rule.ratePerSecond, share.rule.ratePerSecond);
            rule.burst = std::min(rule.burst, share.rule.burst);
        }
        rules.emplace(team, rule);
    }
    return rules;
}

void DemandMeter::note(const std::map<TeamName, std::uint64_t>& requested, Instant now)
{
    if (!this->started) {
        this->started = true;
        this->recordedAt = now;
        return;
    }
    const std::chrono::duration<double> elapsed = now - this->recordedAt;
    if (elapsed.count() <= 0)
        return;
    this->recordedAt = now;
    const double decayFactor = std::exp2(-elapsed.count() / demandHalfLifeSeconds);
    for (auto& [team, rate] : this->perSecond)
        rate *= decayFactor;
    for (const auto& [team, count] : requested)
        this->perSecond[team] += (1 - decayFactor) * static_cast<double>(count) / elapsed.count();
}

bool DemandMeter::differsSignificantly(const DemandByTeam& reported, const DemandByTeam& now)
{
    std::set<TeamName> teams;
    for (const auto& [team, rate] : reported)
        teams.insert(team);
    for (const auto& [team, rate] : now)
        teams.insert(team);
    return std::any_of(teams.begin(), teams.end(), [&](const TeamName& team) {
        const auto before = rateOf(reported, team);
        const auto after = rateOf(now, team);
        return std::abs(after - before)
            > std::max(minChangePerSecond, minRelativeChange * std::max(before, after));
    });
}

} // namespace cyclamendrift
