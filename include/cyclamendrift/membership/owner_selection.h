#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// A VM as a candidate to be home of something.
struct OwnerCandidate {
    VmName vm;
    ZoneName zone;
};

/// The rendezvous weight of a VM for a subject; the same in every process.
[[nodiscard]] std::uint64_t rendezvousWeight(const VmName& vm, std::string_view key);

/// Sorts VMs for a subject by rendezvous hashing, best first; the same in every process.
///
///     rankByRendezvous(holders, "limit/hospitals");
void rankByRendezvous(std::vector<VmName>& vms, std::string_view key);

/// The first `count` candidates for a subject by rendezvous hashing, best first. The second is in another
/// availability zone than the first wherever there is one. Removing a VM changes nothing for a subject that
/// it was not chosen for.
///
///     const auto homes = selectOwners(candidates, "database/register/beds", 2);
[[nodiscard]] std::vector<OwnerCandidate> selectOwners(
    std::span<const OwnerCandidate> candidates, std::string_view key, std::size_t count);

} // namespace cyclamendrift
