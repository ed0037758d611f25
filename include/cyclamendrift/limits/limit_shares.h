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

/// Recent demand on a VM in operations per second, by team.
using DemandByTeam = std::map<TeamName, double>;

/// The shares of the teams' limits that this VM may use. A limit is split over the VMs in proportion to the
/// demand of each, or in a large fleet evenly over the limit's holders. Every VM computes its own share from
/// the same list in the store, so the shares add up to the limit without messages between VMs.
///
///     shares.updateByDemand(limits, self, listed, now);
///     engine.setShares(shares.current(), now);
class LimitShares {
public:
    /// Delay before a larger share takes effect. VMs read the list at different moments: a VM whose share
    /// shrinks must have read the new list before another VM uses what it gave up.
    static constexpr Duration growthDelay = std::chrono::milliseconds { 1300 };

    /// Splits each limit by the demand of the listed VMs; a VM that is not listed yet counts as one more VM
    /// without demand.
    void updateByDemand(const std::map<TeamName, TeamLimit>& limits, const VmName& self,
        const std::map<VmName, DemandByTeam>& listed, Instant now);

    /// Splits each limit evenly over its holders, for a large fleet.
    void updateByHolders(const std::map<TeamName, TeamLimit>& limits, const VmName& self,
        const LimitHolders& holders, Instant now);

    /// The shares that this VM may use now.
    [[nodiscard]] std::map<TeamName, TeamShare::Rule> current() const;

private:
    struct DatedRule {
        Instant since;
        TeamShare::Rule rule;
    };

    void removeOtherTeams(const std::map<TeamName, TeamLimit>& limits);
    void appendRule(const TeamName& team, const TeamShare::Rule& rule, Instant now);

    /// Shares computed within the growth delay, oldest first; the smallest rate and burst apply.
    std::map<TeamName, std::deque<DatedRule>> histories;
};

/// Measures the demand on a VM as an exponentially decaying mean.
class DemandMeter {
public:
    /// Records the number of operations that were requested since the last call, by team.
    void note(const std::map<TeamName, std::uint64_t>& requested, Instant now);

    /// Continues from the rates that an earlier process of this VM measured.
    void begin(const DemandByTeam& measured) { this->perSecond = measured; }

    [[nodiscard]] const DemandByTeam& rates() const noexcept { return this->perSecond; }

    /// True when the measured rates differ enough from the reported ones to be worth a write.
    [[nodiscard]] static bool differsSignificantly(const DemandByTeam& reported, const DemandByTeam& now);

private:
    DemandByTeam perSecond;
    Instant recordedAt;
    bool started = false;
};

} // namespace cyclamendrift
