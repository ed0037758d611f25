#include <cyclamendrift/proxy/sibling_choice.h>

#include <algorithm>

namespace cyclamendrift {

namespace {

using Addresses = std::vector<SiblingAddress>;

bool contains(const Addresses& addresses, const VmName& vm)
{
    return std::any_of(addresses.begin(), addresses.end(),
        [&vm](const SiblingAddress& address) { return address.vm == vm; });
}

/// An unknown zone counts as another one.
bool isElsewhere(const SiblingChoice& choice, const VmName& vm)
{
    const auto found = std::find_if(choice.listed.begin(), choice.listed.end(),
        [&vm](const ListedSibling& sibling) { return sibling.address.vm == vm; });
    return found == choice.listed.end() || found->zone != choice.zone;
}

/// Adds those of `more` that are new, other zones first.
void add(Addresses& chosen, const SiblingChoice& choice, Addresses more)
{
    std::stable_partition(more.begin(), more.end(),
        [&choice](const SiblingAddress& address) { return isElsewhere(choice, address.vm); });
    for (auto& address : more) {
        const bool isNew = address.vm != choice.self && !contains(chosen, address.vm);
        if (isNew && chosen.size() < choice.most)
            chosen.push_back(std::move(address));
    }
}

} // namespace

std::vector<SiblingAddress> chooseSiblings(const SiblingChoice& choice)
{
    Addresses chosen;
    add(chosen, choice, { choice.reachable.begin(), choice.reachable.end() });
    // A VM that is cut off from its siblings soon takes them for dead. If it then found nobody to ask, it
    // would pass for the only VM there is, and its own broken network would replace a primary that serves
    // everybody else. So the platform's list counts as well: those on it are asked, and their silence decides
    // nothing.
    Addresses onlyListed;
    for (const auto& sibling : choice.listed)
        onlyListed.push_back(sibling.address);
    add(chosen, choice, std::move(onlyListed));
    return chosen;
}

} // namespace cyclamendrift
