#pragma once

#include <cyclamendrift/core/identifier.h>

#include <asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamendrift {

/// One line of the platform's list: a VM of the system or an upstream.
struct VmEntry {
    VmName name;
    ZoneName zone;
    std::string address;
    /// The port for sibling proxies, or the database port of an upstream.
    std::uint16_t port = 0;
    bool leaving = false;
    bool upstream = false;
};

/// The platform's list of live and leaving VMs. It lags: a VM on it may be gone, and a new one not yet on it.
class VmList {
public:
    virtual ~VmList() = default;

    /// The list as the platform gives it now; throws StoreError.
    [[nodiscard]] virtual asio::awaitable<std::vector<VmEntry>> fetch() = 0;
};

} // namespace cyclamendrift
