#include <cyclamendrift/session_proxy/session_daemon.h>

#include <cyclamendrift/callers/http_server.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/runtime/context_runner.h>
#include <cyclamendrift/runtime/descriptor_limit.h>
#include <cyclamendrift/session_proxy/session_control.h>
#include <cyclamendrift/session_proxy/session_traffic.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <csignal>
#include <random>
#include <thread>

namespace cyclamendrift {

namespace {

constexpr int serviceUnavailable = 503;
constexpr int notFound = 404;
// Time until the balancer has removed this VM: it polls once a second and needs two failures. Sessions that
// arrive before that are served.
constexpr Duration balancerDetectionTime = std::chrono::milliseconds { 2300 };
// Part of the grace period that remains for the process to end after the last sessions were closed.
constexpr Duration shutdownReserve = std::chrono::milliseconds { 500 };

// Destroying a context's handlers may post to the other context, because a coroutine is destroyed on the one
// that it ran on last. A coroutine switches contexts at most twice.
constexpr int endingRounds = 4;

using WorkGuard = asio::executor_work_guard<asio::io_context::executor_type>;

std::uint64_t generateProcessNumber()
{
    std::random_device source;
    return (std::uint64_t { source() } << 32U) | source();
}

/// A context whose pending handlers can be destroyed before it is.
class EndableContext : public asio::io_context {
public:
    using asio::io_context::io_context;

    void end() { this->shutdown(); }
};

} // namespace

struct SessionDaemon::State {
    explicit State(SessionDaemonOptions given)
        : options(std::move(given))
        , trafficGuard(trafficContext.get_executor())
        , controlGuard(controlContext.get_executor())
        , ports(options.makePorts(trafficContext, controlContext, options.settings))
        , traffic({ .context = trafficContext,
              .vm = options.settings.vm.name,
              .zone = options.settings.vm.zone,
              .placementByZone = options.settings.placementByZone,
              .process = process,
              .siblingHost = options.settings.siblings.address,
              .siblingPort = options.settings.siblings.port,
              .urgentFirst = options.settings.urgentFirst,
              .callers = *ports.callers,
              .upstreams = *ports.upstreams,
              .maxUpstreamConnections = descriptorShares().upstreams,
              .onDrained = [this] { asio::post(this->controlContext, [this] { this->onDrained(); }); },
              .shareReadings
              = [this](std::string request) { return this->control.shareReadings(std::move(request)); },
              .shareConfiguration =
                  [this](VmName from, std::string request) {
                      return this->control.shareConfiguration(std::move(from), std::move(request));
                  },
              .onServiceUsed = [this](ServiceName service) { this->control.recordUse(std::move(service)); } })
        , control({ .context = controlContext,
              .vm = options.settings.vm.name,
              .zone = options.settings.vm.zone,
              .placementByZone = options.settings.placementByZone,
              .cores = options.settings.cores,
              .linkBytesPerSecond = options.settings.linkBytesPerSecond,
              .process = process,
              .siblingHost = options.settings.siblings.address,
              .siblingPort = options.settings.siblings.port,
              .configurationLimits = { .applyLimit = options.settings.configurationApplyLimit,
                  .outageExtension = options.settings.configurationOutageExtension },
              .store = *ports.store,
              .leadership = *ports.leadership,
              .format = *ports.format,
              .traffic = traffic })
        , readiness(controlContext, this->serverOptions(options.settings.readiness))
        , metrics(controlContext, this->serverOptions(options.settings.metrics))
    {
    }

    /// Coroutines that wait on one thread for the other refer to both contexts. The handlers of both are
    /// therefore destroyed before either context; otherwise one context would be used after its destruction.
    ~State()
    {
        for (int round = 0; round < endingRounds; ++round) {
            this->trafficContext.end();
            this->controlContext.end();
        }
    }
    State(const State&) = delete;
    State& operator=(const State&) = delete;

    DaemonExit run()
    {
        this->traffic.start();
        // Before the routes are known, callers would be told that their database does not exist.
        this->control.start([this] {
            logEvent(LogLevel::Info, "ready");
            this->traffic.listen();
        });
        std::thread trafficThread { [this] { runContext(this->trafficContext, "traffic"); } };
        runContext(this->controlContext, "control");
        this->trafficContext.stop();
        trafficThread.join();
        return this->exit;
    }

    HttpServer::Options serverOptions(const ListenSettings& listen)
    {
        return { .host = listen.address,
            .port = listen.port,
            .maxConnections = 32,
            .handler = [this](HttpRequest request) -> asio::awaitable<HttpResponse> {
                return State::respond(this, std::move(request));
            } };
    }

    static asio::awaitable<HttpResponse> respond(State* self, HttpRequest request)
    {
        if (request.path == "/metrics")
            co_return HttpResponse { .body = self->control.metricsText() };
        if (request.path != self->options.settings.readinessPath)
            co_return HttpResponse { .status = notFound, .body = "there is no such page\n" };
        if (self->draining)
            co_return HttpResponse { .status = serviceUnavailable, .body = "this VM stops\n" };
        if (!self->control.isReady())
            co_return HttpResponse { .status = serviceUnavailable,
                .body = "configuration or upstreams not read yet\n" };
        co_return HttpResponse { .body = "ready\n" };
    }

    void reload()
    {
        try {
            const auto settings = this->options.reload();
            openLog(settings.log);
            this->options.settings.grace = settings.grace;
            this->options.settings.log = settings.log;
            logEvent(LogLevel::Info, "settings_reloaded");
        } catch (const Error& error) {
            // The settings in force stay; an error in the file must not stop a running daemon.
            logEvent(LogLevel::Error, "settings_not_reloaded", { { "reason", error.what() } });
        }
    }

    void drain()
    {
        if (this->draining) {
            logEvent(LogLevel::Warn, "stopping_at_once");
            this->exit = DaemonExit::Cut;
            this->controlContext.stop();
            return;
        }
        this->draining = true;
        const auto now = bootNow();
        const auto grace = this->options.settings.grace;
        logEvent(LogLevel::Info, "draining");
        this->traffic.drain(
            now + std::min(balancerDetectionTime, grace / 2), now + grace / 2, now + grace - shutdownReserve);
    }

    void onDrained()
    {
        this->control.leave([this] {
            logEvent(LogLevel::Info, "ended");
            this->controlContext.stop();
        });
        // Does not wait longer for the store, which may be unavailable, than the grace period allows.
        this->leaseReleaseTimer.expires_after(shutdownReserve / 2);
        this->leaseReleaseTimer.async_wait([this](const asio::error_code&) { this->controlContext.stop(); });
    }

    SessionDaemonOptions options;
    /// Random number that identifies this process.
    std::uint64_t process = generateProcessNumber();
    EndableContext trafficContext { 1 };
    EndableContext controlContext { 1 };
    WorkGuard trafficGuard;
    WorkGuard controlGuard;
    SessionPorts ports;
    SessionTraffic traffic;
    SessionControl control;
    HttpServer readiness;
    HttpServer metrics;
    asio::steady_timer leaseReleaseTimer { controlContext };
    bool draining = false;
    DaemonExit exit = DaemonExit::Graceful;
};

SessionDaemon::SessionDaemon(SessionDaemonOptions options)
    : state(std::make_unique<State>(std::move(options)))
{
}

SessionDaemon::~SessionDaemon() = default;

DaemonExit SessionDaemon::run() { return this->state->run(); }

void SessionDaemon::drain()
{
    asio::post(this->state->controlContext, [this] { this->state->drain(); });
}

void SessionDaemon::reload()
{
    asio::post(this->state->controlContext, [this] { this->state->reload(); });
}

namespace {

/// Receives signals on a thread that outlives both contexts of the daemon.
class SignalThread {
public:
    explicit SignalThread(SessionDaemon& daemon)
        : daemon(daemon)
        , signals(context, SIGTERM, SIGINT, SIGHUP)
    {
        this->wait();
        this->thread = std::thread { [this] { runContext(this->context, "signals"); } };
    }
    ~SignalThread()
    {
        this->context.stop();
        this->thread.join();
    }
    SignalThread(const SignalThread&) = delete;
    SignalThread& operator=(const SignalThread&) = delete;

private:
    void wait()
    {
        this->signals.async_wait([this](const asio::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                this->daemon.reload();
            else
                this->daemon.drain();
            this->wait();
        });
    }

    SessionDaemon& daemon;
    asio::io_context context { 1 };
    asio::signal_set signals;
    std::thread thread;
};

} // namespace

DaemonExit runSessionDaemon(SessionDaemonOptions options)
{
    // A write to a connection that the peer has closed must fail with an error instead of a signal.
    std::signal(SIGPIPE, SIG_IGN);
    openLog(options.settings.log);
    try {
        const auto vm = options.settings.vm;
        SessionDaemon daemon { std::move(options) };
        const SignalThread signals { daemon };
        logEvent(LogLevel::Info, "started",
            { { "vm", vm.name.string() }, { "availability_zone", vm.zone.string() } });
        return daemon.run();
    } catch (const std::exception& error) {
        logEvent(LogLevel::Error, "not_started", { { "reason", error.what() } });
        return DaemonExit::NotStarted;
    }
}

} // namespace cyclamendrift
