#pragma once

#include <cyclamendrift/core/instant.h>

namespace cyclamendrift {

/// Decides until when a VM may act on its configuration without a further confirmation that it is the latest
/// one. Does no I/O.
///
///     validity.confirmed(readAt, now);
///     validity.storeUnavailable(failedAt, now);
///     engine.setConfigurationValidUntil(validity.validUntil());
class ConfigurationValidity {
public:
    struct Options {
        /// Time within which a change of the configuration must be in force at every VM.
        Duration applyLimit = std::chrono::milliseconds { 3000 };
        /// Maximum further time while the store is reported to serve nobody.
        Duration outageExtension = std::chrono::milliseconds { 12000 };
    };

    explicit ConfigurationValidity(Options options) noexcept;

    /// The configuration in force was the latest one at that time.
    void confirmed(Instant at, Instant now) noexcept;
    /// The store served nobody at that time, so that nobody could write a later configuration.
    void storeUnavailable(Instant at, Instant now) noexcept;

    /// Instant::min() until the first confirmation.
    [[nodiscard]] Instant validUntil() const noexcept;
    /// Time of the latest confirmation; Instant::min() if there was none.
    [[nodiscard]] Instant confirmedAt() const noexcept { return this->lastConfirmation; }

private:
    Options options;
    Instant lastConfirmation = Instant::min();
    Instant lastOutageReport = Instant::min();
};

} // namespace cyclamendrift
