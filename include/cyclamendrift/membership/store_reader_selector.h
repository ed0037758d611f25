#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/passed_over.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace cyclamendrift {

/// Selects the VMs that read the store for the others (store readers), as one VM sees them: the first VMs of
/// an order that all VMs share, without those that recently failed to serve this VM. Standbys, the next VMs
/// of the order, take their place, so that a reader that has failed or that the store refuses does not make
/// every VM read the store itself.
///
///     selector.setOrder(rankByCores(capacities), count);
///     while (const auto reader = selector.readerFor(self, rank, now))
///         if (!answers(*reader)) selector.skipWithBackoff(*reader, pause, now);
class StoreReaderSelector {
public:
    /// Sets the order of all VMs and the number of store readers.
    void setOrder(std::vector<VmName> vms, std::size_t count);

    /// The store reader that `self` asks; empty when `self` reads the store itself. `rank` spreads the VMs
    /// over the readers.
    [[nodiscard]] std::optional<VmName> readerFor(const VmName& self, std::size_t rank, Instant now) const;

    /// True for the store readers and their standbys, without VMs that do not answer.
    [[nodiscard]] bool isReaderOrStandby(const VmName& vm, Instant now) const;

    /// The store readers and their standbys whether they answer this VM or not, the same on every VM.
    [[nodiscard]] std::vector<VmName> roster() const;
    [[nodiscard]] std::size_t readers() const noexcept { return this->readerCount; }

    /// A reader or standby other than `self`, another one at each turn; empty when there is none.
    [[nodiscard]] std::optional<VmName> candidateToAsk(
        const VmName& self, std::size_t turn, Instant now) const;

    /// Skips a VM that did not answer. Each further failure doubles the pause, up to 8 times its length,
    /// until the VM has read the store.
    void skipWithBackoff(const VmName& reader, Duration pause, Instant now);
    /// Skips a VM that answered with an outdated store snapshot.
    void skipUntil(const VmName& reader, Instant until) { this->skippedReaders.add(reader, until); }
    /// Skips a VM as a reader after it reported that the store has not answered it recently.
    void skipWithoutStore(const VmName& reader, Instant until) { this->withoutStore.add(reader, until); }
    /// Ends the backoff of a VM that has read the store.
    void recordStoreRead(const VmName& reader);

    /// True when more VMs than there are readers have reported that the store does not answer them. The store
    /// is then more likely unavailable to all VMs than to these alone.
    [[nodiscard]] bool storeSeemsUnavailable(Instant now) const;

private:
    [[nodiscard]] std::vector<VmName> readersAndStandbys(Instant now) const;

    std::vector<VmName> order;
    std::size_t readerCount = 1;
    PassedOver<VmName> skippedReaders;
    std::map<VmName, int> skipCounts;
    PassedOver<VmName> withoutStore;
};

} // namespace cyclamendrift
