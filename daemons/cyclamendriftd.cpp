#include "command_line.h"

#include <cyclamendrift/proxy/daemon.h>
#include <cyclamendrift/settings/settings.h>

#include <iostream>
#include <string>

namespace {

constexpr auto usage = R"(The proxy daemon of cyclamendrift.

Usage:
  cyclamendriftd --config FILE [--check]
  cyclamendriftd --version
  cyclamendriftd --help

Options:
  --config FILE  settings in TOML; examples/settings.toml explains each
  --check        check the settings and end

SIGTERM or SIGINT ends it gracefully; a second one ends it at once.

Exit codes: 0 ended gracefully, or the settings are right; 1 could not start; 2 wrong arguments or settings;
3 ended before everything was answered.
)";
constexpr auto version = "cyclamendriftd 0.1.0";

using cyclamendrift::DaemonExit;
using cyclamendrift::exitCode;

int run(const std::string& file, bool checkOnly)
{
    auto settings = cyclamendrift::readSettings(file);
    if (checkOnly) {
        std::cout << file << ": ok\n";
        return exitCode(DaemonExit::Graceful);
    }
    auto dependencies = cyclamendrift::daemonDependencies(settings);
    return exitCode(cyclamendrift::runDaemon(
        { .settings = std::move(settings), .dependencies = std::move(dependencies) }));
}

} // namespace

int main(int argc, const char* const* argv)
{
    return cyclamendrift::runCommandLine(usage, version, argc, argv, [](cyclamendrift::Arguments& arguments) {
        return run(arguments["--config"].asString(), arguments["--check"].asBool());
    });
}
