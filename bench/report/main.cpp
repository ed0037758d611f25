#include "bounds.h"
#include "figure.h"
#include "tables.h"

#include <docopt/docopt.h>

#include <exception>
#include <iostream>

namespace {

constexpr auto usage
    = R"(Reads figures from standard input, prints them as tables and checks them against bounds.

Usage:
  bench_report BOUNDS
  bench_report --help

Exit codes: 0 all bounds kept; 1 a bound broken; 2 input that cannot be read.
)";

constexpr int boundBroken = 1;
constexpr int unreadable = 2;

int run(const std::string& boundsPath)
{
    const auto bounds = report::readBounds(boundsPath);
    const auto figures = report::readFigures(std::cin);
    report::writeTables(std::cout, figures);
    const auto broken = report::brokenBounds(bounds, figures);
    for (const auto& sentence : broken)
        std::cerr << "bound broken: " << sentence << '\n';
    return broken.empty() ? 0 : boundBroken;
}

} // namespace

int main(int argc, const char* const* argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    try {
        return run(arguments["BOUNDS"].asString());
    } catch (const std::exception& error) {
        std::cerr << error.what() << '\n';
        return unreadable;
    }
}
