#include "leadership_simulation.h"

#include <property.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

// From now on the directory lists the upstream as draining.
void markDraining(LeadershipSimulation& simulation, const std::string& leaving)
{
    UpstreamDirectory directory;
    for (const auto* name : { "primary", "replica-1", "replica-2" }) {
        directory.push_back(simulation.member(name).entry);
        directory.back().draining = name == leaving;
    }
    for (std::size_t index = 0; index < 3; ++index)
        simulation.vm(index).coordinator.onDirectory(directory, simulation.now);
}

// Replicas lag, restart and answer late, promotions take effect late, VMs freeze and cannot reach the store.
void runWithLaggingReplicas(LeadershipSimulation& simulation, std::uint64_t seed)
{
    std::mt19937_64 random { seed };
    const auto randomUpTo = [&random](int highest) {
        return std::uniform_int_distribution<int> { 0, highest }(random);
    };
    const auto replica = [&randomUpTo] { return "replica-" + std::to_string(1 + randomUpTo(1)); };
    simulation.writesPerLostAnswer = 4;
    simulation.maxAnswerTime = 120ms;
    simulation.advance(3s);
    for (int round = 0; round < 12; ++round) {
        auto& vm = simulation.vm(static_cast<std::size_t>(randomUpTo(2)));
        const std::chrono::milliseconds time { 200 + randomUpTo(4000) };
        switch (randomUpTo(5)) {
        case 0:
            simulation.member(replica()).lag = time;
            break;
        case 1:
            vm.storeUnreachableUntil = simulation.now + 2 * time;
            break;
        case 2:
            vm.frozenUntil = simulation.now + time;
            break;
        case 3:
            if (const auto* leader = simulation.leader()) {
                auto& member = simulation.member(leader->entry.name.string());
                member.running = false;
                simulation.advance(time);
                member.running = true;
                const auto* newest = simulation.leader();
                if (newest != nullptr && newest->term > member.term)
                    member.primary = false;
            }
            break;
        case 4:
            simulation.restart(replica());
            break;
        default:
            simulation.maxPromotionTime = std::chrono::milliseconds { 30 + randomUpTo(2500) };
        }
        simulation.advance(std::chrono::milliseconds { randomUpTo(1500) });
    }
    simulation.advance(25s);
}

// The first VM replaces the primary and has started to promote replica-1.
void promoteFirstReplica(LeadershipSimulation& simulation)
{
    simulation.member("primary").running = false;
    REQUIRE(simulation.advanceUntil(4s, [&] { return simulation.logged("primary_chosen") == 1; }));
    REQUIRE(simulation.logged("primary_replaced") == 0);
}

/// Directory entries of these upstreams.
UpstreamDirectory directoryOf(LeadershipSimulation& simulation, const std::vector<std::string>& names)
{
    UpstreamDirectory directory;
    for (const auto& name : names)
        directory.push_back(simulation.member(name).entry);
    return directory;
}

// The highest number of primaries that VMs could act on at one moment of that time.
std::size_t maxPrimariesInUse(LeadershipSimulation& simulation, Duration time)
{
    std::size_t highest = 0;
    for (const auto end = simulation.now + time; simulation.now < end;) {
        simulation.advance(10ms);
        highest = std::max(highest, simulation.primariesInUse().size());
    }
    return highest;
}

// The last VM cannot reach the store, and a replica that learns late of a new term confirms its view.
void keepOldViewOnLastVm(LeadershipSimulation& simulation)
{
    simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
    simulation.member("replica-2").lag = 5s;
}

} // namespace

TEST_SUITE("leadership of a group")
{
    TEST_CASE("a new system adopts the existing primary and promotes no replica")
    {
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.advance(10s);
        CHECK(simulation.promotions() == 0);
        CHECK(simulation.allFollowLeader());
    }

    TEST_CASE("a failed primary is replaced by the replica that has received most")
    {
        // Guards against losing commits: one replica lags, and promoting it would lose what the other has
        // received.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("replica-1").pausedBelowTerm = 2;
        simulation.advance(500ms);
        simulation.member("replica-1").pausedBelowTerm = 0;
        simulation.member("primary").running = false;
        simulation.member("replica-1").received = 50;
        const auto gap = simulation.advanceUntil(6s, [&] { return simulation.allFollowLeader(); });
        REQUIRE(gap);
        CHECK(*gap < 4s);
        CHECK(simulation.leader()->entry.name == UpstreamName { "replica-2" });
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a draining primary is replaced without losing writes")
    {
        // Guards against losing writes when a running primary is taken out of service.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        markDraining(simulation, "primary");
        REQUIRE(simulation.advanceUntil(6s, [&] {
            return simulation.allFollowLeader()
                && simulation.leader()->entry.name != UpstreamName { "primary" };
        }));
        CHECK_FALSE(simulation.member("primary").primary);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a coordinator that alone cannot reach the primary releases its lease instead of replacing it")
    {
        // Guards against a promotion that interrupts everybody because a single VM cannot reach the primary.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.vm(0).unreachableUpstreams = { UpstreamName { "primary" } };
        simulation.advance(6s);
        CHECK(simulation.promotions() == 0);
        CHECK(simulation.member("primary").primary);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("replicas renew views while the store is unreachable, and writes continue")
    {
        // Guards against an interruption of writes while the store cannot be reached. No VM can claim a term
        // then, so the primary stays the leader.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.storeDown = true;
        simulation.advance(2s);
        CHECK(simulation.allFollowLeader());
        simulation.advance(7s);
        CHECK(simulation.allFollowLeader());
        simulation.storeDown = false;
        awaitLeader(simulation);
        CHECK(simulation.promotions() == 0);
    }

    TEST_CASE("the view of a VM that cannot reach the store expires when replicas are paused")
    {
        // The VM cannot reach the store while the others replace the primary, which this VM still reaches.
        // Guards against acknowledging writes there that the new primary does not have.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        for (std::size_t index = 0; index < 2; ++index)
            simulation.vm(index).unreachableUpstreams = { UpstreamName { "primary" } };
        // The primary cannot reach the replicas either, so their logs do not grow.
        simulation.member("replica-1").pausedBelowTerm = 1;
        simulation.member("primary").running = true;
        simulation.advance(1s);
        CHECK(simulation.violations.empty());
        simulation.advance(10s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("the log shows when replicas renew a view and when it expires")
    {
        // Guards against a failover whose log does not tell what the validity of a VM's view relied on.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        const auto logged = [&simulation](const std::string& line) {
            return std::find(simulation.loggedEvents.begin(), simulation.loggedEvents.end(), line)
                != simulation.loggedEvents.end();
        };
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        simulation.advance(2s);
        CHECK(logged("vm-2 leader_view_source"));
        CHECK_FALSE(logged("vm-2 leader_view_ended"));
        simulation.vm(2).unreachableUpstreams
            = { UpstreamName { "replica-1" }, UpstreamName { "replica-2" } };
        simulation.advance(2s);
        CHECK(logged("vm-2 leader_view_ended"));
        CHECK(simulation.vm(2).coordinator.counters().viewsExpired == 1);
        CHECK(simulation.vm(2).coordinator.counters().replicaConfirmations > 0);
        CHECK_FALSE(logged("vm-0 leader_view_source"));
    }

    TEST_CASE("a replacement and the chosen replica are logged once, however long writes take")
    {
        // Guards against one log line per tick while the store does not answer.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        simulation.advance(500ms);
        simulation.vm(0).storeUnreachableUntil = simulation.now + 900ms;
        REQUIRE(simulation.advanceUntil(6s, [&] { return simulation.logged("primary_chosen") == 1; }));
        CHECK(simulation.logged("replacing_primary") == 1);
        simulation.vm(0).storeUnreachableUntil = simulation.now + 900ms;
        awaitLeader(simulation);
        CHECK(simulation.logged("replacing_primary") == 1);
        CHECK(simulation.logged("primary_replaced") == 1);
    }

    TEST_CASE("each of two replacements is logged")
    {
        // Guards against an event that is not logged because an equal one was logged before.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        awaitLeader(simulation);
        simulation.member("primary").primary = false;
        simulation.member("primary").running = true;
        simulation.advance(5s);
        simulation.member(simulation.leader()->entry.name.string()).running = false;
        awaitLeader(simulation);
        CHECK(simulation.logged("replacing_primary") == 2);
        CHECK(simulation.logged("primary_replaced") == 2);
    }

    TEST_CASE(
        "an expired view does not become valid again by a replica that has not learned of the new primary")
    {
        // Guards against reads at a former primary by a VM that cannot reach the store during a failover.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        for (const auto* name : { "replica-1", "replica-2" })
            simulation.member(name).lag = 3s;
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(
            6s, [&] { return simulation.vm(0).coordinator.view().term == Term { 2 }; }));
        simulation.advance(4s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a replica that restarts while paused does not extend a view of the old primary")
    {
        // Guards against a promotion that relies on a pause which a restart has ended.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        simulation.member("replica-2").lag = 3s;
        simulation.member("primary").running = false;
        REQUIRE(
            simulation.advanceUntil(6s, [&] { return simulation.member("replica-2").pausedBelowTerm == 2; }));
        simulation.advance(300ms);
        simulation.restart("replica-2");
        REQUIRE(simulation.advanceUntil(
            8s, [&] { return simulation.vm(0).coordinator.view().term == Term { 2 }; }));
        simulation.advance(4s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a replica that restarts while paused does not extend a view that was read just before")
    {
        // Guards against the same with a VM that read the store until the claim, so that the confirmation of
        // one replica still suffices.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("replica-2").lag = 3s;
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(6s, [&] {
            simulation.vm(2).nextRead = simulation.now;
            return simulation.logged("replacing_primary") > 0;
        }));
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        REQUIRE(
            simulation.advanceUntil(1s, [&] { return simulation.member("replica-2").pausedBelowTerm == 2; }));
        simulation.advance(100ms);
        simulation.restart("replica-2");
        REQUIRE(simulation.advanceUntil(
            8s, [&] { return simulation.vm(0).coordinator.view().term == Term { 2 }; }));
        simulation.advance(4s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("an answer that arrives after the view has expired does not make it valid again")
    {
        // Guards against a late answer of a replica that was given before it was paused, or after its pause.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        auto& vm = simulation.vm(2);
        vm.storeUnreachableUntil = simulation.now + 20s;
        vm.unreachableUpstreams = { UpstreamName { "replica-1" }, UpstreamName { "replica-2" } };
        REQUIRE(simulation.advanceUntil(3s, [&] { return !vm.coordinator.view().isValid(simulation.now); }));
        const UpstreamStatus follows { .term = Term { 1 } };
        for (const auto* name : { "replica-1", "replica-2" })
            vm.coordinator.onStatus(UpstreamName { name }, follows, simulation.now - 50ms, simulation.now);
        CHECK_FALSE(vm.coordinator.view().isValid(simulation.now));
    }

    TEST_CASE("a replica that the coordinator cannot reach does not extend a view of the old primary")
    {
        // Guards against a VM that cannot reach the store but reaches a replica which was never paused.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        simulation.member("replica-2").lag = 15s;
        simulation.vm(0).unreachableUpstreams = { UpstreamName { "replica-2" } };
        simulation.vm(1).unreachableUpstreams = { UpstreamName { "replica-2" } };
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(
            10s, [&] { return simulation.vm(0).coordinator.view().term == Term { 2 }; }));
        simulation.advance(4s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE(
        "a replica that the coordinator's directory does not list does not extend a view of the old primary")
    {
        // Guards against a coordinator that waits only for the replicas it lists, while a VM that cannot
        // reach the store lists one more.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("replica-2").lag = 10s;
        for (std::size_t index = 0; index < 2; ++index)
            simulation.vm(index).coordinator.onDirectory(
                directoryOf(simulation, { "primary", "replica-1" }), simulation.now);
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(6s, [&] {
            // Its last read is the one just before the claim.
            simulation.vm(2).nextRead = simulation.now;
            return std::find(simulation.loggedEvents.begin(), simulation.loggedEvents.end(),
                       "vm-0 replacing_primary")
                != simulation.loggedEvents.end();
        }));
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        REQUIRE(simulation.advanceUntil(
            6s, [&] { return simulation.vm(0).coordinator.view().term == Term { 2 }; }));
        simulation.advance(4s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("the view of a VM that does not list the promoted replica expires")
    {
        // Guards against a VM that cannot reach the store and assumes that there are no replicas beyond those
        // it lists.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.vm(2).storeUnreachableUntil = simulation.now + 20s;
        simulation.vm(2).coordinator.onDirectory(
            directoryOf(simulation, { "primary", "replica-2" }), simulation.now);
        simulation.member("replica-2").lag = 15s;
        for (std::size_t index = 0; index < 2; ++index)
            simulation.vm(index).unreachableUpstreams = { UpstreamName { "replica-2" } };
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(
            10s, [&] { return simulation.vm(0).coordinator.view().term == Term { 2 }; }));
        simulation.advance(4s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a paused replica that has received most is promoted even if it is briefly unreachable")
    {
        // Guards against the loss of commits that only one replica has, which answers the pause and misses
        // the next status request.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("replica-1").pausedBelowTerm = 2;
        simulation.advance(500ms);
        simulation.member("primary").running = false;
        REQUIRE(
            simulation.advanceUntil(6s, [&] { return simulation.member("replica-2").pausedBelowTerm == 2; }));
        simulation.advance(200ms);
        REQUIRE(simulation.member("replica-2").received > simulation.member("replica-1").received);
        simulation.vm(0).unreachableUpstreams = { UpstreamName { "replica-2" } };
        REQUIRE(simulation.advanceUntil(6s, [&] { return simulation.leader() != nullptr; }));
        simulation.vm(0).unreachableUpstreams.clear();
        REQUIRE(simulation.advanceUntil(6s, [&] { return simulation.allFollowLeader(); }));
        CHECK(simulation.leader()->entry.name == UpstreamName { "replica-2" });
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a replica that was paused again after a restart is promoted if it has received most")
    {
        // Guards against the loss of commits that only one replica has, which is reachable all the time but
        // has been paused for a shorter time than the other.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("replica-1").pausedBelowTerm = 2;
        simulation.advance(500ms);
        simulation.member("primary").running = false;
        REQUIRE(
            simulation.advanceUntil(6s, [&] { return simulation.member("replica-2").pausedBelowTerm == 2; }));
        simulation.advance(200ms);
        REQUIRE(simulation.member("replica-2").received > simulation.member("replica-1").received);
        simulation.restart("replica-2");
        REQUIRE(simulation.advanceUntil(6s, [&] { return simulation.allFollowLeader(); }));
        CHECK(simulation.leader()->entry.name == UpstreamName { "replica-2" });
        CHECK(simulation.violations.empty());
    }

    TEST_CASE(
        "the answer to a write that arrives after a newer record was read does not restore the older view")
    {
        // Guards against a former coordinator that receives the answer to its own write late.
        const Instant start { 1000s };
        const VmName self { "vm-0" };
        const VmName other { "vm-1" };
        LeaderCoordinator coordinator { { .vm = self } };
        LeadershipRecord led { .term = Term { 1 },
            .primary = UpstreamName { "primary" },
            .claimedTerm = Term { 1 },
            .author = self,
            .changeId = "first" };
        auto claimed = led;
        claimed.claimedTerm = Term { 2 };
        claimed.author = other;
        claimed.changeId = "second";
        LeadershipSnapshot snapshot;
        snapshot.record = claimed;
        snapshot.recordRevision = 20;
        snapshot.coordinatorLease = CoordinatorLease { .holder = other, .token = 15, .revision = 15 };
        snapshot.askedAt = start;
        coordinator.onSnapshot(snapshot, start + 10ms);
        REQUIRE_FALSE(coordinator.view().isValid(start + 20ms));
        coordinator.onRecordWritten(led, 10, start + 20ms);
        CHECK_FALSE(coordinator.view().isValid(start + 20ms));
    }

    TEST_CASE("a replica of a newer term ends the view of a VM that cannot reach the store")
    {
        // Guards against a view that stays valid although an upstream has shown that a newer primary leads.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        auto& vm = simulation.vm(2);
        vm.storeUnreachableUntil = simulation.now + 20s;
        simulation.advance(400ms);
        REQUIRE(vm.coordinator.view().isValid(simulation.now));
        const UpstreamStatus newer { .term = Term { 2 } };
        vm.coordinator.onStatus(UpstreamName { "replica-1" }, newer, simulation.now, simulation.now);
        CHECK_FALSE(vm.coordinator.view().isValid(simulation.now));
        const auto actions = vm.coordinator.tick(simulation.now);
        CHECK(std::any_of(actions.begin(), actions.end(), [&simulation](const LeadershipAction& action) {
            const auto* published = std::get_if<PublishView>(&action);
            return published != nullptr && !published->view.isValid(simulation.now);
        }));
    }

    TEST_CASE("the coordinator asks for a newer primary when callers' statements show one")
    {
        // Guards against a group that stays without a primary because no VM asks who leads.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        auto& holder = simulation.vm(0).coordinator;
        const auto later = simulation.now + 200ms;
        holder.onTraffic(UpstreamName { "primary" }, later, std::nullopt, true);
        const auto actions = holder.tick(later);
        CHECK(std::any_of(actions.begin(), actions.end(), [](const LeadershipAction& action) {
            const auto* asked = std::get_if<AskStatus>(&action);
            return asked != nullptr && asked->upstream == UpstreamName { "primary" };
        }));
    }

    TEST_CASE("an expired view becomes valid again by a sibling's valid view of the same record")
    {
        // Guards against a VM that refuses its callers while its siblings' views are known to be right.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        auto& vm = simulation.vm(2);
        vm.storeUnreachableUntil = simulation.now + 20s;
        vm.unreachableUpstreams = { UpstreamName { "replica-1" }, UpstreamName { "replica-2" } };
        simulation.advance(2s);
        REQUIRE_FALSE(vm.coordinator.view().isValid(simulation.now));
        const auto& sibling = simulation.vm(0).coordinator;
        REQUIRE(sibling.viewConfirmedAt(simulation.now));
        vm.coordinator.onSiblingView(sibling.recordRevision() + 1, *sibling.viewConfirmedAt(simulation.now));
        CHECK_FALSE(vm.coordinator.view().isValid(simulation.now));
        vm.coordinator.onSiblingView(sibling.recordRevision(), *sibling.viewConfirmedAt(simulation.now));
        CHECK(vm.coordinator.view().isValid(simulation.now));
        CHECK(vm.coordinator.view().expiresAt == sibling.view().expiresAt);
    }

    TEST_CASE("a VM that relies on its siblings asks replicas itself before its view expires")
    {
        // Guards against a VM without siblings that waits for their reports until its view has expired.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        auto& vm = simulation.vm(2);
        vm.coordinator.setConfirmsForSiblings(false);
        vm.storeUnreachableUntil = simulation.now + 20s;
        simulation.advance(6s);
        CHECK(vm.coordinator.view().isValid(simulation.now));
        CHECK(vm.coordinator.counters().viewsExpired == 0);
    }

    TEST_CASE("without the store one replica extends a view only briefly, all replicas without limit")
    {
        // Guards against losing the primary while all of its replicas confirm it.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.storeDown = true;
        simulation.advance(5s);
        CHECK(simulation.allFollowLeader());
        simulation.vm(2).unreachableUpstreams = { UpstreamName { "replica-2" } };
        simulation.advance(1500ms);
        CHECK_FALSE(simulation.vm(2).coordinator.view().isValid(simulation.now));
        CHECK(simulation.vm(1).coordinator.view().isValid(simulation.now));
        simulation.storeDown = false;
        awaitLeader(simulation);
    }

    TEST_CASE("another VM continues when the coordinator fails between its claim and the promotion")
    {
        // Guards against a group that stays without a primary when the coordinator fails half way through a
        // replacement.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        simulation.advance(1200ms);
        simulation.vm(0).frozenUntil = simulation.now + 60s;
        REQUIRE(simulation.advanceUntil(12s, [&] {
            const auto* leader = simulation.leader();
            return leader != nullptr && simulation.vm(1).coordinator.view().isValid(simulation.now);
        }));
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a coordinator without traffic detects that the primary has failed")
    {
        // The load balancer sends this VM no callers, or only callers of other groups. Guards against a
        // coordinator that learns of a failed primary only from traffic, while callers at other VMs wait.
        LeadershipSimulation simulation { {} };
        for (std::size_t index = 0; index < 3; ++index)
            simulation.vm(index).idle = true;
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        const auto gap = simulation.advanceUntil(6s, [&] { return simulation.allFollowLeader(); });
        REQUIRE(gap);
        CHECK(*gap < 5s);
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("the group has a leader again after the primary was briefly unreachable")
    {
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        simulation.advance(500ms);
        simulation.member("primary").running = true;
        REQUIRE(simulation.advanceUntil(6s, [&] { return simulation.allFollowLeader(); }));
        CHECK(simulation.violations.empty());
    }
}

TEST_SUITE("one promotion at a time")
{
    TEST_CASE("no other replica is promoted while a slow promotion may still take effect")
    {
        // Guards against a coordinator that abandons its choice and promotes another replica beside it.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.minPromotionTime = 2800ms;
        simulation.maxPromotionTime = 2800ms;
        promoteFirstReplica(simulation);
        simulation.advance(12s);
        CHECK(simulation.violations.empty());
        CHECK(simulation.allFollowLeader());
    }

    TEST_CASE("a new coordinator does not promote another replica beside its predecessor's choice")
    {
        // Guards against the promotion of a disconnected coordinator that takes effect after its successor's.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        REQUIRE(
            simulation.advanceUntil(4s, [&] { return simulation.member("replica-2").pausedBelowTerm == 2; }));
        simulation.advance(500ms);
        simulation.minPromotionTime = 2800ms;
        simulation.maxPromotionTime = 2800ms;
        simulation.vm(0).storeUnreachableUntil = simulation.now + 60s;
        REQUIRE(simulation.advanceUntil(1s, [&] { return simulation.logged("primary_chosen") == 1; }));
        // The replica is draining, so a new coordinator would prefer the other one.
        markDraining(simulation, "replica-1");
        simulation.advance(1s);
        simulation.minPromotionTime = 2ms;
        simulation.maxPromotionTime = 30ms;
        simulation.advance(12s);
        CHECK(simulation.violations.empty());
        CHECK(simulation.leader()->entry.name == UpstreamName { "replica-2" });
    }

    TEST_CASE("a leader is not recorded while the promotion of another upstream may take effect")
    {
        // Guards against a record that names the upstream of an older promotion while a newer promotion is
        // about to take effect.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.minPromotionTime = 2s;
        simulation.maxPromotionTime = 2s;
        // The replica is not paused, so it is asked until it answers.
        simulation.vm(0).unreachableUpstreams = { UpstreamName { "replica-2" } };
        promoteFirstReplica(simulation);
        simulation.vm(0).unreachableUpstreams.clear();
        simulation.becomePrimary("replica-2");
        simulation.advance(12s);
        CHECK(simulation.violations.empty());
        CHECK(simulation.leader()->entry.name == UpstreamName { "replica-1" });
        CHECK(simulation.allFollowLeader());
    }

    TEST_CASE("another replica is promoted when the chosen one never leads")
    {
        // Guards against a group that waits for a failed replica.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        REQUIRE(
            simulation.advanceUntil(4s, [&] { return simulation.member("replica-1").pausedBelowTerm == 2; }));
        simulation.advance(1s);
        simulation.member("replica-1").running = false;
        REQUIRE(simulation.advanceUntil(12s, [&] { return simulation.allFollowLeader(); }));
        CHECK(simulation.leader()->entry.name == UpstreamName { "replica-2" });
        CHECK(simulation.violations.empty());
    }

    TEST_CASE("a new coordinator promotes another replica when its predecessor's choice has failed")
    {
        // Guards against a choice in the record that no VM gives up.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        promoteFirstReplica(simulation);
        simulation.vm(0).frozenUntil = simulation.now + 60s;
        simulation.member("replica-1").running = false;
        REQUIRE(simulation.advanceUntil(20s, [&] {
            const auto* leader = simulation.leader();
            return leader != nullptr && simulation.vm(1).coordinator.view().isValid(simulation.now);
        }));
        CHECK(simulation.leader()->entry.name == UpstreamName { "replica-2" });
        CHECK(simulation.violations.empty());
    }

    TEST_CASE(
        "the old primary does not lead again after a promotion whose coordinator and choice both failed")
    {
        // Guards against a successor that takes the silence of its predecessor's choice for a proof that it
        // was not promoted.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(4s, [&] { return simulation.logged("primary_chosen") == 1; }));
        simulation.vm(0).frozenUntil = simulation.now + 20s;
        const auto* leader = simulation.leader();
        REQUIRE(simulation.advanceUntil(2s, [&] {
            leader = simulation.leader();
            return leader != nullptr;
        }));
        const auto promoted = leader->entry.name.string();
        simulation.member(promoted).running = false;
        simulation.member("primary").running = true;
        simulation.advance(10s);
        CHECK(simulation.violations.empty());
        simulation.recover(promoted);
        simulation.advance(12s);
        CHECK(simulation.violations.empty());
        CHECK(simulation.allFollowLeader());
    }

    TEST_CASE("the old primary does not lead again with a sibling's view for a seed that failed before")
    {
        // Guards against the sequence in which the property with siblings found a view of the old primary.
        constexpr std::uint64_t seed = 3075940953376U;
        LeadershipSimulation simulation { { .seed = seed, .siblingsShareViews = true } };
        simulation.vm(2).coordinator.setConfirmsForSiblings(false);
        runWithLaggingReplicas(simulation, seed);
        CHECK(simulation.violations.empty());
        CHECK(simulation.allFollowLeader());
    }

    TEST_CASE("two promotions are never in progress at once for seeds that failed before")
    {
        // Guards against the sequences in which the property tests found two primaries.
        for (const std::uint64_t seed : { 5560963582634111U, 33577449114624U }) {
            CAPTURE(seed);
            LeadershipSimulation simulation { { .seed = seed } };
            runWithLaggingReplicas(simulation, seed);
            CHECK(simulation.violations.empty());
            CHECK(simulation.allFollowLeader());
        }
    }
}

TEST_SUITE("unexpected leader")
{
    TEST_CASE("an unexpected leader is recorded only after views of the former primary have expired")
    {
        // Guards against VMs that acknowledge commits at one primary while others read at another.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        keepOldViewOnLastVm(simulation);
        simulation.vm(0).storeUnreachableUntil = simulation.now + 900ms;
        simulation.becomePrimary("replica-1");
        CHECK(maxPrimariesInUse(simulation, 6s) == 1);
        CHECK(simulation.vm(0).coordinator.view().primary == UpstreamName { "replica-1" });
        CHECK(simulation.vm(1).coordinator.view().primary == UpstreamName { "replica-1" });
    }

    TEST_CASE("an unexpected leader is recorded only after views of VMs that cannot reach it have expired")
    {
        // Guards against the same where no upstream of the new term shows a VM that its view is out of date.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        keepOldViewOnLastVm(simulation);
        simulation.vm(2).unreachableUpstreams = { UpstreamName { "replica-1" } };
        simulation.vm(0).storeUnreachableUntil = simulation.now + 300ms;
        simulation.becomePrimary("replica-1");
        CHECK(maxPrimariesInUse(simulation, 6s) == 1);
        CHECK(simulation.vm(0).coordinator.view().primary == UpstreamName { "replica-1" });
    }

    TEST_CASE(
        "an unexpected leader is recorded under a claim only after views of the former primary have expired")
    {
        // Guards against a claim that is completed with a leader which its coordinator did not promote.
        LeadershipSimulation simulation { {} };
        awaitLeader(simulation);
        keepOldViewOnLastVm(simulation);
        simulation.member("primary").running = false;
        REQUIRE(simulation.advanceUntil(4s, [&] { return simulation.logged("replacing_primary") == 1; }));
        simulation.becomePrimary("replica-1");
        CHECK(maxPrimariesInUse(simulation, 6s) == 1);
        CHECK(simulation.vm(0).coordinator.view().primary == UpstreamName { "replica-1" });
        CHECK(simulation.vm(1).coordinator.view().primary == UpstreamName { "replica-1" });
    }

    TEST_CASE("an unexpected leader is detected when the former primary follows it")
    {
        // Guards against a record that is never corrected because only replicas that are not asked know who
        // leads.
        LeadershipSimulation simulation { {} };
        for (std::size_t index = 0; index < 3; ++index)
            simulation.vm(index).idle = true;
        awaitLeader(simulation);
        keepOldViewOnLastVm(simulation);
        simulation.becomePrimary("replica-1");
        simulation.member("primary").primary = false;
        CHECK(maxPrimariesInUse(simulation, 6s) == 1);
        CHECK(simulation.vm(0).coordinator.view().primary == UpstreamName { "replica-1" });
        CHECK(simulation.vm(1).coordinator.view().primary == UpstreamName { "replica-1" });
    }

    TEST_CASE("an unexpected leader is recorded although it is draining")
    {
        // Guards against a group without a primary because the only upstream that leads is draining.
        LeadershipSimulation simulation { { .replicas = 1 } };
        awaitLeader(simulation);
        UpstreamDirectory directory { simulation.member("primary").entry,
            simulation.member("replica-1").entry };
        directory.back().draining = true;
        for (std::size_t index = 0; index < 3; ++index)
            simulation.vm(index).coordinator.onDirectory(directory, simulation.now);
        simulation.vm(0).storeUnreachableUntil = simulation.now + 900ms;
        simulation.becomePrimary("replica-1");
        CHECK(simulation.advanceUntil(
            6s, [&] { return simulation.vm(1).coordinator.view().primary == UpstreamName { "replica-1" }; }));
    }

    TEST_CASE("the primary leading a newer term is recorded without a claim")
    {
        // Guards against a group that waits for views to expire although the primary is the same.
        LeadershipSimulation simulation { {} };
        for (std::size_t index = 0; index < 3; ++index)
            simulation.vm(index).idle = true;
        awaitLeader(simulation);
        simulation.member("primary").primary = false;
        simulation.becomePrimary("primary");
        REQUIRE(simulation.advanceUntil(
            2s, [&] { return simulation.vm(1).coordinator.view().term == Term { 2 }; }));
        CHECK(simulation.logged("replacing_primary") == 0);
    }
}

TEST_SUITE("leadership under faults")
{
    TEST_CASE("no VM may act on an old primary while a newer one leads, and fencing tokens never decrease")
    {
        // Primaries fail and return, VMs freeze and resume, the store is unreachable for all or for some, and
        // answers to writes are lost. Guards against losing a commit that was acknowledged.
        checkProperty("leadership", [](std::uint64_t seed) {
            LeadershipSimulation simulation { { .seed = seed } };
            std::mt19937_64 random { seed };
            const auto randomUpTo = [&random](int highest) {
                return std::uniform_int_distribution<int> { 0, highest }(random);
            };
            simulation.writesPerLostAnswer = 4;
            simulation.advance(3s);
            for (int round = 0; round < 12; ++round) {
                auto& vm = simulation.vm(static_cast<std::size_t>(randomUpTo(2)));
                const std::chrono::milliseconds time { 200 + randomUpTo(4000) };
                switch (randomUpTo(5)) {
                case 0:
                    vm.frozenUntil = simulation.now + time;
                    break;
                case 1:
                    vm.storeUnreachableUntil = simulation.now + time;
                    break;
                case 2:
                    simulation.storeDown = !simulation.storeDown;
                    break;
                case 3:
                    if (const auto* leader = simulation.leader()) {
                        auto& member = simulation.member(leader->entry.name.string());
                        member.running = false;
                        simulation.advance(time);
                        // It returns with its log, as a replica if another upstream was promoted meanwhile.
                        member.running = true;
                        const auto* newest = simulation.leader();
                        if (newest != nullptr && newest->term > member.term)
                            member.primary = false;
                    }
                    break;
                default:
                    simulation.advance(time);
                }
                simulation.advance(std::chrono::milliseconds { randomUpTo(1500) });
            }
            simulation.storeDown = false;
            simulation.advance(15s);
            RC_LOG() << (simulation.violations.empty() ? "" : simulation.violations.front());
            RC_ASSERT(simulation.violations.empty());
            RC_ASSERT(simulation.allFollowLeader());
        });
    }

    TEST_CASE("no VM may act on an old primary because of a sibling's view")
    {
        // Guards against views that siblings pass on after the new primary leads.
        checkProperty("leadership with siblings", [](std::uint64_t seed) {
            LeadershipSimulation simulation { { .seed = seed, .siblingsShareViews = true } };
            simulation.vm(2).coordinator.setConfirmsForSiblings(false);
            runWithLaggingReplicas(simulation, seed);
            RC_LOG() << (simulation.violations.empty() ? "" : simulation.violations.front());
            RC_ASSERT(simulation.violations.empty());
            RC_ASSERT(simulation.allFollowLeader());
        });
    }

    TEST_CASE("no VM may act on an old primary while replicas lag, restart and answer late")
    {
        // Guards against replicas that confirm a former primary, and promotions that take effect late.
        checkProperty("leadership with lagging replicas", [](std::uint64_t seed) {
            LeadershipSimulation simulation { { .seed = seed } };
            runWithLaggingReplicas(simulation, seed);
            RC_LOG() << (simulation.violations.empty() ? "" : simulation.violations.front());
            RC_ASSERT(simulation.violations.empty());
            RC_ASSERT(simulation.allFollowLeader());
        });
    }

    TEST_CASE("no two VMs may act on different primaries when unexpected leaders appear")
    {
        // Guards against a record that changes from one primary to another while views of the former one are
        // valid.
        checkProperty("leaders that nobody waited for", [](std::uint64_t seed) {
            LeadershipSimulation simulation { { .seed = seed } };
            std::mt19937_64 random { seed };
            const auto randomUpTo = [&random](int highest) {
                return std::uniform_int_distribution<int> { 0, highest }(random);
            };
            const auto replica = [&randomUpTo] { return "replica-" + std::to_string(1 + randomUpTo(1)); };
            simulation.writesPerLostAnswer = 4;
            simulation.maxAnswerTime = 120ms;
            simulation.advance(3s);
            std::size_t highest = 0;
            for (int round = 0; round < 12; ++round) {
                auto& vm = simulation.vm(static_cast<std::size_t>(randomUpTo(2)));
                const std::chrono::milliseconds time { 200 + randomUpTo(4000) };
                switch (randomUpTo(4)) {
                case 0:
                    simulation.member(replica()).lag = time;
                    break;
                case 1:
                    vm.storeUnreachableUntil = simulation.now + 2 * time;
                    break;
                case 2:
                    vm.frozenUntil = simulation.now + time;
                    break;
                case 3:
                    vm.idle = !vm.idle;
                    break;
                default:
                    simulation.becomePrimary(replica());
                }
                highest = std::max(
                    highest, maxPrimariesInUse(simulation, std::chrono::milliseconds { randomUpTo(3000) }));
            }
            highest = std::max(highest, maxPrimariesInUse(simulation, 25s));
            RC_LOG() << highest << " primaries in use at once";
            RC_ASSERT(highest <= 1);
        });
    }
}
