#include <cyclamendrift/leadership/confirmation_throttle.h>
#include <cyclamendrift/leadership/leader_coordinator.h>
#include <cyclamendrift/leadership/reading_time.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <variant>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

constexpr Instant start { 1000s };

/// A VM that reads the store itself and has just read that "primary" leads.
LeaderCoordinator makeReader(Duration expectedMaxAge, const VmName& holder = VmName { "vm-1" })
{
    LeaderCoordinator coordinator { { .vm = VmName { "vm-0" } } };
    UpstreamDirectory directory;
    for (const auto* name : { "primary", "replica-1", "replica-2" })
        directory.push_back({ .name = UpstreamName { name }, .maxConcurrency = 4 });
    coordinator.onDirectory(directory, start);
    LeadershipSnapshot snapshot;
    snapshot.record = LeadershipRecord { .term = Term { 1 },
        .primary = UpstreamName { "primary" },
        .claimedTerm = Term { 1 },
        .author = holder,
        .changeId = "first" };
    snapshot.recordRevision = 20;
    snapshot.coordinatorLease = CoordinatorLease { .holder = holder, .token = 15, .revision = 15 };
    snapshot.askedAt = start;
    snapshot.expectedMaxAge = expectedMaxAge;
    coordinator.onSnapshot(snapshot, start);
    return coordinator;
}

bool asksReplicas(LeaderCoordinator& coordinator, Instant now)
{
    const auto actions = coordinator.tick(now);
    return std::any_of(actions.begin(), actions.end(), [](const LeadershipAction& action) {
        const auto* asked = std::get_if<AskStatus>(&action);
        return asked != nullptr && asked->upstream != UpstreamName { "primary" };
    });
}

} // namespace

TEST_SUITE("time of readings of the leadership records")
{
    TEST_CASE("readings that take long as usual do not make a reader ask the replicas of all services")
    {
        // The load: the records of 900 services take several calls to the store, so each reading is half a
        // second old before the next one arrives. Status requests to 1,800 replicas every 200 ms kept the
        // readers from answering their siblings, and all views in the fleet expired.
        auto coordinator = makeReader(500ms);
        CHECK_FALSE(asksReplicas(coordinator, start + 450ms));
        CHECK(asksReplicas(coordinator, start + 550ms));
    }

    TEST_CASE(
        "a reader asks the replicas of 1,400 services at a bounded rate and watches primaries all the same")
    {
        // The load: readings of the records of 1,400 services are always too old, so 2,800 replicas are due
        // every 200 ms. The reader is also the coordinator of one service.
        constexpr int services = 1400;
        std::vector<LeaderCoordinator> coordinators;
        for (int service = 1; service < services; ++service)
            coordinators.push_back(makeReader({}));
        coordinators.push_back(makeReader({}, VmName { "vm-0" }));
        coordinators.back().setVmLeaseExpiry(start + 10s);
        const UpstreamName primary { "primary" };
        ConfirmationThrottle throttle;
        int confirmations = 0;
        int watched = 0;
        for (auto now = start + 500ms; now < start + 1500ms; now += 50ms) {
            for (auto& coordinator : coordinators) {
                for (const auto& action : coordinator.tick(now)) {
                    const auto* asked = std::get_if<AskStatus>(&action);
                    if (asked == nullptr || !throttle.allow(*asked, now))
                        continue;
                    (asked->upstream == primary ? watched : confirmations) += 1;
                }
            }
        }
        CHECK(confirmations > 0);
        CHECK(confirmations <= ConfirmationThrottle::requestsPerSecond + ConfirmationThrottle::burst);
        CHECK(watched > 0);
    }

    TEST_CASE("replicas are asked while the view is still valid, however long readings take")
    {
        // Guards against views that expire in an outage of the store because readings were slow before it.
        auto coordinator = makeReader(5s);
        CHECK_FALSE(asksReplicas(coordinator, start + 700ms));
        REQUIRE(coordinator.view().isValid(start + 760ms));
        CHECK(asksReplicas(coordinator, start + 760ms));
    }

    TEST_CASE("without an expectation replicas are asked as early as before")
    {
        auto coordinator = makeReader({});
        CHECK_FALSE(asksReplicas(coordinator, start + 390ms));
        CHECK(asksReplicas(coordinator, start + 410ms));
    }

    TEST_CASE("the expected age follows the time that readings take, upwards at once and downwards slowly")
    {
        ReadingTime time;
        CHECK(time.expectedMaxAge(300ms) == Duration {});
        time.record(-5ms);
        CHECK(time.expectedMaxAge(300ms) == Duration {});
        time.record(20ms);
        CHECK(time.expectedMaxAge(300ms) == 330ms);
        time.record(200ms);
        CHECK(time.expectedMaxAge(300ms) == 600ms);
        time.record(20ms);
        CHECK(time.expectedMaxAge(300ms) > 400ms);
        for (int readings = 0; readings < 30; ++readings)
            time.record(20ms);
        CHECK(time.expectedMaxAge(300ms) < 340ms);
        // Readings that take longer than the interval follow each other without a pause.
        time.record(400ms);
        CHECK(time.expectedMaxAge(300ms) == 1000ms);
    }
}
