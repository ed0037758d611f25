#include "control_state.h"

#include <cyclamendrift/core/duration_text.h>
#include <cyclamendrift/core/random_duration.h>
#include <cyclamendrift/core/stable_hash.h>
#include <cyclamendrift/platform/store_error.h>
#include <cyclamendrift/runtime/boot_clock.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <leadership.pb.h>

#include <algorithm>
#include <iterator>
#include <random>
#include <utility>
#include <variant>

// How a VM that starts finds the store readers, and the roster that names them.
namespace cyclamendrift {

namespace {

// Interval of log lines of a VM that looks for the store readers; the first one follows after it as well.
constexpr Duration joinReportInterval = std::chrono::milliseconds { 1000 };

std::string_view textOf(FleetJoin::Answer answer)
{
    switch (answer) {
    case FleetJoin::Answer::Lists:
        return "lists";
    case FleetJoin::Answer::NotYet:
        return "not yet";
    case FleetJoin::Answer::None:
        break;
    }
    return "none";
}

/// The secret that siblings present to each other; only VMs with access to the store can read it.
std::string generateSecret()
{
    constexpr std::size_t words = 8;
    std::random_device source;
    std::string secret;
    for (std::size_t index = 0; index < words; ++index)
        secret += std::to_string(source()) + '.';
    return secret;
}

} // namespace

asio::awaitable<ReaderRoster> SessionControl::State::fetchRoster(ReadFreshness freshness)
{
    // A lag does no harm: the secret never changes, and a swap of the roster names the revision that was
    // read.
    const auto listed = co_await this->store.listing(store_key::siblingPrefix, freshness);
    ReaderRoster next;
    SiblingList vms;
    bool hasSecret = false;
    for (const auto& entry : listed.entries) {
        if (entry.key == store_key::siblingSecret) {
            hasSecret = true;
            this->openSiblings(entry.value);
        } else if (entry.key == store_key::readerRoster) {
            next.revision = entry.revision;
            wire::ReaderRoster message;
            if (!message.ParseFromString(entry.value)) {
                logEvent(LogLevel::Error, "store_readers_unreadable", { { "key", entry.key } });
                continue;
            }
            next.readers = message.readers();
            for (const auto& vm : message.vms()) {
                next.vms.emplace_back(vm.name());
                vms.emplace(next.vms.back(), siblingFrom(vm));
            }
        }
    }
    // A read that lags must not make this VM forget the addresses of a roster that it has seen.
    if (freshness == ReadFreshness::MayLag && next.revision < this->roster.revision)
        co_return this->roster;
    // Without the secret no VM of the roster can be asked; whoever writes the roster writes both.
    if (!hasSecret)
        next.vms.clear();
    this->rosterVms = std::move(vms);
    this->roster = next;
    co_return next;
}

asio::awaitable<void> SessionControl::State::writeRoster(const ReaderRoster& next)
{
    wire::ReaderRoster message;
    message.set_readers(static_cast<std::uint32_t>(next.readers));
    for (const auto& vm : next.vms) {
        const auto listed = this->siblings.find(vm);
        if (listed != this->siblings.end())
            writeSibling(listed->second, *message.add_vms());
    }
    SwapOptions swap { .key = store_key::readerRoster,
        .expectedRevision = next.revision,
        .value = message.SerializeAsString() };
    const auto outcome = co_await this->store.compareAndSwap(std::move(swap));
    logEvent(LogLevel::Info, "store_readers_written",
        { { "vms", std::to_string(next.vms.size()) }, { "readers", std::to_string(next.readers) },
            { "taken", std::holds_alternative<Swapped>(outcome) ? "yes" : "no" } });
}

asio::awaitable<void> SessionControl::State::readRoster(FleetJoin& join, ReadFreshness freshness)
{
    try {
        auto next = co_await this->fetchRoster(freshness);
        co_await this->beginRecord();
        // Until the list of VMs arrives, these are the only siblings that are known.
        if (this->vms.confirmedAt() == Instant::min()) {
            this->siblings = this->rosterVms;
            this->readerSelector.setOrder(next.vms, std::max<std::size_t>(next.readers, 1));
        }
        join.rosterRead(std::move(next), bootNow());
    } catch (const StoreError& error) {
        logEvent(LogLevel::Warn, "siblings_not_found", { { "reason", error.what() } });
        join.attemptFailed(bootNow());
    }
}

asio::awaitable<void> SessionControl::State::writeOwnRoster(FleetJoin& join, FleetJoin::WriteRoster step)
{
    this->siblings.insert_or_assign(this->options.vm, this->ownSibling());
    ReaderRoster next {
        .vms = { this->options.vm }, .readers = 1 + step.readersKept, .revision = step.expectedRevision
    };
    // The VMs that could not be reached may be cut off from this VM alone, so they stay as standbys.
    std::copy_if(this->roster.vms.begin(), this->roster.vms.end(), std::back_inserter(next.vms),
        [this](const VmName& vm) { return vm != this->options.vm; });
    try {
        SwapOptions secret {
            .key = store_key::siblingSecret, .expectedRevision = 0, .value = generateSecret()
        };
        if (!this->siblingsOpen)
            static_cast<void>(co_await this->store.compareAndSwap(std::move(secret)));
        co_await this->writeRoster(next);
        join.rosterWritten(bootNow());
    } catch (const StoreError& error) {
        logEvent(LogLevel::Warn, "store_readers_not_written", { { "reason", error.what() } });
        join.attemptFailed(bootNow());
    }
}

asio::awaitable<void> SessionControl::State::beginRecord()
{
    if (std::exchange(this->recordBegun, true))
        co_return;
    this->isFirstStart = !this->siblingsOpen;
    if (!this->isFirstStart)
        co_await this->findEarlierRecord();
    this->spawnLoop(keepRecord);
}

asio::awaitable<void> SessionControl::State::findEarlierRecord()
{
    const auto key = store_key::vmPrefix + this->options.vm.string();
    try {
        const auto listed = co_await this->store.listing(key, ReadFreshness::MayLag);
        const auto own = std::find_if(listed.entries.begin(), listed.entries.end(),
            [&key](const StoreEntry& entry) { return entry.key == key; });
        if (own != listed.entries.end())
            this->earlierRecord = *own;
    } catch (const StoreError& error) {
        // A new record replaces it.
        logEvent(LogLevel::Info, "earlier_record_left", { { "reason", error.what() } });
    }
}

asio::awaitable<void> SessionControl::State::perform(FleetJoin& join, FleetJoin::Step step)
{
    // The branches await, so a visitor would need a coroutine for each of them.
    if (const auto* read = std::get_if<FleetJoin::ReadRoster>(&step)) {
        co_await this->readRoster(join, read->mayLag ? ReadFreshness::MayLag : ReadFreshness::Linearizable);
    } else if (const auto* write = std::get_if<FleetJoin::WriteRoster>(&step)) {
        co_await this->writeOwnRoster(join, *write);
    } else if (const auto* wait = std::get_if<FleetJoin::Wait>(&step)) {
        co_await this->sleep(wait->until - bootNow());
    } else if (const auto* ask = std::get_if<FleetJoin::AskReader>(&step)) {
        using Answer = FleetJoin::Answer;
        const auto vm = ask->reader;
        const auto outcome = co_await this->askReader(this->rosterVms.at(vm).address);
        const auto answer = outcome == ReaderAnswer::Fresh ? Answer::Lists
            : outcome == ReaderAnswer::None                ? Answer::None
                                                           : Answer::NotYet;
        this->joinAnswers[vm] = answer;
        join.readerAnswered(vm, answer);
    }
}

void SessionControl::State::reportJoin()
{
    const auto now = bootNow();
    if (now < std::max(this->startedAt, this->joinReportedAt) + joinReportInterval)
        return;
    this->joinReportedAt = now;
    std::string vms;
    for (const auto& vm : this->roster.vms)
        vms += (vms.empty() ? "" : ",") + vm.string();
    std::string answers;
    for (const auto& [vm, answer] : this->joinAnswers)
        answers += (answers.empty() ? "" : ", ") + vm.string() + ": " + std::string { textOf(answer) };
    logEvent(LogLevel::Warn, "store_readers_awaited",
        { { "waited_ms", millisecondsText(now - this->startedAt) }, { "roster", vms },
            { "readers", std::to_string(this->roster.readers) },
            { "revision", std::to_string(this->roster.revision) }, { "answers", answers } });
}

asio::awaitable<void> SessionControl::State::bootstrap(std::shared_ptr<State> self)
{
    FleetJoin join { { .self = self->options.vm,
        .cores = self->options.cores,
        .seed = self->options.process,
        .settings = self->options.settings.join } };
    // Spreads the VMs over the readers until the list of VMs gives each its rank.
    self->place.rank = stableHash(self->options.vm.view()) % self->options.settings.vmsPerReader;
    while (!self->stopped) {
        auto step = join.next(bootNow());
        if (const auto* joined = std::get_if<FleetJoin::Joined>(&step)) {
            logEvent(LogLevel::Info, "store_readers_found",
                { { "waited_ms", millisecondsText(bootNow() - self->startedAt) },
                    { "as_reader", joined->asReader ? "yes" : "no" } });
            break;
        }
        co_await self->perform(join, std::move(step));
        self->reportJoin();
    }
    self->joinAnswers.clear();
    self->bootstrapped = true;
    self->updateTracked(bootNow());
    self->spawnLoop(followLeadership);
    self->spawnLoop(fetchConfiguration);
    self->spawnLoop(followConfiguration);
    self->spawnLoop(followDirectory);
    self->spawnLoop(keepLease);
    self->spawnLoop(followVms);
    self->spawnLoop(followRoster);
}

asio::awaitable<void> SessionControl::State::followRoster(std::shared_ptr<State> self)
{
    const auto& settings = self->options.settings;
    auto pause = settings.minRosterInterval;
    while (!self->stopped) {
        co_await self->sleep(jittered(pause, self->random));
        const auto& known = self->roster.vms;
        const bool named = std::find(known.begin(), known.end(), self->options.vm) != known.end();
        if (!named && !self->isReader()) {
            pause = settings.maxRosterInterval / 4;
            continue;
        }
        ReaderRoster wanted { .vms = self->readerSelector.roster(),
            .readers = self->readerSelector.readers() };
        // The order is that of the roster until the list of VMs was read.
        if (self->vms.confirmedAt() == Instant::min() || wanted.vms.empty())
            continue;
        try {
            const auto written = co_await self->fetchRoster(ReadFreshness::MayLag);
            const bool same = written.vms == wanted.vms && written.readers == wanted.readers;
            pause = same ? std::min(pause * 2, settings.maxRosterInterval) : settings.minRosterInterval;
            wanted.revision = written.revision;
            if (!same)
                co_await self->writeRoster(wanted);
        } catch (const StoreError& error) {
            logEvent(LogLevel::Debug, "store_readers_not_compared", { { "reason", error.what() } });
            pause = settings.maxRosterInterval;
        }
    }
}

} // namespace cyclamendrift
