#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/core/passed_over.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <span>

namespace cyclamendrift {

/// Decides from which sibling a VM requests a configuration that it lacks. Store readers tell the revision of
/// the latest configuration with each answer, but send a large document only to a separate request: its
/// transfer takes longer than the views of primaries may go without being renewed. A reader whose link has no
/// capacity names VMs that have the document already. Does no I/O.
///
///     fetch.announced(reader, revision, now);
///     while (fetch.isLacking())
///         if (const auto vm = fetch.next(now))
///             request(*vm);   // reports the outcome to taken(), busy() or failed()
///         else
///             wait();
class ConfigurationFetch {
public:
    /// A sibling has the configuration of that revision.
    void announced(const VmName& sibling, std::uint64_t revision, Instant now);
    /// The configuration of that revision is in force at this VM.
    void taken(std::uint64_t revision);

    [[nodiscard]] bool isLacking() const noexcept { return this->since != Instant::max(); }
    /// The sibling to request the configuration from; empty when none is lacking, or each was asked lately.
    [[nodiscard]] std::optional<VmName> next(Instant now) const;

    /// A sibling has no capacity for the transfer now, and named others that have the document.
    void busy(const VmName& sibling, std::span<const VmName> holders, Instant now);
    /// A sibling did not send the document.
    void failed(const VmName& sibling, Instant now);

    /// The latest revision that a sibling has announced.
    [[nodiscard]] std::uint64_t knownRevision() const noexcept { return this->known; }
    /// Since when this VM has known of a configuration that it lacks; Instant::max() when it lacks none.
    [[nodiscard]] Instant lackingSince() const noexcept { return this->since; }

private:
    void addSource(const VmName& sibling);

    std::uint64_t known = 0;
    std::uint64_t inForce = 0;
    Instant since = Instant::max();
    /// Siblings that have the document, the next one to ask first.
    std::deque<VmName> sources;
    PassedOver<VmName> skipped;
};

} // namespace cyclamendrift
