#include <cyclamendrift/cyclamendrift.h>

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr auto usage = R"(The proxy daemon of cyclamendrift.

Usage:
  cyclamendriftd --version
  cyclamendriftd --help
)";

} // namespace

int main(int argc, const char* const* argv)
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true, "cyclamendriftd 0.1.0");
    return arguments.empty() ? 1 : 0;
}
