#include "group_simulation.h"

#include <cyclamendrift/sessions/primary_read.h>

#include <algorithm>
#include <utility>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Duration pollInterval = 2ms;
constexpr Duration confirmationDeadline = 1s;
constexpr Duration staleness = 1s;

std::set<std::uint64_t> rowsOf(const SimulatedSlot& slot)
{
    std::set<std::uint64_t> rows;
    for (const auto& record : slot.log) {
        if (record.write != SimulatedSlot::noWriteId)
            rows.insert(record.write);
    }
    return rows;
}

} // namespace

std::optional<GroupSimulation::Caller> GroupSimulation::beginOperation(std::size_t home)
{
    const auto index = this->random() % this->sessions.size();
    auto& session = this->sessions[index];
    if (!this->workload || !this->proxies[home].alive || session.busy)
        return std::nullopt;
    session.busy = true;
    session.home = home;
    const Caller caller { .session = index, .operation = ++session.operation };
    this->at(this->clock + this->options.callerTimeout, [this, caller] { this->endOperation(caller); });
    return caller;
}

void GroupSimulation::endOperation(Caller caller)
{
    auto& session = this->sessions[caller.session];
    if (session.operation != caller.operation)
        return;
    session.busy = false;
    ++session.operation;
}

void GroupSimulation::writeLoop()
{
    const auto home = this->random() % this->options.homes;
    if (const auto caller = this->beginOperation(home))
        this->runOnProxy(home, [this, home, caller] { this->write(home, *caller); });
    this->at(this->clock + this->options.writeInterval, [this] { this->writeLoop(); });
}

void GroupSimulation::readLoop()
{
    const auto home = this->random() % this->options.homes;
    const std::array<Access, 4> kinds { SessionRead {}, SessionRead {}, BoundedRead { staleness },
        PrimaryRead {} };
    const auto access = kinds[this->random() % kinds.size()];
    if (const auto caller = this->beginOperation(home)) {
        this->runOnProxy(
            home, [this, home, caller, access] { this->read(home, *caller, access, this->clock); });
    }
    this->at(this->clock + this->options.readInterval, [this] { this->readLoop(); });
}

void GroupSimulation::poll(std::size_t proxyIndex)
{
    auto& proxy = this->proxies[proxyIndex];
    proxy.polling = !proxy.pendingConfirmations.empty();
    if (!proxy.polling)
        return;
    this->pollReplicas(proxyIndex);
    this->at(this->clock + pollInterval,
        [this, proxyIndex] { this->runOnProxy(proxyIndex, [this, proxyIndex] { this->poll(proxyIndex); }); });
}

void GroupSimulation::pollReplicas(std::size_t proxyIndex)
{
    const auto primary = this->viewOf(proxyIndex).primary;
    for (std::size_t index = 0; index < this->slots.size(); ++index) {
        if (index == this->indexOf(primary))
            continue;
        this->callSlot(
            proxyIndex, index, false, [](SimulatedSlot&) { return true; },
            [this, proxyIndex](const std::optional<StatusSample>& sample, bool) {
                if (sample)
                    this->observe(proxyIndex, *sample);
            });
    }
}

void GroupSimulation::awaitConfirmation(std::size_t proxyIndex, const ConfirmationTracker::Options& options,
    PendingConfirmation pendingConfirmations)
{
    auto& proxy = this->proxies[proxyIndex];
    const auto ticket = proxy.acknowledgements.add(options);
    proxy.pendingConfirmations.emplace(ticket, std::move(pendingConfirmations));
    this->settle(proxyIndex);
    if (!proxy.polling)
        this->poll(proxyIndex);
}

void GroupSimulation::write(std::size_t proxyIndex, Caller caller)
{
    this->writeUntil(proxyIndex, caller, this->clock, this->clock + this->options.callerTimeout);
}

void GroupSimulation::writeUntil(std::size_t proxyIndex, Caller caller, Instant sentAt, Instant deadline)
{
    auto& proxy = this->proxies[proxyIndex];
    const auto retry = [this, proxyIndex, caller, sentAt, deadline] {
        this->writeUntil(proxyIndex, caller, sentAt, deadline);
    };
    if (this->clock >= deadline) {
        this->endOperation(caller);
        return;
    }
    if (this->viewOf(proxyIndex).phase != GroupView::Phase::Serving) {
        proxy.heldTasks.emplace_back(retry);
        return;
    }
    const auto write = ++this->lastWriteId;
    const auto target = this->indexOf(this->viewOf(proxyIndex).primary);
    this->callSlot(
        proxyIndex, target, true,
        [this, write](SimulatedSlot& slot) {
            const bool done = slot.write(write, this->clock);
            if (done)
                this->replicateAll();
            return done;
        },
        [this, proxyIndex, caller, write, sentAt, retry](
            const std::optional<StatusSample>& sample, bool done) {
            if (!sample) {
                this->endOperation(caller);
                return;
            }
            this->observe(proxyIndex, *sample);
            if (!done) {
                this->at(
                    this->clock + 50ms, [this, proxyIndex, retry] { this->runOnProxy(proxyIndex, retry); });
                return;
            }
            const auto progress = sample->status.progress;
            const auto until = this->clock + confirmationDeadline;
            this->awaitConfirmation(proxyIndex, ConfirmationTracker::afterCommit(sample->status, until),
                { .onConfirmed
                    = [this, caller, write, sentAt,
                          progress] { this->recordAcknowledgedWrite(caller, write, sentAt, progress); },
                    .onGivenUp = [this, caller] { this->endOperation(caller); } });
        });
}

void GroupSimulation::read(std::size_t proxyIndex, Caller caller, const Access& access, Instant begunAt)
{
    const ReplicaTracker::Request request {
        .access = access, .seen = this->sessions[caller.session].seen, .arrivedAt = begunAt
    };
    auto& tracker = *this->proxies[proxyIndex].tracker;
    auto choice = tracker.selectSlot(request, this->clock, this->random);
    if (this->options.readsFromPrimaryOnly)
        choice = tracker.selectSlot({ .access = PrimaryRead {}, .seen = request.seen, .arrivedAt = begunAt },
            this->clock, this->random);
    const auto retry
        = [this, proxyIndex, caller, access, begunAt] { this->read(proxyIndex, caller, access, begunAt); };
    if (this->clock - begunAt >= this->options.callerTimeout) {
        this->endOperation(caller);
    } else if (const auto* replica = std::get_if<ReadFromReplica>(&choice)) {
        this->readAt(proxyIndex, caller, request, replica->slot, false);
    } else if (const auto* primary = std::get_if<UsePrimary>(&choice)) {
        this->readAt(proxyIndex, caller, request, primary->slot, true);
    } else if (std::holds_alternative<WaitForReplica>(choice)) {
        this->pollReplicas(proxyIndex);
        this->at(this->clock + 1ms, [this, proxyIndex, retry] { this->runOnProxy(proxyIndex, retry); });
    } else {
        this->at(this->clock + 50ms, [this, proxyIndex, retry] { this->runOnProxy(proxyIndex, retry); });
    }
}

void GroupSimulation::readAt(std::size_t proxyIndex, Caller caller, const ReplicaTracker::Request& request,
    const SlotName& name, bool onPrimary)
{
    const auto sentAt = this->clock;
    const auto rows = std::make_shared<std::set<std::uint64_t>>();
    const auto before = std::make_shared<SlotStatus>();
    const auto fail = [this, caller] { this->endOperation(caller); };
    this->callSlot(
        proxyIndex, this->indexOf(name), false,
        [rows, before](SimulatedSlot& slot) {
            *before = slot.status();
            *rows = rowsOf(slot);
            return true;
        },
        [=, this](const std::optional<StatusSample>& sample, bool) {
            if (!sample) {
                this->proxies[proxyIndex].tracker->failed(name);
                fail();
                return;
            }
            this->observe(proxyIndex, *sample);
            const auto progress = sample->status.progress;
            const auto done = [=, this] {
                ++(onPrimary ? this->readStatistics.primary : this->readStatistics.replica);
                this->readStatistics.durations.push_back(this->clock - request.arrivedAt);
                this->checkRead(caller, request.access, sentAt, *rows, progress);
            };
            if (onPrimary && before->progress >= request.seen) {
                this->awaitConfirmation(proxyIndex,
                    makePrimaryReadOptions(
                        request.access, sample->status, sentAt, sentAt + confirmationDeadline),
                    { .onConfirmed = done, .onGivenUp = fail });
            } else if (!onPrimary
                && this->proxies[proxyIndex].tracker->provesFreshness(
                    request, *before, sample->status, this->clock)) {
                done();
            } else {
                this->at(this->clock + 1ms, [=, this] {
                    this->runOnProxy(proxyIndex,
                        [=, this] { this->read(proxyIndex, caller, request.access, request.arrivedAt); });
                });
            }
        });
}

// Checks of the guarantees

void GroupSimulation::recordAcknowledgedWrite(
    Caller caller, std::uint64_t write, Instant sentAt, Progress progress)
{
    auto& session = this->sessions[caller.session];
    if (session.operation == caller.operation) {
        session.seen = std::max(session.seen, progress);
        session.knownWrites.insert(write);
        this->endOperation(caller);
    }
    this->acknowledgedWrites.push_back({ .write = write, .sentAt = sentAt, .at = this->clock });
    if (!this->slots[this->primaryIndex()].holds(write))
        this->recordViolation("write " + std::to_string(write)
            + " was acknowledged although the newest primary does not hold it");
}

void GroupSimulation::checkRead(
    Caller caller, const Access& access, Instant sentAt, const std::set<std::uint64_t>& rows, Progress seen)
{
    auto& session = this->sessions[caller.session];
    if (session.operation != caller.operation)
        return;
    this->endOperation(caller);
    session.seen = std::max(session.seen, seen);
    if (!std::includes(rows.begin(), rows.end(), session.knownWrites.begin(), session.knownWrites.end()))
        this->recordViolation("a session did not read a write that it had written or read before");
    session.knownWrites = rows;
    auto reflectedUntil = Instant::min();
    if (std::holds_alternative<PrimaryRead>(access))
        reflectedUntil = sentAt;
    else if (std::holds_alternative<BoundedRead>(access))
        reflectedUntil = this->clock - staleness;
    for (const auto& acknowledged : this->acknowledgedWrites) {
        if (acknowledged.at <= reflectedUntil && !rows.contains(acknowledged.write)) {
            this->recordViolation("a read was staler than its bound");
            return;
        }
    }
}

void GroupSimulation::recordPromotion(std::size_t slotIndex, Term term)
{
    for (const auto& primaryTerm : this->primaryTerms) {
        if (primaryTerm.term == term && primaryTerm.slot != slotIndex)
            this->recordViolation("two slots were promoted in one term");
    }
    for (const auto& acknowledged : this->acknowledgedWrites) {
        if (!this->slots[slotIndex].holds(acknowledged.write))
            this->recordViolation("acknowledged write " + std::to_string(acknowledged.write) + " was lost");
    }
    if (term > this->primaryTerms.back().term)
        this->primaryTerms.push_back({ .term = term, .slot = slotIndex });
    this->replicateAll();
}

void GroupSimulation::recordViolation(std::string what)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.time_since_epoch());
    this->violationList.push_back(std::to_string(millis.count()) + " ms: " + std::move(what));
}
