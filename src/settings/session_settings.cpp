#include <cyclamendrift/settings/session_settings.h>

#include "settings_sections.h"

#include <cyclamendrift/core/duration_text.h>

#include <asio/ip/address.hpp>

#include <charconv>

namespace cyclamendrift {

namespace {

/// Reads `listen`, an IP number and a port.
void readEndpoint(SettingsReader& reader, ListenSettings& listen)
{
    std::string text;
    reader.text("listen", text, 1);
    const auto colon = text.rfind(':');
    listen.address = text.substr(0, colon);
    asio::error_code invalid;
    static_cast<void>(asio::ip::make_address(listen.address, invalid));
    int port = -1;
    if (colon != std::string::npos)
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
    if (invalid || port < 0 || port > mostPort)
        reader.report("listen", "must be an IP number and a port, as in \"10.0.0.7:8465\"");
    else
        listen.port = static_cast<std::uint16_t>(port);
}

void readAddress(SettingsReader& reader, std::string_view section, std::string& address)
{
    reader.enter(section);
    reader.text("address", address, 1);
    if (address.find(':') == std::string::npos)
        reader.report("address", "must be an IP number and a port, as in \"10.0.0.7:8466\"");
}

/// Reads `[processor]`: how much of each core the VM has, and how many cores.
double readProcessor(SettingsReader& reader)
{
    constexpr double mostCores = 4096;
    double share = 1;
    double cores = 1;
    reader.enter("processor");
    reader.positive("share", share, 1);
    reader.positive("cores", cores, mostCores);
    return share * cores;
}

/// Reads `[link]`, in bytes a second.
double readLink(SettingsReader& reader)
{
    constexpr double mostMegabits = 1e6;
    constexpr double bytesOfMegabit = 1e6 / 8;
    double megabits = 1000;
    reader.enter("link");
    reader.positive("megabits_per_second", megabits, mostMegabits);
    return megabits * bytesOfMegabit;
}

/// Reads `[placement]`.
PlacementByZone readPlacement(SettingsReader& reader)
{
    std::string mode = "auto";
    reader.enter("placement");
    reader.word("by_zone", mode, { "auto", "always", "never" });
    if (mode == "always")
        return PlacementByZone::Always;
    return mode == "never" ? PlacementByZone::Never : PlacementByZone::Auto;
}

/// Reads `[configuration]`: how long this VM acts on a configuration that nobody confirms.
void readConfigurationLimits(SettingsReader& reader, SessionSettings& settings)
{
    // Confirmations are normally more than a second apart; a VM with less time could serve nothing.
    constexpr Duration leastApplyLimit = std::chrono::milliseconds { 1000 };
    reader.enter("configuration");
    reader.milliseconds("apply_limit_ms", settings.configurationApplyLimit);
    if (settings.configurationApplyLimit < leastApplyLimit)
        reader.report("apply_limit_ms", "must be at least " + millisecondsText(leastApplyLimit));
    reader.milliseconds("outage_extension_ms", settings.configurationOutageExtension);
}

SessionSettings readAll(SettingsReader& reader)
{
    SessionSettings settings;
    readVm(reader, settings.vm);
    settings.cores = readProcessor(reader);
    settings.linkBytesPerSecond = readLink(reader);
    reader.enter("callers");
    readEndpoint(reader, settings.callers);
    reader.enter("readiness");
    readEndpoint(reader, settings.readiness);
    reader.text("path", settings.readinessPath, 1);
    reader.enter("metrics");
    readEndpoint(reader, settings.metrics);
    reader.enter("siblings");
    readEndpoint(reader, settings.siblings);
    readAddress(reader, "store", settings.storeAddress);
    readAddress(reader, "promotion", settings.promotionAddress);
    readConfigurationLimits(reader, settings);
    reader.enter("admission");
    reader.flag("urgent_first", settings.urgentFirst);
    reader.enter("shutdown");
    reader.milliseconds("grace_ms", settings.grace);
    settings.placementByZone = readPlacement(reader);
    readLog(reader, settings.log);
    reader.finish();
    return settings;
}

} // namespace

SessionSettings parseSessionSettings(std::string_view text, std::string_view fileName)
{
    return parseSections<SessionSettings>(text, fileName, readAll);
}

SessionSettings readSessionSettings(const std::string& path)
{
    return parseSessionSettings(readSettingsFile(path), path);
}

} // namespace cyclamendrift
