#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/membership/zone_distance.h>
#include <cyclamendrift/settings/settings.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// Everything that a session proxy reads from its settings file.
struct SessionSettings {
    /// `[vm]`
    VmSettings vm;
    /// `[processor] share` of each core times `[processor] cores`: what this VM may use.
    double cores = 1;
    /// `[link] megabits_per_second`, in bytes: what this VM's link bears.
    double linkBytesPerSecond = 1.25e8;
    /// `[callers]`: where sessions come in.
    ListenSettings callers;
    /// `[readiness]`: where the balancer asks, and the path it asks for.
    ListenSettings readiness;
    std::string readinessPath;
    /// `[metrics]`
    ListenSettings metrics;
    /// `[siblings]`: where the other VMs reach this one.
    ListenSettings siblings;
    /// `[store] address`: host and port of the platform's store.
    std::string storeAddress;
    /// `[promotion] address`: host and port at which primaries are named.
    std::string promotionAddress;
    /// `[configuration] apply_limit_ms`: time within which a change of the configuration must be in force.
    Duration configurationApplyLimit = std::chrono::milliseconds { 3000 };
    /// `[configuration] outage_extension_ms`: for how much longer this VM acts on a configuration that nobody
    /// confirms while the store serves nobody.
    Duration configurationOutageExtension = std::chrono::milliseconds { 12000 };
    /// `[admission] urgent_first`: operations of a team get its tokens in the order of their priority.
    bool urgentFirst = false;
    /// `[shutdown] grace_ms`: from SIGTERM to the end at the latest.
    Duration grace = std::chrono::seconds { 6 };
    /// `[placement] by_zone`: "auto", "always" or "never".
    PlacementByZone placementByZone = PlacementByZone::Auto;
    /// `[log]`
    LogOptions log;
};

/// Reads settings in TOML; a key that is not known is an error. Throws SettingsError with all problems at
/// once.
[[nodiscard]] SessionSettings parseSessionSettings(std::string_view text, std::string_view fileName);

/// Reads a settings file; throws SettingsError.
[[nodiscard]] SessionSettings readSessionSettings(const std::string& path);

} // namespace cyclamendrift
