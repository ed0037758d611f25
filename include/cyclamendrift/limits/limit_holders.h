#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cstddef>
#include <map>
#include <vector>

namespace cyclamendrift {

/// What a VM's record says of its strength and place.
struct VmCapacity {
    ZoneName zone;
    /// Processor cores that it may use; a part of one on small VMs.
    double cores = 1;
};

/// Which VMs hold parts of a team's limit. In a small fleet every VM holds a part of each limit. In a large
/// one a part would come to less than one operation, which nobody can be let in for: there a few of the
/// strongest VMs hold each limit, and the others ask them for every operation.
///
///     const LimitHolders holders { listed };
///     if (!holders.includesAllVms())
///         shares.updateByHolders(limits, self, holders, now);
class LimitHolders {
public:
    LimitHolders() = default;
    explicit LimitHolders(std::map<VmName, VmCapacity> listed);

    /// True while every VM holds a part of each limit.
    [[nodiscard]] bool includesAllVms() const noexcept;

    /// The VMs that hold a team's limit in even parts, in a large fleet; the same from the same list on
    /// every VM.
    [[nodiscard]] std::vector<VmName> holdersOf(const TeamName& team) const;

    /// The order in which a VM asks them: those of its availability zone first, and each VM begins with
    /// another one.
    [[nodiscard]] std::vector<VmName> donorsFor(const TeamName& team, const VmName& asker) const;

private:
    std::map<VmName, VmCapacity> listed;
    /// Those among which the holders are chosen.
    std::vector<VmName> holderCandidates;
};

/// The VMs by strength, the strongest first, those alike by name; the same on every VM.
[[nodiscard]] std::vector<VmName> rankByCores(const std::map<VmName, VmCapacity>& listed);

} // namespace cyclamendrift
