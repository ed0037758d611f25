#include <cyclamendrift/proxy/group_driver.h>

#include "control_slot.h"

#include <cyclamendrift/failover/failover_coordinator.h>
#include <cyclamendrift/failover/failover_error.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/asio_timer_service.h>

#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/use_awaitable.hpp>

#include <chrono>
#include <deque>
#include <optional>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds { 50 };
constexpr Duration leavingInterval = std::chrono::seconds { 1 };
/// What the answers of siblings may take beyond their own call to the slot.
constexpr Duration siblingAllowance = std::chrono::milliseconds { 100 };

Instant steadyNow() { return std::chrono::steady_clock::now(); }

std::string recordKey(const DatabaseName& name) { return "cyclamendrift/groups/" + name.path(); }

VersionedRecord revisedOf(const StoreEntry& entry)
{
    return { .record = GroupRecord::decode(entry.value), .revision = entry.revision };
}

std::string_view nameOf(GroupView::Phase phase) noexcept
{
    switch (phase) {
    case GroupView::Phase::Serving:
        return "serving";
    case GroupView::Phase::FailingOver:
        return "failing over";
    case GroupView::Phase::Unknown:
        break;
    }
    return "no primary";
}

class AsioGroupDriver final : public GroupDriver, public std::enable_shared_from_this<AsioGroupDriver> {
public:
    explicit AsioGroupDriver(Options given)
        : options(std::move(given))
        , timers(this->options.executor)
    {
    }

    void start() override;
    void stop() override;
    [[nodiscard]] asio::awaitable<SlotOpinion> opinionOf(SlotName slot) override;
    [[nodiscard]] GroupCounters counters() const override { return this->counts; }

private:
    struct Performer;

    [[nodiscard]] std::shared_ptr<ControlSlot> find(const SlotName& slot) const;
    void tick(Instant now);
    void noteLeaving(Instant now);
    void give(FailoverEvent event);
    void work();
    void perform(const FailoverActions& actions);
    void call(const SlotName& slot, SlotOrder order);
    void finished(const SlotName& slot, const SlotResult& result);
    void publish(GroupView view);
    asio::awaitable<void> ask(SlotName slot);
    asio::awaitable<void> readRecord();
    asio::awaitable<void> swapRecord(SwapRecord swap);
    void spawn(asio::awaitable<void> work);

    Options options;
    AsioTimerService timers;
    std::unique_ptr<TimerService::Subscription> ticking;
    std::vector<std::shared_ptr<ControlSlot>> slots;
    std::optional<FailoverCoordinator> coordinator;
    std::optional<Instant> leavingAt;
    std::vector<SlotName> leaving;
    std::deque<FailoverEvent> events;
    bool working = false;
    GroupCounters counts;
    bool stopped = false;
};

void AsioGroupDriver::start()
{
    FailoverCoordinator::Options forCoordinator { .vm = this->options.vm,
        .rank = this->options.rank,
        .settings = this->options.settings,
        .startedAt = steadyNow(),
        .seed = this->options.seed };
    for (const auto& slot : this->options.description.slots()) {
        forCoordinator.slots.emplace_back(slot.name());
        this->slots.push_back(
            std::make_shared<ControlSlot>(ControlSlot::Options { .executor = this->options.executor,
                .name = SlotName { slot.name() },
                .connection = slotConnection(this->options, slot),
                .connector = this->options.connector,
                .control = this->options.slotControl,
                .callTimeout = this->options.callTimeout }));
    }
    this->coordinator.emplace(std::move(forCoordinator));
    this->ticking = this->timers.every(tickInterval, [this](Instant now) { this->tick(now); });
    this->tick(steadyNow());
}

void AsioGroupDriver::stop()
{
    this->stopped = true;
    this->ticking.reset();
    for (const auto& slot : this->slots)
        slot->close();
}

std::shared_ptr<ControlSlot> AsioGroupDriver::find(const SlotName& slot) const
{
    for (const auto& each : this->slots) {
        if (each->name() == slot)
            return each;
    }
    return nullptr;
}

void AsioGroupDriver::tick(Instant now)
{
    this->noteLeaving(now);
    this->working = true;
    if (this->coordinator)
        this->perform(this->coordinator->tick(now));
    this->working = false;
    this->work();
}

void AsioGroupDriver::noteLeaving(Instant now)
{
    if (!this->options.isLeaving || (this->leavingAt && now - *this->leavingAt < leavingInterval))
        return;
    this->leavingAt = now;
    std::vector<SlotName> found;
    for (const auto& slot : this->options.description.slots()) {
        if (this->options.isLeaving(slot.address(), static_cast<std::uint16_t>(slot.port())))
            found.emplace_back(slot.name());
    }
    if (found == this->leaving)
        return;
    this->leaving = found;
    this->give(LeavingSlotsChanged { std::move(found) });
}

void AsioGroupDriver::give(FailoverEvent event)
{
    this->events.push_back(std::move(event));
    this->work();
}

void AsioGroupDriver::work()
{
    // A store or slot may answer while the actions of an earlier event are still being performed. Handled at
    // once, its view would be published before the older one of that event, which would then stay in force:
    // homes would hold all writes although the primary serves.
    if (this->working)
        return;
    this->working = true;
    while (!this->events.empty() && !this->stopped && this->coordinator) {
        const auto event = std::move(this->events.front());
        this->events.pop_front();
        this->perform(this->coordinator->handle(event, steadyNow()));
    }
    this->working = false;
}

struct AsioGroupDriver::Performer {
    AsioGroupDriver& driver;

    void operator()(const ProbeSlot& action) const
    {
        const auto slot = this->driver.find(action.slot);
        // A probe behind other calls would only say late what those say.
        if (!slot || slot->isBusy())
            return;
        ++this->driver.counts.probes;
        this->driver.call(action.slot, StatusOrder {});
    }
    void operator()(const FenceSlot& action) const
    {
        ++this->driver.counts.fences;
        this->driver.call(action.slot, FenceOrder { action.term });
    }
    void operator()(const PromoteSlot& action) const
    {
        ++this->driver.counts.promotions;
        this->driver.call(action.slot, PromoteOrder { action.term });
    }
    void operator()(const FollowPrimary& action) const
    {
        ++this->driver.counts.follows;
        this->driver.call(action.slot, FollowOrder { action.term, action.primary });
    }
    void operator()(const AskSiblings& action) const
    {
        ++this->driver.counts.siblingQuestions;
        this->driver.spawn(this->driver.ask(action.slot));
    }
    void operator()(const ReadRecord&) const
    {
        ++this->driver.counts.recordReads;
        this->driver.spawn(this->driver.readRecord());
    }
    void operator()(const SwapRecord& action) const
    {
        ++this->driver.counts.recordSwaps;
        this->driver.spawn(this->driver.swapRecord(action));
    }
    void operator()(const PublishView& action) const { this->driver.publish(action.view); }
};

void AsioGroupDriver::perform(const FailoverActions& actions)
{
    for (const auto& action : actions)
        std::visit(Performer { *this }, action);
}

void AsioGroupDriver::call(const SlotName& slot, SlotOrder order)
{
    const auto target = this->find(slot);
    if (!target)
        return;
    target->call(std::move(order),
        [self = this->shared_from_this(), slot](const SlotResult& result) { self->finished(slot, result); });
}

void AsioGroupDriver::finished(const SlotName& slot, const SlotResult& result)
{
    if (this->stopped)
        return;
    if (!result.reachable) {
        ++this->counts.silentProbes;
        this->give(SlotUnreachable { slot });
        return;
    }
    if (!result.sample) {
        this->give(SlotRefused { slot });
        return;
    }
    if (this->options.onSample)
        this->options.onSample(*result.sample);
    this->give(SlotAnswered { *result.sample });
}

void AsioGroupDriver::publish(GroupView view)
{
    if (this->options.onEvent) {
        this->options.onEvent("group " + this->options.name.path() + ": " + std::string { nameOf(view.phase) }
            + ", term " + std::to_string(static_cast<std::uint64_t>(view.term)) + ", primary "
            + view.primary.string());
    }
    if (this->options.onView)
        this->options.onView(std::make_shared<const GroupView>(std::move(view)));
}

void AsioGroupDriver::spawn(asio::awaitable<void> work)
{
    asio::co_spawn(this->options.executor, std::move(work), asio::detached);
}

asio::awaitable<void> AsioGroupDriver::ask(SlotName slot)
{
    const auto self = this->shared_from_this();
    SiblingsAnswered answer { .slot = slot, .askedAt = steadyNow() };
    try {
        if (this->options.askSiblings) {
            const auto deadline = answer.askedAt + this->options.callTimeout + siblingAllowance;
            auto opinions = co_await this->options.askSiblings(slot, deadline);
            answer.asked = opinions.asked;
            answer.opinions = std::move(opinions.opinions);
        }
    } catch (const std::exception&) {
        co_return; // the coordinator asks again
    }
    this->give(std::move(answer));
}

asio::awaitable<void> AsioGroupDriver::readRecord()
{
    const auto self = this->shared_from_this();
    RecordRead read;
    try {
        const auto entry = co_await this->options.store->get(recordKey(this->options.name));
        if (entry)
            read.current = revisedOf(*entry);
    } catch (const Error&) {
        this->give(RecordReadFailed {});
        co_return;
    }
    this->give(std::move(read));
}

asio::awaitable<void> AsioGroupDriver::swapRecord(SwapRecord swap)
{
    const auto self = this->shared_from_this();
    const auto id = swap.record.changeId;
    FailoverEvent event = RecordSwapUnanswered { id };
    try {
        SwapOptions change { .key = recordKey(this->options.name),
            .expectedRevision = swap.expectedRevision,
            .value = swap.record.encode() };
        const auto outcome = co_await this->options.store->compareAndSwap(std::move(change));
        if (const auto* swapped = std::get_if<Swapped>(&outcome)) {
            event = RecordSwapped { id, swapped->revision };
        } else {
            RecordConflict conflict { .changeId = id };
            const auto& current = std::get<SwapConflict>(outcome).current;
            if (current)
                conflict.current = revisedOf(*current);
            event = std::move(conflict);
        }
    } catch (const Error&) {
        event = RecordSwapUnanswered { id };
    }
    this->give(std::move(event));
}

asio::awaitable<SlotOpinion> AsioGroupDriver::opinionOf(SlotName slot)
{
    const auto self = this->shared_from_this();
    SlotOpinion opinion { .vm = this->options.vm };
    const auto target = this->find(slot);
    if (!target || this->stopped)
        co_return opinion;
    const auto result = co_await target->status();
    opinion.reachable = result.reachable;
    if (result.sample) {
        opinion.status = result.sample->status;
        if (!this->stopped)
            this->give(SlotAnswered { *result.sample });
    }
    co_return opinion;
}

} // namespace

std::shared_ptr<GroupDriver> makeGroupDriver(GroupDriver::Options options)
{
    return std::make_shared<AsioGroupDriver>(std::move(options));
}

} // namespace cyclamendrift
