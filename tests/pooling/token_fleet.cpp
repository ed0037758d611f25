#include "token_fleet.h"

#include <algorithm>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds { 20 };
constexpr Duration tokenTimeout = std::chrono::milliseconds { 25 };
constexpr std::size_t maxDonorsAsked = 4;
constexpr std::size_t strongVms = 6;

} // namespace

struct TokenFleet::Vm {
    std::size_t index = 0;
    bool running = true;
    /// Number of processes that the VM has started.
    std::size_t processes = 0;
    std::unique_ptr<SessionEngine> engine;
    DonorSelector donors;
    Instant wakeAt = Instant::max();
    std::uint64_t lastNumber = 0;
    /// Answers to siblings' requests that wait here, by number, and the numbers by asker and its number.
    std::map<std::uint64_t, std::function<void(std::uint32_t)>> waits;
    std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> numbers;
};

struct TokenFleet::Search {
    std::size_t vm = 0;
    std::size_t process = 0;
    RequestTokens request;
    TokenSearch logic;
    std::uint64_t number = 0;
};

TokenFleet::TokenFleet(Options given)
    : options(std::move(given))
{
    this->routes->version = 1;
    for (const auto priority : this->options.priorities)
        this->routes->routes["p" + std::to_string(priority)] = { .service = ServiceName { "beds" },
            .statementTimeout = std::chrono::seconds { 2 },
            .targetLatency = priority == this->options.priorities.front() ? urgentTarget : patientTarget,
            .priority = priority };
    for (const auto& [team, limit] : this->options.limits)
        this->routes->keys[team.string()] = team;
    this->routes->limits = this->options.limits;
    for (std::size_t vm = 0; vm < this->options.vms; ++vm) {
        const auto name = this->nameOf(vm);
        this->indexes[name] = vm;
        this->listed[name] = { .zone = ZoneName { "zone-" + std::to_string(vm % this->options.zones) },
            .cores = vm < strongVms ? 0.5 : 0.12 };
    }
    this->holders = LimitHolders { this->listed };
    for (std::size_t vm = 0; vm < this->options.vms; ++vm) {
        this->vms.push_back(std::make_unique<Vm>());
        this->vms.back()->index = vm;
        this->start(vm);
        // VMs do not tick at the same moments.
        this->events.schedule(
            this->now() + std::chrono::microseconds { 137 * (vm + 1) }, [this, vm] { this->tick(vm); });
    }
}

TokenFleet::~TokenFleet() = default;

void TokenFleet::schedule(Instant at, const TeamName& team, std::uint32_t priority, std::size_t vm)
{
    const auto index = this->all.size();
    this->all.push_back({ .team = team, .priority = priority, .vm = vm, .arrivedAt = at });
    this->events.schedule(at, [this, index, vm] {
        if (!this->vms[vm]->running)
            return;
        const auto& operation = this->all[index];
        auto& engine = *this->vms[vm]->engine;
        const CallerId caller { index + 1 };
        engine.callerConnected(caller, this->now());
        engine.callerStartedSession(caller,
            { .database = "p" + std::to_string(operation.priority), .key = operation.team.string() },
            this->now());
        engine.callerSentStatement(
            caller, { .id = "q", .text = "BEGIN", .statement = BeginTransaction {} }, this->now());
        this->perform(vm);
    });
}

void TokenFleet::runUntil(Instant end) { this->events.runUntil(end); }

void TokenFleet::stop(std::size_t vm)
{
    auto& stopped = *this->vms[vm];
    stopped.running = false;
    stopped.waits.clear();
    stopped.numbers.clear();
}

void TokenFleet::start(std::size_t vm)
{
    auto& started = *this->vms[vm];
    started.running = true;
    ++started.processes;
    started.wakeAt = Instant::max();
    const bool urgentFirst = this->options.urgentFirst && !this->options.earlierBuilds.contains(vm);
    started.engine = std::make_unique<SessionEngine>(
        SessionEngine::Options { .zone = ZoneName { "zone" }, .settings = { .urgentFirst = urgentFirst } });
    started.engine->setRoutes(std::make_shared<RouteTable>(*this->routes), this->now());
    LimitShares shares;
    if (this->holders.includesAllVms()) {
        std::map<VmName, DemandByTeam> demand;
        for (const auto& [name, capacity] : this->listed)
            demand[name] = {};
        shares.updateByDemand(this->options.limits, this->nameOf(vm), demand, this->now());
    } else {
        shares.updateByHolders(this->options.limits, this->nameOf(vm), this->holders, this->now());
    }
    started.engine->setShares(shares.current(), this->now());
}

void TokenFleet::removeTeam(const TeamName& team, bool withKeys)
{
    this->routes->limits.erase(team);
    if (withKeys)
        this->routes->keys.erase(team.string());
    ++this->routes->version;
    for (const auto& vm : this->vms) {
        vm->engine->setRoutes(std::make_shared<RouteTable>(*this->routes), this->now());
        this->perform(vm->index);
    }
}

std::vector<std::size_t> TokenFleet::holdersOf(const TeamName& team) const
{
    std::vector<std::size_t> indexed;
    for (const auto& name : this->holders.holdersOf(team))
        indexed.push_back(this->indexes.at(name));
    return indexed;
}

double TokenFleet::mostBeyondRate(const TeamName& team) const
{
    std::vector<Instant> admissions;
    for (const auto& operation : this->all) {
        if (operation.admitted && operation.team == team)
            admissions.push_back(operation.endedAt);
    }
    std::sort(admissions.begin(), admissions.end());
    const double rate = this->options.limits.at(team).ratePerSecond;
    // The most of (last - first + 1) - rate * (time between them) over all pairs, in one pass.
    double most = 0;
    double best = 0;
    for (std::size_t index = 0; index < admissions.size(); ++index) {
        const std::chrono::duration<double> gap
            = index == 0 ? Duration {} : admissions[index] - admissions[index - 1];
        best = std::max(best - rate * gap.count(), 0.0) + 1;
        most = std::max(most, best);
    }
    return most;
}

std::size_t TokenFleet::overtaken(const TeamName& team) const
{
    const auto margin = 4 * this->options.oneWay + std::chrono::milliseconds { 1 };
    std::vector<const FleetOperation*> refused;
    for (const auto& operation : this->all) {
        if (!operation.admitted && operation.team == team && operation.endedAt != Instant::max())
            refused.push_back(&operation);
    }
    std::size_t count = 0;
    for (const auto& operation : this->all) {
        if (!operation.admitted || operation.team != team)
            continue;
        count += std::any_of(refused.begin(), refused.end(), [&](const FleetOperation* other) {
            return std::min(other->priority, 15U) < std::min(operation.priority, 15U)
                && other->arrivedAt + margin < operation.endedAt
                && operation.endedAt + margin < other->endedAt;
        });
    }
    return count;
}

VmName TokenFleet::nameOf(std::size_t vm) const { return VmName { "vm-" + std::to_string(vm) }; }

std::vector<VmName> TokenFleet::donorsFor(const TeamName& team, std::size_t vm) const
{
    if (!this->holders.includesAllVms())
        return this->holders.donorsFor(team, this->nameOf(vm));
    std::map<VmName, DemandByTeam> demand;
    for (const auto& [name, capacity] : this->listed)
        demand[name] = {};
    return DonorSelector::rankByDemand(team, this->nameOf(vm), demand);
}

void TokenFleet::perform(std::size_t vm)
{
    auto& own = *this->vms[vm];
    for (auto actions = own.engine->takeActions(); !actions.empty(); actions = own.engine->takeActions()) {
        for (const auto& action : actions) {
            if (const auto* tokens = std::get_if<RequestTokens>(&action)) {
                this->search(vm, *tokens);
            } else if (const auto* surplus = std::get_if<ReturnTokens>(&action)) {
                const auto donors = this->donorsFor(surplus->team, vm);
                this->returnTokens(this->indexes.at(donors.front()), surplus->team, surplus->count);
            } else if (const auto* tokenAnswer = std::get_if<AnswerTokenRequest>(&action)) {
                if (const auto wait = own.waits.extract(tokenAnswer->request); !wait.empty())
                    wait.mapped()(tokenAnswer->given);
            } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
                auto& operation = this->all.at(static_cast<std::uint64_t>(answer->caller) - 1);
                operation.endedAt = this->now();
                operation.admitted = !answer->reply.failure;
                own.engine->callerDisconnected(answer->caller, this->now());
            } else if (const auto* close = std::get_if<CloseCaller>(&action)) {
                this->all.at(static_cast<std::uint64_t>(close->caller) - 1).endedAt = this->now();
            }
        }
    }
    const auto due = own.engine->nextTokenDue();
    if (due >= own.wakeAt)
        return;
    own.wakeAt = due;
    this->events.schedule(std::max(due, this->now()), [this, vm, due] {
        auto& woken = *this->vms[vm];
        if (woken.wakeAt != due || !woken.running)
            return;
        woken.wakeAt = Instant::max();
        woken.engine->serveWaitingRequests(this->now());
        this->perform(vm);
    });
}

void TokenFleet::search(std::size_t vm, const RequestTokens& request)
{
    auto& own = *this->vms[vm];
    const auto donors = this->donorsFor(request.team, vm);
    if (!this->options.urgentFirst || this->options.earlierBuilds.contains(vm)) {
        this->askInOrder(
            vm, request, own.donors.select(request.team, donors, maxDonorsAsked, this->now()), 0);
        return;
    }
    TokenSearch logic { { .wanted = request.wanted,
        .until = request.until,
        .donors = own.donors.selectWaiting(request.team, donors, request.priority, this->now()),
        .first = own.donors.selectFirst(request.team, donors, request.priority, this->now()) } };
    const auto search = std::make_shared<Search>(Search { .vm = vm,
        .process = own.processes,
        .request = request,
        .logic = std::move(logic),
        .number = ++own.lastNumber });
    // The engine is told of a result only after it has handed over all actions.
    this->events.schedule(
        this->now(), [this, search] { this->carryOut(search, search->logic.begin(this->now())); });
}

void TokenFleet::carryOut(const std::shared_ptr<Search>& search, const TokenSearch::Step& step)
{
    for (const auto& wanted : step.calls)
        this->call(search, wanted);
    for (const auto& name : step.withdrawn) {
        const auto to = this->indexes.at(name);
        this->send(to, [this, search, to] {
            auto& holder = *this->vms[to];
            const auto number = holder.numbers.find({ search->vm, search->number });
            if (number == holder.numbers.end())
                return;
            holder.engine->siblingWithdrewRequest(search->request.team, number->second, this->now());
            this->perform(to);
        });
    }
    const auto& asker = *this->vms[search->vm];
    if (step.result && asker.running && asker.processes == search->process) {
        this->vms[search->vm]->engine->tokenRequestEnded(search->request, *step.result, this->now());
        this->perform(search->vm);
    }
}

void TokenFleet::call(const std::shared_ptr<Search>& search, const TokenSearch::Call& call)
{
    const auto to = this->indexes.at(call.vm);
    const auto isOpen = std::make_shared<bool>(true);
    const auto finish = [this, search, call, to, isOpen](std::optional<std::uint32_t> given) {
        if (!std::exchange(*isOpen, false))
            return;
        const auto step = search->logic.answered(call.vm, given, this->now());
        if (step.unused > 0)
            this->returnTokens(to, search->request.team, step.unused);
        this->carryOut(search, step);
    };
    auto& donors = this->vms[search->vm]->donors;
    this->ask(search->vm, to, search->request, call.wait, search->number,
        [this, search, call, finish, &donors](std::uint32_t given, bool waits) {
            donors.recordWaits(call.vm, waits);
            if (given < call.wanted)
                donors.recordShortfall(search->request.team, call.vm, this->now(), search->request.priority);
            finish(given);
        });
    this->events.schedule(this->now() + call.wait + call.transit, [this, call, finish, isOpen, &donors] {
        if (*isOpen)
            donors.recordNoAnswer(call.vm, this->now());
        finish(std::nullopt);
    });
}

void TokenFleet::askInOrder(
    std::size_t vm, const RequestTokens& request, std::vector<VmName> donors, std::uint32_t given)
{
    if (donors.empty() || given >= request.wanted) {
        this->events.schedule(this->now(), [this, vm, request, given] {
            this->vms[vm]->engine->tokensReceived(request.team, given, this->now());
            this->perform(vm);
        });
        return;
    }
    const auto name = donors.front();
    donors.erase(donors.begin());
    const auto isOpen = std::make_shared<bool>(true);
    auto plain = request;
    plain.wanted = request.wanted - given;
    // An earlier build sends no priority, which counts as the least urgent.
    plain.priority = tokenPriorities - 1;
    const auto next = [this, vm, request, donors, given, isOpen](std::uint32_t more) {
        if (std::exchange(*isOpen, false))
            this->askInOrder(vm, request, donors, given + more);
    };
    this->ask(
        vm, this->indexes.at(name), plain, {}, 0, [this, vm, plain, name, next](std::uint32_t more, bool) {
            if (more < plain.wanted)
                this->vms[vm]->donors.recordShortfall(plain.team, name, this->now());
            next(more);
        });
    this->events.schedule(this->now() + tokenTimeout, [this, vm, name, next, isOpen] {
        if (*isOpen)
            this->vms[vm]->donors.recordNoAnswer(name, this->now());
        next(0);
    });
}

void TokenFleet::ask(std::size_t from, std::size_t to, const RequestTokens& request, Duration wait,
    std::uint64_t number, std::function<void(std::uint32_t, bool waits)> answered)
{
    this->send(to, [this, from, to, request, wait, number, answered = std::move(answered)] {
        auto& holder = *this->vms[to];
        if (!this->options.urgentFirst || this->options.earlierBuilds.contains(to)) {
            const auto given = holder.engine->giveTokens(request.team, request.wanted, this->now());
            this->send(from, [answered, given] { answered(given, false); });
            return;
        }
        const auto id = ++holder.lastNumber;
        holder.waits[id] = [this, from, answered](std::uint32_t given) {
            this->send(from, [answered, given] { answered(given, true); });
        };
        if (number != 0)
            holder.numbers[{ from, number }] = id;
        holder.engine->siblingRequestedTokens({ .number = id,
                                                  .team = request.team,
                                                  .priority = request.priority,
                                                  .wanted = request.wanted,
                                                  .until = this->now() + wait },
            this->now());
        this->perform(to);
    });
}

void TokenFleet::send(std::size_t to, std::function<void()> arrive)
{
    ++this->sent;
    // What a process sent before it ended still arrives.
    this->events.schedule(this->now() + this->options.oneWay, [this, to, arrive = std::move(arrive)] {
        if (this->vms[to]->running)
            arrive();
    });
}

void TokenFleet::returnTokens(std::size_t to, const TeamName& team, std::uint32_t count)
{
    this->send(to, [this, to, team, count] {
        this->vms[to]->engine->siblingReturnedTokens(team, count, this->now());
        this->perform(to);
    });
}

void TokenFleet::tick(std::size_t vm)
{
    if (this->vms[vm]->running) {
        this->vms[vm]->engine->tick(this->now());
        this->perform(vm);
    }
    this->events.schedule(this->now() + tickInterval, [this, vm] { this->tick(vm); });
}

} // namespace cyclamendrift
