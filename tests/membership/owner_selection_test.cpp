#include <cyclamendrift/membership/owner_selection.h>

#include <property.h>

#include <algorithm>
#include <string>

using namespace cyclamendrift;

namespace {

std::vector<OwnerCandidate> makeCandidates(std::size_t count, std::size_t zones)
{
    std::vector<OwnerCandidate> candidates;
    for (std::size_t i = 0; i < count; ++i)
        candidates.push_back({ VmName { "vm" + std::to_string(i) }, ZoneName { std::to_string(i % zones) } });
    return candidates;
}

} // namespace

TEST_SUITE("owner selection")
{
    // Guards against losing both owners together with one availability zone.
    TEST_CASE("the second owner is in another availability zone")
    {
        checkProperty("zones differ", [](std::uint32_t key) {
            const auto count = *rc::gen::inRange<std::size_t>(2, 30);
            const auto zones = *rc::gen::inRange<std::size_t>(2, 5);
            const auto owners = selectOwners(makeCandidates(count, zones), std::to_string(key), 2);
            RC_ASSERT(owners.size() == 2U);
            RC_ASSERT(owners[0].zone != owners[1].zone);
        });
    }

    // Guards against databases that change their owner when an unrelated VM fails: all their connections
    // would be reopened at once.
    TEST_CASE("removing a VM changes only the keys that it owned")
    {
        checkProperty("stable first owner", [](std::uint32_t key) {
            const auto count = *rc::gen::inRange<std::size_t>(2, 30);
            auto candidates = makeCandidates(count, 3);
            const auto before = selectOwners(candidates, std::to_string(key), 1).front().vm;
            const auto removed = *rc::gen::inRange<std::size_t>(0, count);
            const auto gone = candidates[removed].vm;
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(removed));
            const auto after = selectOwners(candidates, std::to_string(key), 1).front().vm;
            RC_ASSERT(before == gone || after == before);
        });
    }

    // Guards against a VM that owns far more keys than others.
    TEST_CASE("keys spread evenly over the VMs")
    {
        constexpr int keys = 9000;
        const auto candidates = makeCandidates(9, 3);
        std::vector<int> counts(9);
        for (int i = 0; i < keys; ++i) {
            const auto owner = selectOwners(candidates, std::to_string(i), 1).front().vm;
            ++counts[std::stoul(owner.string().substr(2))];
        }
        const auto [least, most] = std::minmax_element(counts.begin(), counts.end());
        CHECK(*least > 850);
        CHECK(*most < 1150);
    }
}
