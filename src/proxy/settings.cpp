#include <cyclamendrift/proxy/settings.h>

#include "settings_reader.h"

#include <asio/ip/address.hpp>

#include <fstream>
#include <sstream>
#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t leastSecretLength = 16;
constexpr std::int64_t mostPort = 65535;
constexpr std::int64_t mostConnections = 1'000'000;
constexpr std::int64_t leastBodyBytes = 1024;
constexpr std::int64_t mostBodyBytes = std::int64_t { 64 } << 20;
constexpr std::int64_t leastHeaderBytes = 256;
constexpr std::int64_t mostHeaderBytes = 65536;
constexpr std::int64_t mostThreads = 256;

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

void readCallers(SettingsReader& reader, CallerSettings& callers)
{
    reader.enter("callers");
    readListen(reader, callers.listen);
    reader.number("max_connections", callers.maxConnections, { 1, mostConnections });
    reader.number("max_body_bytes", callers.maxBodyBytes, { leastBodyBytes, mostBodyBytes });
    reader.number("max_header_bytes", callers.maxHeaderBytes, { leastHeaderBytes, mostHeaderBytes });
    reader.milliseconds("read_timeout_ms", callers.readTimeout);
    reader.milliseconds("request_timeout_ms", callers.requestTimeout);
}

void readOperators(SettingsReader& reader, OperatorSettings& operators)
{
    reader.enter("operators");
    readListen(reader, operators.listen);
    reader.text("secret", operators.secret, leastSecretLength);
}

void readSiblings(SettingsReader& reader, SiblingSettings& siblings)
{
    reader.enter("siblings");
    readListen(reader, siblings.listen);
    asio::error_code invalid;
    if (asio::ip::make_address(siblings.listen.address, invalid).is_unspecified() && !invalid)
        reader.report("address", "must be the address under which other VMs reach this one");
    reader.text("secret", siblings.secret, leastSecretLength);
}

void readPlatform(SettingsReader& reader, PlatformSettings& platform)
{
    reader.enter("platform");
    for (auto [key, url] :
        { std::pair { "store_url", &platform.storeUrl }, { "vm_list_url", &platform.vmListUrl } }) {
        reader.text(key, *url, 1);
        if (!url->empty() && !url->starts_with("http://") && !url->starts_with("https://"))
            reader.report(key, "must begin with http:// or https://");
    }
    reader.milliseconds("call_timeout_ms", platform.callTimeout);
}

void readUpstreams(SettingsReader& reader, UpstreamSettings& upstreams)
{
    reader.enter("upstreams");
    reader.text("user", upstreams.user, 1);
    reader.text("password", upstreams.password);
    reader.milliseconds("connect_timeout_ms", upstreams.connectTimeout);
    reader.milliseconds("dead_after_ms", upstreams.deadAfter);
}

LogLevel levelNamed(std::string_view name) noexcept
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warn")
        return LogLevel::Warn;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

void readLog(SettingsReader& reader, LogOptions& log)
{
    std::string level = "info";
    reader.enter("log");
    reader.word("level", level, { "debug", "info", "warn", "error" });
    reader.text("file", log.file, 1);
    log.level = levelNamed(level);
}

bool isTraceDestination(std::string_view text)
{
    if (text == "none" || text == "stderr")
        return true;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0 || colon + 1 == text.size())
        return false;
    return text.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
}

void readTraces(SettingsReader& reader, std::string& destination)
{
    reader.enter("traces");
    reader.text("destination", destination, 1);
    if (!isTraceDestination(destination))
        reader.report(
            "destination", "must be \"none\", \"stderr\" or an address and port, as in \"10.0.0.9:9411\"");
}

Settings readAll(SettingsReader& reader)
{
    Settings settings;
    readVm(reader, settings.vm);
    readCallers(reader, settings.callers);
    readOperators(reader, settings.operators);
    readSiblings(reader, settings.siblings);
    readPlatform(reader, settings.platform);
    readUpstreams(reader, settings.upstreams);
    reader.enter("shutdown");
    reader.milliseconds("drain_timeout_ms", settings.drainTimeout);
    reader.enter("threads");
    reader.number("traffic", settings.trafficThreads, { 1, mostThreads });
    readLog(reader, settings.log);
    readTraces(reader, settings.traces);
    reader.finish();
    return settings;
}

} // namespace

std::string SettingsProblem::text() const
{
    if (this->line == 0)
        return this->file + ": " + this->message;
    return this->file + ':' + std::to_string(this->line) + ':' + std::to_string(this->column) + ": "
        + this->message;
}

SettingsError::SettingsError(std::vector<SettingsProblem> problems)
    : Error(problems.empty() ? "invalid settings" : problems.front().text())
    , found(std::move(problems))
{
}

Settings parseSettings(std::string_view text, std::string_view fileName)
{
    try {
        const auto table = toml::parse(text);
        SettingsReader reader { table, std::string { fileName } };
        return readAll(reader);
    } catch (const toml::parse_error& error) {
        const auto place = error.source().begin;
        throw SettingsError({ { .file = std::string { fileName },
            .line = place.line,
            .column = place.column,
            .message = "this is not TOML: " + std::string { error.description() } } });
    }
}

Settings readSettings(const std::string& path)
{
    std::ifstream file { path, std::ios::binary };
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
        throw SettingsError({ { .file = path, .message = "this file can't be read, or is empty" } });
    return parseSettings(text.str(), path);
}

} // namespace cyclamendrift
