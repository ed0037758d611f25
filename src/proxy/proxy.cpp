#include <cyclamendrift/proxy/proxy.h>

#include "fleet_status.h"
#include "group_service.h"
#include "health.h"
#include "proxy_context.h"
#include "proxy_metrics.h"

#include <cyclamendrift/callers/http_server.h>
#include <cyclamendrift/callers/rpc_dispatcher.h>
#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/operators/operators_service.h>
#include <cyclamendrift/proxy/forward_service.h>
#include <cyclamendrift/proxy/home_registry.h>
#include <cyclamendrift/proxy/home_router.h>
#include <cyclamendrift/proxy/statements_service.h>
#include <cyclamendrift/runtime/asio_timer_service.h>
#include <cyclamendrift/siblings/sibling_client.h>
#include <cyclamendrift/siblings/sibling_server.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <cyclamendrift/telemetry/tracing.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/post.hpp>
#include <asio/redirect_error.hpp>
#include <asio/steady_timer.hpp>
#include <asio/use_awaitable.hpp>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <random>
#include <utility>
#include <vector>

namespace cyclamendrift {

namespace {

constexpr auto homeRefreshInterval = std::chrono::milliseconds { 500 };
/// Quantiles on the metrics page are of the last whole one of these.
constexpr auto metricsWindow = std::chrono::minutes { 1 };
/// Beyond a request's own deadline, so that a handler which keeps it answers first.
constexpr auto handlerSlack = std::chrono::seconds { 2 };
constexpr auto drainPollInterval = std::chrono::milliseconds { 10 };
/// Longest time that siblings and store may take to hear that this VM is leaving.
constexpr auto leaveTimeout = std::chrono::seconds { 3 };
/// How long connections that came in last are given to send their request and be refused.
constexpr auto settleTime = std::chrono::seconds { 1 };

/// Waits for a task, and no longer than to the deadline. The task is not cancelled then: it may hold
/// something half done.
asio::awaitable<void> runUntil(asio::any_io_executor executor, asio::awaitable<void> task, Instant deadline)
{
    const auto timer = std::make_shared<asio::steady_timer>(executor, deadline);
    asio::co_spawn(
        executor, std::move(task), [timer](const std::exception_ptr&) { timer->expires_at(Instant::min()); });
    asio::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> pause(asio::any_io_executor executor, Duration duration)
{
    asio::steady_timer timer { executor, duration };
    co_await timer.async_wait(asio::use_awaitable);
}

void logSwitch(std::string_view event, bool before, bool after)
{
    if (before != after)
        logEvent(after ? LogLevel::Info : LogLevel::Warn, event, { { "now", after ? "true" : "false" } });
}

void logCondition(const FleetCondition& before, const FleetCondition& after)
{
    logSwitch("store_reachable", before.storeReachable, after.storeReachable);
    logSwitch("vm_list_readable", before.listReadable, after.listReadable);
    logSwitch("keys_trusted", before.keysTrusted, after.keysTrusted);
    if (before.revision != after.revision)
        logEvent(
            LogLevel::Info, "configuration_in_force", { { "revision", std::to_string(after.revision) } });
}

/// Weight of a team as the configuration gives it.
std::uint32_t weightOf(const Fleet& fleet, const TeamName& team)
{
    const auto snapshot = fleet.configuration();
    if (!snapshot)
        return 1;
    for (const auto& entry : snapshot->schema.teams()) {
        if (entry.name() == team.view())
            return std::max<std::uint32_t>(1, entry.weight());
    }
    return 1;
}

/// A traffic thread with its own door for callers, so that a request is not handed from thread to thread.
struct TrafficThread {
    ProxyContext context;
    std::unique_ptr<SiblingClient> siblings;
    std::shared_ptr<HomeRouter> router;
    std::unique_ptr<StatementsService> statements;
    RpcDispatcher dispatcher;
    std::unique_ptr<HttpServer> server;
};

} // namespace

struct Proxy::State {
    explicit State(Options options);
    ~State();

    void makeTrafficThread(TrafficThread& thread, std::uint16_t port);
    void makeFleet();
    void makeHomes();
    void makeSiblingServer();
    void makeOperatorServer();
    std::shared_ptr<DatabaseHome> makeHome(const DatabaseName& name, const api::Database& description);
    asio::awaitable<HttpResponse> answerCaller(const RpcDispatcher& dispatcher, HttpRequest request);
    asio::awaitable<HttpResponse> answerOperator(HttpRequest request);
    std::string whyNotReady() const;
    ProxyFigures figures() const;
    FleetStatusSources statusSources();
    asio::awaitable<void> drain();
    asio::awaitable<void> settle(Instant deadline);
    std::size_t inFlight() const;
    std::size_t openConnections() const;
    void finish(bool whole);

    Options options;
    HealthPages health;
    ProxyMetrics metrics;
    std::shared_ptr<opentracing::Tracer> tracer;
    ProxyContext control;
    std::vector<std::unique_ptr<TrafficThread>> traffic;
    AsioTimerService timers;
    std::shared_ptr<Store> store;
    std::shared_ptr<VmList> vmList;
    std::unique_ptr<SiblingClient> siblings;
    std::shared_ptr<Fleet> fleet;
    std::shared_ptr<GroupService> groups;
    std::shared_ptr<HomeRegistry> homes;
    std::atomic<std::shared_ptr<ForwardService>> forwards;
    std::unique_ptr<SiblingServer> siblingServer;
    std::unique_ptr<OperatorsService> operators;
    RpcDispatcher operatorDispatcher;
    std::unique_ptr<HttpServer> operatorServer;
    std::unique_ptr<TimerService::Subscription> homeRefresh;
    std::unique_ptr<TimerService::Subscription> metricsRotation;
    std::atomic<bool> draining { false };

    std::mutex mutex;
    std::condition_variable ended;
    bool finished = false;
    bool whole = false;
};

Proxy::State::State(Options given)
    : options(std::move(given))
    , health({ .whyNotReady = [this] { return this->whyNotReady(); } })
    , tracer(makeTracer(
          { .vm = this->options.settings.vm.name.string(), .destination = this->options.settings.traces }))
    , timers(this->control.executor())
{
    const auto& settings = this->options.settings;
    for (std::size_t index = 0; index < settings.trafficThreads; ++index)
        this->traffic.push_back(std::make_unique<TrafficThread>());
    this->makeSiblingServer();
    this->makeFleet();
    this->makeHomes();
    std::uint16_t port = settings.callers.listen.port;
    for (const auto& thread : this->traffic) {
        this->makeTrafficThread(*thread, port);
        port = thread->server->port();
    }
    this->makeOperatorServer();
    this->control.start();
    for (const auto& thread : this->traffic)
        thread->context.start();
}

Proxy::State::~State()
{
    this->control.join();
    for (const auto& thread : this->traffic)
        thread->context.join();
    this->homeRefresh.reset();
    this->metricsRotation.reset();
    this->operatorServer.reset();
    this->siblingServer.reset();
    for (const auto& thread : this->traffic)
        thread->server.reset();
    for (const auto& thread : this->traffic)
        thread->context.destroyPending();
    this->control.destroyPending();
    this->forwards.store(nullptr);
}

void Proxy::State::makeSiblingServer()
{
    const auto& siblings = this->options.settings.siblings;
    this->siblingServer = std::make_unique<SiblingServer>(this->traffic.back()->context.executor(),
        SiblingServer::Options { .host = siblings.listen.address,
            .port = siblings.listen.port,
            .secret = siblings.secret,
            .handler = [this](IncomingSiblingCall call) -> asio::awaitable<std::string> {
                const auto service = this->forwards.load();
                if (!service)
                    throw RequestError { { .outcome = Outcome::NotRun,
                        .reason = RefusalReason::ShuttingDown,
                        .message = "this proxy is starting" } };
                const auto span = startSpan(*this->tracer, "home " + call.method, call.traceparent);
                call.traceparent = traceparentOf(*span);
                co_return co_await service->handle(std::move(call));
            } });
}

void Proxy::State::makeFleet()
{
    const auto& settings = this->options.settings;
    const auto executor = this->control.executor();
    this->store = this->options.dependencies.makeStore(executor);
    this->vmList = this->options.dependencies.makeVmList(executor);
    this->siblings = std::make_unique<SiblingClient>(
        executor, SiblingClient::Options { .self = settings.vm.name, .secret = settings.siblings.secret });
    this->fleet = this->options.dependencies.makeFleet({ .executor = executor,
        .self = { .vm = settings.vm.name,
            .host = settings.siblings.listen.address,
            .port = this->siblingServer->port() },
        .zone = settings.vm.zone,
        .store = *this->store,
        .vmList = *this->vmList,
        .callSibling = [this](SiblingAddress to,
                           SiblingCall call) { return this->siblings->call(std::move(to), std::move(call)); },
        .timers = this->timers,
        .randomSeed = std::random_device {}(),
        .callTimeout = settings.platform.callTimeout,
        .onCondition = &logCondition });
}

void Proxy::State::makeHomes()
{
    const auto& settings = this->options.settings;
    this->groups = std::make_shared<GroupService>(GroupService::Options { .control = this->control.executor(),
        .self = settings.vm.name,
        .zone = settings.vm.zone,
        .fleet = this->fleet,
        .store = this->store,
        .credentials = { .user = settings.upstreams.user, .password = settings.upstreams.password },
        .connector = this->options.dependencies.connector,
        .callSibling = [this](SiblingAddress to,
                           SiblingCall call) { return this->siblings->call(std::move(to), std::move(call)); },
        .failover = { .suspectAfter = settings.upstreams.deadAfter } });
    this->homes = std::make_shared<HomeRegistry>(HomeRegistry::Options {
        .self = this->options.settings.vm.name,
        .fleet = this->fleet,
        .makeHome = [this](const auto& name, const auto& database) { return this->makeHome(name, database); },
        .drainHome =
            [this](const std::shared_ptr<DatabaseHome>& home) {
                asio::co_spawn(this->control.executor(), home->drain(), [home](const std::exception_ptr&) {});
            } });
    this->forwards.store(std::make_shared<ForwardService>(ForwardService::Options { .fleet = this->fleet,
        .homes = this->homes,
        .slotOpinion = [groups = this->groups](
                           IncomingSiblingCall call) { return groups->opinionFor(std::move(call)); } }));
    this->fleet->onKeyWithdrawn([homes = this->homes](const KeyId& key) { homes->withdrawKey(key); });
    this->metricsRotation = this->timers.every(metricsWindow, [this](Instant) { this->metrics.rotate(); });
    this->homeRefresh = this->timers.every(homeRefreshInterval, [this](Instant) {
        if (!this->draining)
            this->homes->refresh();
    });
}

std::shared_ptr<DatabaseHome> Proxy::State::makeHome(
    const DatabaseName& name, const api::Database& description)
{
    const auto& upstreams = this->options.settings.upstreams;
    const auto thread = std::hash<std::string> {}(name.path()) % this->traffic.size();
    auto home = this->options.dependencies.makeHome({ .executor = this->traffic[thread]->context.executor(),
        .vm = this->options.settings.vm.name,
        .name = name,
        .description = description,
        .credentials = { .user = upstreams.user, .password = upstreams.password },
        .connector = this->options.dependencies.connector,
        .connectTimeout = upstreams.connectTimeout,
        .isLeaving = [fleet = this->fleet](std::string_view address,
                         std::uint16_t port) { return fleet->isLeaving(address, port); },
        .weightOf = [fleet = this->fleet](const TeamName& team) { return weightOf(*fleet, team); },
        .seed = std::random_device {}() });
    return this->groups->drive(std::move(home), name, description);
}

void Proxy::State::makeTrafficThread(TrafficThread& thread, std::uint16_t port)
{
    const auto& settings = this->options.settings;
    thread.siblings = std::make_unique<SiblingClient>(thread.context.executor(),
        SiblingClient::Options { .self = settings.vm.name, .secret = settings.siblings.secret });
    thread.router = std::make_shared<HomeRouter>(HomeRouter::Options { .self = settings.vm.name,
        .fleet = this->fleet,
        .homes = this->homes,
        .callSibling = [client = thread.siblings.get()](SiblingAddress to,
                           SiblingCall call) { return client->call(std::move(to), std::move(call)); },
        .secret = settings.siblings.secret });
    thread.statements = std::make_unique<StatementsService>(StatementsService::Options {
        .fleet = this->fleet, .router = thread.router, .requestTimeout = settings.callers.requestTimeout });
    thread.statements->addTo(thread.dispatcher);
    const auto connections = settings.callers.maxConnections / settings.trafficThreads;
    thread.server = std::make_unique<HttpServer>(thread.context.io(),
        HttpServer::Options { .host = settings.callers.listen.address,
            .port = port,
            .sharePort = settings.trafficThreads > 1,
            .maxConnections = std::max<std::size_t>(1, connections),
            .maxBodyBytes = settings.callers.maxBodyBytes,
            .maxHeaderBytes = settings.callers.maxHeaderBytes,
            .readTimeout = settings.callers.readTimeout,
            .handlerTimeout = settings.callers.requestTimeout + handlerSlack,
            .handler = [this, &thread](HttpRequest request) {
                return this->answerCaller(thread.dispatcher, std::move(request));
            } });
}

void Proxy::State::makeOperatorServer()
{
    const auto& settings = this->options.settings.operators;
    this->operators = std::make_unique<OperatorsService>(OperatorsService::Options { .fleet = this->fleet,
        .secret = settings.secret,
        .status = [this] { return gatherStatus(this->statusSources()); } });
    this->operators->addTo(this->operatorDispatcher);
    this->operatorServer = std::make_unique<HttpServer>(this->control.io(),
        HttpServer::Options { .host = settings.listen.address,
            .port = settings.listen.port,
            .handler = [this](HttpRequest request) { return this->answerOperator(std::move(request)); } });
}

asio::awaitable<HttpResponse> Proxy::State::answerCaller(const RpcDispatcher& dispatcher, HttpRequest request)
{
    if (auto page = this->health.answer(request))
        co_return std::move(*page);
    const auto begin = std::chrono::steady_clock::now();
    const auto span = startSpan(*this->tracer, "entry", request.header("traceparent"));
    std::erase_if(request.headers, [](const HttpHeader& header) { return header.name == "traceparent"; });
    request.headers.insert(request.headers.begin(), { "traceparent", traceparentOf(*span) });
    auto response = co_await dispatcher.dispatch(request);
    this->metrics.answered(request, response, std::chrono::steady_clock::now() - begin);
    co_return response;
}

FleetStatusSources Proxy::State::statusSources()
{
    return { .self = this->options.settings.vm.name,
        .fleet = this->fleet,
        .homes = this->homes,
        .callSibling = [this](SiblingAddress to, SiblingCall call) {
            return this->siblings->call(std::move(to), std::move(call));
        } };
}

ProxyFigures Proxy::State::figures() const
{
    const auto snapshot = this->fleet->configuration();
    return { .connections = this->openConnections(),
        .inFlight = this->inFlight(),
        .revision = snapshot ? snapshot->revision : 0,
        .ready = this->whyNotReady().empty(),
        .homes = this->homes->status() };
}

asio::awaitable<HttpResponse> Proxy::State::answerOperator(HttpRequest request)
{
    if (auto page = this->health.answer(request))
        co_return std::move(*page);
    if (request.path == "/metrics")
        co_return this->metrics.page(this->figures());
    co_return co_await this->operatorDispatcher.dispatch(std::move(request));
}

std::string Proxy::State::whyNotReady() const
{
    if (this->draining)
        return "shutting down";
    const auto snapshot = this->fleet->configuration();
    return snapshot && snapshot->revision > 0 ? "" : "no configuration";
}

asio::awaitable<void> Proxy::State::drain()
{
    const auto executor = this->control.executor();
    const auto begin = std::chrono::steady_clock::now();
    const auto deadline = begin + this->options.settings.drainTimeout;
    for (const auto& thread : this->traffic) {
        thread->statements->drain();
        thread->server->drain();
    }
    const auto leaveDeadline = std::min<Instant>(deadline, begin + leaveTimeout);
    co_await runUntil(executor, this->fleet->leave(), leaveDeadline);
    co_await runUntil(executor, this->homes->drain(), deadline);
    while (this->inFlight() > 0 && std::chrono::steady_clock::now() < deadline)
        co_await pause(executor, drainPollInterval);
    co_await this->settle(deadline);
    this->finish(this->inFlight() == 0);
}

/// Connections that the kernel had accepted just before may still send a request; they are refused rather
/// than reset.
asio::awaitable<void> Proxy::State::settle(Instant deadline)
{
    for (const auto& thread : this->traffic)
        asio::post(thread->context.io(), [server = thread->server.get()] { server->stopAccepting(); });
    const auto until = std::min<Instant>(deadline, std::chrono::steady_clock::now() + settleTime);
    while (this->openConnections() > 0 && std::chrono::steady_clock::now() < until)
        co_await pause(this->control.executor(), drainPollInterval);
}

std::size_t Proxy::State::inFlight() const
{
    const auto service = this->forwards.load();
    std::size_t count = service ? service->inFlight() : 0;
    for (const auto& thread : this->traffic)
        count += thread->server->inFlight();
    return count;
}

std::size_t Proxy::State::openConnections() const
{
    std::size_t count = 0;
    for (const auto& thread : this->traffic)
        count += thread->server->connections();
    return count;
}

void Proxy::State::finish(bool allAnswered)
{
    const std::scoped_lock lock { this->mutex };
    if (!this->finished)
        this->whole = allAnswered;
    this->finished = true;
    this->ended.notify_all();
}

Proxy::Proxy(Options options)
    : state(std::make_unique<State>(std::move(options)))
{
}

Proxy::~Proxy() = default;

std::uint16_t Proxy::callersPort() const noexcept { return this->state->traffic.front()->server->port(); }

std::uint16_t Proxy::operatorsPort() const noexcept { return this->state->operatorServer->port(); }

std::uint16_t Proxy::siblingsPort() const noexcept { return this->state->siblingServer->port(); }

void Proxy::drain()
{
    if (!this->state->draining.exchange(true))
        asio::co_spawn(this->state->control.executor(), this->state->drain(), asio::detached);
}

void Proxy::stop() { this->state->finish(false); }

bool Proxy::wait()
{
    std::unique_lock lock { this->state->mutex };
    this->state->ended.wait(lock, [this] { return this->state->finished; });
    return this->state->whole;
}

} // namespace cyclamendrift
