#include "settings_sections.h"

#include <asio/ip/address.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace cyclamendrift {

namespace {

LogLevel levelNamed(std::string_view name) noexcept
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warn")
        return LogLevel::Warn;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace

void readListen(SettingsReader& reader, ListenSettings& listen)
{
    reader.text("address", listen.address);
    asio::error_code invalid;
    const auto address = asio::ip::make_address(listen.address, invalid);
    static_cast<void>(address);
    if (invalid)
        reader.report("address", "must be an IP number, as in \"10.0.0.7\"");
    reader.number("port", listen.port, { 0, mostPort });
}

void readVm(SettingsReader& reader, VmSettings& vm)
{
    std::string name;
    std::string zone;
    reader.enter("vm");
    reader.text("name", name, 1);
    reader.text("availability_zone", zone, 1);
    vm = { .name = VmName { std::move(name) }, .zone = ZoneName { std::move(zone) } };
}

void readLog(SettingsReader& reader, LogOptions& log)
{
    std::string level = "info";
    reader.enter("log");
    reader.word("level", level, { "debug", "info", "warn", "error" });
    reader.text("file", log.file, 1);
    log.level = levelNamed(level);
}

void throwNotToml(const toml::parse_error& error, std::string_view fileName)
{
    const auto place = error.source().begin;
    throw SettingsError({ { .file = std::string { fileName },
        .line = place.line,
        .column = place.column,
        .message = "this is not TOML: " + std::string { error.description() } } });
}

std::string readSettingsFile(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw SettingsError({ { .file = path, .message = "this file can't be read, or is empty" } });
    return text.str();
}

} // namespace cyclamendrift
