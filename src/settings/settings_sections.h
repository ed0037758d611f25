#pragma once

#include "settings_reader.h"

#include <cyclamendrift/settings/settings.h>

#include <cstdint>
#include <string>
#include <string_view>

/// Sections and steps that the settings of several daemons share.
namespace cyclamendrift {

/// The highest port there is.
inline constexpr std::int64_t mostPort = 65535;

/// Reads `address` and `port` of the section entered last.
void readListen(SettingsReader& reader, ListenSettings& listen);
/// Reads the section `[vm]`.
void readVm(SettingsReader& reader, VmSettings& vm);
/// Reads the section `[log]`.
void readLog(SettingsReader& reader, LogOptions& log);

/// The text of a settings file; throws SettingsError.
[[nodiscard]] std::string readSettingsFile(const std::string& path);

/// Throws SettingsError with the place at which a text is no TOML.
[[noreturn]] void throwNotToml(const toml::parse_error& error, std::string_view fileName);

/// Parses a text and hands a reader of it to `readAll`.
template <class Result, class ReadAll>
[[nodiscard]] Result parseSections(std::string_view text, std::string_view fileName, ReadAll readAll)
{
    try {
        const auto table = toml::parse(text);
        SettingsReader reader { table, std::string { fileName } };
        return readAll(reader);
    } catch (const toml::parse_error& error) {
        throwNotToml(error, fileName);
    }
}

} // namespace cyclamendrift
