#include "../membership/vm_names.h"
#include "../virtual_events.h"

#include <cyclamendrift/core/random_source.h>
#include <cyclamendrift/membership/configuration_fetch.h>
#include <cyclamendrift/session_proxy/byte_budget.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t revision = 7;

/// VMs that get a configuration from each other, in virtual time. The first ones are store readers and have
/// it.
class SpreadingFleet {
public:
    struct Options {
        std::size_t vms = 300;
        std::size_t readers = 3;
        /// Bandwidths of links, in bytes per second.
        double readerLink = 25e6;
        double link = 1.25e6;
        std::size_t documentBytes = 64'000;
        /// Readers that tell of the configuration and never send it.
        std::set<std::size_t> silentReaders;
    };

    explicit SpreadingFleet(Options given)
        : options(std::move(given))
        , names(makeVmNames(options.vms))
        , fetches(options.vms)
        , random(1)
    {
        for (std::size_t vm = 0; vm < this->options.vms; ++vm) {
            this->index[this->names[vm]] = vm;
            this->budgets.emplace_back(this->linkOf(vm) * listingLinkFraction);
        }
        for (std::size_t vm = 0; vm < this->options.readers; ++vm)
            this->holds.insert(vm);
        for (auto vm = this->options.readers; vm < this->options.vms; ++vm) {
            const auto toldAfter = askInterval * static_cast<int>(vm) / static_cast<int>(this->options.vms);
            this->events.schedule(start + toldAfter, [this, vm] { this->hear(vm, vm); });
        }
    }

    /// Runs until every VM has the configuration, or for that long.
    void run(Duration limit) { this->events.runUntil(start + limit); }

    [[nodiscard]] std::size_t holders() const { return this->holds.size(); }

    Duration lastTakenAfter {};
    std::size_t requests = 0;

private:
    static constexpr Instant start { 100s };
    static constexpr Duration askInterval = 600ms;
    static constexpr Duration roundTrip = 3ms;
    static constexpr Duration timeLimit = 2000ms;
    static constexpr Duration retryPause = 50ms;
    static constexpr double listingLinkFraction = 0.25;

    [[nodiscard]] double linkOf(std::size_t vm) const
    {
        return vm < this->options.readers ? this->options.readerLink : this->options.link;
    }

    /// A VM asks a reader for its readings, another one each time, and learns of the configuration.
    void hear(std::size_t vm, std::size_t turn)
    {
        if (this->holds.contains(vm))
            return;
        auto& fetch = this->fetches[vm];
        const bool first = !fetch.isLacking();
        fetch.announced(this->names[turn % this->options.readers], revision, this->events.now());
        this->events.schedule(
            this->events.now() + askInterval, [this, vm, turn] { this->hear(vm, turn + 1); });
        if (first)
            this->step(vm);
    }

    void step(std::size_t vm)
    {
        if (!this->fetches[vm].isLacking())
            return;
        const auto sibling = this->fetches[vm].next(this->events.now());
        if (!sibling)
            return this->events.schedule(this->events.now() + retryPause, [this, vm] { this->step(vm); });
        ++this->requests;
        this->request(vm, this->index.at(*sibling));
    }

    void request(std::size_t vm, std::size_t sibling)
    {
        if (this->options.silentReaders.contains(sibling)) {
            return this->events.schedule(this->events.now() + timeLimit, [this, vm, sibling] {
                this->fetches[vm].failed(this->names[sibling], this->events.now());
                this->step(vm);
            });
        }
        const bool has = this->holds.contains(sibling);
        if (has && this->budgets[sibling].take(this->options.documentBytes, this->events.now())) {
            const std::chrono::duration<double> transfer { static_cast<double>(this->options.documentBytes)
                / std::min(this->linkOf(vm), this->linkOf(sibling)) };
            this->sentTo[sibling].push_back(vm);
            return this->events.schedule(
                this->events.now() + roundTrip + std::chrono::duration_cast<Duration>(transfer), [this, vm] {
                    this->fetches[vm].taken(revision);
                    this->holds.insert(vm);
                    this->lastTakenAfter = this->events.now() - start;
                });
        }
        std::vector<VmName> named;
        if (has) {
            const auto& sent = this->sentTo[sibling];
            std::vector<std::size_t> chosen;
            std::sample(sent.begin(), sent.end(), std::back_inserter(chosen), 3, this->random);
            for (const auto holder : chosen)
                named.push_back(this->names[holder]);
        }
        this->events.schedule(this->events.now() + roundTrip, [this, vm, sibling, named] {
            this->fetches[vm].busy(this->names[sibling], named, this->events.now());
            this->step(vm);
        });
    }

    Options options;
    std::vector<VmName> names;
    std::map<VmName, std::size_t> index;
    std::vector<ConfigurationFetch> fetches;
    std::vector<ByteBudget> budgets;
    std::set<std::size_t> holds;
    std::map<std::size_t, std::vector<std::size_t>> sentTo;
    RandomSource random;
    VirtualEvents events { start };
};

} // namespace

TEST_SUITE("configuration fetch")
{
    TEST_CASE("a large configuration reaches a fleet of any size within three seconds")
    {
        // Guards against a document whose spread is bounded by the links of the store readers.
        const std::vector<SpreadingFleet::Options> fleets {
            { .vms = 81, .readers = 1 },
            { .vms = 300, .readers = 3 },
            { .vms = 985, .readers = 8 },
            { .vms = 2000, .readers = 16 },
            { .vms = 300, .readers = 3, .readerLink = 1.25e6 },
        };
        for (const auto& fleet : fleets) {
            CAPTURE(fleet.vms);
            CAPTURE(fleet.readerLink);
            SpreadingFleet spread { fleet };
            spread.run(10s);
            CHECK(spread.holders() == fleet.vms);
            CHECK(spread.lastTakenAfter < 3s);
            CHECK(spread.requests <= 30 * fleet.vms);
        }
    }

    TEST_CASE("a configuration spreads although a store reader does not send it")
    {
        // Guards against VMs that depend on the one sibling that told them of a configuration.
        SpreadingFleet spread { { .vms = 300, .readers = 3, .silentReaders = { 1 } } };
        spread.run(10s);
        CHECK(spread.holders() == 300);
    }

    TEST_CASE("a VM goes on to the siblings that a busy one has named, and comes back to it")
    {
        // Guards against requests that all go to the VM which has no capacity for them.
        const VmName reader { "reader" };
        const VmName holder { "holder" };
        const std::vector<VmName> holders { holder };
        ConfigurationFetch fetch;
        Instant now { 100s };
        fetch.announced(reader, revision, now);
        CHECK(fetch.next(now) == reader);
        fetch.busy(reader, holders, now);
        CHECK(fetch.next(now) == holder);
        fetch.failed(holder, now);
        CHECK_FALSE(fetch.next(now));
        now += 200ms;
        CHECK(fetch.next(now) == reader);
        fetch.taken(revision);
        CHECK_FALSE(fetch.isLacking());
        CHECK_FALSE(fetch.next(now));
    }

    TEST_CASE("the time for which a configuration is lacking counts from the first one that was missed")
    {
        // Guards against a VM that is never found to be behind while configurations follow each other.
        ConfigurationFetch fetch;
        const Instant start { 100s };
        fetch.taken(3);
        fetch.announced(VmName { "reader" }, 2, start);
        CHECK_FALSE(fetch.isLacking());
        fetch.announced(VmName { "reader" }, 4, start);
        fetch.announced(VmName { "reader" }, 5, start + 1s);
        CHECK(fetch.lackingSince() == start);
        fetch.taken(4);
        CHECK(fetch.isLacking());
        CHECK(fetch.knownRevision() == 5);
        fetch.taken(5);
        CHECK(fetch.lackingSince() == Instant::max());
    }
}
