#pragma once

#include "fleet_configuration.h"
#include "fleet_limits.h"
#include "fleet_membership.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamendrift {

/// The fleet of one VM: joins membership, configuration and limits and answers for them.
class FleetNode final : public Fleet, public std::enable_shared_from_this<FleetNode> {
public:
    explicit FleetNode(FleetOptions options);

    /// Begins the periodic work.
    void start();
    /// Ends all work in the background.
    void stop();
    /// The control thread.
    [[nodiscard]] asio::any_io_executor executor() const { return this->context->options.executor; }

    [[nodiscard]] std::shared_ptr<const ConfigurationSnapshot> configuration() const override;
    [[nodiscard]] CallerIdentity authenticate(std::string_view secret) const override;
    [[nodiscard]] asio::awaitable<void> admit(TeamName team, Instant deadline) override;
    [[nodiscard]] std::vector<SiblingAddress> homesOf(const DatabaseName& database) const override;
    [[nodiscard]] std::vector<ListedSibling> listedSiblings() const override;
    [[nodiscard]] bool isLeaving(std::string_view address, std::uint16_t port) const override;
    void onKeyWithdrawn(std::function<void(const KeyId&)> callback) override;
    [[nodiscard]] asio::awaitable<std::optional<std::string>> handle(
        VmName from, std::string method, std::string body) override;
    [[nodiscard]] asio::awaitable<api::ApplyResponse> apply(api::ApplyRequest request) override;
    [[nodiscard]] asio::awaitable<api::ApplyResponse> grant(api::GrantRequest request) override;
    [[nodiscard]] asio::awaitable<api::ApplyResponse> revoke(api::RevokeRequest request) override;
    [[nodiscard]] asio::awaitable<api::ApplyResponse> setLimits(api::SetLimitsRequest request) override;
    [[nodiscard]] asio::awaitable<api::StatusResponse> status() override;
    [[nodiscard]] asio::awaitable<void> leave() override;

private:
    struct StatusRound;

    void onDocument(const DocumentPointer& before, const DocumentPointer& after);
    void reportCondition();
    [[nodiscard]] api::VmStatus ownStatus() const;
    [[nodiscard]] asio::awaitable<api::ApplyResponse> change(std::string changeId, ConfigurationEdit edit);
    [[nodiscard]] asio::awaitable<std::optional<std::string>> handleHere(
        std::string method, std::string body);
    static asio::awaitable<api::StatusResponse> collectStatus(std::shared_ptr<FleetNode> self);
    static asio::awaitable<void> askStatus(
        std::shared_ptr<FleetNode> self, MemberRecord member, std::shared_ptr<StatusRound> round);
    static asio::awaitable<void> leaveHere(std::shared_ptr<FleetNode> self);

    std::shared_ptr<FleetContext> context;
    std::unique_ptr<FleetConfiguration> configurationPart;
    std::unique_ptr<FleetMembership> membershipPart;
    std::unique_ptr<FleetLimits> limitsPart;
    std::vector<std::function<void(const KeyId&)>> keyCallbacks;
    std::unique_ptr<TimerService::Subscription> fleetTicks;
    std::unique_ptr<TimerService::Subscription> limitTicks;
    FleetCondition condition;
};

} // namespace cyclamendrift
