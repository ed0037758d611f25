#include <cyclamendrift/session_proxy/session_traffic.h>

#include <cyclamendrift/runtime/asio_timer_service.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <asio/post.hpp>

#include <algorithm>
#include <optional>

namespace cyclamendrift {

namespace {

// Timeouts are 300 ms and more, and refusals of waiting work are due within 12 ms of each other at the least.
constexpr Duration tickInterval = std::chrono::milliseconds { 20 };

/// Carries one action out.
class Performer {
public:
    Performer(CallerPort& callers, UpstreamPort& upstreams)
        : callers(callers)
        , upstreams(upstreams)
    {
    }

    void operator()(const OpenConnection& action)
    {
        this->upstreams.open(action.connection, action.upstream, action.team);
    }
    void operator()(const SendStatement& action) { this->upstreams.send(action.connection, action.statement); }
    void operator()(const CloseConnection& action) { this->upstreams.close(action.connection); }
    void operator()(const AcceptCaller& action) { this->callers.accept(action.caller); }
    void operator()(const AnswerCaller& action) { this->callers.answer(action.caller, action.reply); }
    void operator()(const CloseCaller& action) { this->callers.close(action.caller, action.failure); }
    void operator()(const LogDecision& action)
    {
        std::vector<LogField> fields;
        for (const auto& [key, value] : action.fields)
            fields.push_back({ key, value });
        logEvent(LogLevel::Info, action.event, fields);
    }

private:
    CallerPort& callers;
    UpstreamPort& upstreams;
};

} // namespace

struct SessionTraffic::State {
    explicit State(Options given)
        : options(std::move(given))
        , engine({ .zone = options.zone })
        , timers(options.context.get_executor())
    {
    }

    Options options;
    SessionEngine engine;
    AsioTimerService timers;
    std::unique_ptr<TimerService::Subscription> ticks;
    std::optional<DrainTimes> drain;
    bool listening = true;
    bool performing = false;
};

SessionTraffic::SessionTraffic(Options options)
    : state(std::make_unique<State>(std::move(options)))
{
}

SessionTraffic::~SessionTraffic() = default;

void SessionTraffic::start()
{
    this->state->options.upstreams.use(*this);
    this->state->options.callers.listen(*this);
    this->state->ticks = this->state->timers.every(tickInterval, [this](Instant) { this->tick(); });
}

void SessionTraffic::tick()
{
    const auto now = bootNow();
    this->state->engine.tick(now);
    this->performAll();
    if (this->state->drain)
        this->drainTick(now);
}

void SessionTraffic::drainTick(Instant now)
{
    if (this->state->listening && now >= this->state->drain->stopListeningAt) {
        this->state->listening = false;
        this->state->options.callers.stopListening();
    }
    const bool done = !this->state->listening && this->state->engine.callers() == 0;
    if (!done && now < this->state->drain->endAt)
        return;
    if (!done)
        logEvent(LogLevel::Warn, "stop_cut_short",
            { { "callers", std::to_string(this->state->engine.callers()) } });
    this->state->ticks.reset();
    this->state->drain.reset();
    this->state->options.onDrained();
}

void SessionTraffic::performAll()
{
    // A port may report back while an action is carried out; what that brings about is carried out after it.
    if (this->state->performing)
        return;
    this->state->performing = true;
    Performer performer { this->state->options.callers, this->state->options.upstreams };
    for (auto actions = this->state->engine.takeActions(); !actions.empty(); actions = this->state->engine.takeActions()) {
        for (const auto& action : actions)
            std::visit(performer, action);
    }
    this->state->performing = false;
}

void SessionTraffic::started(CallerId caller, SessionStart start)
{
    this->state->engine.callerStarted(caller, start, bootNow());
    this->performAll();
}

void SessionTraffic::asked(CallerId caller, CallerQuery query)
{
    this->state->engine.callerAsked(caller, std::move(query), bootNow());
    this->performAll();
}

void SessionTraffic::left(CallerId caller)
{
    this->state->engine.callerLeft(caller, bootNow());
    this->performAll();
}

void SessionTraffic::opened(ConnectionId connection, std::optional<Progress> progress)
{
    this->state->engine.connectionOpened(connection, progress, bootNow());
    this->performAll();
}

void SessionTraffic::refused(ConnectionId connection, StatementError error)
{
    this->state->engine.connectionRefused(connection, error, bootNow());
    this->performAll();
}

void SessionTraffic::lost(ConnectionId connection)
{
    this->state->engine.connectionLost(connection, bootNow());
    this->performAll();
}

void SessionTraffic::replied(ConnectionId connection, Reply reply)
{
    this->state->engine.upstreamReplied(connection, std::move(reply), bootNow());
    this->performAll();
}

void SessionTraffic::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    asio::post(this->state->options.context, [this, routes = std::move(routes)] {
        this->state->engine.setRoutes(routes, bootNow());
        this->performAll();
    });
}

void SessionTraffic::setDirectory(UpstreamDirectory directory)
{
    asio::post(this->state->options.context, [this, directory = std::move(directory)] {
        this->state->engine.setDirectory(directory, bootNow());
        this->performAll();
    });
}

void SessionTraffic::setLeader(ServiceName service, LeaderView view)
{
    asio::post(this->state->options.context, [this, service = std::move(service), view] {
        this->state->engine.setLeader(service, view, bootNow());
        this->performAll();
    });
}

void SessionTraffic::setPlace(FleetPlace place)
{
    asio::post(this->state->options.context, [this, place] { this->state->engine.setPlace(place, bootNow()); });
}

void SessionTraffic::setShares(std::map<TeamName, TeamShare::Rule> shares)
{
    asio::post(this->state->options.context,
        [this, shares = std::move(shares)] { this->state->engine.setShares(shares, bootNow()); });
}

void SessionTraffic::report(std::function<void(TrafficReport)> take)
{
    asio::post(this->state->options.context, [this, take = std::move(take)] {
        auto& engine = this->state->engine;
        take({ .evidence = engine.evidence(),
            .demand = engine.takeDemand(),
            .counters = engine.counters(),
            .callers = engine.callers(),
            .connections = engine.connections() });
    });
}

void SessionTraffic::drain(Instant stopListeningAt, Instant abortAt, Instant endAt)
{
    asio::post(this->state->options.context, [this, stopListeningAt, abortAt, endAt] {
        this->state->drain = DrainTimes { .stopListeningAt = stopListeningAt, .endAt = endAt };
        this->state->engine.drain(stopListeningAt, abortAt);
    });
}

} // namespace cyclamendrift
