#include <cyclamendrift/membership/owner_selection.h>

#include <cyclamendrift/core/stable_hash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace cyclamendrift {

namespace {

/// An item that names a VM, with that VM's weight.
template <class Item> struct Ranked {
    std::uint64_t weight = 0;
    const Item* item = nullptr;
};

const VmName& vmOf(const VmName& vm) { return vm; }
const VmName& vmOf(const OwnerCandidate& candidate) { return candidate.vm; }

template <class Item> std::vector<Ranked<Item>> rank(std::span<const Item> items, std::string_view key)
{
    std::vector<Ranked<Item>> ranked;
    ranked.reserve(items.size());
    for (const auto& item : items)
        ranked.push_back({ .weight = rendezvousWeight(vmOf(item), key), .item = &item });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked<Item>& left, const Ranked<Item>& right) {
        if (left.weight != right.weight)
            return left.weight > right.weight;
        return vmOf(*left.item) < vmOf(*right.item);
    });
    return ranked;
}

} // namespace

std::uint64_t rendezvousWeight(const VmName& vm, std::string_view key)
{
    return stableHash(vm.string() + '\n' + std::string { key });
}

void rankByRendezvous(std::vector<VmName>& vms, std::string_view key)
{
    std::vector<VmName> sorted;
    sorted.reserve(vms.size());
    for (const auto& entry : rank(std::span<const VmName> { vms }, key))
        sorted.push_back(*entry.item);
    vms = std::move(sorted);
}

std::vector<OwnerCandidate> selectOwners(
    std::span<const OwnerCandidate> candidates, std::string_view key, std::size_t count)
{
    auto ranked = rank(candidates, key);
    // Two owners in one availability zone would fail together with it.
    if (ranked.size() > 2) {
        const auto& firstZone = ranked.front().item->zone;
        const auto inOtherZone = std::find_if(ranked.begin() + 1, ranked.end(),
            [&firstZone](const auto& entry) { return entry.item->zone != firstZone; });
        if (inOtherZone != ranked.end())
            std::rotate(ranked.begin() + 1, inOtherZone, inOtherZone + 1);
    }
    std::vector<OwnerCandidate> owners;
    for (const auto& entry : std::span { ranked }.first(std::min(count, ranked.size())))
        owners.push_back(*entry.item);
    return owners;
}

} // namespace cyclamendrift
