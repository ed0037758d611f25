#pragma once

#include <cyclamendrift/pooling/session_engine.h>
#include <cyclamendrift/session_proxy/ports.h>
#include <cyclamendrift/session_proxy/sibling_exchange.h>

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// Observations of the traffic thread for the control thread.
struct TrafficReport {
    std::vector<UpstreamHealth> upstreamHealth;
    std::map<TeamName, std::uint64_t> demand;
    EngineCounters counters;
    SiblingTraffic siblingTraffic;
    SiblingWireBytes siblingWireBytes;
    SiblingExchange::MeasuredZones measuredZones;
    Duration longestExpectedWait {};
    std::size_t callers = 0;
    std::size_t connections = 0;
    /// Ticks of the traffic thread that were late.
    std::uint64_t lateTicks = 0;
};

/// Drives one SessionEngine on the traffic thread: passes on the events of callers and upstreams and the
/// state that the control thread publishes, and performs the engine's actions. The public functions may be
/// called from any thread.
class SessionTraffic final : private CallerEvents, private UpstreamEvents {
public:
    struct Options {
        asio::io_context& context;
        VmName vm;
        ZoneName zone;
        /// When owners are placed by availability zone.
        PlacementByZone placementByZone = PlacementByZone::Auto;
        /// Number that identifies this process.
        std::uint64_t process = 0;
        /// Address at which siblings reach this VM.
        std::string siblingHost;
        std::uint16_t siblingPort = 0;
        /// Operations of a team get its tokens in the order of their priority.
        bool urgentFirst = false;
        CallerPort& callers;
        UpstreamPort& upstreams;
        /// Maximum number of connections to upstreams.
        std::size_t maxUpstreamConnections = std::numeric_limits<std::size_t>::max();
        /// Called on the traffic thread when a shutdown has closed all sessions.
        std::function<void()> onDrained;
        /// Answers a sibling's request for this VM's readings of the store.
        std::function<asio::awaitable<std::string>(std::string)> shareReadings;
        /// Answers a sibling's request for the configuration.
        std::function<asio::awaitable<std::string>(VmName, std::string)> shareConfiguration;
        /// Called on the traffic thread when statements of a service are to run on this VM.
        std::function<void(ServiceName)> onServiceUsed;
    };

    explicit SessionTraffic(Options options);
    ~SessionTraffic() override;
    SessionTraffic(const SessionTraffic&) = delete;
    SessionTraffic& operator=(const SessionTraffic&) = delete;

    void start();
    /// Starts to accept callers.
    void listen();
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    void setConfigurationOutdated(bool outdated);
    /// No session or operation begins from this instant on; none does before the first call either.
    void setConfigurationValidUntil(Instant until);
    void setDirectory(UpstreamDirectory directory);
    void setLeader(ServiceName service, const LeaderView& view);
    void setEvacuatedZones(std::set<ZoneName> zones);
    void setPlace(const FleetPlace& place);
    void setShares(std::map<TeamName, TeamShare::Rule> shares);
    /// Starts to serve siblings, which must present the secret.
    void openSiblings(std::string secret);
    /// `placedByZone` tells whether owners are placed by availability zone.
    void setSiblings(SiblingList siblings, bool placedByZone);
    /// Requests a report; `take` is called on the traffic thread.
    void report(std::function<void(TrafficReport)> take);
    /// Starts a graceful shutdown.
    void drain(Instant stopListeningAt, Instant abortAt, Instant endAt);

private:
    /// Instant::max() while no shutdown is in progress.
    struct DrainTimes {
        Instant stopListeningAt = Instant::max();
        Instant endAt = Instant::max();
    };

    void connected(CallerId caller) override;
    void started(CallerId caller, SessionStart start) override;
    void statementReceived(CallerId caller, CallerQuery query) override;
    void disconnected(CallerId caller) override;
    void opened(ConnectionId connection, std::optional<Progress> progress) override;
    void refused(ConnectionId connection, StatementError error) override;
    void lost(ConnectionId connection) override;
    void replied(ConnectionId connection, Reply reply) override;

    void performAll();
    void tick();
    void drainTick(Instant now);

    struct State;
    std::unique_ptr<State> state;
};

} // namespace cyclamendrift
