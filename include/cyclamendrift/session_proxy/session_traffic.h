#pragma once

#include <cyclamendrift/pooling/session_engine.h>
#include <cyclamendrift/session_proxy/ports.h>
#include <cyclamendrift/session_proxy/sibling_exchange.h>

#include <asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// What the control side wants to know of the traffic.
struct TrafficReport {
    std::vector<UpstreamHealth> upstreamHealth;
    std::map<TeamName, std::uint64_t> demand;
    EngineCounters counters;
    SiblingTraffic siblingTraffic;
    std::size_t callers = 0;
    std::size_t connections = 0;
};

/// Drives one SessionEngine on the traffic thread: hands it what callers and upstreams send, carries out what
/// it wants, and takes in what the control side knows. The public functions may be called from any thread.
class SessionTraffic final : private CallerEvents, private UpstreamEvents {
public:
    struct Options {
        asio::io_context& context;
        VmName vm;
        ZoneName zone;
        /// Unique to this process.
        std::uint64_t process = 0;
        /// Where siblings reach this VM.
        std::string siblingHost;
        std::uint16_t siblingPort = 0;
        CallerPort& callers;
        UpstreamPort& upstreams;
        /// Called on the traffic thread once a stop has let go of every caller.
        std::function<void()> onDrained;
        /// Answers a sibling that asks for what was read from the store.
        std::function<asio::awaitable<std::string>(std::string)> shareReadings;
    };

    explicit SessionTraffic(Options options);
    ~SessionTraffic() override;
    SessionTraffic(const SessionTraffic&) = delete;
    SessionTraffic& operator=(const SessionTraffic&) = delete;

    void start();
    /// Begins to take callers.
    void listen();
    void setRoutes(std::shared_ptr<const RouteTable> routes);
    void setDirectory(UpstreamDirectory directory);
    void setLeader(ServiceName service, const LeaderView& view);
    void setEvacuatedZones(std::set<ZoneName> zones);
    void setPlace(const FleetPlace& place);
    void setShares(std::map<TeamName, TeamShare::Rule> shares);
    /// Begins to serve siblings that know the secret.
    void openSiblings(std::string secret);
    void setSiblings(SiblingList siblings);
    /// Asks a sibling for what it read from the store; throws SiblingError or RequestError.
    [[nodiscard]] asio::awaitable<std::string> requestReadings(SiblingAddress sibling, std::string request);
    /// Asks for a report; `take` is called on the traffic thread.
    void report(std::function<void(TrafficReport)> take);
    /// Begins a planned stop.
    void drain(Instant stopListeningAt, Instant abortAt, Instant endAt);

private:
    /// Instant::max() while no stop is under way.
    struct DrainTimes {
        Instant stopListeningAt = Instant::max();
        Instant endAt = Instant::max();
    };

    void connected(CallerId caller) override;
    void started(CallerId caller, SessionStart start) override;
    void asked(CallerId caller, CallerQuery query) override;
    void left(CallerId caller) override;
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
