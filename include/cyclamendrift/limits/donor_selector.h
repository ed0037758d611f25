#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/passed_over.h>
#include <cyclamendrift/limits/limit_shares.h>

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// Selects the VMs to ask for tokens of a team's limit: those with the highest demand and so the largest
/// share first, without those that recently had too few tokens or did not answer.
class DonorSelector {
public:
    /// A VM that gave fewer tokens than requested is skipped for this long; about the time in which a share
    /// of a few operations per second accrues one more operation.
    static constexpr Duration shortfallPause = std::chrono::milliseconds { 150 };

    /// Selects up to `count` VMs, those with the highest demand for the team first.
    [[nodiscard]] std::vector<VmName> select(const TeamName& team, const VmName& self,
        const std::map<VmName, DemandByTeam>& listed, std::size_t count, Instant now) const;

    /// Selects up to `count` of `candidates` that are not skipped, in the same order.
    [[nodiscard]] std::vector<VmName> select(
        const TeamName& team, const std::vector<VmName>& candidates, std::size_t count, Instant now) const;

    /// Skips a VM that gave fewer tokens than requested, for this team.
    void recordShortfall(const TeamName& team, const VmName& vm, Instant now);
    /// Skips a VM that did not answer, for all teams.
    void recordNoAnswer(const VmName& vm, Instant now)
    {
        this->unresponsiveDonors.add(vm, now + noAnswerPause);
    }

private:
    /// A request to a VM that does not answer costs the waiting operation half of its time limit.
    static constexpr Duration noAnswerPause = std::chrono::milliseconds { 300 };

    PassedOver<VmName> unresponsiveDonors;
    PassedOver<std::pair<TeamName, VmName>> skippedDonors;
};

} // namespace cyclamendrift
