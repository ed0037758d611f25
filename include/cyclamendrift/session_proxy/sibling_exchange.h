#pragma once

#include <cyclamendrift/limits/donor_selector.h>
#include <cyclamendrift/membership/zone_distance.h>
#include <cyclamendrift/membership/zone_placement.h>
#include <cyclamendrift/pooling/session_engine.h>
#include <cyclamendrift/session_proxy/counted_sibling_client.h>
#include <cyclamendrift/siblings/sibling_server.h>

#include <asio/awaitable.hpp>
#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace cyclamendrift {

/// Another VM of the fleet, as described by its record in the store.
struct SiblingInfo {
    SiblingAddress address;
    VmCapacity capacity;
    DemandByTeam demand;
    /// In a large fleet, where records contain no demand by team; 0 while the load is low.
    std::uint32_t operationsPerSecond = 0;
    ZonePlacementRecord zonePlacement;

    /// The operations that the VM is asked for per second, as far as its record tells.
    [[nodiscard]] double load() const;
};
using SiblingList = std::map<VmName, SiblingInfo>;

/// The capacities in the VMs' records.
[[nodiscard]] std::map<VmName, VmCapacity> capacitiesOf(const SiblingList& siblings);

/// The VMs that hold the teams' limits. `placedByZone` tells whether owners are placed by availability zone.
[[nodiscard]] LimitHolders limitHoldersAmong(const std::map<VmName, VmCapacity>& listed, bool placedByZone);

/// True when the VM is in another availability zone, or is not listed.
[[nodiscard]] bool crossesZones(const SiblingList& siblings, const VmName& vm, const ZoneName& ownZone);

/// A sibling's request for tokens of a team's limit.
struct IncomingTokenRequest {
    VmName from;
    TeamName team;
    std::uint32_t wanted = 0;
    std::uint32_t priority = 0;
    /// How long the request may wait for tokens.
    Duration wait {};
    /// The sibling's number for the request.
    std::uint64_t number = 0;
};

/// Calls between session proxies: requests for tokens of limits, and statements that are forwarded to owner
/// VMs; also answers requests for readings of the store. Used on the traffic thread.
class SiblingExchange {
public:
    struct Options {
        asio::io_context& context;
        VmName self;
        ZoneName zone;
        PlacementByZone placementByZone = PlacementByZone::Auto;
        std::string listenHost;
        std::uint16_t listenPort = 0;
        /// Requests for tokens wait at the VMs that hold the limit, by priority.
        bool urgentFirst = false;
        /// Deducts tokens from this VM's share for a sibling; on the traffic thread.
        std::function<asio::awaitable<std::uint32_t>(IncomingTokenRequest)> giveTokens;
        /// A sibling's request need not wait any longer; on the traffic thread.
        std::function<void(const VmName&, const TeamName&, std::uint64_t)> withdrawRequest;
        /// A sibling does not need tokens that it got; on the traffic thread.
        std::function<void(const TeamName&, std::uint32_t)> takeBackTokens;
        /// Answers a sibling's request for this VM's readings of the store; may resume on any thread.
        std::function<asio::awaitable<std::string>(std::string)> shareReadings;
        /// Answers a sibling's request for the configuration; may resume on any thread.
        std::function<asio::awaitable<std::string>(VmName, std::string)> shareConfiguration;
        /// Runs a forwarded statement until a deadline; on the traffic thread.
        std::function<asio::awaitable<std::string>(std::string, Instant)> runForSibling;
        /// A sibling has released a remote session; on the traffic thread.
        std::function<void(const std::string&)> releaseRemoteSession;
    };
    /// The answer of an owner VM, or the reason why there is none.
    using OwnerAnswer = std::variant<std::string, ForwardFailure>;

    explicit SiblingExchange(Options options);
    ~SiblingExchange();

    /// Starts to listen; before that no sibling can be called and no call is answered.
    void open(const std::string& secret);
    [[nodiscard]] bool isOpen() const noexcept;
    /// `placedByZone` tells whether owners are placed by availability zone.
    void setSiblings(SiblingList siblings, bool placedByZone);
    /// Measures the round trips to a VM of each availability zone when that is due; on the traffic thread.
    void measureZones(Instant now);
    /// The difference between round trips to other zones and those within this VM's zone, empty until it is
    /// measured, and whether the zones are far apart by it.
    struct MeasuredZones {
        bool farApart = false;
        std::optional<Duration> difference;
    };
    [[nodiscard]] MeasuredZones measuredZones() const;
    /// Bytes of this VM's calls so far; on the traffic thread.
    [[nodiscard]] const SiblingTraffic& traffic() const noexcept;
    /// Bytes on the connections for these calls so far; on the traffic thread.
    [[nodiscard]] const SiblingWireBytes& wireBytes() const noexcept;

    /// Requests tokens from siblings, one after the other, and reports their sum; on the traffic thread.
    void requestTokens(const TeamName& team, std::uint32_t wanted, std::function<void(std::uint32_t)> done);

    /// Requests tokens from siblings until the end of the request's time and reports how many it got; on the
    /// traffic thread.
    void searchTokens(const RequestTokens& request, std::function<void(std::uint32_t)> done);
    /// Gives tokens that are not needed back to a sibling that holds the limit; on the traffic thread.
    void returnTokens(const TeamName& team, std::uint32_t count);

    /// Forwards a statement to an owner VM and reports its answer; on the traffic thread.
    void forward(
        const VmName& owner, std::string work, Duration timeLimit, std::function<void(OwnerAnswer)> done);
    /// Reports whether an owner VM responds to a liveness check; on the traffic thread.
    void checkLiveness(const VmName& owner, std::function<void(bool)> done);
    /// Tells an owner VM that a remote session has ended; on the traffic thread.
    void releaseRemoteSession(const VmName& owner, std::string body);

    /// Accepts no further calls.
    void close();

private:
    struct State;
    std::shared_ptr<State> state;
};

} // namespace cyclamendrift
