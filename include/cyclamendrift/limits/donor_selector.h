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

/// Chooses whom to ask for part of their share of a team's limit: those whose share is largest, without those
/// that had too little just now.
class DonorSelector {
public:
    /// A VM that gave less than it was asked for is passed over for this long; about the time in which a
    /// share of a few operations a second grows by one.
    static constexpr Duration shortfallPause = std::chrono::milliseconds { 150 };

    /// Up to `count` VMs, the most promising first.
    [[nodiscard]] std::vector<VmName> select(const TeamName& team, const VmName& self,
        const std::map<VmName, DemandByTeam>& listed, std::size_t count, Instant now) const;

    /// Those of `candidates` that did not have too little just now, up to `count`, in the same order.
    [[nodiscard]] std::vector<VmName> select(
        const TeamName& team, const std::vector<VmName>& candidates, std::size_t count, Instant now) const;

    /// A VM gave less than it was asked for.
    void recordShortfall(const TeamName& team, const VmName& vm, Instant now);
    /// A VM did not answer, whatever the team.
    void recordNoAnswer(const VmName& vm, Instant now)
    {
        this->unresponsiveDonors.add(vm, now + noAnswerPause);
    }

private:
    /// A question to a VM that does not answer costs the operation that waits half of its time.
    static constexpr Duration noAnswerPause = std::chrono::milliseconds { 300 };

    PassedOver<VmName> unresponsiveDonors;
    PassedOver<std::pair<TeamName, VmName>> skippedDonors;
};

} // namespace cyclamendrift
