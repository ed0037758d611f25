#include "fleet_faults.h"

#include <property.h>

#include <fleet.pb.h>

#include <map>
#include <set>

using namespace cyclamendrift;
using namespace cyclamendrift::tests;

namespace {

/// Time from acceptance on in which a withdrawn key may still work: the trust window on the slowest clock.
constexpr Duration withdrawalBound = 6200ms;

/// Follows the revisions that each process has in force; they never go back.
class RevisionModel {
public:
    void observe(VirtualFleet& world)
    {
        for (std::size_t vm = 0; vm < world.size(); ++vm) {
            const auto process = world.process(vm).get();
            const auto revision = revisionAt(world, vm);
            RC_ASSERT(revision >= this->seen[process]);
            this->seen[process] = revision;
        }
    }

private:
    std::map<standins::VirtualProcess*, std::uint64_t> seen;
};

std::map<std::string, int> writesOf(VirtualFleet& world)
{
    std::map<std::string, int> writes;
    for (const auto& entry : world.platform().history) {
        wire::ConfigurationDocument document;
        RC_ASSERT(document.ParseFromString(entry.value));
        if (!document.change_id().empty())
            ++writes[document.change_id()];
    }
    return writes;
}

} // namespace

TEST_SUITE("fleet properties")
{
    TEST_CASE("a configuration never goes back, is applied once, and is everywhere once faults heal")
    {
        checkProperty("configuration", [] {
            const auto vmCount = *rc::gen::inRange<std::size_t>(2, 7);
            VirtualFleet world {
                { .vmCount = vmCount, .seed = *rc::gen::arbitrary<std::uint32_t>(), .clockDrift = 0.01 }
            };
            settle(world);
            FaultInjector injector { world };
            RevisionModel model;
            std::map<std::string, std::shared_ptr<ChangeResult>> changes;
            for (const auto& fault : *rc::gen::container<std::vector<Fault>>(8, anyFault(vmCount))) {
                injector.apply(fault);
                const auto id = "c" + std::to_string(changes.size());
                const auto at = fault.other;
                changes[id] = begin(world,
                    world.fleet(at).setLimits(
                        limitsRequest(id, 10 + static_cast<double>(changes.size()), 20)));
                for (std::uint32_t passed = 0; passed < fault.waitMs; passed += 100) {
                    world.runFor(100ms);
                    model.observe(world);
                }
            }
            injector.healAll();
            for (int step = 0; step < 15; ++step) {
                world.runFor(1s);
                model.observe(world);
            }
            const auto newest = revisionAt(world, 0);
            RC_ASSERT(everywhere(world, [&](std::size_t vm) { return revisionAt(world, vm) == newest; }));
            const auto writes = writesOf(world);
            for (const auto& [id, result] : changes) {
                const auto written = writes.contains(id) ? writes.at(id) : 0;
                RC_ASSERT(written <= 1);
                if (result->response)
                    RC_ASSERT(written == 1);
                if (result->outcome == Outcome::NotRun)
                    RC_ASSERT(written == 0);
            }
        });
    }

    TEST_CASE("a withdrawn key works nowhere once the bound after acceptance has passed")
    {
        checkProperty("withdrawal", [] {
            const auto vmCount = *rc::gen::inRange<std::size_t>(2, 10);
            VirtualFleet world {
                { .vmCount = vmCount, .seed = *rc::gen::arbitrary<std::uint32_t>(), .clockDrift = 0.01 }
            };
            settle(world);
            FaultInjector injector { world };
            const auto schedule = *rc::gen::container<std::vector<Fault>>(8, anyFault(vmCount));
            std::vector<std::shared_ptr<ChangeResult>> tries;
            auto accepted = Instant::max();
            const auto observe = [&] {
                for (const auto& result : tries) {
                    if (result->response)
                        accepted = std::min(accepted, result->at);
                }
                if (accepted == Instant::max() || world.now() <= accepted + withdrawalBound)
                    return;
                for (std::size_t vm = 0; vm < vmCount; ++vm)
                    RC_ASSERT(!accepts(world, vm));
            };
            for (const auto& fault : schedule) {
                injector.apply(fault);
                if (tries.empty() || tries.back()->isDone())
                    tries.push_back(begin(world, world.fleet(fault.other).revoke(revokeRequest("w"))));
                for (std::uint32_t passed = 0; passed < fault.waitMs; passed += 100) {
                    world.runFor(100ms);
                    observe();
                }
            }
            for (int step = 0; step < 100; ++step) {
                world.runFor(100ms);
                observe();
            }
        });
    }

    TEST_CASE("a store outage alone stops no traffic, and one broken link evicts nobody")
    {
        checkProperty("serving", [] {
            const auto vmCount = *rc::gen::inRange<std::size_t>(3, 10);
            VirtualFleet world {
                { .vmCount = vmCount, .seed = *rc::gen::arbitrary<std::uint32_t>(), .clockDrift = 0.01 }
            };
            settle(world);
            world.setStoreDown(true);
            const auto left = *rc::gen::inRange<std::size_t>(0, vmCount);
            const auto right = (left + *rc::gen::inRange<std::size_t>(1, vmCount)) % vmCount;
            world.cut(left, right);
            const DatabaseName database { ServiceName { "register" },
                std::to_string(*rc::gen::arbitrary<std::uint16_t>()) };
            const auto homesAt = [&](std::size_t vm) {
                std::set<VmName> names;
                for (const auto& home : world.fleet(vm).homesOf(database))
                    names.insert(home.vm);
                return names;
            };
            const auto before = homesAt(0);
            RC_ASSERT(before.size() == 2U);
            for (int step = 0; step < 40; ++step) {
                world.runFor(500ms);
                RC_ASSERT(everywhere(world, [&](std::size_t vm) { return accepts(world, vm); }));
                RC_ASSERT(everywhere(world, [&](std::size_t vm) { return homesAt(vm) == before; }));
            }
        });
    }

    TEST_CASE("homes agree again once faults heal")
    {
        checkProperty("homes", [] {
            const auto vmCount = *rc::gen::inRange<std::size_t>(2, 9);
            VirtualFleet world {
                { .vmCount = vmCount, .seed = *rc::gen::arbitrary<std::uint32_t>(), .clockDrift = 0.01 }
            };
            settle(world);
            const auto homesAt = [&](std::size_t vm) {
                std::vector<std::string> names;
                for (const auto& home : world.fleet(vm).homesOf({ ServiceName { "register" }, "beds" }))
                    names.push_back(home.vm.string());
                return names;
            };
            const auto before = homesAt(0);
            FaultInjector injector { world };
            for (const auto& fault : *rc::gen::container<std::vector<Fault>>(6, anyFault(vmCount))) {
                injector.apply(fault);
                world.runFor(std::chrono::milliseconds { fault.waitMs });
            }
            injector.healAll();
            world.runFor(12s);
            RC_ASSERT(everywhere(world, [&](std::size_t vm) { return homesAt(vm) == before; }));
        });
    }
}
