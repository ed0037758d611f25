#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/passed_over.h>
#include <cyclamendrift/limits/limit_shares.h>
#include <cyclamendrift/limits/token_queue.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

    /// All VMs but `self`, those with the highest demand for the team first.
    [[nodiscard]] static std::vector<VmName> rankByDemand(
        const TeamName& team, const VmName& self, const std::map<VmName, DemandByTeam>& listed);

    /// Selects up to `count` VMs, those with the highest demand for the team first.
    [[nodiscard]] std::vector<VmName> select(const TeamName& team, const VmName& self,
        const std::map<VmName, DemandByTeam>& listed, std::size_t count, Instant now) const;

    /// Selects up to `count` of `candidates` that are not skipped, in the same order.
    [[nodiscard]] std::vector<VmName> select(
        const TeamName& team, const std::vector<VmName>& candidates, std::size_t count, Instant now) const;

    /// The holders that a request may wait at: those that answer, without those that refuse at once what they
    /// cannot give and did so a moment ago for this priority or a more urgent one.
    [[nodiscard]] std::vector<VmName> selectWaiting(const TeamName& team,
        const std::vector<VmName>& candidates, std::uint32_t priority, Instant now) const;
    /// The first of `candidates` that is not known to be short of tokens for this priority.
    [[nodiscard]] std::optional<VmName> selectFirst(const TeamName& team,
        const std::vector<VmName>& candidates, std::uint32_t priority, Instant now) const;

    /// Skips a VM that gave fewer tokens than requested, for this team, the priority and less urgent ones.
    void recordShortfall(const TeamName& team, const VmName& vm, Instant now, std::uint32_t priority = 0);
    /// Records whether requests wait at a VM until it has tokens.
    void recordWaits(const VmName& vm, bool waits);
    /// Skips a VM that did not answer, for all teams.
    void recordNoAnswer(const VmName& vm, Instant now)
    {
        this->unresponsiveDonors.add(vm, now + noAnswerPause);
    }

private:
    /// A request to a VM that does not answer costs the waiting operation half of its time limit.
    static constexpr Duration noAnswerPause = std::chrono::milliseconds { 300 };

    PassedOver<VmName> unresponsiveDonors;
    /// Until when a VM is skipped, by priority.
    using SkippedUntil = std::array<Instant, tokenPriorities>;

    [[nodiscard]] bool isSkipped(
        const TeamName& team, const VmName& vm, std::uint32_t priority, Instant now) const;

    std::map<std::pair<TeamName, VmName>, SkippedUntil> skippedDonors;
    /// VMs that answer at once whether they have tokens or not, as earlier builds do.
    std::set<VmName> donorsWithoutQueue;
};

} // namespace cyclamendrift
