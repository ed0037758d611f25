#include <cyclamendrift/session_proxy/directory_reader.h>

#include <exception>
#include <utility>

namespace cyclamendrift {

void DirectoryReader::addServices(const RouteTable& routes)
{
    for (const auto& [service, cap] : routes.connectionCaps)
        this->services.insert(service);
    for (const auto& [database, route] : routes.routes)
        this->services.insert(route.service);
}

DirectoryReader::Reading DirectoryReader::read(std::span<const StoreEntry> entries)
{
    Reading reading;
    auto previous = std::exchange(this->reasons, {});
    const auto setAside = [&](const StoreEntry& entry, std::string reason) {
        const auto before = previous.find(entry.key);
        // The listing is read every second, so a reason that stays the same is reported once.
        if (before == previous.end() || before->second != reason) {
            ++this->total;
            reading.setAside.push_back({ .key = entry.key, .reason = reason });
        }
        this->reasons[entry.key] = std::move(reason);
    };
    for (const auto& entry : entries) {
        try {
            auto upstream = this->format.readUpstream(entry.key, entry.value);
            if (this->services.empty() || this->services.contains(upstream.service))
                reading.upstreams.push_back(std::move(upstream));
            else
                setAside(entry, "its service is not configured");
        } catch (const std::exception& error) {
            // Whatever is wrong with an entry, it must not hide the others.
            setAside(entry, error.what());
        }
    }
    return reading;
}

} // namespace cyclamendrift
