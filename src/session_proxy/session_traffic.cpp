#include <cyclamendrift/session_proxy/session_traffic.h>

#include "forwarding_codec.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/core/loop_lateness.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/runtime/asio_timer_service.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/bounded_log.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <exception>
#include <optional>

namespace cyclamendrift {

namespace {

// Resolution of timeouts and of refusals of waiting statements.
constexpr Duration tickInterval = std::chrono::milliseconds { 20 };

// The same while no time limit is running.
constexpr Duration idleTickInterval = std::chrono::milliseconds { 250 };

// Log lines per second for each event; further ones are counted only. A line takes about as much processor
// time as a statement.
constexpr std::uint64_t linesPerSecond = 20;

/// A sibling's call that waits for the engine's answer, until a deadline at most.
template <class Answer> struct AnswerWait {
    AnswerWait(asio::io_context& context, Instant deadline)
        : timer(context, deadline)
    {
    }

    void finish(Answer given)
    {
        this->answer = std::move(given);
        this->timer.cancel();
    }

    asio::steady_timer timer;
    std::optional<Answer> answer;
};

/// Returns once the wait has its answer or its deadline has passed.
template <class Answer> asio::awaitable<void> finished(std::shared_ptr<AnswerWait<Answer>> wait)
{
    if (wait->answer)
        co_return;
    std::error_code ignored;
    co_await wait->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

using RemoteStatementWait = AnswerWait<Reply>;
using TokenRequestWait = AnswerWait<std::uint32_t>;

/// A sibling and its number for a request.
using SiblingRequestKey = std::pair<VmName, std::uint64_t>;

// The engine ends a request at its time; this covers a late tick.
constexpr Duration tokenAnswerGrace = std::chrono::milliseconds { 20 };

} // namespace

struct SessionTraffic::State {
    explicit State(Options given)
        : options(std::move(given))
        , engine({ .zone = options.zone,
              .settings = { .urgentFirst = options.urgentFirst },
              .seed = options.process })
        , timers(options.context.get_executor())
        , exchange({ .context = options.context,
              .self = options.vm,
              .zone = options.zone,
              .placementByZone = options.placementByZone,
              .listenHost = options.siblingHost,
              .listenPort = options.siblingPort,
              .urgentFirst = options.urgentFirst,
              .giveTokens
              = [this](IncomingTokenRequest request) { return this->giveTokens(std::move(request)); },
              .withdrawRequest = [this](const VmName& from, const TeamName& team,
                                     std::uint64_t number) { this->withdrawRequest(from, team, number); },
              .takeBackTokens =
                  [this](const TeamName& team, std::uint32_t count) {
                      this->engine.siblingReturnedTokens(team, count, bootNow());
                      this->performAll();
                  },
              .shareReadings = options.shareReadings,
              .shareConfiguration = options.shareConfiguration,
              .runForSibling
              = [this](std::string body,
                    Instant deadline) { return this->runForSibling(std::move(body), deadline); },
              .releaseRemoteSession =
                  [this](const std::string& body) {
                      this->engine.remoteSessionReleased(forwarding_codec::decodeRelease(body), bootNow());
                      this->performAll();
                  } })
    {
        this->engine.setConfigurationValidUntil(Instant::min());
        this->engine.setMaxConnections(options.maxUpstreamConnections);
    }

    /// Performs all actions that the engine has requested. An action that fails does not keep the others from
    /// being performed.
    void performAll();
    /// Reports to the engine that an action failed, where the engine waits for its outcome.
    template <class Action> void onFailed(const Action&) { }
    void onFailed(const OpenConnection& action);
    void onFailed(const SendStatement& action);
    void onFailed(const ForwardStatement& action);
    void perform(const OpenConnection& action);
    void perform(const SendStatement& action);
    void perform(const CloseConnection& action);
    void perform(const AcceptCaller& action);
    void perform(const AnswerCaller& action);
    void perform(const CloseCaller& action);
    void perform(const RequestTokens& action);
    void perform(const AnswerTokenRequest& action);
    void perform(const ReturnTokens& action);
    void perform(const ForwardStatement& action);
    void perform(const CheckOwnerLiveness& action);
    void perform(const ReleaseRemoteSession& action);
    void perform(const AnswerRemoteSession& action);
    void perform(const TrackService& action);
    void perform(const LogEvent& action);
    [[nodiscard]] asio::awaitable<std::string> runForSibling(std::string body, Instant deadline);
    [[nodiscard]] asio::awaitable<std::uint32_t> giveTokens(IncomingTokenRequest request);
    void withdrawRequest(const VmName& from, const TeamName& team, std::uint64_t number);
    /// Serves waiting requests for tokens when the next token accrues, which may be between two ticks.
    void scheduleTokens();

    Options options;
    SessionEngine engine;
    AsioTimerService timers;
    SiblingExchange exchange;
    std::unique_ptr<TimerService::Subscription> ticks;
    std::function<void(bool idle)> startTicks;
    bool ticksAreIdle = false;
    LoopLateness lateness;
    DrainTimes drain;
    BoundedLog log { linesPerSecond };
    std::map<CallerId, std::shared_ptr<RemoteStatementWait>> remoteWaits;
    std::map<std::uint64_t, std::shared_ptr<TokenRequestWait>> tokenWaits;
    std::map<SiblingRequestKey, std::uint64_t> waitingRequests;
    std::uint64_t lastTokenWait = 0;
    asio::steady_timer tokenTimer { options.context };
    Instant tokenTimerAt = Instant::max();
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
    this->state->options.upstreams.setEvents(*this);
    this->state->startTicks = [this](bool idle) {
        this->state->ticksAreIdle = idle;
        this->state->lateness.restarted(bootNow());
        this->state->ticks = this->state->timers.every(
            idle ? idleTickInterval : tickInterval, [this](Instant) { this->tick(); });
    };
    this->state->startTicks(false);
}

void SessionTraffic::listen()
{
    asio::post(this->state->options.context, [this] { this->state->options.callers.listen(*this); });
}

void SessionTraffic::tick()
{
    const auto now = bootNow();
    const auto interval = this->state->ticksAreIdle ? idleTickInterval : tickInterval;
    if (const auto late = this->state->lateness.record(now, interval))
        logEvent(LogLevel::Warn, "event_loop_late",
            { { "thread", "traffic" }, { "late_ms", millisecondsText(*late) } });
    this->state->engine.tick(now);
    this->performAll();
    this->state->exchange.measureZones(now);
    if (!this->state->ticksAreIdle && this->state->engine.isIdle())
        this->state->startTicks(true);
    this->drainTick(now);
}

void SessionTraffic::drainTick(Instant now)
{
    if (this->state->listening && now >= this->state->drain.stopListeningAt) {
        this->state->listening = false;
        this->state->options.callers.stopListening();
        this->state->exchange.close();
    }
    const bool sending = this->state->options.callers.isSending();
    const bool done = !this->state->listening && this->state->engine.callers() == 0 && !sending;
    if (!done && now < this->state->drain.endAt)
        return;
    if (!done)
        logEvent(LogLevel::Warn, "stop_cut_short",
            { { "callers", std::to_string(this->state->engine.callers()) },
                { "sending", sending ? "yes" : "no" } });
    this->state->ticks.reset();
    this->state->options.onDrained();
}

void SessionTraffic::performAll() { this->state->performAll(); }

void SessionTraffic::State::performAll()
{
    // A port may report an event while an action is performed; the actions that follow are performed after
    // it.
    if (this->performing)
        return;
    this->performing = true;
    const auto performOne = [this](const auto& action) {
        try {
            this->perform(action);
        } catch (const std::exception& error) {
            this->log.write("action_failed", { { "reason", error.what() } }, bootNow());
            this->onFailed(action);
        }
    };
    for (auto actions = this->engine.takeActions(); !actions.empty(); actions = this->engine.takeActions()) {
        for (const auto& action : actions)
            std::visit(performOne, action);
    }
    this->performing = false;
    this->scheduleTokens();
    if (this->ticksAreIdle && this->startTicks && !this->engine.isIdle())
        this->startTicks(false);
}

void SessionTraffic::State::onFailed(const OpenConnection& action)
{
    this->engine.connectionLost(action.connection, bootNow());
}

void SessionTraffic::State::onFailed(const SendStatement& action)
{
    // Part of the statement may have been sent.
    this->options.upstreams.close(action.connection);
    this->engine.connectionLost(action.connection, bootNow());
}

void SessionTraffic::State::onFailed(const ForwardStatement& action)
{
    this->engine.forwardingFailed(
        action.caller, action.work.remoteSession, ForwardFailure::NotAccepted, bootNow());
}

void SessionTraffic::State::perform(const OpenConnection& action)
{
    this->options.upstreams.open(action.connection, action.upstream, action.team);
}

void SessionTraffic::State::perform(const SendStatement& action)
{
    this->options.upstreams.send(action.connection, action.statement);
}

void SessionTraffic::State::perform(const CloseConnection& action)
{
    this->options.upstreams.close(action.connection);
}

void SessionTraffic::State::perform(const AcceptCaller& action)
{
    this->options.callers.accept(action.caller);
}

void SessionTraffic::State::perform(const AnswerCaller& action)
{
    this->options.callers.answer(action.caller, action.reply);
}

void SessionTraffic::State::perform(const CloseCaller& action)
{
    this->options.callers.close(action.caller, action.failure);
}

void SessionTraffic::State::perform(const RequestTokens& action)
{
    if (this->options.urgentFirst) {
        this->exchange.searchTokens(action, [this, action](std::uint32_t given) {
            this->engine.tokenRequestEnded(action, given, bootNow());
            this->performAll();
        });
        return;
    }
    this->exchange.requestTokens(action.team, action.wanted, [this, team = action.team](std::uint32_t given) {
        this->engine.tokensReceived(team, given, bootNow());
        this->performAll();
    });
}

void SessionTraffic::State::perform(const AnswerTokenRequest& action)
{
    const auto wait = this->tokenWaits.find(action.request);
    if (wait == this->tokenWaits.end()) {
        // Nobody waits for the answer any more.
        if (action.given > 0)
            this->engine.siblingReturnedTokens(action.team, action.given, bootNow());
        return;
    }
    wait->second->finish(action.given);
    this->tokenWaits.erase(wait);
}

void SessionTraffic::State::perform(const ReturnTokens& action)
{
    this->exchange.returnTokens(action.team, action.count);
}

void SessionTraffic::State::perform(const ForwardStatement& action)
{
    const auto done = [this, caller = action.caller, remoteSession = action.work.remoteSession](
                          SiblingExchange::OwnerAnswer answer) {
        const auto now = bootNow();
        if (const auto* body = std::get_if<std::string>(&answer)) {
            try {
                this->engine.forwardedStatementAnswered(
                    caller, remoteSession, forwarding_codec::decodeReply(*body), now);
            } catch (const RequestError& error) {
                logEvent(LogLevel::Error, "home_answer_unreadable", { { "reason", error.what() } });
                this->engine.forwardingFailed(caller, remoteSession, ForwardFailure::Lost, now);
            }
        } else {
            this->engine.forwardingFailed(caller, remoteSession, std::get<ForwardFailure>(answer), now);
        }
        this->performAll();
    };
    this->exchange.forward(action.owner, forwarding_codec::encode(action.work), action.timeLimit, done);
}

void SessionTraffic::State::perform(const CheckOwnerLiveness& action)
{
    this->exchange.checkLiveness(action.owner, [this, owner = action.owner](bool alive) {
        this->engine.ownerLivenessChecked(owner, alive, bootNow());
        this->performAll();
    });
}

void SessionTraffic::State::perform(const ReleaseRemoteSession& action)
{
    this->exchange.releaseRemoteSession(action.owner, forwarding_codec::encodeRelease(action.remoteSession));
}

void SessionTraffic::State::perform(const AnswerRemoteSession& action)
{
    const auto wait = this->remoteWaits.find(action.remoteSession);
    if (wait == this->remoteWaits.end())
        return;
    wait->second->finish(action.reply);
}

void SessionTraffic::State::perform(const TrackService& action)
{
    this->options.onServiceUsed(action.service);
}

void SessionTraffic::State::perform(const LogEvent& action)
{
    this->log.write(action.event, action.fields, bootNow());
}

asio::awaitable<std::string> SessionTraffic::State::runForSibling(std::string body, Instant deadline)
{
    auto work = forwarding_codec::decodeWork(body);
    const auto remoteSession = work.remoteSession;
    const auto wait = std::make_shared<RemoteStatementWait>(this->options.context, deadline);
    this->remoteWaits[remoteSession] = wait;
    this->engine.forwardedStatementReceived(std::move(work), bootNow());
    this->performAll();
    co_await finished(wait);
    const auto entry = this->remoteWaits.find(remoteSession);
    if (entry != this->remoteWaits.end() && entry->second == wait)
        this->remoteWaits.erase(entry);
    if (const auto reply = wait->answer)
        co_return forwarding_codec::encode(*reply);
    throw outcomeUnknown(
        RefusalReason::DeadlineExceeded, "the statement goes on, but its caller's time is over");
}

asio::awaitable<std::uint32_t> SessionTraffic::State::giveTokens(IncomingTokenRequest request)
{
    const auto now = bootNow();
    if (!this->options.urgentFirst)
        co_return this->engine.giveTokens(request.team, request.wanted, now);
    const auto id = ++this->lastTokenWait;
    const SiblingRequestKey key { request.from, request.number };
    const auto wait = std::make_shared<TokenRequestWait>(
        this->options.context, std::chrono::steady_clock::now() + request.wait + tokenAnswerGrace);
    this->tokenWaits[id] = wait;
    this->waitingRequests[key] = id;
    this->engine.siblingRequestedTokens({ .number = id,
                                            .team = request.team,
                                            .priority = request.priority,
                                            .wanted = request.wanted,
                                            .until = now + request.wait },
        now);
    this->performAll();
    co_await finished(wait);
    this->tokenWaits.erase(id);
    if (const auto entry = this->waitingRequests.find(key);
        entry != this->waitingRequests.end() && entry->second == id)
        this->waitingRequests.erase(entry);
    co_return wait->answer.value_or(0);
}

void SessionTraffic::State::withdrawRequest(const VmName& from, const TeamName& team, std::uint64_t number)
{
    const auto entry = this->waitingRequests.find({ from, number });
    if (entry == this->waitingRequests.end())
        return;
    this->engine.siblingWithdrewRequest(team, entry->second, bootNow());
    this->performAll();
}

void SessionTraffic::State::scheduleTokens()
{
    const auto due = this->engine.nextTokenDue();
    if (due == this->tokenTimerAt)
        return;
    this->tokenTimerAt = due;
    if (due == Instant::max()) {
        this->tokenTimer.cancel();
        return;
    }
    this->tokenTimer.expires_after(std::max(due - bootNow(), Duration {}));
    this->tokenTimer.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        this->tokenTimerAt = Instant::max();
        this->engine.serveWaitingRequests(bootNow());
        this->performAll();
    });
}

void SessionTraffic::connected(CallerId caller) { this->state->engine.callerConnected(caller, bootNow()); }

void SessionTraffic::started(CallerId caller, SessionStart start)
{
    this->state->engine.callerStartedSession(caller, start, bootNow());
    this->performAll();
}

void SessionTraffic::statementReceived(CallerId caller, CallerQuery query)
{
    this->state->engine.callerSentStatement(caller, std::move(query), bootNow());
    this->performAll();
}

void SessionTraffic::disconnected(CallerId caller)
{
    this->state->engine.callerDisconnected(caller, bootNow());
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

void SessionTraffic::setConfigurationOutdated(bool outdated)
{
    asio::post(this->state->options.context,
        [this, outdated] { this->state->engine.setConfigurationOutdated(outdated, bootNow()); });
}

void SessionTraffic::setConfigurationValidUntil(Instant until)
{
    asio::post(this->state->options.context,
        [this, until] { this->state->engine.setConfigurationValidUntil(until); });
}

void SessionTraffic::setDirectory(UpstreamDirectory directory)
{
    asio::post(this->state->options.context, [this, directory = std::move(directory)] {
        this->state->engine.setDirectory(directory, bootNow());
        this->performAll();
    });
}

void SessionTraffic::setLeader(ServiceName service, const LeaderView& view)
{
    asio::post(this->state->options.context, [this, service = std::move(service), view] {
        this->state->engine.setLeader(service, view, bootNow());
        this->performAll();
    });
}

void SessionTraffic::setEvacuatedZones(std::set<ZoneName> zones)
{
    asio::post(this->state->options.context, [this, zones = std::move(zones)] {
        this->state->engine.setEvacuatedZones(zones, bootNow());
        this->performAll();
    });
}

void SessionTraffic::setPlace(const FleetPlace& place)
{
    asio::post(
        this->state->options.context, [this, place] { this->state->engine.setPlace(place, bootNow()); });
}

void SessionTraffic::setShares(std::map<TeamName, TeamShare::Rule> shares)
{
    asio::post(this->state->options.context,
        [this, shares = std::move(shares)] { this->state->engine.setShares(shares, bootNow()); });
}

void SessionTraffic::openSiblings(std::string secret)
{
    asio::post(this->state->options.context,
        [this, secret = std::move(secret)] { this->state->exchange.open(secret); });
}

void SessionTraffic::setSiblings(SiblingList siblings, bool placedByZone)
{
    asio::post(this->state->options.context, [this, siblings = std::move(siblings), placedByZone]() mutable {
        this->state->exchange.setSiblings(std::move(siblings), placedByZone);
    });
}

void SessionTraffic::report(std::function<void(TrafficReport)> take)
{
    asio::post(this->state->options.context, [this, take = std::move(take)] {
        auto& engine = this->state->engine;
        take({ .upstreamHealth = engine.upstreamHealth(),
            .demand = engine.takeDemand(),
            .counters = engine.counters(),
            .siblingTraffic = this->state->exchange.traffic(),
            .siblingWireBytes = this->state->exchange.wireBytes(),
            .measuredZones = this->state->exchange.measuredZones(),
            .longestExpectedWait = engine.longestExpectedWait(),
            .callers = engine.callers(),
            .connections = engine.connections(),
            .lateTicks = this->state->lateness.lateTicks() });
    });
}

void SessionTraffic::drain(Instant stopListeningAt, Instant abortAt, Instant endAt)
{
    asio::post(this->state->options.context, [this, stopListeningAt, abortAt, endAt] {
        this->state->drain = DrainTimes { .stopListeningAt = stopListeningAt, .endAt = endAt };
        this->state->engine.drain(stopListeningAt, abortAt);
        this->state->startTicks(false);
    });
}

} // namespace cyclamendrift
