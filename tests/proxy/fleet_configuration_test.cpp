#include "fleet_world.h"

#include <property.h>

#include <fleet.pb.h>

using namespace cyclamendrift;
using namespace cyclamendrift::tests;

namespace {

std::size_t timesWritten(VirtualFleet& world, const std::string& changeId)
{
    std::size_t count = 0;
    for (const auto& entry : world.platform().history) {
        wire::ConfigurationDocument document;
        if (document.ParseFromString(entry.value) && document.change_id() == changeId)
            ++count;
    }
    return count;
}

asio::awaitable<void> sendTo(Fleet& fleet, std::string method, std::string body)
{
    const auto answer = co_await fleet.handle(VirtualFleet::nameOf(0), std::move(method), std::move(body));
    static_cast<void>(answer);
}

asio::awaitable<void> readStatus(Fleet& fleet, std::shared_ptr<api::StatusResponse> response)
{
    *response = co_await fleet.status();
}

std::set<std::size_t> range(std::size_t first, std::size_t last)
{
    std::set<std::size_t> all;
    for (auto i = first; i < last; ++i)
        all.insert(i);
    return all;
}

} // namespace

TEST_SUITE("fleet configuration")
{
    TEST_CASE("an accepted change is in force everywhere within two seconds")
    {
        VirtualFleet world { {} };
        settle(world);
        const auto result = begin(world, world.fleet(4).setLimits(limitsRequest("c2", 10, 20)));
        world.runFor(2s);
        REQUIRE(result->response);
        CHECK(result->response->revision() == 2);
        CHECK(everywhere(world, [&](std::size_t vm) { return revisionAt(world, vm) == 2; }));
        CHECK(everywhere(world, [&](std::size_t vm) { return accepts(world, vm); }));
    }

    // The answer of the store to a change is lost after the change took effect. The operator would see it
    // made twice, or a failure although it was made.
    TEST_CASE("a change whose answer was lost is recognised")
    {
        VirtualFleet world { {} };
        settle(world);
        world.platform().lostAnswers = 0.8;
        const auto result = begin(world, world.fleet(1).setLimits(limitsRequest("c2", 10, 20)));
        world.runFor(9s);
        world.healAll();
        world.runFor(3s);
        REQUIRE(result->isDone());
        CHECK(result->response);
        CHECK(timesWritten(world, "c2") == 1);
    }

    // An operator's first try took effect unseen; meanwhile a second operator changed the same limit. The
    // retry of the first would undo the second's change without anybody having asked for that.
    TEST_CASE("a retry does not undo what came after the first try")
    {
        VirtualFleet world { {} };
        settle(world);
        begin(world, world.fleet(1).setLimits(limitsRequest("c2", 10, 20)));
        world.runFor(2s);
        begin(world, world.fleet(2).setLimits(limitsRequest("c3", 30, 40)));
        world.runFor(2s);
        const auto retry = begin(world, world.fleet(5).setLimits(limitsRequest("c2", 10, 20)));
        world.runFor(2s);
        REQUIRE(retry->response);
        CHECK(retry->response->already_applied());
        CHECK(retry->response->revision() == 2);
        CHECK(world.fleet(3).configuration()->schema.teams(0).burst() == 40);
    }

    // Two operators apply a schema at the same moment at different VMs. Were both told yes, one's change
    // would be gone without a word.
    TEST_CASE("of two operators at once one wins and the other gets the difference")
    {
        VirtualFleet world { {} };
        settle(world);
        const auto left = begin(world, world.fleet(1).apply(applyRequest("l", 1, makeSchema(50, 200))));
        const auto right = begin(world, world.fleet(7).apply(applyRequest("r", 1, makeSchema(50, 300))));
        world.runFor(3s);
        REQUIRE(left->isDone());
        REQUIRE(right->isDone());
        const auto& winner = left->response ? left : right;
        const auto& loser = left->response ? right : left;
        CHECK(winner->response);
        REQUIRE(loser->reason == RefusalReason::Conflict);
        CHECK(loser->outcome == Outcome::NotRun);
        CHECK(loser->message.find("team hospitals: burst") != std::string::npos);
    }

    // A message with an old configuration is delivered late. Taking it would bring back a withdrawn key.
    TEST_CASE("a replayed configuration does not come back into force")
    {
        VirtualFleet world { {} };
        settle(world);
        wire::ConfigurationPush old;
        REQUIRE(old.mutable_document()->ParseFromString(world.platform().history.back().value));
        const auto result = begin(world, world.fleet(0).revoke(revokeRequest("c2")));
        world.runFor(2s);
        REQUIRE(result->response);
        for (std::size_t vm = 0; vm < world.size(); ++vm)
            world.spawn(sendTo(world.fleet(vm), "FleetPush", old.SerializeAsString()));
        // Looked at in short steps: a VM that had taken it would notice within 100 ms that nobody confirms
        // it, read the store and hide that the key had worked for a moment.
        for (int step = 0; step < 100; ++step) {
            world.runFor(1ms);
            CHECK(everywhere(
                world, [&](std::size_t vm) { return !accepts(world, vm) && revisionAt(world, vm) == 2; }));
        }
    }

    // The store is down and a VM is replaced. It keeps nothing, so without its siblings it could serve nobody
    // until the store is back.
    TEST_CASE("a VM that starts during a store outage gets the configuration from its siblings")
    {
        VirtualFleet world { {} };
        settle(world);
        world.setStoreDown(true);
        world.runFor(20s);
        world.restart(3);
        world.runFor(5s);
        // The list is down as well, so the newcomer knows nobody; its siblings find it.
        CHECK(revisionAt(world, 3) == 1);
        CHECK(everywhere(world, [&](std::size_t vm) { return vm == 3 || accepts(world, vm); }));
    }

    TEST_CASE("a large document reaches a VM that starts during a store outage over a slow link")
    {
        // Guards against a time limit of small calls for a document whose size grows with the operators'
        // keys: its transfer is given up and begins anew, and the VM refuses every caller.
        VirtualFleet world { { .linkBytesPerSecond = 500'000 } };
        auto schema = makeSchema();
        constexpr std::size_t keys = 4000;
        for (std::size_t index = 0; index < keys; ++index) {
            auto& key = *schema.add_keys();
            key.set_id("more-" + std::to_string(index));
            key.set_team(hospitals.string());
            key.set_secret_hash(hashSecret("secret " + std::to_string(index)));
        }
        settle(world, std::move(schema));
        world.runFor(10s);
        world.setStoreDown(true);
        world.runFor(20s);
        world.restart(3);
        world.runFor(5s);
        CHECK(revisionAt(world, 3) == 1);
    }

    // Only two VMs still reach the store, and no others. The rest, cut off from both, cannot learn of a
    // change; told "accepted", the operator would rely on a withdrawal that is not in force there.
    TEST_CASE("a change that too few VMs can confirm is not called accepted")
    {
        VirtualFleet world { {} };
        settle(world);
        world.isolate(range(0, 7), true);
        const auto result = begin(world, world.fleet(8).revoke(revokeRequest("c2")));
        world.runFor(15s);
        REQUIRE(result->isDone());
        CHECK(result->outcome == Outcome::Unknown);
        CHECK(result->reason == RefusalReason::NotConfirmed);
        CHECK(accepts(world, 0));
        world.healAll();
        const auto retry = begin(world, world.fleet(8).revoke(revokeRequest("c2")));
        world.runFor(8s);
        REQUIRE(retry->response);
        CHECK(retry->response->already_applied());
        CHECK(everywhere(world, [&](std::size_t vm) { return !accepts(world, vm); }));
    }

    // One VM stops answering. An operator who is told that it runs the newest revision would stop looking.
    TEST_CASE("status claims nothing of a VM that does not answer")
    {
        VirtualFleet world { {} };
        settle(world);
        world.kill(5);
        const auto response = std::make_shared<api::StatusResponse>();
        world.spawn(readStatus(world.fleet(0), response));
        world.runFor(1s);
        REQUIRE(response->vms_size() == 9);
        for (const auto& vm : response->vms()) {
            const bool dead = vm.vm() == VirtualFleet::nameOf(5).string();
            CHECK(vm.revision() == (dead ? 0 : 1));
            CHECK(vm.keys_trusted() == !dead);
            CHECK((vm.state() == "unreachable") == dead);
        }
    }

    // The store comes back after a long outage. If every VM asked at once, and again on each failure, it
    // would go down a second time.
    TEST_CASE("an outage ends without a storm of calls")
    {
        VirtualFleet world { { .vmCount = 40 } };
        settle(world);
        world.setStoreDown(true);
        world.runFor(60s);
        const auto before = world.platform().calls;
        world.runFor(10s);
        const auto during = world.platform().calls - before;
        world.setStoreDown(false);
        world.runFor(1s);
        const auto after = world.platform().calls - before - during;
        CHECK(during <= 10 * 9);
        CHECK(after <= 2 * 9);
    }
}

TEST_SUITE("keys")
{
    // A VM loses its network but its callers still reach it. It cannot learn that a key is withdrawn, so the
    // key would work there for as long as the cut lasts.
    TEST_CASE("a VM that is cut off stops trusting keys within seconds")
    {
        VirtualFleet world { {} };
        settle(world);
        world.isolate({ 2 }, true);
        world.runFor(7s);
        CHECK(!accepts(world, 2));
        CHECK(everywhere(world, [&](std::size_t vm) { return vm == 2 || accepts(world, vm); }));
        world.healAll();
        world.runFor(3s);
        CHECK(accepts(world, 2));
    }

    // One availability zone and a VM more are cut off together, store included. Four VMs that vouch for each
    // other must not be taken for the fleet.
    TEST_CASE("a cut-off part without a quorum stops trusting keys, the rest goes on without the store")
    {
        VirtualFleet world { {} };
        settle(world);
        world.isolate({ 0, 3, 6 }, true);
        world.setStoreDown(true);
        world.runFor(30s);
        for (const std::size_t vm : { 0, 3, 6 })
            CHECK(!accepts(world, vm));
        for (const std::size_t vm : { 1, 2, 4, 5, 7, 8 })
            CHECK(accepts(world, vm));
    }

    // The store is down for an hour. Nothing can be withdrawn meanwhile, so there is no reason to refuse
    // anybody; refusing would turn an outage of the store into one of the registers.
    TEST_CASE("a total outage of the store does not stop traffic")
    {
        VirtualFleet world { {} };
        settle(world);
        world.setStoreDown(true);
        for (int minute = 0; minute < 60; ++minute) {
            world.runFor(60s);
            REQUIRE(everywhere(world, [&](std::size_t vm) { return accepts(world, vm); }));
        }
    }

    TEST_CASE("what a withdrawn key has open is reported")
    {
        VirtualFleet world { {} };
        settle(world);
        std::vector<std::string> withdrawn;
        world.fleet(6).onKeyWithdrawn([&](const KeyId& key) { withdrawn.push_back(key.string()); });
        begin(world, world.fleet(1).revoke(revokeRequest("c2")));
        world.runFor(2s);
        CHECK(withdrawn == std::vector<std::string> { "k1" });
    }
}
