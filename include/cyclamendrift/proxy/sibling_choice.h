#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/proxy/fleet.h>
#include <cyclamendrift/siblings/sibling_client.h>

#include <cstddef>
#include <span>
#include <vector>

namespace cyclamendrift {

/// Which siblings to ask about a slot that is silent.
struct SiblingChoice {
    VmName self;
    ZoneName zone;
    /// Siblings that are thought to be alive, best first.
    std::span<const SiblingAddress> reachable;
    /// All VMs of the platform's last list, this one included or not.
    std::span<const ListedSibling> listed;
    std::size_t most = 0;
};

/// Picks at most `most` siblings: those alive before those only listed, other availability zones first among
/// each.
///
///     chooseSiblings({ .self = self, .zone = zone, .reachable = homes, .listed = fleet.listedSiblings(),
///     .most = 3 });
[[nodiscard]] std::vector<SiblingAddress> chooseSiblings(const SiblingChoice& choice);

} // namespace cyclamendrift
