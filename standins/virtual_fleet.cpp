#include "virtual_fleet.h"

#include <cyclamendrift/core/request_error.h>
#include <cyclamendrift/siblings/sibling_error.h>

#include <algorithm>
#include <random>

namespace cyclamendrift::standins {

namespace {

std::exception_ptr lost()
{
    return std::make_exception_ptr(SiblingError { SiblingError::Kind::OutcomeUnknown, "no answer in time" });
}

std::pair<std::size_t, std::size_t> ordered(std::size_t left, std::size_t right)
{
    return std::minmax(left, right);
}

asio::awaitable<void> admitOne(
    Fleet& fleet, TeamName team, Instant deadline, std::function<void(bool)> onVerdict)
{
    bool admitted = false;
    try {
        co_await fleet.admit(std::move(team), deadline);
        admitted = true;
    } catch (const RequestError&) {
        admitted = false;
    }
    onVerdict(admitted);
}

} // namespace

VirtualFleet::VirtualFleet(Options given)
    : options(given)
    , random(given.seed)
    , world(this->clock, given.seed + 1)
{
    for (std::size_t i = 0; i < this->options.vmCount; ++i) {
        const ZoneName zone { "zone" + std::to_string(i % this->options.zoneCount) };
        this->world.list.push_back({ .name = nameOf(i), .zone = zone, .address = "vm", .port = 1 });
    }
    this->vms.resize(this->options.vmCount);
    for (std::size_t i = 0; i < this->options.vmCount; ++i) {
        std::uniform_int_distribution<Duration::rep> delay { 0, this->options.startWithin.count() };
        this->vms[i] = std::make_unique<Vm>();
        const auto when = this->clock.now() + Duration { delay(this->random) };
        if (this->options.startWithin.count() == 0)
            this->vms[i] = this->makeVm(i);
        else
            this->clock.at(when, [this, i] { this->vms[i] = this->makeVm(i); });
    }
}

VirtualFleet::~VirtualFleet()
{
    for (auto& vm : this->vms) {
        if (vm->process)
            vm->process->kill();
        vm->fleet.reset();
    }
    // Lets every fleet end its watch; coroutines that wait for anything else are dropped with the context.
    this->clock.runFor(Duration {});
}

std::unique_ptr<VirtualFleet::Vm> VirtualFleet::makeVm(std::size_t index)
{
    std::uniform_real_distribution<double> rate { 1 - this->options.clockDrift,
        1 + this->options.clockDrift };
    auto vm = std::make_unique<Vm>();
    vm->process = std::make_shared<VirtualProcess>(
        VirtualProcess::Options { .clock = this->clock, .clockRate = rate(this->random) });
    vm->timers = std::make_unique<VirtualTimers>(vm->process);
    vm->link = std::make_shared<VirtualPlatform::Link>();
    vm->store = std::make_unique<VirtualStore>(this->world, vm->process, vm->link);
    vm->list = std::make_unique<VirtualVmList>(this->world, vm->process, vm->link);
    const auto& entry = this->world.list[index];
    vm->fleet = makeFleet({ .executor = this->clock.context().get_executor(),
        .self = { .vm = entry.name, .host = entry.address, .port = entry.port },
        .zone = entry.zone,
        .store = *vm->store,
        .vmList = *vm->list,
        .callSibling
        = [this, index, process = vm->process](SiblingAddress to,
              SiblingCall message) { return this->call(index, process, std::move(to), std::move(message)); },
        .timers = *vm->timers,
        .randomSeed = this->random(),
        .incarnation = ++this->incarnations });
    return vm;
}

std::size_t VirtualFleet::indexOf(const VmName& vm) const { return std::stoul(vm.string().substr(2)); }

bool VirtualFleet::arrives(std::size_t from, std::size_t to)
{
    if (from != to && this->cuts.contains(ordered(from, to)))
        return false;
    return !std::bernoulli_distribution { this->options.messageLoss }(this->random);
}

Duration VirtualFleet::travelTime(std::size_t bytes) const
{
    if (this->options.linkBytesPerSecond <= 0)
        return this->options.latency;
    const std::chrono::duration<double> transfer { static_cast<double>(bytes)
        / this->options.linkBytesPerSecond };
    return this->options.latency + std::chrono::duration_cast<Duration>(transfer);
}

asio::awaitable<std::string> VirtualFleet::call(
    std::size_t from, std::shared_ptr<VirtualProcess> sender, SiblingAddress to, SiblingCall message)
{
    const auto target = this->indexOf(to.vm);
    ++this->messageCount;
    this->byteCount += message.body.size();
    auto reply = std::make_shared<VirtualReply<std::string>>(this->clock.context());
    const auto patience = sender->trueTime(std::max(message.deadline - sender->localNow(), Duration {}));
    sender->deliverAfter(patience, [reply] { reply->fail(lost()); });
    const auto travel = this->travelTime(message.body.size());
    if (this->arrives(from, target) && this->vms[target]->process) {
        auto begin = [this, from, target, sender, message = std::move(message), reply]() mutable {
            this->spawn(this->serve(from, target, sender, std::move(message), reply));
        };
        this->vms[target]->process->deliverAfter(travel, std::move(begin));
    }
    co_return co_await VirtualReply<std::string>::wait(reply);
}

asio::awaitable<void> VirtualFleet::serve(std::size_t from, std::size_t to,
    std::shared_ptr<VirtualProcess> sender, SiblingCall message,
    std::shared_ptr<VirtualReply<std::string>> reply)
{
    const auto receiver = this->vms[to]->fleet;
    const auto process = this->vms[to]->process;
    if (!receiver)
        co_return;
    std::string body;
    try {
        auto answer = co_await receiver->handle(nameOf(from), message.method, message.body);
        body = std::move(answer).value_or("");
    } catch (const RequestError&) {
        sender->deliverAfter(this->options.latency, [reply] { reply->fail(lost()); });
        co_return;
    }
    if (process->isDead() || !this->arrives(from, to))
        co_return;
    ++this->messageCount;
    this->byteCount += body.size();
    const auto travel = this->travelTime(body.size());
    sender->deliverAfter(travel, [reply, body = std::move(body)] { reply->succeed(body); });
}

void VirtualFleet::cut(std::size_t left, std::size_t right) { this->cuts.insert(ordered(left, right)); }

void VirtualFleet::heal(std::size_t left, std::size_t right) { this->cuts.erase(ordered(left, right)); }

void VirtualFleet::isolate(const std::set<std::size_t>& group, bool store)
{
    for (const auto inside : group) {
        if (store)
            this->cutStore(inside, true);
        for (std::size_t other = 0; other < this->size(); ++other) {
            if (!group.contains(other))
                this->cut(inside, other);
        }
    }
}

void VirtualFleet::healAll()
{
    this->cuts.clear();
    this->setStoreDown(false);
    this->world.lostAnswers = 0;
    for (auto& vm : this->vms)
        vm->link->cut = false;
}

void VirtualFleet::setStoreDown(bool down)
{
    this->world.down = down;
    if (down)
        this->world.breakWatches();
}

void VirtualFleet::kill(std::size_t vm) { this->vms[vm]->process->kill(); }

void VirtualFleet::restart(std::size_t vm)
{
    this->kill(vm);
    this->vms[vm]->fleet.reset();
    this->graveyard.push_back(std::move(this->vms[vm]));
    this->vms[vm] = this->makeVm(vm);
}

void VirtualFleet::spawn(asio::awaitable<void> work)
{
    asio::co_spawn(this->clock.context(), std::move(work), asio::detached);
}

void VirtualFleet::admit(
    std::size_t vm, const TeamName& team, Duration patience, std::function<void(bool)> onVerdict)
{
    const auto deadline = this->vms[vm]->process->localNow() + patience;
    this->spawn(admitOne(*this->vms[vm]->fleet, team, deadline, std::move(onVerdict)));
}

} // namespace cyclamendrift::standins
