#pragma once

#include <cstddef>

namespace cyclamendrift {

/// How the file descriptors of this process are divided. The remaining eighth is reserved for siblings, the
/// store and the pages that this process serves.
struct DescriptorShares {
    std::size_t callers = 0;
    std::size_t upstreams = 0;
};

/// Divides that many descriptors.
[[nodiscard]] DescriptorShares divideDescriptors(std::size_t descriptors) noexcept;

/// The shares of the number of descriptors that this process may open, RLIMIT_NOFILE.
[[nodiscard]] DescriptorShares descriptorShares() noexcept;

/// True when this process can open a further descriptor.
[[nodiscard]] bool hasFreeDescriptor() noexcept;

} // namespace cyclamendrift
