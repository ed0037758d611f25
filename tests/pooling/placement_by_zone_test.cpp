#include <cyclamendrift/pooling/session_engine.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const ServiceName service { "register" };
const ZoneName agrigento { "agrigento" };
const ZoneName catania { "catania" };
const ZoneName palermo { "palermo" };
const ZoneName ragusa { "ragusa" };
constexpr std::uint32_t connectionCap = 70;

std::map<VmName, VmCapacity> fleet()
{
    std::map<VmName, VmCapacity> listed;
    for (const auto& zone : { agrigento, catania, palermo, ragusa }) {
        for (int index = 0; index < 16; ++index)
            listed[VmName { zone.string() + "-" + std::to_string(index) }]
                = { .zone = zone, .cores = index < 2 ? 0.5 : 0.12 };
    }
    return listed;
}

PlacementHint hintOf(
    const std::vector<ZoneName>& zones, const std::optional<ZoneName>& primary, Duration wait = {})
{
    PlacementHint hint { .expectedWait = wait };
    for (const auto& zone : zones)
        hint.zonesInService.push_back(zoneKeyOf(zone));
    if (primary)
        hint.primaryZone = zoneKeyOf(*primary);
    return hint;
}

UpstreamEntry upstreamIn(const char* name, const ZoneName& zone)
{
    return { .name = UpstreamName { name },
        .service = service,
        .host = "10.0.0.1",
        .port = 8000,
        .zone = zone,
        .maxConcurrency = 4 };
}

/// The engine of one VM of the fleet. The test answers what it forwards.
struct Vm {
    explicit Vm(VmName name, bool byZone = true)
        : name(std::move(name))
        , zone(fleet().at(this->name).zone)
        , engine({ .zone = this->zone, .seed = 7 })
    {
        auto routes = std::make_shared<RouteTable>();
        routes->version = 1;
        routes->routes["beds"] = { .service = service,
            .freshness = BoundedStalenessRoute { 2500ms },
            .statementTimeout = 2s,
            .targetLatency = 500ms };
        for (int team = 0; team < 20; ++team)
            routes->keys["key-" + std::to_string(team)] = TeamName { "team-" + std::to_string(team) };
        routes->connectionCaps[service] = connectionCap;
        this->engine.setRoutes(routes, this->now);
        this->setMode(byZone);
    }

    void setMode(bool byZone)
    {
        this->owners = std::make_shared<ServiceOwners>(this->name, fleet(), OwnerPlan { .byZone = byZone });
        this->engine.setPlace(
            { .vms = fleet().size(), .rank = 0, .owners = this->owners, .zoneRoundTrip = 10ms }, this->now);
    }

    CallerId connect(int team = 0)
    {
        const CallerId caller { ++this->callers };
        this->engine.callerConnected(caller, this->now);
        this->engine.callerStartedSession(
            caller, { .database = "beds", .key = "key-" + std::to_string(team) }, this->now);
        this->collect();
        return caller;
    }

    /// Sends a statement and returns what is forwarded then; nothing when this VM keeps the statement.
    std::optional<ForwardStatement> send(CallerId caller, CallerStatement statement)
    {
        this->engine.callerSentStatement(caller,
            { .id = "s/" + std::to_string(++this->statements), .statement = std::move(statement) },
            this->now);
        return this->collect();
    }
    std::optional<ForwardStatement> read(CallerId caller) { return this->send(caller, ReadItem {}); }
    std::optional<ForwardStatement> write(CallerId caller) { return this->send(caller, WriteItem {}); }

    std::optional<ForwardStatement> collect()
    {
        std::optional<ForwardStatement> last;
        for (auto& action : this->engine.takeActions()) {
            if (auto* forward = std::get_if<ForwardStatement>(&action))
                last = std::move(*forward);
            if (auto* answer = std::get_if<AnswerRemoteSession>(&action))
                this->remoteReplies.push_back(std::move(answer->reply));
            if (auto* open = std::get_if<OpenConnection>(&action))
                this->opened.push_back(std::move(*open));
            if (auto* sent = std::get_if<SendStatement>(&action))
                this->sent.push_back(std::move(*sent));
            if (auto* check = std::get_if<CheckOwnerLiveness>(&action))
                this->checked.push_back(std::move(check->owner));
        }
        return last;
    }

    void answer(const ForwardStatement& forward, std::optional<PlacementHint> hint)
    {
        this->engine.forwardedStatementAnswered(forward.caller, forward.work.remoteSession,
            { .proof = "proof", .placement = std::move(hint) }, this->now);
        this->collect();
    }
    std::optional<ForwardStatement> fail(const ForwardStatement& forward)
    {
        this->engine.forwardingFailed(
            forward.caller, forward.work.remoteSession, ForwardFailure::NotAccepted, this->now);
        return this->collect();
    }

    void setPrimary(const char* upstream)
    {
        this->engine.setLeader(service,
            { .phase = LeaderView::Phase::Settled,
                .primary = UpstreamName { upstream },
                .term = Term { 1 },
                .expiresAt = this->now + 1s },
            this->now);
        this->collect();
    }
    /// Receives a statement that a sibling forwards.
    void receive(std::uint64_t remoteSession, CallerStatement statement, StatementKind kind)
    {
        this->engine.forwardedStatementReceived(
            { .remoteSession = CallerId { remoteSession },
                .query = { .id = "f/" + std::to_string(remoteSession), .statement = std::move(statement) },
                .kind = kind,
                .team = TeamName { "team-0" },
                .route = { .service = service,
                    .freshness = BoundedStalenessRoute { 2500ms },
                    .statementTimeout = 2s,
                    .targetLatency = 500ms } },
            this->now);
        this->collect();
    }

    /// Lets the VM learn the zones from the answer to a read of another session.
    void learn(const std::optional<PlacementHint>& hint)
    {
        const auto first = this->read(this->connect(1));
        REQUIRE(first);
        this->answer(*first, hint);
    }

    [[nodiscard]] ZoneName zoneOf(const std::optional<ForwardStatement>& forward) const
    {
        REQUIRE(forward);
        const auto* found = this->owners->zoneOf(forward->owner);
        REQUIRE(found != nullptr);
        return *found;
    }

    VmName name;
    ZoneName zone;
    Instant now { 100s };
    SessionEngine engine;
    std::shared_ptr<ServiceOwners> owners;
    std::vector<Reply> remoteReplies;
    std::vector<OpenConnection> opened;
    std::vector<SendStatement> sent;
    std::vector<VmName> checked;
    std::uint64_t callers = 0;
    int statements = 0;
};

const VmName weakInCatania { "catania-15" };
const VmName weakInRagusa { "ragusa-15" };
const auto threeZones = hintOf({ agrigento, catania, palermo }, palermo);

/// Lets all owners that owe the VM an answer fail their liveness checks.
void loseSilentOwners(Vm& vm)
{
    vm.now += 200ms;
    vm.engine.tick(vm.now);
    vm.collect();
    REQUIRE_FALSE(vm.checked.empty());
    for (const auto& owner : std::exchange(vm.checked, {}))
        vm.engine.ownerLivenessChecked(owner, false, vm.now);
    vm.collect();
}

} // namespace

TEST_SUITE("placement by zone")
{
    TEST_CASE("a VM that knows no zones yet forwards to an owner of its own zone")
    {
        Vm vm { weakInCatania };
        CHECK(vm.zoneOf(vm.read(vm.connect())) == catania);
        CHECK(vm.zoneOf(vm.write(vm.connect())) == catania);
    }

    TEST_CASE("reads stay in the VM's zone and what needs the primary goes to the primary's zone")
    {
        // Guards against statements that cross zones twice, to an owner and from there to an upstream.
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        for (int team = 0; team < 20; ++team) {
            CHECK(vm.zoneOf(vm.read(vm.connect(team))) == catania);
            CHECK(vm.zoneOf(vm.write(vm.connect(team))) == palermo);
            const auto caller = vm.connect(team);
            CHECK_FALSE(vm.send(caller, BeginTransaction {}));
            CHECK(vm.zoneOf(vm.read(caller)) == palermo);
            const auto reader = vm.connect(team);
            CHECK_FALSE(vm.send(reader, BeginTransaction { .readOnly = true }));
            CHECK(vm.zoneOf(vm.read(reader)) == catania);
        }
    }

    TEST_CASE("reads of a zone without an upstream go to zones that have one, each team to one of them")
    {
        Vm vm { weakInRagusa };
        vm.learn(threeZones);
        std::set<ZoneName> used;
        for (int team = 0; team < 20; ++team) {
            const auto zone = vm.zoneOf(vm.read(vm.connect(team)));
            CHECK(zone != ragusa);
            CHECK(zone == vm.zoneOf(vm.read(vm.connect(team))));
            used.insert(zone);
        }
        CHECK(used.size() == 3);
    }

    TEST_CASE("an owner of the chosen zone runs the statement itself")
    {
        Vm any { weakInCatania };
        const auto owner
            = any.owners->rankedOwnersIn(catania, service, TeamName { "team-0" }, connectionCap).back();
        Vm vm { owner };
        CHECK_FALSE(vm.read(vm.connect()));
    }

    TEST_CASE("an owner reports the zones of the upstreams in service, the primary's zone and its queue")
    {
        Vm vm { VmName { "palermo-0" } };
        auto stopping = upstreamIn("stopping", ragusa);
        stopping.draining = true;
        vm.engine.setDirectory(
            { upstreamIn("primary", palermo), upstreamIn("replica", catania), stopping }, vm.now);
        vm.setPrimary("primary");
        // The upstreams' eight places are taken by statements that wait for a primary that never answers.
        for (std::uint64_t number = 1; number <= 60; ++number)
            vm.receive(number, WriteItem {}, StatementKind::Write);
        CHECK(vm.engine.longestExpectedWait() > 0ms);
        vm.now += 2s;
        vm.setPrimary("primary");
        vm.engine.tick(vm.now);
        vm.collect();
        REQUIRE_FALSE(vm.remoteReplies.empty());
        const auto& placement = vm.remoteReplies.front().placement;
        REQUIRE(placement);
        CHECK(placement->primaryZone == zoneKeyOf(palermo));
        CHECK(placement->expectedWait > 0ms);
        auto zones = placement->zonesInService;
        auto expected = std::vector { zoneKeyOf(palermo), zoneKeyOf(catania) };
        std::sort(zones.begin(), zones.end());
        std::sort(expected.begin(), expected.end());
        CHECK(zones == expected);
    }

    TEST_CASE("an owner prefers the upstream of its zone unless that runs two more statements")
    {
        Vm vm { VmName { "catania-0" } };
        vm.engine.setDirectory(
            { upstreamIn("primary", palermo), upstreamIn("near", catania), upstreamIn("far", agrigento) },
            vm.now);
        vm.setPrimary("primary");
        vm.receive(1, WriteItem {}, StatementKind::Write);
        REQUIRE(vm.opened.size() == 1);
        vm.engine.connectionOpened(vm.opened[0].connection,
            Progress { .term = Term { 1 }, .position = LogPosition { 100 } }, vm.now);
        vm.collect();
        for (std::uint64_t number = 2; number <= 4; ++number)
            vm.receive(number, ReadItem {}, StatementKind::Read);
        REQUIRE(vm.opened.size() == 4);
        CHECK(vm.opened[1].upstream.name == UpstreamName { "near" });
        CHECK(vm.opened[2].upstream.name == UpstreamName { "near" });
        CHECK(vm.opened[3].upstream.name == UpstreamName { "far" });
    }

    TEST_CASE("an owner far from the primary asks for its position before reads need a newer one")
    {
        // Guards against reads that cross zones although the zone has a replica: each time the last known
        // position became too old, the next read would go to the primary.
        Vm vm { VmName { "catania-0" } };
        vm.engine.setDirectory({ upstreamIn("primary", palermo), upstreamIn("near", catania) }, vm.now);
        vm.setPrimary("primary");
        const Progress position { .term = Term { 1 }, .position = LogPosition { 100 } };
        vm.receive(1, ReadItem {}, StatementKind::Read);
        REQUIRE(vm.opened.size() == 1);
        CHECK(vm.opened[0].upstream.name == UpstreamName { "primary" });
        const auto toPrimary = vm.opened[0].connection;
        vm.engine.connectionOpened(toPrimary, position, vm.now);
        vm.engine.upstreamReplied(toPrimary, { .proof = "proof", .progress = position }, vm.now);
        vm.collect();
        std::uint64_t number = 1;
        std::size_t requests = 0;
        for (int round = 0; round < 50; ++round) {
            vm.now += 200ms;
            vm.setPrimary("primary");
            vm.opened.clear();
            vm.sent.clear();
            vm.receive(++number, ReadItem {}, StatementKind::Read);
            for (const auto& open : vm.opened) {
                CHECK(open.upstream.name == UpstreamName { "near" });
                vm.engine.connectionOpened(open.connection, position, vm.now);
                vm.collect();
            }
            for (const auto& statement : std::exchange(vm.sent, {})) {
                const bool reset = std::holds_alternative<ResetConnection>(statement.statement);
                requests += reset ? 1 : 0;
                // No statement of a caller goes to the primary.
                CHECK(reset == (statement.connection == toPrimary));
                vm.engine.upstreamReplied(
                    statement.connection, { .proof = "proof", .progress = position }, vm.now);
                vm.collect();
            }
        }
        // In ten seconds, with half of 2.4 seconds between two requests.
        CHECK(requests >= 7);
        CHECK(requests <= 10);
    }

    TEST_CASE("the second owner of a zone gets a statement when the first one's queue is 20 ms longer")
    {
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        const auto ranked = vm.owners->rankedOwnersIn(palermo, service, TeamName { "team-0" }, connectionCap);
        auto first = vm.write(vm.connect());
        REQUIRE(first);
        CHECK(first->owner == ranked[0]);
        // Neither is another zone chosen: its round trip takes longer than the wait here.
        vm.answer(*first, hintOf({ agrigento, catania, palermo }, palermo, 9ms));
        auto second = vm.write(vm.connect());
        REQUIRE(second);
        CHECK(second->owner == ranked[0]);
        vm.answer(*second, hintOf({ agrigento, catania, palermo }, palermo, 40ms));
        const auto third = vm.write(vm.connect());
        REQUIRE(third);
        CHECK(third->owner == ranked[1]);
        // A wait is valid for a second.
        vm.now += 1100ms;
        const auto fourth = vm.write(vm.connect());
        REQUIRE(fourth);
        CHECK(fourth->owner == ranked[0]);
    }

    TEST_CASE("another zone gets reads when the wait here exceeds the wait there and the round trip")
    {
        // Guards against reads that queue in one zone while the replicas of the others are idle.
        Vm vm { weakInCatania };
        const auto ranked = vm.owners->rankedOwnersIn(catania, service, TeamName { "team-0" }, connectionCap);
        for (const auto& owner : ranked) {
            auto read = vm.read(vm.connect());
            REQUIRE(read);
            CHECK(read->owner == owner);
            vm.answer(*read, hintOf({ agrigento, catania, palermo }, palermo, 60ms));
            if (owner == ranked[1])
                break;
        }
        CHECK(vm.zoneOf(vm.read(vm.connect())) != catania);
    }

    TEST_CASE("a transaction stays at its owner when the primary moves, later statements follow it")
    {
        // Guards against a statement of an open transaction that is sent to a VM which does not have it.
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        const auto caller = vm.connect();
        CHECK_FALSE(vm.send(caller, BeginTransaction {}));
        const auto first = vm.write(caller);
        CHECK(vm.zoneOf(first) == palermo);
        vm.answer(*first, hintOf({ agrigento, catania, palermo }, agrigento));
        const auto next = vm.write(caller);
        REQUIRE(next);
        CHECK(next->owner == first->owner);
        CHECK(next->work.continuesTransaction);
        CHECK(vm.zoneOf(vm.write(vm.connect(2))) == agrigento);
        vm.answer(*next, std::nullopt);
        const auto commit = vm.send(caller, CommitTransaction {});
        REQUIRE(commit);
        CHECK(commit->owner == first->owner);
    }

    TEST_CASE("when an owner fails, the next one of its zone gets the statement, then another zone")
    {
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        const auto ranked = vm.owners->rankedOwnersIn(palermo, service, TeamName { "team-0" }, connectionCap);
        REQUIRE(ranked.size() == 2);
        const auto first = vm.write(vm.connect());
        REQUIRE(first);
        const auto second = vm.fail(*first);
        REQUIRE(second);
        CHECK(second->owner == ranked[1]);
        const auto third = vm.fail(*second);
        CHECK(vm.zoneOf(third) == catania);
        const auto fourth = vm.fail(*third);
        REQUIRE(fourth);
        // After four owners the statement runs on this VM, as its caller would not wait for more.
        CHECK_FALSE(vm.fail(*fourth));
    }

    TEST_CASE("a zone whose owner does not answer is left at once, and the others serve reads and writes")
    {
        // Guards against statements that wait for each owner of a lost zone in turn.
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        CHECK(vm.zoneOf(vm.write(vm.connect())) == palermo);
        loseSilentOwners(vm);
        for (int team = 0; team < 20; ++team) {
            CHECK(vm.zoneOf(vm.write(vm.connect(team))) == catania);
            CHECK(vm.zoneOf(vm.read(vm.connect(team))) == catania);
        }
    }

    TEST_CASE("a VM that reaches no owner of any zone runs the statement itself")
    {
        Vm vm { weakInCatania };
        for (int zone = 0; zone < 4; ++zone) {
            CHECK(vm.write(vm.connect()));
            loseSilentOwners(vm);
        }
        CHECK_FALSE(vm.write(vm.connect()));
        CHECK_FALSE(vm.read(vm.connect()));
    }

    TEST_CASE("a hint that is not renewed for ten seconds is dropped")
    {
        // Guards against writes that go on to the zone of a primary which was replaced long ago.
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        vm.now += 9s;
        CHECK(vm.zoneOf(vm.write(vm.connect())) == palermo);
        vm.now += 2s;
        CHECK(vm.zoneOf(vm.write(vm.connect())) == catania);
    }

    TEST_CASE("hints that cannot be true change nothing or name only what is there")
    {
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        // An owner that knows no upstreams yet.
        vm.learn(PlacementHint {});
        CHECK(vm.zoneOf(vm.write(vm.connect())) == palermo);
        // A wait of a year, and one below zero.
        vm.learn(hintOf({ agrigento, catania, palermo }, palermo, 24h * 365));
        CHECK(vm.zoneOf(vm.read(vm.connect(1))) == catania);
        vm.learn(hintOf({ agrigento, catania, palermo }, palermo, -24h));
        CHECK(vm.zoneOf(vm.read(vm.connect(1))) == catania);
        // More zones than any service has upstreams.
        vm.learn(PlacementHint { .zonesInService = std::vector<ZoneKey>(1000, ZoneKey { 5 }),
            .primaryZone = zoneKeyOf(agrigento) });
        CHECK(vm.zoneOf(vm.write(vm.connect())) == palermo);
        // Zones without VMs: the statement goes to a zone that has some.
        vm.learn(hintOf({ ZoneName { "enna" } }, ZoneName { "enna" }));
        CHECK(vm.zoneOf(vm.write(vm.connect())) == catania);
        CHECK(vm.zoneOf(vm.read(vm.connect())) == catania);
    }

    TEST_CASE("owners of an earlier build answer without hints and get the statements of their zone")
    {
        Vm vm { weakInCatania };
        for (int statement = 0; statement < 5; ++statement) {
            const auto write = vm.write(vm.connect());
            CHECK(vm.zoneOf(write) == catania);
            vm.answer(*write, std::nullopt);
        }
    }

    TEST_CASE("VMs that disagree on the mode serve each other's statements")
    {
        // Guards against a statement that two VMs forward to each other, and against hints in answers to VMs
        // that do not use them.
        Vm off { VmName { "palermo-0" }, false };
        ForwardedStatement work { .remoteSession = CallerId { 9 },
            .team = TeamName { "team-0" },
            .route = { .service = service, .statementTimeout = 1s, .targetLatency = 10ms } };
        off.engine.forwardedStatementReceived(work, off.now);
        CHECK_FALSE(off.collect());
        off.now += 2s;
        off.engine.tick(off.now);
        CHECK_FALSE(off.collect());
        REQUIRE(off.remoteReplies.size() == 1);
        CHECK_FALSE(off.remoteReplies[0].placement);
        Vm on { weakInCatania };
        on.learn(threeZones);
        on.setMode(false);
        const auto expected = on.owners->rankedOwners(service, TeamName { "team-0" }, connectionCap).front();
        const auto write = on.write(on.connect());
        REQUIRE(write);
        CHECK(write->owner == expected);
    }

    TEST_CASE("forwarded statements are counted by whether they cross zones")
    {
        Vm vm { weakInCatania };
        vm.learn(threeZones);
        CHECK(vm.read(vm.connect()));
        CHECK(vm.write(vm.connect()));
        CHECK(vm.engine.counters().forwarded == 3);
        CHECK(vm.engine.counters().forwardedAcrossZones == 1);
    }
}
