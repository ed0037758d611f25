#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace cyclamendrift {

/// Most witnesses that a fleet has, whatever its size.
inline constexpr std::size_t maxWitnesses = 9;

/// How many of `count` witnesses make a quorum: enough that two processes whose lists differ by one VM
/// either way still have a witness in common.
[[nodiscard]] std::size_t quorumOf(std::size_t count) noexcept;

/// The witnesses among the VMs of the platform's list, chosen by rendezvous hashing.
[[nodiscard]] std::vector<VmName> selectWitnesses(std::span<const VmName> listed);

/// Whether this process may act on the configuration that it has: use its keys, and hand out of the limits
/// that it owns. It may while the store, or a quorum of witnesses, said within the window that nothing newer
/// had been accepted. A change counts as accepted once a quorum of witnesses holds it. Any two quorums share
/// a witness, so after acceptance no process acts on the older configuration for longer than the window.
///
///     trust.onStatement({ .witness = vm, .sequence = 7, .madeAt = asked });
///     trust.trustedUntil(7); // when this process has to stop unless it hears more
class ConfigurationTrust {
public:
    struct Options {
        Duration window = std::chrono::seconds { 6 };
    };

    /// A witness held this sequence, and nothing higher, at a moment that is not earlier than `madeAt`.
    struct Statement {
        VmName witness;
        std::uint64_t sequence = 0;
        Instant madeAt;
    };

    explicit ConfigurationTrust(Options options) noexcept
        : options(options)
    {
    }

    /// Replaces the witnesses; what those who stay said is kept.
    void setWitnesses(std::vector<VmName> names);

    /// The store held `sequence` at a moment that is not earlier than `asked`.
    void onStoreRead(std::uint64_t sequence, Instant requestedAt);

    /// Takes what a witness said; older news than what is known, and news of others, are dropped.
    void onStatement(const Statement& witnessStatement);

    /// When this process must stop acting on the configuration with `sequence`; in the past if it never
    /// might.
    [[nodiscard]] Instant trustedUntil(std::uint64_t sequence) const;

    /// True when a quorum of witnesses is known to hold `sequence` or a higher one.
    [[nodiscard]] bool isAccepted(std::uint64_t sequence) const;

    /// All that is known of the witnesses, to be passed on.
    [[nodiscard]] std::vector<Statement> statements() const;

    /// The witnesses of now.
    [[nodiscard]] const std::vector<VmName>& witnesses() const noexcept { return this->names; }

    /// True when a VM is a witness.
    [[nodiscard]] bool isWitness(const VmName& vm) const;

private:
    struct StoreRead {
        std::uint64_t sequence = 0;
        Instant requestedAt = Instant::min();
    };

    Options options;
    std::vector<VmName> names;
    std::map<VmName, Statement> witnessStatement;
    /// Asked at the least of times until the store was read.
    StoreRead storeRead;
};

} // namespace cyclamendrift
