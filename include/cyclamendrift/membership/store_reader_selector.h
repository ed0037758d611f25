#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/passed_over.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace cyclamendrift {

/// Which VMs read the store for the others, as one VM sees it: the first ones of an order that all VMs know,
/// without those that could not help it lately. The next ones take the place of these and read as well, so
/// that a reader that is gone, or that the store turns away, does not make every VM read for itself.
///
///     choice.setOrder(rankByCores(strengths), readers);
///     while (const auto reader = choice.readerFor(self, rank, now))
///         if (!answers(*reader)) choice.skipWithBackoff(*reader, pause, now);
class StoreReaderSelector {
public:
    /// Takes the order of all VMs in, and how many of them read.
    void setOrder(std::vector<VmName> vms, std::size_t count);

    /// The VM to ask; empty when this VM is to read the store itself. `rank` spreads the VMs over readers.
    [[nodiscard]] std::optional<VmName> readerFor(const VmName& self, std::size_t rank, Instant now) const;

    /// True for the readers and those that come after them in the order, which would take their place,
    /// without those that do not answer.
    [[nodiscard]] bool isReaderOrStandby(const VmName& vm, Instant now) const;

    /// Another one of these at each turn, and never `self`; empty when there is none.
    [[nodiscard]] std::optional<VmName> candidateToAsk(
        const VmName& self, std::size_t turn, Instant now) const;

    /// This VM did not answer; others take its place for `pause`, and longer each time that it happens again.
    void skipWithBackoff(const VmName& reader, Duration pause, Instant now);
    /// This VM answered, but with readings that are too old; others take its place until then.
    void skipUntil(const VmName& reader, Instant until) { this->skippedReaders.add(reader, until); }
    /// This VM answered that the store has not answered it lately; others take its place until then.
    void skipWithoutStore(const VmName& reader, Instant until) { this->withoutStore.add(reader, until); }
    /// This VM has read the store.
    void recordStoreRead(const VmName& reader);

    /// True when more VMs than there are readers have answered that they are without the store: it is more
    /// likely away for all than for these alone.
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
