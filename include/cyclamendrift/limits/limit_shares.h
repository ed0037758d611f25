#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/limits/limit_holders.h>
#include <cyclamendrift/limits/team_share.h>
#include <cyclamendrift/pooling/route_table.h>

#include <deque>
#include <map>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// Operations per second that a VM was asked for lately, by team.
using DemandByTeam = std::map<TeamName, double>;

/// Splits teams' limits over the VMs in proportion to what each was asked for, as all of them read it in the
/// store, or in a large fleet evenly over each limit's holders. Every VM works out its own part from the same
/// list, so the parts add up to the whole without a message between VMs.
///
///     shares.update(limits, self, listed, now);
///     engine.setShares(shares.current(), now);
class LimitShares {
public:
    /// A part that grows does so only after this time: VMs read the list at different moments, and one that
    /// still holds its larger, older part must have read the new list before another uses what it gave up.
    static constexpr Duration growthDelay = std::chrono::milliseconds { 1300 };

    /// Takes the list in; a VM that is not on it yet counts as one more that nobody asks.
    void updateByDemand(const std::map<TeamName, TeamLimit>& limits, const VmName& self,
        const std::map<VmName, DemandByTeam>& listed, Instant now);

    /// As update(), for a large fleet, in which each limit has a few holders.
    void updateByHolders(const std::map<TeamName, TeamLimit>& limits, const VmName& self,
        const LimitHolders& holders, Instant now);

    /// The parts that this VM may use now.
    [[nodiscard]] std::map<TeamName, TeamShare::Rule> current() const;

private:
    struct DatedRule {
        Instant since;
        TeamShare::Rule rule;
    };

    void removeOtherTeams(const std::map<TeamName, TeamLimit>& limits);
    void appendRule(const TeamName& team, const TeamShare::Rule& rule, Instant now);

    /// What was worked out lately, oldest first; the least of them counts.
    std::map<TeamName, std::deque<DatedRule>> histories;
};

/// Measures what a VM is asked for, as a decaying mean over a few seconds.
class DemandMeter {
public:
    /// Takes in what was asked since the last call.
    void note(const std::map<TeamName, std::uint64_t>& requested, Instant now);

    /// Goes on from what an earlier process of this VM had measured.
    void begin(const DemandByTeam& measured) { this->perSecond = measured; }

    [[nodiscard]] const DemandByTeam& rates() const noexcept { return this->perSecond; }

    /// True when what was told last differs enough that others should know.
    [[nodiscard]] static bool differsSignificantly(const DemandByTeam& reported, const DemandByTeam& now);

private:
    DemandByTeam perSecond;
    Instant recordedAt;
    bool started = false;
};

} // namespace cyclamendrift
