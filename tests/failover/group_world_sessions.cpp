#include "group_world.h"

#include <cyclamendrift/sessions/primary_read.h>

#include <algorithm>
#include <utility>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Duration pollInterval = 2ms;
constexpr Duration requestDeadline = 8s;
constexpr Duration confirmationDeadline = 3s;
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

void GroupWorld::writeLoop()
{
    const auto session = this->random() % this->sessions.size();
    const auto home = this->random() % this->options.homes;
    if (this->workload && this->proxies[home].alive && !this->sessions[session].busy) {
        this->sessions[session].busy = true;
        this->sessions[session].home = home;
        this->atProxy(home, [this, home, session] { this->write(home, session); });
    }
    this->at(this->clock + this->options.writeInterval, [this] { this->writeLoop(); });
}

void GroupWorld::readLoop()
{
    const auto session = this->random() % this->sessions.size();
    const auto home = this->random() % this->options.homes;
    if (this->workload && this->proxies[home].alive && !this->sessions[session].busy) {
        this->sessions[session].busy = true;
        this->sessions[session].home = home;
        const std::array<Access, 4> kinds { SessionRead {}, SessionRead {}, BoundedRead { staleness },
            PrimaryRead {} };
        const auto access = kinds[this->random() % kinds.size()];
        this->atProxy(
            home, [this, home, session, access] { this->read(home, session, access, this->clock); });
    }
    this->at(this->clock + this->options.readInterval, [this] { this->readLoop(); });
}

void GroupWorld::poll(std::size_t proxyIndex, ConfirmationTicket ticket)
{
    if (!this->proxies[proxyIndex].waiting.contains(ticket))
        return;
    this->pollReplicas(proxyIndex);
    this->at(this->clock + pollInterval, [this, proxyIndex, ticket] {
        this->atProxy(proxyIndex, [this, proxyIndex, ticket] { this->poll(proxyIndex, ticket); });
    });
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
    this->poll(proxyIndex, ticket);
}

void GroupWorld::write(std::size_t proxyIndex, std::size_t sessionIndex)
{
    this->writeUntil(proxyIndex, sessionIndex, this->clock, this->clock + requestDeadline);
}

void GroupWorld::writeUntil(
    std::size_t proxyIndex, std::size_t sessionIndex, Instant sentAt, Instant deadline)
{
    auto& proxy = this->proxies[proxyIndex];
    const auto again = [this, proxyIndex, sessionIndex, sentAt, deadline] {
        this->writeUntil(proxyIndex, sessionIndex, sentAt, deadline);
    };
    if (this->clock >= deadline) {
        this->sessions[sessionIndex].busy = false;
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
        [this, proxyIndex, sessionIndex, write, sentAt, again](
            const std::optional<StatusSample>& sample, bool done) {
            if (!sample) {
                this->sessions[sessionIndex].busy = false;
                return;
            }
            this->observe(proxyIndex, *sample);
            if (!done) {
                this->at(this->clock + 50ms, [this, proxyIndex, again] { this->atProxy(proxyIndex, again); });
                return;
            }
            const auto progress = sample->status.progress;
            const auto until = this->clock + confirmationDeadline;
            this->awaitConfirmation(proxyIndex, { .progress = progress, .deadline = until },
                { .onConfirmed
                    = [this, sessionIndex, write, sentAt,
                          progress] { this->noteAcknowledged(sessionIndex, write, sentAt, progress); },
                    .onGivenUp = [this, sessionIndex] { this->sessions[sessionIndex].busy = false; } });
        });
}

void GroupWorld::read(std::size_t proxyIndex, std::size_t sessionIndex, const Access& access, Instant begunAt)
{
    const ReplicaTracker::Request request {
        .access = access, .seen = this->sessions[sessionIndex].seen, .arrivedAt = begunAt
    };
    auto& tracker = *this->proxies[proxyIndex].tracker;
    auto choice = tracker.choose(request, this->clock, this->random);
    if (this->options.readsFromPrimaryOnly)
        choice = tracker.choose({ .access = PrimaryRead {}, .seen = request.seen, .arrivedAt = begunAt },
            this->clock, this->random);
    const auto again = [this, proxyIndex, sessionIndex, access, begunAt] {
        this->read(proxyIndex, sessionIndex, access, begunAt);
    };
    if (this->clock - begunAt >= requestDeadline) {
        this->sessions[sessionIndex].busy = false;
    } else if (const auto* replica = std::get_if<ReadFromReplica>(&choice)) {
        this->readAt(proxyIndex, sessionIndex, request, replica->slot, false);
    } else if (const auto* primary = std::get_if<UsePrimary>(&choice)) {
        this->readAt(proxyIndex, sessionIndex, request, primary->slot, true);
    } else if (std::holds_alternative<WaitForReplica>(choice)) {
        this->pollReplicas(proxyIndex);
        this->at(this->clock + 1ms, [this, proxyIndex, again] { this->atProxy(proxyIndex, again); });
    } else {
        this->at(this->clock + 50ms, [this, proxyIndex, again] { this->atProxy(proxyIndex, again); });
    }
}

void GroupWorld::readAt(std::size_t proxyIndex, std::size_t sessionIndex,
    const ReplicaTracker::Request& request, const SlotName& name, bool onPrimary)
{
    const auto sentAt = this->clock;
    const auto rows = std::make_shared<std::set<std::uint64_t>>();
    const auto before = std::make_shared<SlotStatus>();
    const auto fail = [this, sessionIndex] { this->sessions[sessionIndex].busy = false; };
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
                this->noteRead(sessionIndex, request.access, sentAt, *rows, progress);
            };
            if (onPrimary && progress >= request.seen) {
                this->awaitConfirmation(proxyIndex,
                    confirmationOfPrimaryRead(
                        request.access, progress, sentAt, sentAt + confirmationDeadline),
                    { .onConfirmed = done, .onGivenUp = fail });
            } else if (!onPrimary
                && this->proxies[proxyIndex].tracker->proves(request, *before, sample->status, this->clock)) {
                done();
            } else {
                this->at(this->clock + 1ms, [=, this] {
                    this->atProxy(proxyIndex, [=, this] {
                        this->read(proxyIndex, sessionIndex, request.access, request.arrivedAt);
                    });
                });
            }
        });
}

// The account

void GroupWorld::noteAcknowledged(
    std::size_t sessionIndex, std::uint64_t write, Instant sentAt, Progress progress)
{
    auto& session = this->sessions[sessionIndex];
    session.busy = false;
    session.seen = std::max(session.seen, progress);
    session.known.insert(write);
    this->acks.push_back({ .write = write, .sentAt = sentAt, .at = this->clock });
    if (!this->slots[this->primaryIndex()].holds(write))
        this->breach(
            "write " + std::to_string(write) + " was acknowledged although a later primary lacks it");
}

void GroupWorld::noteRead(std::size_t sessionIndex, const Access& access, Instant sentAt,
    const std::set<std::uint64_t>& rows, Progress seen)
{
    auto& session = this->sessions[sessionIndex];
    session.busy = false;
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
