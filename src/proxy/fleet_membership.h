#pragma once

#include "fleet_context.h"

#include <cyclamendrift/membership/membership_view.h>
#include <cyclamendrift/membership/owner_cache.h>

#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cyclamendrift {

/// Keeps the view of the members by heartbeats and the platform's list. On the control thread, but for the
/// two functions marked otherwise.
class FleetMembership {
public:
    struct Callbacks {
        /// Adds what this process holds of the configuration to a message.
        std::function<std::uint64_t()> sequence;
        std::function<void(wire::HeartbeatAnswer&)> writeStatements;
        /// An answer to a heartbeat arrived that was sent at `askedAt`.
        std::function<void(const SiblingAddress&, const wire::HeartbeatAnswer&, Instant askedAt)> onAnswer;
        /// A sibling sent a heartbeat.
        std::function<void(const SiblingAddress&, std::uint64_t sequence)> onHeartbeat;
        /// The platform's list arrived, without the VMs that are leaving.
        std::function<void(std::span<const VmName>)> onListed;
    };

    FleetMembership(std::shared_ptr<FleetContext> context, Callbacks callbacks);

    void tick(Instant now);

    /// Sends a heartbeat to a few members at once, so that news spread without waiting for the interval.
    void announce();

    /// Declares that this VM leaves and tells a few members at once.
    void leave();

    /// False when the last try to read the platform's list failed, and before the first.
    [[nodiscard]] bool isListReadable() const noexcept { return this->listReadable; }

    [[nodiscard]] const MembershipView& view() const noexcept { return this->members; }

    [[nodiscard]] wire::HeartbeatAnswer handleHeartbeat(const wire::Heartbeat& request);
    [[nodiscard]] asio::awaitable<wire::ProbeAnswer> handleProbe(wire::ProbeRequest request);

    /// Any thread: the homes of a subject, those that this process cannot reach last.
    [[nodiscard]] std::vector<SiblingAddress> homesOf(const std::string& subject, std::size_t count) const;
    /// Any thread: the VMs of the platform's last list.
    [[nodiscard]] std::vector<ListedSibling> listedSiblings() const;
    /// Any thread: true when the platform's list gives an upstream as leaving.
    [[nodiscard]] bool isLeavingUpstream(std::string_view address, std::uint16_t port) const;

private:
    struct ProbeRound;
    struct Reachable {
        SiblingAddress address;
        bool linkBroken = false;
    };

    void publish();
    [[nodiscard]] wire::Heartbeat makeHeartbeat(const VmName& to);
    void takeList(const std::vector<VmEntry>& entries);
    void tryHelpers(const MemberRecord& target);
    void finishRound(const ProbeRound& round);

    [[nodiscard]] asio::awaitable<bool> heartbeat(MemberRecord target);
    static asio::awaitable<void> probe(std::shared_ptr<FleetMembership> self, MemberRecord target);
    static asio::awaitable<void> askHelper(
        std::shared_ptr<FleetMembership> self, MemberRecord helper, std::shared_ptr<ProbeRound> round);
    static asio::awaitable<void> fetchList(std::shared_ptr<FleetMembership> self);

    std::shared_ptr<FleetContext> context;
    Callbacks callbacks;
    MembershipView members;
    Instant nextFetch;
    bool fetching = false;
    bool listReadable = false;
    std::uint64_t publishedVersion = 0;

    mutable OwnerCache owners;
    mutable std::mutex mutex;
    std::map<VmName, Reachable> addresses;
    std::set<std::string> leavingUpstreams;
    std::vector<ListedSibling> siblingsOnList;
};

} // namespace cyclamendrift
