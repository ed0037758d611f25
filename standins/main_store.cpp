#include "store_server.h"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <iostream>

namespace {

constexpr auto usage = R"(Stands in for the platform: its key-value store and its list of VMs.

Usage:
  standin_store [--port PORT]
  standin_store --help

Options:
  --port PORT  Port to listen on, 0 for any free one [default: 0].

Serves etcd v3's HTTP/JSON gateway under /v3 and the list of VMs at /vms. Control: POST /control/outage/SECONDS,
/control/slow/MS, /control/lose-answers/COUNT, /control/vms (the list as body); GET /control/calls.
)";

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    asio::io_context context;
    const auto port = static_cast<std::uint16_t>(arguments["--port"].asLong());
    const cyclamendrift::standins::StoreServer server { context, port };
    asio::signal_set signals { context, SIGTERM, SIGINT };
    signals.async_wait([&context](const std::error_code&, int) { context.stop(); });
    std::cout << R"({"port":)" << server.port() << '}' << std::endl;
    context.run();
    return 0;
}
