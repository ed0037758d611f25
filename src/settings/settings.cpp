#include <cyclamendrift/settings/settings.h>

#include "settings_sections.h"

#include <asio/ip/address.hpp>

#include <utility>

namespace cyclamendrift {

namespace {

constexpr std::size_t leastSecretLength = 16;
constexpr std::int64_t mostConnections = 1'000'000;
constexpr std::int64_t leastBodyBytes = 1024;
constexpr std::int64_t mostBodyBytes = std::int64_t { 64 } << 20;
constexpr std::int64_t leastHeaderBytes = 256;
constexpr std::int64_t mostHeaderBytes = 65536;
constexpr std::int64_t mostThreads = 256;

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

Settings parseSettings(std::string_view text, std::string_view fileName)
{
    return parseSections<Settings>(text, fileName, readAll);
}

Settings readSettings(const std::string& path) { return parseSettings(readSettingsFile(path), path); }

} // namespace cyclamendrift
