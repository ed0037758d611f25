#pragma once

#include "fleet_configuration.h"
#include "fleet_membership.h"

#include <cyclamendrift/limits/limit_client.h>
#include <cyclamendrift/limits/limit_shard_home.h>

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamendrift {

/// The limits of teams at this VM: admits requests out of grants, and hands out grants of the shards that
/// this process owns. On the control thread, but for `admit`.
class FleetLimits {
public:
    FleetLimits(std::shared_ptr<FleetContext> context, FleetConfiguration& configuration,
        FleetMembership& membership);

    /// Takes over shards and moves those whose owner is gone.
    void tick(Instant now);
    /// Asks for grants, returns idle ones and ends waits that are over.
    void pumpAll();
    void onDocument(const wire::ConfigurationDocument& document);

    /// Gives every team of a document that has no shards some, at owners that this process knows.
    void assignNewTeams(wire::ConfigurationDocument& document);

    /// Any thread: takes one request out of a team's limit; throws RequestError.
    [[nodiscard]] asio::awaitable<void> admit(TeamName team, Instant deadline);

    [[nodiscard]] wire::LimitGrantAnswer handleGrant(const wire::LimitGrantRequest& request);

    /// Gives back the shards and grants held here.
    [[nodiscard]] asio::awaitable<void> leave();

private:
    struct ShardId {
        std::string team;
        std::uint32_t index = 0;

        friend auto operator<=>(const ShardId&, const ShardId&) = default;
    };

    /// A shard that the document gives to this process. Without a bucket it waits until no former owner can
    /// still hand out of it.
    struct OwnedShard {
        std::uint64_t epoch = 0;
        Instant startAt = Instant::max();
        std::unique_ptr<LimitShardHome> bucket;
    };

    struct PendingAdmission {
        asio::steady_timer* wake = nullptr;
        std::optional<AdmissionResult> verdict;
    };

    /// One team's limit on the way in.
    struct TeamGate {
        explicit TeamGate(LimitClient::Options options)
            : client(options)
        {
        }

        TeamName team;
        std::mutex mutex;
        LimitClient client;
        bool pumpPosted = false;
        // The rest belongs to the control thread.
        std::map<std::uint32_t, wire::LimitShard> shards;
        std::unordered_map<std::uint64_t, PendingAdmission*> pending;
    };
    using GatePointer = std::shared_ptr<TeamGate>;

    [[nodiscard]] GatePointer findGate(const TeamName& team) const;
    [[nodiscard]] static LimitRule ruleFrom(const api::Team& team);
    [[nodiscard]] LimitRule ruleOf(const std::string& team) const;
    void updateGates(const wire::ConfigurationDocument& document);
    void updateOwned(const wire::ConfigurationDocument& document);
    void startOwned(Instant now);
    void pump(const GatePointer& gate);
    void sendAsks(const GatePointer& gate, std::vector<ShardRequest> messages);
    void resume(TeamGate& gate, const std::vector<AdmissionResult>& results);
    void reassign(Instant now);
    [[nodiscard]] bool isGone(const wire::LimitShard& shard) const;
    [[nodiscard]] std::optional<MemberRecord> chooseOwner(
        const std::string& team, std::uint32_t index, const std::vector<std::string>& taken) const;
    [[nodiscard]] wire::LimitGrantRequest toRequest(const TeamGate& gate, const ShardRequest& message) const;

    static asio::awaitable<void> sendAsk(
        std::shared_ptr<FleetLimits> self, GatePointer gate, ShardRequest message);
    static asio::awaitable<void> waitForGrant(
        std::shared_ptr<FleetLimits> self, GatePointer gate, Instant deadline);
    static asio::awaitable<void> moveShards(
        std::shared_ptr<FleetLimits> self, std::vector<wire::LimitShard> shards);

    std::shared_ptr<FleetContext> context;
    FleetConfiguration& configuration;
    FleetMembership& membership;
    mutable std::mutex gatesMutex;
    std::unordered_map<TeamName, GatePointer> gates;
    std::map<std::string, LimitRule> rules;
    std::map<std::string, std::uint32_t> shardCounts;
    std::map<ShardId, OwnedShard> owned;
    /// Since when some owner is gone; the greatest of times while none is.
    Instant goneSince = Instant::max();
    bool moving = false;
    bool leaving = false;
};

} // namespace cyclamendrift
