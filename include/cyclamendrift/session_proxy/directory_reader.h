#pragma once

#include <cyclamendrift/platform/store.h>
#include <cyclamendrift/pooling/route_table.h>
#include <cyclamendrift/pooling/upstream_directory.h>
#include <cyclamendrift/session_proxy/ports.h>

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cyclamendrift {

/// Reads upstreams from the entries of the platform's directory, to which others write as well. An entry that
/// names no upstream of a configured service is set aside; the others hold.
class DirectoryReader {
public:
    struct SetAside {
        std::string key;
        std::string reason;
    };
    struct Reading {
        UpstreamDirectory upstreams;
        /// Entries that were not set aside for the same reason in the previous reading.
        std::vector<SetAside> setAside;
    };

    /// The format must outlive this object.
    explicit DirectoryReader(const PlatformFormat& format) noexcept
        : format(format)
    {
    }

    /// Adds the services of a configuration. Until the first one is known, every service is accepted; one
    /// that a later configuration no longer names stays accepted, because transactions may still use it.
    void addServices(const RouteTable& routes);
    [[nodiscard]] Reading read(std::span<const StoreEntry> entries);
    /// How many entries were set aside, each counted once for as long as its reason stays the same.
    [[nodiscard]] std::uint64_t setAsideTotal() const noexcept { return this->total; }

private:
    const PlatformFormat& format;
    std::set<ServiceName> services;
    /// Reasons of the previous reading, by key.
    std::map<std::string, std::string> reasons;
    std::uint64_t total = 0;
};

} // namespace cyclamendrift
