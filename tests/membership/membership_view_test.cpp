#include <cyclamendrift/membership/membership_view.h>
#include <cyclamendrift/membership/owner_cache.h>

#include <property.h>

#include <algorithm>

using namespace cyclamendrift;
using namespace std::chrono_literals;

namespace {

const Instant start { 100s };

MemberRecord record(
    const std::string& name, std::uint64_t incarnation = 1, MemberState state = MemberState::Live)
{
    return { .vm = VmName { name },
        .zone = ZoneName { "z" },
        .host = "h",
        .port = 1,
        .process = 7,
        .incarnation = incarnation,
        .state = state };
}

MembershipView makeView()
{
    MembershipView view { { .self = record("a") } };
    view.onContact(record("b"), {}, start);
    view.onContact(record("c"), {}, start);
    return view;
}

bool isCandidate(const MembershipView& view, const std::string& name)
{
    const auto all = view.candidates();
    return std::any_of(all.begin(), all.end(),
        [&](const OwnerCandidate& candidate) { return candidate.vm.string() == name; });
}

} // namespace

TEST_SUITE("membership view")
{
    // Guards against moving the databases of a VM because one link is broken: this VM does not reach it,
    // while all others do.
    TEST_CASE("a VM that cannot be reached is suspected and can refute the suspicion")
    {
        auto view = makeView();
        view.onUnreachable(VmName { "b" }, start);
        CHECK(isCandidate(view, "b"));
        CHECK(view.find(VmName { "b" })->state == MemberState::Suspect);
        view.onContact(record("c"), std::vector { record("b", 2) }, start + 1s);
        view.tick(start + 1s);
        view.tick(start + 2s);
        view.tick(start + 3s);
        CHECK(view.find(VmName { "b" })->state == MemberState::Live);
    }

    // Guards against a dead VM that stays a candidate.
    TEST_CASE("a suspected VM that does not refute is declared dead")
    {
        auto view = makeView();
        view.onUnreachable(VmName { "b" }, start);
        for (auto now = start; now <= start + 3s; now += 500ms)
            view.tick(now);
        CHECK(!isCandidate(view, "b"));
    }

    // Guards against declaring VMs dead after a pause of this process: its suspicions look old, although
    // no VM could refute them meanwhile.
    TEST_CASE("after a pause a suspicion can still be refuted")
    {
        auto view = makeView();
        view.tick(start);
        view.onUnreachable(VmName { "b" }, start);
        view.tick(start + 60s);
        CHECK(isCandidate(view, "b"));
    }

    // Guards against a VM that stays evicted although it is alive.
    TEST_CASE("a VM refutes an update about it with a higher incarnation")
    {
        auto view = makeView();
        view.onContact(record("b"), std::vector { record("a", 5, MemberState::Dead) }, start);
        CHECK(view.self().incarnation == 6);
        CHECK(view.self().state == MemberState::Live);
    }

    // Guards against a late update that declares a VM dead after it has answered again.
    TEST_CASE("an older update does not replace a newer one")
    {
        auto view = makeView();
        view.onContact(record("b", 3), {}, start);
        view.onContact(record("c"), std::vector { record("b", 2, MemberState::Dead) }, start);
        CHECK(isCandidate(view, "b"));
    }

    // Guards against selecting a VM that is about to leave as an owner.
    TEST_CASE("a VM that the list shows as leaving is no candidate")
    {
        auto view = makeView();
        view.onList(
            std::vector { ListedVm { .vm = VmName { "b" }, .zone = ZoneName { "z" }, .leaving = true } });
        CHECK(!isCandidate(view, "b"));
        CHECK(isCandidate(view, "c"));
    }

    // Guards against heartbeat traffic of a VM that grows with the number of VMs.
    TEST_CASE("the messages of an interval do not grow with the size of the fleet")
    {
        for (const std::size_t count : { 10U, 1000U }) {
            MembershipView view { { .self = record("a") } };
            std::vector<ListedVm> listed;
            for (std::size_t i = 0; i < count; ++i)
                listed.push_back({ .vm = VmName { std::to_string(i) }, .zone = ZoneName { "z" } });
            view.onList(listed);
            CHECK(view.selectProbeTargets().size() == 2);
            CHECK(view.nextGossipUpdates(VmName { "0" }).size() <= 8);
        }
    }

    // Guards against cached owners that are outdated after a change of the candidates.
    TEST_CASE("cached owners are the same as selected ones")
    {
        checkProperty("cache", [] {
            std::vector<OwnerCandidate> all;
            for (int i = 0; i < 90; ++i)
                all.push_back({ VmName { std::to_string(i) }, ZoneName { std::to_string(i % 4) } });
            OwnerCache cache;
            for (int round = 0; round < 4; ++round) {
                auto some = all;
                const auto cut = *rc::gen::inRange(0, 20);
                for (int i = 0; i < cut; ++i)
                    some.erase(some.begin()
                        + *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(some.size())));
                cache.setCandidates(some);
                for (int key = 0; key < 30; ++key) {
                    const auto cached = cache.owners(std::to_string(key), 2);
                    const auto ranked = selectOwners(some, std::to_string(key), 2);
                    RC_ASSERT(cached[0].vm == ranked[0].vm);
                    RC_ASSERT(cached[1].vm == ranked[1].vm);
                }
            }
        });
    }
}
