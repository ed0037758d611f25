#pragma once

#include <cyclamendrift/core/database_name.h>
#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/siblings/sibling_client.h>

#include <cyclamendrift.pb.h>

#include <asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// Whose request it is, as its key says.
struct CallerIdentity {
    KeyId key;
    TeamName team;
};

/// The configuration in force at this VM; never changed, only replaced by one with a higher revision.
struct ConfigurationSnapshot {
    std::uint64_t revision = 0;
    api::Schema schema;
};

/// A VM of the system on the platform's list.
struct ListedSibling {
    SiblingAddress address;
    ZoneName zone;
};

/// What this VM knows and shares with all others: the configuration and its keys, the members, who is home of
/// what, and the limits of teams. Safe to call from any thread; a call resumes on its caller's executor.
class Fleet {
public:
    virtual ~Fleet() = default;

    /// The configuration in force here; null before the first one was read.
    [[nodiscard]] virtual std::shared_ptr<const ConfigurationSnapshot> configuration() const = 0;

    /// The caller whom a key's secret belongs to; throws RequestError with BadKey when it is unknown or
    /// withdrawn, or when this VM can no longer be sure of its keys.
    [[nodiscard]] virtual CallerIdentity authenticate(std::string_view secret) const = 0;

    /// Takes one request out of a team's rate and burst over the whole fleet; throws RequestError with
    /// OverLimit and the time at which to come back. May wait until the deadline when waiting helps.
    [[nodiscard]] virtual asio::awaitable<void> admit(TeamName team, Instant deadline) = 0;

    /// Home proxies of a database, best first; the address with the own name stands for this VM.
    [[nodiscard]] virtual std::vector<SiblingAddress> homesOf(const DatabaseName& database) const = 0;

    /// The VMs of the system that the platform's last list gave, alive or not, this one among them. Empty
    /// before a list was read.
    [[nodiscard]] virtual std::vector<ListedSibling> listedSiblings() const = 0;

    /// True when a slot is on a VM that the platform's list gives as leaving.
    [[nodiscard]] virtual bool isLeaving(std::string_view address, std::uint16_t port) const = 0;

    /// Calls back on the control thread whenever a key has been withdrawn.
    virtual void onKeyWithdrawn(std::function<void(const KeyId&)> callback) = 0;

    /// Answers the calls of siblings that concern the fleet; empty when the method is not one of these.
    [[nodiscard]] virtual asio::awaitable<std::optional<std::string>> handle(
        VmName from, std::string method, std::string body)
        = 0;

    // What operators ask for. Each throws RequestError; a conflict carries its differences in the message.
    [[nodiscard]] virtual asio::awaitable<api::ApplyResponse> apply(api::ApplyRequest request) = 0;
    [[nodiscard]] virtual asio::awaitable<api::ApplyResponse> grant(api::GrantRequest request) = 0;
    [[nodiscard]] virtual asio::awaitable<api::ApplyResponse> revoke(api::RevokeRequest request) = 0;
    [[nodiscard]] virtual asio::awaitable<api::ApplyResponse> setLimits(api::SetLimitsRequest request) = 0;
    [[nodiscard]] virtual asio::awaitable<api::StatusResponse> status() = 0;

    /// Hands over homes and grants and tells the siblings that this VM is leaving.
    [[nodiscard]] virtual asio::awaitable<void> leave() = 0;
};

} // namespace cyclamendrift
