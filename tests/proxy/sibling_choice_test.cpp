#include <cyclamendrift/proxy/sibling_choice.h>

#include <doctest/doctest.h>

using namespace cyclamendrift;

namespace {

SiblingAddress addressOf(const std::string& vm)
{
    return { .vm = VmName { vm }, .host = "127.0.0.1", .port = 7003 };
}

ListedSibling listed(const std::string& vm, const std::string& zone)
{
    return { .address = addressOf(vm), .zone = ZoneName { zone } };
}

std::vector<std::string> namesOf(const std::vector<SiblingAddress>& addresses)
{
    std::vector<std::string> names;
    for (const auto& address : addresses)
        names.push_back(address.vm.string());
    return names;
}

} // namespace

TEST_SUITE("choice of siblings")
{
    // The network of one VM breaks towards all its siblings, but not towards the store and the slots. After
    // some seconds it takes its siblings for dead. If it then asked nobody, it would replace a primary that
    // serves all other callers.
    TEST_CASE("a VM cut off from all siblings still has siblings to ask")
    {
        const std::vector all { listed("self", "palermo"), listed("a", "catania"), listed("b", "messina") };
        const auto chosen = chooseSiblings(
            { .self = VmName { "self" }, .zone = ZoneName { "palermo" }, .listed = all, .most = 3 });
        CHECK(namesOf(chosen) == std::vector<std::string> { "a", "b" });
    }

    TEST_CASE("a VM that is alone on the list has nobody to ask")
    {
        const std::vector all { listed("self", "palermo") };
        const auto chosen = chooseSiblings(
            { .self = VmName { "self" }, .zone = ZoneName { "palermo" }, .listed = all, .most = 3 });
        CHECK(chosen.empty());
    }

    TEST_CASE("those alive come before those only listed, and other zones first")
    {
        const std::vector alive { addressOf("near"), addressOf("far") };
        const std::vector all { listed("near", "palermo"), listed("far", "catania"),
            listed("gone", "messina") };
        const auto chosen = chooseSiblings({ .self = VmName { "self" },
            .zone = ZoneName { "palermo" },
            .reachable = alive,
            .listed = all,
            .most = 3 });
        CHECK(namesOf(chosen) == std::vector<std::string> { "far", "near", "gone" });
    }
}
