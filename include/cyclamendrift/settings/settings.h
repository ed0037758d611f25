#pragma once

#include <cyclamendrift/core/identifier.h>
#include <cyclamendrift/core/instant.h>
#include <cyclamendrift/failover/failover_settings.h>
#include <cyclamendrift/settings/settings_error.h>
#include <cyclamendrift/telemetry/event_log.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamendrift {

/// An address and port to listen on; port 0 takes any free one.
struct ListenSettings {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
};

/// `[vm]`: which VM this is.
struct VmSettings {
    VmName name;
    ZoneName zone;
};

/// `[callers]`: the port for statements, with its bounds.
struct CallerSettings {
    ListenSettings listen;
    std::size_t maxConnections = 1024;
    std::uint64_t maxBodyBytes = std::uint64_t { 1 } << 20;
    std::size_t maxHeaderBytes = 8192;
    /// From the first wait for a request to its last byte.
    Duration readTimeout = std::chrono::seconds { 15 };
    /// Longest time that a statement may take; also the default.
    Duration requestTimeout = std::chrono::seconds { 30 };
};

/// `[operators]`: the port for operators, metrics and health.
struct OperatorSettings {
    ListenSettings listen;
    std::string secret;
};

/// `[siblings]`: the port for sibling proxies; the address is the one under which they reach this VM.
struct SiblingSettings {
    ListenSettings listen;
    std::string secret;
};

/// `[platform]`: the platform's services.
struct PlatformSettings {
    std::string storeUrl;
    std::string vmListUrl;
    Duration callTimeout = std::chrono::seconds { 1 };
};

/// `[upstreams]`: how connections to upstreams are made.
struct UpstreamSettings {
    std::string user;
    std::string password;
    Duration connectTimeout = std::chrono::seconds { 1 };
    /// A primary that has answered nothing for so long is suspected, and siblings are asked about it.
    Duration deadAfter = FailoverSettings {}.suspectAfter;
};

/// Everything that a daemon reads from its settings file.
///
///     const auto settings = parseSettings(text, "proxy.toml");
struct Settings {
    VmSettings vm;
    CallerSettings callers;
    OperatorSettings operators;
    SiblingSettings siblings;
    PlatformSettings platform;
    UpstreamSettings upstreams;
    /// `[shutdown] drain_timeout_ms`
    Duration drainTimeout = std::chrono::seconds { 30 };
    /// `[threads] traffic`
    std::size_t trafficThreads = 2;
    /// `[log]`
    LogOptions log;
    /// `[traces] destination`: "none", "stderr" or host:port.
    std::string traces = "none";
};

/// Reads settings in TOML. Every field is checked and a key that is not known is an error; throws
/// SettingsError with all problems at once.
[[nodiscard]] Settings parseSettings(std::string_view text, std::string_view fileName);

/// Reads a settings file; throws SettingsError.
[[nodiscard]] Settings readSettings(const std::string& path);

} // namespace cyclamendrift
