#include "group_world.h"

#include <cyclamendrift/sessions/primary_read.h>

#include <algorithm>
#include <utility>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Duration pollInterval = 2ms;
constexpr Duration confirmationDeadline = 1s;
constexpr Duration staleness = 1s;

std::set<std::uint64_t> rowsOf(const ModelSlot& slot)
{
    std::set<std::uint64_t> rows;
    for (const auto& record : slot.log) {
        if (record.write != ModelSlot::noWrite)
            rows.insert(record.write);
    }
    return rows;
}

} // namespace

std::optional<GroupWorld::Caller> GroupWorld::beginOperation(std::size_t home)
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

void GroupWorld::endOperation(Caller caller)
{
    auto& session = this->sessions[caller.session];
    if (session.operation != caller.operation)
        return;
    session.busy = false;
    ++session.operation;
}

void GroupWorld::writeLoop()
{
    const auto home = this->random() % this->options.homes;
    if (const auto caller = this->beginOperation(home))
        this->atProxy(home, [this, home, caller] { this->write(home, *caller); });
    this->at(this->clock + this->options.writeInterval, [this] { this->writeLoop(); });
}

void GroupWorld::readLoop()
{
    const auto home = this->random() % this->options.homes;
    const std::array<Access, 4> kinds { SessionRead {}, SessionRead {}, BoundedRead { staleness },
        PrimaryRead {} };
    const auto access = kinds[this->random() % kinds.size()];
    if (const auto caller = this->beginOperation(home)) {
        this->atProxy(home, [this, home, caller, access] { this->read(home, *caller, access, this->clock); });
    }
    this->at(this->clock + this->options.readInterval, [this] { this->readLoop(); });
}

void GroupWorld::poll(std::size_t proxyIndex)
{
    auto& proxy = this->proxies[proxyIndex];
    proxy.polling = !proxy.waiting.empty();
    if (!proxy.polling)
        return;
    this->pollReplicas(proxyIndex);
    this->at(this->clock + pollInterval,
        [this, proxyIndex] { this->atProxy(proxyIndex, [this, proxyIndex] { this->poll(proxyIndex); }); });
}

void GroupWorld::pollReplicas(std::size_t proxyIndex)
{
    const auto primary = this->viewOf(proxyIndex).primary;
    for (std::size_t index = 0; index < this->slots.size(); ++index) {
        if (index == this->indexOf(primary))
            continue;
        this->callSlot(
            proxyIndex, index, false, [](ModelSlot&) { return true; },
            [this, proxyIndex](const std::optional<StatusSample>& sample, bool) {
                if (sample)
                    this->observe(proxyIndex, *sample);
            });
    }
}

void GroupWorld::awaitConfirmation(
    std::size_t proxyIndex, const Acknowledgements::Options& options, Waiting waiting)
{
    auto& proxy = this->proxies[proxyIndex];
    const auto ticket = proxy.acknowledgements.add(options);
    proxy.waiting.emplace(ticket, std::move(waiting));
    this->settle(proxyIndex);
    if (!proxy.polling)
        this->poll(proxyIndex);
}

void GroupWorld::write(std::size_t proxyIndex, Caller caller)
{
    this->writeUntil(proxyIndex, caller, this->clock, this->clock + this->options.callerTimeout);
}

void GroupWorld::writeUntil(std::size_t proxyIndex, Caller caller, Instant sentAt, Instant deadline)
{
    auto& proxy = this->proxies[proxyIndex];
    const auto again = [this, proxyIndex, caller, sentAt, deadline] {
        this->writeUntil(proxyIndex, caller, sentAt, deadline);
    };
    if (this->clock >= deadline) {
        this->endOperation(caller);
        return;
    }
    if (this->viewOf(proxyIndex).phase != GroupView::Phase::Serving) {
        proxy.held.emplace_back(again);
        return;
    }
    const auto write = ++this->lastWrite;
    const auto target = this->indexOf(this->viewOf(proxyIndex).primary);
    this->callSlot(
        proxyIndex, target, true,
        [this, write](ModelSlot& slot) {
            const bool done = slot.write(write, this->clock);
            if (done)
                this->replicateAll();
            return done;
        },
        [this, proxyIndex, caller, write, sentAt, again](
            const std::optional<StatusSample>& sample, bool done) {
            if (!sample) {
                this->endOperation(caller);
                return;
            }
            this->observe(proxyIndex, *sample);
            if (!done) {
                this->at(this->clock + 50ms, [this, proxyIndex, again] { this->atProxy(proxyIndex, again); });
                return;
            }
            const auto progress = sample->status.progress;
            const auto until = this->clock + confirmationDeadline;
            this->awaitConfirmation(proxyIndex, Acknowledgements::afterCommit(sample->status, until),
                { .onConfirmed = [this, caller, write, sentAt,
                                     progress] { this->noteAcknowledged(caller, write, sentAt, progress); },
                    .onGivenUp = [this, caller] { this->endOperation(caller); } });
        });
}

void GroupWorld::read(std::size_t proxyIndex, Caller caller, const Access& access, Instant begunAt)
{
    const ReplicaTracker::Request request {
        .access = access, .seen = this->sessions[caller.session].seen, .arrivedAt = begunAt
    };
    auto& tracker = *this->proxies[proxyIndex].tracker;
    auto choice = tracker.selectSlot(request, this->clock, this->random);
    if (this->options.readsFromPrimaryOnly)
        choice = tracker.selectSlot({ .access = PrimaryRead {}, .seen = request.seen, .arrivedAt = begunAt },
            this->clock, this->random);
    const auto again
        = [this, proxyIndex, caller, access, begunAt] { this->read(proxyIndex, caller, access, begunAt); };
    if (this->clock - begunAt >= this->options.callerTimeout) {
        this->endOperation(caller);
    } else if (const auto* replica = std::get_if<ReadFromReplica>(&choice)) {
        this->readAt(proxyIndex, caller, request, replica->slot, false);
    } else if (const auto* primary = std::get_if<UsePrimary>(&choice)) {
        this->readAt(proxyIndex, caller, request, primary->slot, true);
    } else if (std::holds_alternative<WaitForReplica>(choice)) {
        this->pollReplicas(proxyIndex);
        this->at(this->clock + 1ms, [this, proxyIndex, again] { this->atProxy(proxyIndex, again); });
    } else {
        this->at(this->clock + 50ms, [this, proxyIndex, again] { this->atProxy(proxyIndex, again); });
    }
}

void GroupWorld::readAt(std::size_t proxyIndex, Caller caller, const ReplicaTracker::Request& request,
    const SlotName& name, bool onPrimary)
{
    const auto sentAt = this->clock;
    const auto rows = std::make_shared<std::set<std::uint64_t>>();
    const auto before = std::make_shared<SlotStatus>();
    const auto fail = [this, caller] { this->endOperation(caller); };
    this->callSlot(
        proxyIndex, this->indexOf(name), false,
        [rows, before](ModelSlot& slot) {
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
                ++(onPrimary ? this->readCounts.primary : this->readCounts.replica);
                this->readCounts.took.push_back(this->clock - request.arrivedAt);
                this->noteRead(caller, request.access, sentAt, *rows, progress);
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
                    this->atProxy(proxyIndex,
                        [=, this] { this->read(proxyIndex, caller, request.access, request.arrivedAt); });
                });
            }
        });
}

// The account

void GroupWorld::noteAcknowledged(Caller caller, std::uint64_t write, Instant sentAt, Progress progress)
{
    auto& session = this->sessions[caller.session];
    if (session.operation == caller.operation) {
        session.seen = std::max(session.seen, progress);
        session.known.insert(write);
        this->endOperation(caller);
    }
    this->acks.push_back({ .write = write, .sentAt = sentAt, .at = this->clock });
    if (!this->slots[this->primaryIndex()].holds(write))
        this->breach(
            "write " + std::to_string(write) + " was acknowledged although a later primary lacks it");
}

void GroupWorld::noteRead(
    Caller caller, const Access& access, Instant sentAt, const std::set<std::uint64_t>& rows, Progress seen)
{
    auto& session = this->sessions[caller.session];
    if (session.operation != caller.operation)
        return;
    this->endOperation(caller);
    session.seen = std::max(session.seen, seen);
    if (!std::includes(rows.begin(), rows.end(), session.known.begin(), session.known.end()))
        this->breach("a session did not read what it had written or read before");
    session.known = rows;
    auto upTo = Instant::min();
    if (std::holds_alternative<PrimaryRead>(access))
        upTo = sentAt;
    else if (std::holds_alternative<BoundedRead>(access))
        upTo = this->clock - staleness;
    for (const auto& acknowledged : this->acks) {
        if (acknowledged.at <= upTo && !rows.contains(acknowledged.write)) {
            this->breach("a read was older than its bound");
            return;
        }
    }
}

void GroupWorld::notePromotion(std::size_t slotIndex, Term term)
{
    for (const auto& reign : this->reigns) {
        if (reign.term == term && reign.slot != slotIndex)
            this->breach("two slots were promoted in one term");
    }
    for (const auto& acknowledged : this->acks) {
        if (!this->slots[slotIndex].holds(acknowledged.write))
            this->breach("acknowledged write " + std::to_string(acknowledged.write) + " was lost");
    }
    if (term > this->reigns.back().term)
        this->reigns.push_back({ .term = term, .slot = slotIndex });
    this->replicateAll();
}

void GroupWorld::breach(std::string what)
{
    const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.time_since_epoch());
    this->breachList.push_back(std::to_string(millis.count()) + " ms: " + std::move(what));
}
