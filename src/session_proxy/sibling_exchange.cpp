#include <cyclamendrift/session_proxy/sibling_exchange.h>

#include "sibling_methods.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/limits/token_search.h>
#include <cyclamendrift/membership/owner_selection.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/siblings/sibling_error.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <sharing.pb.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace cyclamendrift {

namespace {

constexpr auto giveTokensMethod = "GiveTokens";
constexpr auto runForSiblingMethod = "RunForSibling";
constexpr auto releaseMethod = "LetGuestGo";
constexpr auto livenessMethod = "SignOfLife";
// Covers a round trip to another availability zone and a VM that is busy.
constexpr Duration livenessTimeout = std::chrono::milliseconds { 100 };
// A lost release does no harm: the owner VM aborts transactions that are idle for too long.
constexpr Duration releaseTimeout = std::chrono::milliseconds { 200 };
// A fraction of the time for which an operation waits for tokens, so that several siblings can be asked.
constexpr Duration tokenTimeout = std::chrono::milliseconds { 25 };
// Each further request costs the waiting operation a round trip.
constexpr std::size_t maxDonorsAsked = 4;
// Round trips between zones change rarely. The first ones are measured in quick succession, because placement
// by zone stays off until the distance is known.
constexpr Duration zoneMeasurementInterval = std::chrono::seconds { 5 };
constexpr Duration firstMeasurementInterval = std::chrono::milliseconds { 500 };
constexpr std::size_t firstMeasurements = 8;
// The VMs of a zone with the most cores are owners of most services, so this VM keeps links to them anyway.
constexpr std::size_t measuredVmsPerZone = 4;

// Requests that wait at a sibling share the streams of one connection with forwarded statements. Beyond this
// number, requests do not wait.
constexpr std::size_t maxWaitingCalls = 96;
// An operation waits for a fraction of its target latency; a request that asks for more is mistaken.
constexpr Duration maxTokenWait = std::chrono::seconds { 1 };

[[noreturn]] void refuse(const char* message) { throw notRun(RefusalReason::BadRequest, message); }

} // namespace

struct SiblingExchange::State : std::enable_shared_from_this<State> {
    explicit State(Options given)
        : options(std::move(given))
        , client({ .context = options.context,
              .self = options.self,
              .crossesZones =
                  [this](const VmName& vm) {
                      return cyclamendrift::crossesZones(this->siblings, vm, this->options.zone);
                  } })
        , zoneDistance(this->options.zone, this->options.placementByZone)
    {
    }

    [[nodiscard]] asio::awaitable<std::string> handle(IncomingSiblingCall call)
    {
        if (call.method == sibling_method::shareReadings)
            co_return co_await this->options.shareReadings(std::move(call.body));
        if (call.method == sibling_method::shareConfiguration)
            co_return co_await this->options.shareConfiguration(std::move(call.from), std::move(call.body));
        if (call.method == runForSiblingMethod)
            co_return co_await this->options.runForSibling(std::move(call.body), call.deadline);
        if (call.method == releaseMethod) {
            this->options.releaseRemoteSession(call.body);
            co_return std::string {};
        }
        if (call.method == livenessMethod)
            co_return std::string {};
        if (call.method != giveTokensMethod)
            refuse("the method is not known");
        wire::TokenRequest request;
        if (!request.ParseFromString(call.body))
            refuse("the message cannot be read");
        const auto given = co_await this->giveTokens(std::move(call.from), request);
        wire::TokenAnswer answer;
        answer.set_waits(this->options.urgentFirst);
        answer.set_given(given);
        co_return answer.SerializeAsString();
    }

    [[nodiscard]] asio::awaitable<std::uint32_t> giveTokens(VmName from, const wire::TokenRequest& request)
    {
        const TeamName team { request.team() };
        if (request.withdrawn() != 0)
            this->options.withdrawRequest(from, team, request.withdrawn());
        if (request.returned() != 0)
            this->options.takeBackTokens(team, request.returned());
        if (request.wanted() == 0)
            co_return 0;
        const Duration wait = std::chrono::microseconds { request.wait_us() };
        // GCC destroys a temporary aggregate in an awaited expression twice.
        IncomingTokenRequest incoming { .from = std::move(from),
            .team = team,
            .wanted = request.wanted(),
            .priority = request.has_priority() ? request.priority() : tokenPriorities - 1,
            .wait = std::min(wait, maxTokenWait),
            .number = request.number() };
        co_return co_await this->options.giveTokens(std::move(incoming));
    }

    [[nodiscard]] asio::awaitable<std::uint32_t> requestFromDonor(
        TeamName team, VmName vm, std::uint32_t wanted)
    {
        const auto sibling = this->siblings.find(vm);
        if (sibling == this->siblings.end())
            co_return 0;
        wire::TokenRequest request;
        request.set_team(team.string());
        request.set_wanted(wanted);
        SiblingCall call { .method = giveTokensMethod,
            .body = request.SerializeAsString(),
            .deadline = std::chrono::steady_clock::now() + tokenTimeout };
        std::uint32_t given = 0;
        try {
            const auto body = co_await this->client.call(sibling->second.address, std::move(call));
            wire::TokenAnswer answer;
            if (answer.ParseFromString(body))
                given = answer.given();
        } catch (const Error&) {
            // A sibling without an answer counts as giving nothing; tokens that it gave in a lost answer are
            // lost.
            this->donors.recordNoAnswer(vm, bootNow());
            co_return 0;
        }
        if (given < wanted)
            this->donors.recordShortfall(team, vm, bootNow());
        co_return given;
    }

    [[nodiscard]] asio::awaitable<OwnerAnswer> callOwner(VmName owner, SiblingCall call)
    {
        const auto sibling = this->siblings.find(owner);
        if (sibling == this->siblings.end() || !this->client.isOpen())
            co_return ForwardFailure::NotAccepted;
        try {
            co_return co_await this->client.call(sibling->second.address, std::move(call));
        } catch (const RequestError& error) {
            co_return error.outcome() == Outcome::NotRun ? ForwardFailure::NotAccepted : ForwardFailure::Lost;
        } catch (const SiblingError& error) {
            co_return error.kind() == SiblingError::Kind::Unreachable ? ForwardFailure::NotAccepted
                                                                      : ForwardFailure::Lost;
        }
    }

    /// Reports the round trip of a call that does nothing, or nothing when there was no answer.
    [[nodiscard]] static asio::awaitable<void> checkLiveness(
        std::shared_ptr<State> self, VmName owner, std::function<void(std::optional<Duration>)> done)
    {
        bool alive = false;
        const auto startedAt = bootNow();
        const auto sibling = self->siblings.find(owner);
        if (sibling != self->siblings.end() && self->client.isOpen()) {
            SiblingCall call { .method = livenessMethod,
                .deadline = std::chrono::steady_clock::now() + livenessTimeout };
            try {
                static_cast<void>(co_await self->client.call(sibling->second.address, std::move(call)));
                alive = true;
            } catch (const RequestError&) {
                // A refusal shows that the owner VM is alive.
                alive = true;
            } catch (const SiblingError&) {
                alive = false;
            }
        }
        done(alive ? std::optional { bootNow() - startedAt } : std::nullopt);
    }

    /// Sets the VMs to which round trips are measured.
    void setMeasuredVms()
    {
        std::map<ZoneName, std::size_t> otherVms;
        this->measuredVms.clear();
        for (const auto& vm : rankByCores(capacitiesOf(this->siblings))) {
            if (vm == this->options.self)
                continue;
            const auto& zone = this->siblings.at(vm).capacity.zone;
            ++otherVms[zone];
            if (auto& measured = this->measuredVms[zone]; measured.size() < measuredVmsPerZone)
                measured.push_back(vm);
        }
        // Each VM measures the distance to another one, so that none of them gets the calls of the whole
        // fleet.
        for (auto& [zone, vms] : this->measuredVms)
            rankByRendezvous(vms, "distance/" + this->options.self.string());
        this->zoneDistance.setZones(otherVms);
    }

    static void measureZones(const std::shared_ptr<State>& self, Instant now)
    {
        if (!self->client.isOpen() || now < self->measureZonesAt
            || self->options.placementByZone == PlacementByZone::Never || self->measuredVms.empty()
            || !ServiceOwners::areUseful(self->siblings.size()))
            return;
        const bool first = self->zoneMeasurements++ < firstMeasurements;
        self->measureZonesAt = now + (first ? firstMeasurementInterval : zoneMeasurementInterval);
        for (const auto& [zone, vms] : self->measuredVms) {
            // A VM that has not answered is replaced by the next one of its zone.
            const auto& vm = vms[self->unansweredMeasurements[zone] % vms.size()];
            const std::weak_ptr<State> weak = self;
            auto done = [weak, zone = zone](std::optional<Duration> roundTrip) {
                const auto alive = weak.lock();
                if (!alive)
                    return;
                if (roundTrip)
                    alive->zoneDistance.sampled(zone, *roundTrip);
                else
                    ++alive->unansweredMeasurements[zone];
                alive->zonesFarApart = alive->zoneDistance.update();
            };
            asio::co_spawn(
                self->options.context, State::checkLiveness(self, vm, std::move(done)), asio::detached);
        }
    }

    [[nodiscard]] static asio::awaitable<void> forward(
        std::shared_ptr<State> self, VmName owner, SiblingCall call, std::function<void(OwnerAnswer)> done)
    {
        auto answer = co_await self->callOwner(std::move(owner), std::move(call));
        done(std::move(answer));
    }

    [[nodiscard]] static asio::awaitable<void> requestFromDonors(std::shared_ptr<State> self, TeamName team,
        std::uint32_t wanted, std::function<void(std::uint32_t)> done)
    {
        const auto chosen = self->donors.select(team, self->holdersFor(team), maxDonorsAsked, bootNow());
        std::uint32_t given = 0;
        for (const auto& vm : chosen) {
            if (given < wanted)
                given += co_await self->requestFromDonor(team, vm, wanted - given);
        }
        done(given);
    }

    /// A search for tokens with the numbers of its calls.
    struct Search {
        RequestTokens request;
        TokenSearch logic;
        std::uint64_t number = 0;
        std::function<void(std::uint32_t)> done;
    };

    /// All VMs that hold the team's limit, in the order in which this VM prefers them.
    [[nodiscard]] std::vector<VmName> holdersFor(const TeamName& team) const
    {
        if (!this->holders.includesAllVms())
            return this->holders.donorsFor(team, this->options.self);
        std::map<VmName, DemandByTeam> listed;
        for (const auto& [vm, sibling] : this->siblings)
            listed[vm] = sibling.demand;
        return DonorSelector::rankByDemand(team, this->options.self, listed);
    }

    void searchTokens(const RequestTokens& request, std::function<void(std::uint32_t)> done)
    {
        const auto now = bootNow();
        const auto candidates = this->holdersFor(request.team);
        TokenSearch logic { { .wanted = request.wanted,
            .until = request.until,
            .donors = this->donors.selectWaiting(request.team, candidates, request.priority, now),
            .first = this->donors.selectFirst(request.team, candidates, request.priority, now) } };
        const auto search = std::make_shared<Search>(Search { .request = request,
            .logic = std::move(logic),
            .number = ++this->lastTokenRequest,
            .done = std::move(done) });
        this->carryOut(search, search->logic.begin(now));
    }

    void carryOut(const std::shared_ptr<Search>& search, const TokenSearch::Step& step)
    {
        const auto& team = search->request.team;
        for (const auto& call : step.calls)
            asio::co_spawn(this->options.context, State::callHolder(this->shared_from_this(), search, call),
                asio::detached);
        for (const auto& vm : step.withdrawn) {
            wire::TokenRequest message;
            message.set_team(team.string());
            message.set_withdrawn(search->number);
            this->notifyHolder(vm, message);
        }
        if (step.result)
            search->done(*step.result);
    }

    [[nodiscard]] static asio::awaitable<void> callHolder(
        std::shared_ptr<State> self, std::shared_ptr<Search> search, TokenSearch::Call call)
    {
        const auto given = co_await self->requestByPriority(*search, call);
        const auto step = search->logic.answered(call.vm, given, bootNow());
        if (step.unused > 0)
            self->returnTokensTo(call.vm, search->request.team, step.unused);
        self->carryOut(search, step);
    }

    /// Asks a holder; empty when it did not answer. Tokens that it gave in a lost answer are lost.
    [[nodiscard]] asio::awaitable<std::optional<std::uint32_t>> requestByPriority(
        const Search& search, TokenSearch::Call call)
    {
        const auto sibling = this->siblings.find(call.vm);
        if (sibling == this->siblings.end())
            co_return std::nullopt;
        auto& waiting = this->waitingCalls[call.vm];
        if (waiting >= maxWaitingCalls)
            call.wait = {};
        wire::TokenRequest request;
        request.set_team(search.request.team.string());
        request.set_wanted(call.wanted);
        request.set_priority(search.request.priority);
        request.set_wait_us(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(call.wait).count()));
        request.set_number(search.number);
        SiblingCall message { .method = giveTokensMethod,
            .body = request.SerializeAsString(),
            .deadline = std::chrono::steady_clock::now() + call.wait + call.transit };
        const std::size_t counted = call.wait > Duration {} ? 1 : 0;
        waiting += counted;
        std::optional<std::uint32_t> given;
        try {
            const auto body = co_await this->client.call(sibling->second.address, std::move(message));
            wire::TokenAnswer answer;
            if (!answer.ParseFromString(body))
                answer.Clear();
            given = answer.given();
            this->donors.recordWaits(call.vm, answer.waits());
            if (*given < call.wanted)
                this->donors.recordShortfall(
                    search.request.team, call.vm, bootNow(), search.request.priority);
        } catch (const Error&) {
            this->donors.recordNoAnswer(call.vm, bootNow());
        }
        this->waitingCalls[call.vm] -= counted;
        co_return given;
    }

    void returnTokensTo(const VmName& vm, const TeamName& team, std::uint32_t count)
    {
        wire::TokenRequest message;
        message.set_team(team.string());
        message.set_returned(count);
        this->notifyHolder(vm, message);
    }

    /// Sends a message whose answer does not matter.
    void notifyHolder(const VmName& vm, const wire::TokenRequest& message)
    {
        SiblingCall call { .method = giveTokensMethod,
            .body = message.SerializeAsString(),
            .deadline = std::chrono::steady_clock::now() + releaseTimeout };
        asio::co_spawn(this->options.context,
            State::forward(this->shared_from_this(), vm, std::move(call), [](const OwnerAnswer&) {}),
            asio::detached);
    }

    Options options;
    SiblingList siblings;
    CountedSiblingClient client;
    LimitHolders holders;
    DonorSelector donors;
    ZoneDistance zoneDistance;
    bool zonesFarApart = this->zoneDistance.update();
    /// By availability zone.
    std::map<ZoneName, std::vector<VmName>> measuredVms;
    std::map<ZoneName, std::size_t> unansweredMeasurements;
    Instant measureZonesAt = Instant::min();
    std::size_t zoneMeasurements = 0;
    /// Requests for tokens that wait at siblings.
    std::map<VmName, std::size_t> waitingCalls;
    /// Begins at a number that an earlier process of this VM has not used for requests that still wait.
    std::uint64_t lastTokenRequest = static_cast<std::uint64_t>(bootNow().time_since_epoch().count());
    std::unique_ptr<SiblingServer> server;
};

double SiblingInfo::load() const
{
    double sum = this->operationsPerSecond;
    for (const auto& [team, rate] : this->demand)
        sum += rate;
    return sum;
}

std::map<VmName, VmCapacity> capacitiesOf(const SiblingList& siblings)
{
    std::map<VmName, VmCapacity> capacities;
    for (const auto& [vm, sibling] : siblings)
        capacities.emplace(vm, sibling.capacity);
    return capacities;
}

bool crossesZones(const SiblingList& siblings, const VmName& vm, const ZoneName& ownZone)
{
    const auto listed = siblings.find(vm);
    return listed == siblings.end() || listed->second.capacity.zone != ownZone;
}

LimitHolders limitHoldersAmong(const std::map<VmName, VmCapacity>& listed, bool placedByZone)
{
    return LimitHolders { listed, { .spreadOverZones = placedByZone } };
}

SiblingExchange::SiblingExchange(Options options)
    : state(std::make_shared<State>(std::move(options)))
{
}

SiblingExchange::~SiblingExchange() = default;

void SiblingExchange::open(const std::string& secret)
{
    auto& own = *this->state;
    if (own.server)
        return;
    const auto executor = own.options.context.get_executor();
    SiblingServer::Options server;
    server.host = own.options.listenHost;
    server.port = own.options.listenPort;
    server.secret = secret;
    const std::weak_ptr<State> weak = this->state;
    server.handler = [weak](IncomingSiblingCall call) -> asio::awaitable<std::string> {
        const auto alive = weak.lock();
        if (!alive)
            refuse("this VM stops");
        return alive->handle(std::move(call));
    };
    try {
        own.server = std::make_unique<SiblingServer>(executor, std::move(server));
    } catch (const Error& error) {
        logEvent(LogLevel::Error, "siblings_not_served", { { "reason", error.what() } });
        return;
    }
    own.client.open(secret);
    logEvent(LogLevel::Info, "siblings_served", { { "port", std::to_string(own.server->port()) } });
}

bool SiblingExchange::isOpen() const noexcept { return this->state->client.isOpen(); }

void SiblingExchange::setSiblings(SiblingList siblings, bool placedByZone)
{
    this->state->holders = limitHoldersAmong(capacitiesOf(siblings), placedByZone);
    this->state->siblings = std::move(siblings);
    this->state->zoneDistance.assume(placedByZone);
    this->state->setMeasuredVms();
}

void SiblingExchange::measureZones(Instant now) { State::measureZones(this->state, now); }

SiblingExchange::MeasuredZones SiblingExchange::measuredZones() const
{
    return { .farApart = this->state->zonesFarApart, .difference = this->state->zoneDistance.difference() };
}

const SiblingTraffic& SiblingExchange::traffic() const noexcept { return this->state->client.traffic(); }

const SiblingWireBytes& SiblingExchange::wireBytes() const noexcept
{
    return this->state->client.wireBytes();
}

void SiblingExchange::requestTokens(
    const TeamName& team, std::uint32_t wanted, std::function<void(std::uint32_t)> done)
{
    if (!this->isOpen())
        return done(0);
    asio::co_spawn(this->state->options.context,
        State::requestFromDonors(this->state, team, wanted, std::move(done)), asio::detached);
}

void SiblingExchange::searchTokens(const RequestTokens& request, std::function<void(std::uint32_t)> done)
{
    if (!this->isOpen())
        return done(0);
    this->state->searchTokens(request, std::move(done));
}

void SiblingExchange::returnTokens(const TeamName& team, std::uint32_t count)
{
    const auto holders = this->state->holdersFor(team);
    if (this->isOpen() && !holders.empty())
        this->state->returnTokensTo(holders.front(), team, count);
}

void SiblingExchange::forward(
    const VmName& owner, std::string work, Duration timeLimit, std::function<void(OwnerAnswer)> done)
{
    SiblingCall call { .method = runForSiblingMethod,
        .body = std::move(work),
        .deadline = std::chrono::steady_clock::now() + timeLimit };
    asio::co_spawn(this->state->options.context,
        State::forward(this->state, owner, std::move(call), std::move(done)), asio::detached);
}

void SiblingExchange::checkLiveness(const VmName& owner, std::function<void(bool)> done)
{
    asio::co_spawn(this->state->options.context,
        State::checkLiveness(this->state, owner,
            [done = std::move(done)](std::optional<Duration> roundTrip) { done(roundTrip.has_value()); }),
        asio::detached);
}

void SiblingExchange::releaseRemoteSession(const VmName& owner, std::string body)
{
    SiblingCall call { .method = releaseMethod,
        .body = std::move(body),
        .deadline = std::chrono::steady_clock::now() + releaseTimeout };
    asio::co_spawn(this->state->options.context,
        State::forward(this->state, owner, std::move(call), [](const OwnerAnswer&) {}), asio::detached);
}

void SiblingExchange::close()
{
    if (this->state->server)
        this->state->server->drain();
}

} // namespace cyclamendrift
