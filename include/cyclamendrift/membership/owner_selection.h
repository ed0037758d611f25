#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cyclamendrift {

/// A VM that may be selected as the owner of a key, such as a service or a limit shard.
struct OwnerCandidate {
    VmName vm;
    ZoneName zone;
};

/// The rendezvous hashing weight of a VM for a key; the same in every process.
[[nodiscard]] std::uint64_t rendezvousWeight(const VmName& vm, std::string_view key);

/// Sorts VMs by their rendezvous weight for a key, highest first; the same in every process.
///
///     rankByRendezvous(holders, "limit/hospitals");
void rankByRendezvous(std::vector<VmName>& vms, std::string_view key);

/// Selects the first `count` owners of a key by rendezvous hashing, highest weight first. The second owner is
/// in another availability zone than the first if any candidate is. Removing a VM changes nothing for a key
/// that it was not selected for.
///
///     const auto owners = selectOwners(candidates, "database/register/beds", 2);
[[nodiscard]] std::vector<OwnerCandidate> selectOwners(
    std::span<const OwnerCandidate> candidates, std::string_view key, std::size_t count);

} // namespace cyclamendrift
