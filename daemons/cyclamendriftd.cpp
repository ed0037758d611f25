#include <cyclamendrift/proxy/daemon.h>
#include <cyclamendrift/settings/settings.h>

#include <docopt/docopt.h>

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

int exitCode(DaemonExit exit) { return static_cast<int>(exit); }

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
try {
    auto arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, true);
    return run(arguments["--config"].asString(), arguments["--check"].asBool());
} catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return exitCode(DaemonExit::Graceful);
} catch (const docopt::DocoptExitVersion&) {
    std::cout << version << '\n';
    return exitCode(DaemonExit::Graceful);
} catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n\n" << usage;
    return exitCode(DaemonExit::BadSettings);
} catch (const cyclamendrift::SettingsError& error) {
    for (const auto& problem : error.problems())
        std::cerr << problem.text() << '\n';
    return exitCode(DaemonExit::BadSettings);
} catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return exitCode(DaemonExit::NotStarted);
}
