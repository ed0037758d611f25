#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace cyclamendrift {

/// The processor cores and the availability zone in a VM's record.
struct VmCapacity {
    ZoneName zone;
    /// Processor cores that the VM may use; below 1 on small VMs.
    double cores = 1;
};

/// The VMs that hold shares of each team's limit. In a small fleet every VM holds a share of each limit. In a
/// large fleet such a share would come to less than one operation and never admit one: there a few of the VMs
/// with the most cores hold each limit, and the others ask them for tokens for every operation.
///
///     const LimitHolders holders { listed };
///     if (!holders.includesAllVms())
///         shares.updateByHolders(limits, self, holders, now);
class LimitHolders {
public:
    struct Options {
        /// The holders of a team are in different availability zones where there are enough candidates.
        bool spreadOverZones = false;
    };

    LimitHolders() = default;
    explicit LimitHolders(std::map<VmName, VmCapacity> listed)
        : LimitHolders(std::move(listed), Options {})
    {
    }
    LimitHolders(std::map<VmName, VmCapacity> listed, Options options);

    /// True when every VM holds a share of each limit.
    [[nodiscard]] bool includesAllVms() const noexcept;

    /// False for a VM that holds no team's limit.
    [[nodiscard]] bool mayHold(const VmName& vm) const;

    /// The VMs that hold a team's limit in equal shares, in a large fleet; every VM computes the same from
    /// the same list.
    [[nodiscard]] std::vector<VmName> holdersOf(const TeamName& team) const;

    /// The holders in the order in which a VM asks them: those of its own availability zone first, within
    /// that in an order that differs between VMs.
    [[nodiscard]] std::vector<VmName> donorsFor(const TeamName& team, const VmName& asker) const;

private:
    void addCandidatesOfZones(const std::vector<VmName>& ranked);
    /// Puts the best candidates of different zones first, in the same order otherwise.
    void preferDifferentZones(std::vector<VmName>& ranked) const;

    Options options;
    std::map<VmName, VmCapacity> listed;
    /// The VMs with the most cores, from which the holders are selected.
    std::vector<VmName> holderCandidates;
};

/// Sorts the VMs by cores, the most first, those with equal cores by name; the same on every VM.
[[nodiscard]] std::vector<VmName> rankByCores(const std::map<VmName, VmCapacity>& listed);

} // namespace cyclamendrift
