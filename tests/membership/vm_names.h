#pragma once

#include <cyclamendrift/core/identifier.h>

#include <cstddef>
#include <string>
#include <vector>

namespace cyclamendrift {

/// Creates `count` names: "vm-0", "vm-1" and so on.
inline std::vector<VmName> makeVmNames(std::size_t count)
{
    std::vector<VmName> vms;
    for (std::size_t index = 0; index < count; ++index)
        vms.emplace_back("vm-" + std::to_string(index));
    return vms;
}

} // namespace cyclamendrift
