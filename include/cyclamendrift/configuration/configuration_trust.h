#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace cyclamendrift {

/// Upper bound on the number of witnesses of a fleet of any size.
inline constexpr std::size_t maxWitnesses = 9;

/// Returns how many of `count` witnesses form a quorum. Quorums of two processes share at least one witness
/// even if their VM lists differ by one VM, added or removed.
[[nodiscard]] std::size_t quorumOf(std::size_t count) noexcept;

/// Selects the witnesses from the platform's VM list by rendezvous hashing.
[[nodiscard]] std::vector<VmName> selectWitnesses(std::span<const VmName> listed);

/// Decides whether this process may act on its configuration, that is, use its keys and grant tokens from the
/// limits that it owns. It may do so if the store, or a quorum of witnesses, confirmed within the window that
/// nothing newer had been accepted. A change is accepted once a quorum of witnesses holds it. Any two quorums
/// share a witness, so after acceptance no process acts on the older configuration for longer than the
/// window.
///
///     trust.onStatement({ .witness = vm, .sequence = 7, .madeAt = requestedAt });
///     trust.trustedUntil(7); // when this process has to stop without further confirmation
class ConfigurationTrust {
public:
    struct Options {
        /// How long one confirmation allows this process to act on its configuration.
        Duration window = std::chrono::seconds { 6 };
    };

    /// States that a witness held this sequence and no higher one at some time not earlier than `madeAt`.
    struct Statement {
        VmName witness;
        std::uint64_t sequence = 0;
        Instant madeAt;
    };

    explicit ConfigurationTrust(Options options) noexcept
        : options(options)
    {
    }

    /// Replaces the witnesses; the statements of those that remain are kept.
    void setWitnesses(std::vector<VmName> names);

    /// Records that the store held `sequence` at some time not earlier than `requestedAt`.
    void onStoreRead(std::uint64_t sequence, Instant requestedAt);

    /// Records a witness's statement. A statement that is older than the recorded one, or that comes from a
    /// VM that is not a witness, is ignored.
    void onStatement(const Statement& witnessStatement);

    /// Returns when this process must stop acting on the configuration with `sequence`; Instant::min() if
    /// nothing has confirmed it.
    [[nodiscard]] Instant trustedUntil(std::uint64_t sequence) const;

    /// Returns true if a quorum of witnesses is known to hold `sequence` or a higher one.
    [[nodiscard]] bool isAccepted(std::uint64_t sequence) const;

    /// Returns the latest statement of each witness, for forwarding to siblings.
    [[nodiscard]] std::vector<Statement> statements() const;

    /// The current witnesses.
    [[nodiscard]] const std::vector<VmName>& witnesses() const noexcept { return this->names; }

    /// Returns true if the VM is a current witness.
    [[nodiscard]] bool isWitness(const VmName& vm) const;

private:
    struct StoreRead {
        std::uint64_t sequence = 0;
        Instant requestedAt = Instant::min();
    };

    Options options;
    std::vector<VmName> names;
    std::map<VmName, Statement> witnessStatement;
    /// Its `requestedAt` is Instant::min() until the first store read.
    StoreRead storeRead;
};

} // namespace cyclamendrift
