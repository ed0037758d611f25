#include "http_server.h"
#include "postgres_group.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace {

using namespace cyclamendrift::standins;

constexpr auto usage = R"(Stands in for one database group: a primary, its replicas and their faults.

Usage:
  standin_postgres --slots LIST [options]
  standin_postgres --help

Options:
  --slots LIST             Slots with their ports, as in a=0,b=5433; the first is primary, port 0 is any free one.
  --control-port PORT      Port of the control interface [default: 0].
  --max-connections COUNT  Connections that each slot takes [default: 20].
  --connect-delay-ms MS    Time to open a connection [default: 10].
  --lag-ms MS              Replication lag [default: 5].

Control: POST /kill/a, /revive/a, /cut/a, /join/a, /silence/a, /refuse/a, /lag/a/MS, /slow/a/MS; GET /status.
)";

std::vector<std::string> split(const std::string& text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream { text };
    for (std::string part; std::getline(stream, part, separator);)
        parts.push_back(part);
    return parts;
}

std::vector<PostgresGroup::Slot> parseSlots(const std::string& text)
{
    std::vector<PostgresGroup::Slot> slots;
    for (const auto& part : split(text, ',')) {
        const auto fields = split(part, '=');
        const auto port = fields.size() > 1 ? std::stoul(fields[1]) : 0;
        slots.push_back({ .name = fields.at(0), .port = static_cast<std::uint16_t>(port) });
    }
    return slots;
}

std::string statusOf(const PostgresGroup& group, const std::vector<PostgresGroup::Slot>& slots)
{
    std::ostringstream json;
    const char* separator = "{";
    for (const auto& slot : slots) {
        const auto status = group.status(slot.name);
        json << separator << '"' << slot.name << "\":{\"port\":" << group.port(slot.name)
             << ",\"term\":" << static_cast<std::uint64_t>(status.progress.term)
             << ",\"position\":" << static_cast<std::uint64_t>(status.progress.position)
             << ",\"fenced\":" << static_cast<std::uint64_t>(status.fenced)
             << ",\"primary\":" << (status.primary ? "true" : "false")
             << ",\"connections\":" << group.connections(slot.name) << '}';
        separator = ",";
    }
    return json.str() + '}';
}

/// Carries out one fault; throws std::exception when it is none.
void applyFault(PostgresGroup& group, const std::vector<std::string>& words)
{
    const auto& fault = words.at(0);
    const auto& slot = words.at(1);
    const auto time = [&] { return std::chrono::milliseconds { std::stoul(words.at(2)) }; };
    if (fault == "kill")
        group.kill(slot);
    else if (fault == "revive")
        group.revive(slot);
    else if (fault == "cut")
        group.cut(slot);
    else if (fault == "join")
        group.join(slot);
    else if (fault == "silence")
        group.silence(slot);
    else if (fault == "refuse")
        group.refuse(slot);
    else if (fault == "lag")
        group.lag(slot, time());
    else if (fault == "slow")
        group.slow(slot, time());
    else
        throw std::invalid_argument { "unknown fault" };
}

HttpResponse control(
    PostgresGroup& group, const std::vector<PostgresGroup::Slot>& slots, const HttpRequest& request)
{
    if (request.method == "GET")
        return { .body = statusOf(group, slots), .stream = {} };
    try {
        applyFault(group, split(request.target.substr(1), '/'));
    } catch (const std::exception& error) {
        return { .status = 400, .body = error.what(), .stream = {} };
    }
    return { .body = statusOf(group, slots), .stream = {} };
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto number = [&arguments](const char* name) { return arguments[name].asLong(); };
    const auto slots = parseSlots(arguments["--slots"].asString());
    PostgresGroup group { {
        .slots = slots,
        .maxConnections = static_cast<std::size_t>(number("--max-connections")),
        .connectDelay = std::chrono::milliseconds { number("--connect-delay-ms") },
        .lag = std::chrono::milliseconds { number("--lag-ms") },
        .recordReceived = false,
    } };
    asio::io_context context;
    const HttpServer server { context, static_cast<std::uint16_t>(number("--control-port")),
        [&](const HttpRequest& request) -> asio::awaitable<HttpResponse> {
            co_return control(group, slots, request);
        } };
    asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&context](const std::error_code&, int) { context.stop(); });
    std::cout << R"({"control":)" << server.port() << R"(,"slots":)" << statusOf(group, slots) << '}'
              << std::endl;
    context.run();
    return 0;
}
