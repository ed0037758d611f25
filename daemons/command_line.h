#pragma once

#include <cyclamendrift/proxy/daemon.h>
#include <cyclamendrift/settings/settings_error.h>

#include <docopt/docopt.h>

#include <exception>
#include <iostream>
#include <map>
#include <string>

namespace cyclamendrift {

/// An exit code as the process returns it.
[[nodiscard]] inline int exitCode(DaemonExit exit) noexcept { return static_cast<int>(exit); }

/// The arguments of a command line, by their names in the usage text.
using Arguments = std::map<std::string, docopt::value>;

/// Reads a daemon's command line and runs it; turns every mistake into its text and exit code.
///
///     int main(int argc, const char* const* argv)
///     {
///         return runCommandLine(usage, version, argc, argv, [](Arguments& given) { return run(given); });
///     }
template <class Run>
[[nodiscard]] int runCommandLine(
    const char* usage, const char* version, int argc, const char* const* argv, Run run)
try {
    Arguments arguments = docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, true);
    return run(arguments);
} catch (const docopt::DocoptExitHelp&) {
    std::cout << usage;
    return exitCode(DaemonExit::Graceful);
} catch (const docopt::DocoptExitVersion&) {
    std::cout << version << '\n';
    return exitCode(DaemonExit::Graceful);
} catch (const docopt::DocoptArgumentError& error) {
    std::cerr << error.what() << "\n\n" << usage;
    return exitCode(DaemonExit::BadSettings);
} catch (const SettingsError& error) {
    for (const auto& problem : error.problems())
        std::cerr << problem.text() << '\n';
    return exitCode(DaemonExit::BadSettings);
} catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return exitCode(DaemonExit::NotStarted);
}

} // namespace cyclamendrift
