#include "../virtual_events.h"
#include "vm_names.h"

#include <cyclamendrift/membership/fleet_join.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t vmsPerReader = 128;

/// VMs that start, the store's roster and the store readers, in virtual time. Every twentieth VM is strong.
class JoiningFleet {
public:
    struct Options {
        std::size_t vms = 1000;
        /// The roster that the store has already; empty on the first start of a system.
        std::vector<std::size_t> roster;
        /// VMs of the roster that are not reachable.
        std::set<std::size_t> unreachable;
        /// VMs that have the lists already and do not start.
        std::set<std::size_t> running;
        /// VMs that start and that the store does not answer, while it answers the others.
        std::set<std::size_t> withoutStore;
        Duration storeSilentFor {};
        /// Age of what the store answers to a read that may lag.
        Duration storeLag {};
    };

    explicit JoiningFleet(Options given)
        : options(std::move(given))
        , names(makeVmNames(options.vms))
    {
        for (std::size_t vm = 0; vm < this->options.vms; ++vm)
            this->index[this->names[vm]] = vm;
        if (!this->options.roster.empty()) {
            this->setRoster(this->options.roster);
            this->history.front().first = Instant {};
        }
        for (const auto vm : this->options.running)
            this->servesFrom[vm] = start;
        for (std::size_t vm = 0; vm < this->options.vms; ++vm) {
            if (this->options.running.contains(vm) || this->options.unreachable.contains(vm))
                continue;
            this->joins.emplace(
                vm, FleetJoin { { .self = this->names[vm], .cores = isStrong(vm) ? 1 : 0.12, .seed = vm } });
            this->events.schedule(start, [this, vm] { this->step(vm); });
        }
    }

    void runUntilJoined(Duration limit) { this->events.runUntil(start + limit); }

    [[nodiscard]] std::size_t starting() const { return this->joins.size(); }
    [[nodiscard]] std::size_t mostWritesOfOneVm() const
    {
        std::size_t most = 0;
        for (const auto& [vm, writes] : this->writesOf)
            most = std::max(most, writes);
        return most;
    }

    std::size_t joined = 0;
    Duration lastJoinedAfter {};
    /// VMs that read the lists from the store.
    std::set<std::size_t> listReaders;
    std::size_t rosterReads = 0;
    std::size_t rosterWrites = 0;
    std::size_t readerQuestions = 0;

private:
    static constexpr Instant start { 100s };
    static constexpr Duration storeAnswer = 4ms;
    static constexpr Duration storeTimeout = 700ms;
    static constexpr Duration siblingAnswer = 3ms;
    static constexpr Duration siblingTimeout = 120ms;
    /// Time in which a reader reads all lists.
    static constexpr Duration listTime = 150ms;
    /// Time after which a reader has seen the records of the other VMs and updates the roster.
    static constexpr Duration rosterUpdateDelay = 1500ms;

    static bool isStrong(std::size_t vm) { return vm % 20 == 0; }

    void setRoster(const std::vector<std::size_t>& vms)
    {
        this->roster.vms.clear();
        for (const auto vm : vms)
            this->roster.vms.push_back(this->names[vm]);
        this->roster.readers = std::min(vms.size(), 1 + this->options.vms / vmsPerReader);
        this->recordRoster();
    }

    void recordRoster()
    {
        ++this->roster.revision;
        this->history.emplace_back(this->events.now(), this->roster);
    }

    /// The roster as the store answers it to a read.
    [[nodiscard]] ReaderRoster rosterSeen(Duration lag) const
    {
        ReaderRoster seen;
        for (const auto& [at, written] : this->history) {
            if (at <= this->events.now() - lag)
                seen = written;
        }
        return seen;
    }

    void step(std::size_t vm)
    {
        auto& join = this->joins.at(vm);
        const auto next = join.next(this->events.now());
        const auto again = [this, vm] { this->step(vm); };
        if (const auto* done = std::get_if<FleetJoin::Joined>(&next)) {
            ++this->joined;
            this->lastJoinedAfter = this->events.now() - start;
            // A VM that got the lists can send them to others.
            this->servesFrom.try_emplace(vm, this->events.now());
            if (done->asReader)
                this->becomeReader(vm);
        } else if (const auto* wait = std::get_if<FleetJoin::Wait>(&next)) {
            this->events.schedule(wait->until, again);
        } else if (const auto* ask = std::get_if<FleetJoin::AskReader>(&next)) {
            this->ask(vm, ask->reader);
        } else {
            this->callStore(vm, next);
        }
    }

    void callStore(std::size_t vm, const FleetJoin::Step& step)
    {
        const auto* write = std::get_if<FleetJoin::WriteRoster>(&step);
        ++(write != nullptr ? this->rosterWrites : this->rosterReads);
        if (write != nullptr)
            ++this->writesOf[vm];
        if (this->events.now() < start + this->options.storeSilentFor
            || this->options.withoutStore.contains(vm)) {
            this->events.schedule(this->events.now() + storeTimeout, [this, vm] {
                this->joins.at(vm).attemptFailed(this->events.now());
                this->step(vm);
            });
            return;
        }
        if (write != nullptr && write->expectedRevision == this->roster.revision) {
            std::erase(this->roster.vms, this->names[vm]);
            this->roster.vms.insert(this->roster.vms.begin(), this->names[vm]);
            this->roster.readers = 1 + write->readersKept;
            this->recordRoster();
        }
        const auto* read = std::get_if<FleetJoin::ReadRoster>(&step);
        const bool reads = read != nullptr;
        const auto lag = reads && !read->mayLag ? Duration {} : this->options.storeLag;
        this->events.schedule(
            this->events.now() + storeAnswer, [this, vm, reads, seen = this->rosterSeen(lag)] {
                if (reads)
                    this->joins.at(vm).rosterRead(seen, this->events.now());
                else
                    this->joins.at(vm).rosterWritten(this->events.now());
                this->step(vm);
            });
    }

    void ask(std::size_t vm, const VmName& reader)
    {
        ++this->readerQuestions;
        const auto asked = this->index.at(reader);
        const bool reachable = !this->options.unreachable.contains(asked);
        const auto serves = this->servesFrom.find(asked);
        const auto answer = !reachable ? FleetJoin::Answer::None
            : serves != this->servesFrom.end() && this->events.now() >= serves->second
            ? FleetJoin::Answer::Lists
            : FleetJoin::Answer::NotYet;
        this->events.schedule(
            this->events.now() + (reachable ? siblingAnswer : siblingTimeout), [this, vm, reader, answer] {
                this->joins.at(vm).readerAnswered(reader, answer);
                this->step(vm);
            });
    }

    void becomeReader(std::size_t vm)
    {
        this->listReaders.insert(vm);
        this->servesFrom[vm] = this->events.now() + listTime;
        this->events.schedule(this->events.now() + rosterUpdateDelay, [this] {
            std::vector<std::size_t> ranked;
            for (std::size_t other = 0; other < this->options.vms; ++other) {
                if (!this->options.unreachable.contains(other))
                    ranked.push_back(other);
            }
            std::stable_partition(ranked.begin(), ranked.end(), isStrong);
            ranked.resize(std::min(ranked.size(), 2 * (1 + this->options.vms / vmsPerReader) + 1));
            this->setRoster(ranked);
        });
    }

    Options options;
    std::vector<VmName> names;
    std::map<VmName, std::size_t> index;
    std::map<std::size_t, FleetJoin> joins;
    ReaderRoster roster;
    /// Each roster that was written, and when.
    std::vector<std::pair<Instant, ReaderRoster>> history;
    std::map<std::size_t, std::size_t> writesOf;
    /// Since when a VM can send the lists to others.
    std::map<std::size_t, Instant> servesFrom;
    VirtualEvents events { start };
};

std::set<std::size_t> range(std::size_t begin, std::size_t end)
{
    std::set<std::size_t> result;
    for (auto value = begin; value < end; ++value)
        result.insert(value);
    return result;
}

std::vector<std::size_t> firstStrong(std::size_t count)
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < count; ++index)
        result.push_back(index * 20);
    return result;
}

} // namespace

TEST_SUITE("start of a fleet")
{
    TEST_CASE("a fleet that starts for the first time joins with few calls and few readers of the lists")
    {
        // Guards against VMs that read lists of the whole fleet because they know no sibling yet: a thousand
        // such reads fill the store's link, time out and are made again.
        for (const std::size_t vms : { 300, 1000, 2000 }) {
            CAPTURE(vms);
            JoiningFleet fleet { { .vms = vms } };
            fleet.runUntilJoined(10s);
            CHECK(fleet.joined == fleet.starting());
            CHECK(fleet.lastJoinedAfter < 3s);
            CHECK(fleet.listReaders.size() <= 2);
            CHECK(fleet.rosterWrites <= vms / 20);
            CHECK(fleet.rosterReads <= 8 * vms);
            CHECK(fleet.readerQuestions <= 8 * vms);
        }
    }

    TEST_CASE("on a first start no VM writes the roster twice although cheap reads of the store lag")
    {
        // Guards against VMs that write the roster again and again until a read shows what they have written.
        for (const std::size_t vms : { 6, 81, 300 }) {
            CAPTURE(vms);
            JoiningFleet fleet { { .vms = vms, .storeLag = 150ms } };
            fleet.runUntilJoined(10s);
            CHECK(fleet.joined == fleet.starting());
            CHECK(fleet.lastJoinedAfter < 3s);
            CHECK(fleet.mostWritesOfOneVm() == 1);
        }
    }

    TEST_CASE("a small fleet that starts for the first time joins within a second")
    {
        // Guards against pauses that are meant for large fleets and delay small ones.
        JoiningFleet fleet { { .vms = 8 } };
        fleet.runUntilJoined(10s);
        CHECK(fleet.joined == 8);
        CHECK(fleet.lastJoinedAfter < 1s);
    }

    TEST_CASE("half of a fleet that restarts is served by the readers that kept running")
    {
        // Guards against restarted VMs that read the lists themselves when some of the readers restart too.
        const auto roster = firstStrong(17);
        auto running = range(0, 1000);
        for (std::size_t vm = 0; vm < 1000; ++vm) {
            // Every other strong VM restarts, and with them the half of all VMs.
            if (vm % 2 == 1 || vm % 40 == 0)
                running.erase(vm);
        }
        JoiningFleet fleet { { .vms = 1000, .roster = roster, .running = running } };
        fleet.runUntilJoined(10s);
        CHECK(fleet.joined == fleet.starting());
        CHECK(fleet.lastJoinedAfter < 1s);
        CHECK(fleet.listReaders.size() <= 8);
        CHECK(fleet.rosterWrites == 0);
        CHECK(fleet.rosterReads <= 4 * fleet.starting());
    }

    TEST_CASE("a fleet whose VMs all restart is served by the readers of the roster")
    {
        // Guards against a start that waits for a reader that ran before, or that writes the roster again.
        JoiningFleet fleet { { .vms = 1000, .roster = firstStrong(17) } };
        fleet.runUntilJoined(10s);
        CHECK(fleet.joined == 1000);
        CHECK(fleet.lastJoinedAfter < 2s);
        CHECK(fleet.listReaders.size() == 8);
        CHECK(fleet.rosterWrites == 0);
    }

    TEST_CASE("one VM becomes a store reader when no VM of the roster can be reached")
    {
        // Guards against a fleet that waits for readers that are gone, and against all VMs taking their
        // place.
        const auto roster = firstStrong(17);
        JoiningFleet fleet {
            { .vms = 1000, .roster = roster, .unreachable = { roster.begin(), roster.end() } }
        };
        fleet.runUntilJoined(20s);
        CHECK(fleet.joined == fleet.starting());
        CHECK(fleet.lastJoinedAfter < 6s);
        CHECK(fleet.listReaders.size() <= 2);
    }

    TEST_CASE("a fleet whose VMs all start replaces store readers that are gone")
    {
        // Guards against VMs that wait for each other: the readers of the roster do not answer, and their
        // standbys, which start as well, have no lists yet.
        struct Case {
            std::size_t vms;
            std::vector<std::size_t> roster;
            std::set<std::size_t> gone;
        };
        const std::vector<Case> cases {
            { .vms = 6, .roster = { 0, 1, 2 }, .gone = { 0 } },
            { .vms = 81, .roster = { 0, 20, 40 }, .gone = { 0 } },
            { .vms = 81, .roster = { 0, 20, 40 }, .gone = { 0, 40 } },
            { .vms = 300, .roster = firstStrong(7), .gone = { 0, 20, 40 } },
            { .vms = 1000, .roster = firstStrong(17), .gone = { 0, 20, 40, 60, 80, 100, 120, 140 } },
        };
        for (const auto& fault : cases) {
            CAPTURE(fault.vms);
            JoiningFleet fleet { { .vms = fault.vms, .roster = fault.roster, .unreachable = fault.gone } };
            fleet.runUntilJoined(20s);
            CHECK(fleet.joined == fleet.starting());
            CHECK(fleet.lastJoinedAfter < 6s);
            CHECK(fleet.listReaders.size() <= 2);
        }
    }

    TEST_CASE("a fleet whose VMs all start replaces a store reader that the store refuses")
    {
        // Guards against VMs that wait for the lists of a reader for as long as the store does not answer it.
        for (const std::size_t vms : { 6, 81 }) {
            CAPTURE(vms);
            JoiningFleet fleet { { .vms = vms, .roster = { 0, 1, 2 }, .withoutStore = { 0 } } };
            fleet.runUntilJoined(20s);
            CHECK(fleet.joined == fleet.starting() - 1);
            CHECK(fleet.lastJoinedAfter < 6s);
            CHECK(fleet.listReaders.size() <= 2);
        }
    }

    TEST_CASE("a VM that starts is served by a standby while the reader cannot reach the store")
    {
        // Guards against VMs that ask no other VM of the roster once one has said that it has no lists yet.
        JoiningFleet fleet {
            { .vms = 6, .roster = { 0, 1, 2 }, .running = range(1, 5), .withoutStore = { 0 } }
        };
        fleet.runUntilJoined(20s);
        CHECK(fleet.joined >= 1);
        CHECK(fleet.lastJoinedAfter < 1s);
        CHECK(fleet.rosterWrites == 0);
    }

    TEST_CASE("a fleet that starts while the store is silent joins after its return with bounded calls")
    {
        // Guards against calls that are repeated at full rate by every VM, so that the store cannot recover.
        JoiningFleet fleet { { .vms = 1000, .storeSilentFor = 5s } };
        fleet.runUntilJoined(20s);
        CHECK(fleet.joined == 1000);
        CHECK(fleet.lastJoinedAfter < 10s);
        CHECK(fleet.listReaders.size() <= 2);
        CHECK(fleet.rosterReads <= 14 * 1000);
    }

    TEST_CASE(
        "a VM whose reader has no lists yet becomes a reader beside it, and not before the reader had time")
    {
        // Guards against a second reader that replaces one which is about to have the lists, and against a
        // wait without end for one that never gets them.
        const FleetJoinSettings settings;
        FleetJoin join { { .self = VmName { "vm-1" } } };
        const ReaderRoster roster { .vms = { VmName { "vm-0" } }, .readers = 1, .revision = 7 };
        const Instant start { 100s };
        std::optional<FleetJoin::WriteRoster> written;
        Instant now = start;
        for (; !written && now < start + 20s; now += 50ms) {
            const auto step = join.next(now);
            if (std::holds_alternative<FleetJoin::ReadRoster>(step))
                join.rosterRead(roster, now);
            else if (const auto* ask = std::get_if<FleetJoin::AskReader>(&step))
                join.readerAnswered(ask->reader, FleetJoin::Answer::NotYet);
            else if (const auto* write = std::get_if<FleetJoin::WriteRoster>(&step))
                written = *write;
        }
        REQUIRE(written);
        CHECK(now >= start + settings.maxReaderDelay);
        CHECK(now <= start + 2 * settings.maxReaderDelay + settings.maxPause + 100ms);
        CHECK(written->expectedRevision == 7);
        CHECK(written->readersKept == 1);
    }
}
