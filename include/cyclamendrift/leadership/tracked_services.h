#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace cyclamendrift {

/// Selects the services whose primary one VM tracks. Where there are few services, every VM tracks all of
/// them. Otherwise a VM tracks those whose statements it runs, and those of which it is one of the first
/// candidates for the coordinator lease, so that the work of a VM does not grow with the number of services.
///
///     tracked.setVms(listed);
///     tracked.recordUse(service, now);
///     if (tracked.includes(service, now)) track(service, tracked.rankFor(service));
class TrackedServices {
public:
    explicit TrackedServices(VmName self);

    /// Sets all VMs of the fleet. The candidates for coordinator leases are selected among them.
    void setVms(std::span<const VmName> vms);
    void setServiceCount(std::size_t services) noexcept { this->serviceCount = services; }
    /// Whether this VM confirms views for its siblings, and therefore tracks all services.
    void setConfirmsForSiblings(bool confirms) noexcept { this->confirmsForSiblings = confirms; }
    [[nodiscard]] bool confirms() const noexcept { return this->confirmsForSiblings; }

    /// A statement of the service is about to run at this VM.
    void recordUse(const ServiceName& service, Instant now);

    [[nodiscard]] bool includes(const ServiceName& service, Instant now) const;
    /// False for a VM that tracks no primary, whatever the services: it forwards all statements to others.
    [[nodiscard]] bool mayIncludeAny() const noexcept;
    /// True while views of the service's primary are needed at this VM to run statements.
    [[nodiscard]] bool isUsed(const ServiceName& service, Instant now) const;
    /// Position of this VM in the order in which VMs try to acquire the coordinator lease of the service.
    [[nodiscard]] std::size_t rankFor(const ServiceName& service) const;

    /// Discards services that were not used for a while.
    void discardUnused(Instant now);

private:
    [[nodiscard]] bool includesAll() const noexcept;

    VmName self;
    /// Position of this VM among the candidates; empty when it is none.
    std::optional<std::size_t> candidateIndex;
    std::size_t candidateCount = 0;
    std::size_t serviceCount = 0;
    bool confirmsForSiblings = false;
    std::map<ServiceName, Instant> usedAt;
};

} // namespace cyclamendrift
