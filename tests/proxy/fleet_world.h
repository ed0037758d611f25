#pragma once

#include <standins/virtual_fleet.h>

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/schema/key_hash.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>

/// What the tests of the fleet share.
namespace cyclamendrift::tests {

using standins::VirtualFleet;
using namespace std::chrono_literals;

inline const TeamName hospitals { "hospitals" };
inline const std::string secret = "a secret of the hospitals";

/// One team with one key.
inline api::Schema makeSchema(double rate = 50, std::uint32_t burst = 100)
{
    api::Schema schema;
    auto& team = *schema.add_teams();
    team.set_name(hospitals.string());
    team.set_rate_per_second(rate);
    team.set_burst(burst);
    auto& key = *schema.add_keys();
    key.set_id("k1");
    key.set_team(hospitals.string());
    key.set_secret_hash(hashSecret(secret));
    return schema;
}

/// The end of a change that an operator asked for.
struct ChangeResult {
    std::optional<api::ApplyResponse> response;
    std::optional<Outcome> outcome;
    std::optional<RefusalReason> reason;
    std::string message;
    Instant at;

    [[nodiscard]] bool isDone() const { return this->response || this->outcome; }
};

inline asio::awaitable<void> awaitChange(
    VirtualFleet& world, asio::awaitable<api::ApplyResponse> change, std::shared_ptr<ChangeResult> result)
{
    try {
        result->response = co_await std::move(change);
    } catch (const RequestError& error) {
        result->outcome = error.outcome();
        result->reason = error.reason();
        result->message = error.what();
    }
    result->at = world.now();
}

/// Starts a change; its result appears while time passes.
inline std::shared_ptr<ChangeResult> begin(VirtualFleet& world, asio::awaitable<api::ApplyResponse> change)
{
    auto result = std::make_shared<ChangeResult>();
    world.spawn(awaitChange(world, std::move(change), result));
    return result;
}

inline api::ApplyRequest applyRequest(std::string id, std::uint64_t expected, api::Schema schema)
{
    api::ApplyRequest request;
    request.set_change_id(std::move(id));
    request.set_expected_revision(expected);
    *request.mutable_schema() = std::move(schema);
    return request;
}

inline api::RevokeRequest revokeRequest(std::string id, std::string key = "k1")
{
    api::RevokeRequest request;
    request.set_change_id(std::move(id));
    request.set_key_id(std::move(key));
    return request;
}

inline api::SetLimitsRequest limitsRequest(std::string id, double rate, std::uint32_t burst)
{
    api::SetLimitsRequest request;
    request.set_change_id(std::move(id));
    request.set_team(hospitals.string());
    request.set_rate_per_second(rate);
    request.set_burst(burst);
    return request;
}

/// Whether a VM accepts the key now.
inline bool accepts(VirtualFleet& world, std::size_t vm, const std::string& key = secret)
{
    try {
        return world.fleet(vm).authenticate(key).team == hospitals;
    } catch (const RequestError&) {
        return false;
    }
}

inline std::uint64_t revisionAt(VirtualFleet& world, std::size_t vm)
{
    const auto snapshot = world.fleet(vm).configuration();
    return snapshot ? snapshot->revision : 0;
}

inline bool everywhere(VirtualFleet& world, const std::function<bool(std::size_t)>& holds)
{
    for (std::size_t vm = 0; vm < world.size(); ++vm) {
        if (!holds(vm))
            return false;
    }
    return true;
}

/// Starts a fleet's work and puts the first schema in force.
inline void settle(VirtualFleet& world, api::Schema schema = makeSchema())
{
    world.runFor(3s);
    const auto result = begin(world, world.fleet(0).apply(applyRequest("first", 0, std::move(schema))));
    world.runFor(3s);
    if (!result->response)
        throw Error { "the first schema was not accepted: " + result->message };
}

} // namespace cyclamendrift::tests
