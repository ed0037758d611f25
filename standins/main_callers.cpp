#include <standins/direct_caller.h>
#include <standins/load_caller.h>

#include <docopt/docopt.h>

#include <curl/curl.h>

#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace {

constexpr auto usage = R"(Callers that write rows and read them back, for the quickstart.

Usage:
  standin_callers --key=KEY --service=NAME --database=NAME [options] ENDPOINT...
  standin_callers --direct=PORT [options]

Options:
  --key=KEY        the callers' key
  --service=NAME   service of the database
  --database=NAME  database that has a table reservations (bed text PRIMARY KEY)
  --direct=PORT    talk to the primary on this port instead, to compare with
  --threads=N      callers at once [default: 4]
  --seconds=N      how long they go on [default: 5]
  --pause-ms=N     pause of a caller between its requests [default: 5]
  --prefix=TEXT    beginning of the keys of the rows [default: bed]
  --check          afterwards look for every acknowledged row

Prints one line of JSON. Exit codes: 0 no request was cut, no read was stale and no acknowledged row is missing; 1 else.
)";

using cyclamendrift::standins::LoadOptions;
using cyclamendrift::standins::LoadTally;
using cyclamendrift::standins::percentile;

constexpr double median = 0.5;
constexpr double slowest = 0.99;

long long microseconds(cyclamendrift::Duration duration)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

void printTimes(
    const std::vector<cyclamendrift::Duration>& writes, const std::vector<cyclamendrift::Duration>& reads)
{
    std::cout << R"("write_p50_us":)" << microseconds(percentile(writes, median)) << R"(,"write_p99_us":)"
              << microseconds(percentile(writes, slowest)) << R"(,"read_p50_us":)"
              << microseconds(percentile(reads, median)) << R"(,"read_p99_us":)"
              << microseconds(percentile(reads, slowest));
}

int runDirect(std::map<std::string, docopt::value>& arguments)
{
    const auto tally = cyclamendrift::standins::runDirectLoad({ .host = "127.0.0.1",
        .port = static_cast<std::uint16_t>(arguments["--direct"].asLong()),
        .threads = static_cast<unsigned>(arguments["--threads"].asLong()),
        .duration = std::chrono::seconds { arguments["--seconds"].asLong() },
        .prefix = arguments["--prefix"].asString() });
    std::cout << R"({"done":)" << tally.writes.size() + tally.reads.size() << R"(,"failed":)" << tally.failed
              << ',';
    printTimes(tally.writes, tally.reads);
    std::cout << "}\n";
    return tally.failed == 0 ? 0 : 1;
}

void print(const LoadTally& tally, std::uint64_t present)
{
    const auto gap = std::chrono::duration_cast<std::chrono::milliseconds>(tally.longestGap);
    std::cout << R"({"done":)" << tally.done << R"(,"not_run":)" << tally.notRun << R"(,"unknown":)"
              << tally.unknown << R"(,"failed":)" << tally.failed << R"(,"cut":)" << tally.cut
              << R"(,"refused_connections":)" << tally.refusedConnections << R"(,"stale_reads":)"
              << tally.staleReads << R"(,"acknowledged":)" << tally.acknowledged.size() << R"(,"present":)"
              << present << R"(,"longest_gap_ms":)" << gap.count() << ',';
    printTimes(tally.writes, tally.reads);
    std::cout << "}\n";
}

} // namespace

int main(int argc, const char* const* argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    if (arguments["--direct"])
        return runDirect(arguments);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const LoadOptions options { .endpoints = arguments["ENDPOINT"].asStringList(),
        .key = arguments["--key"].asString(),
        .service = arguments["--service"].asString(),
        .database = arguments["--database"].asString(),
        .threads = static_cast<unsigned>(arguments["--threads"].asLong()),
        .duration = std::chrono::seconds { arguments["--seconds"].asLong() },
        .pause = std::chrono::milliseconds { arguments["--pause-ms"].asLong() },
        .prefix = arguments["--prefix"].asString() };

    const auto tally = cyclamendrift::standins::runLoad(options);
    auto present = tally.acknowledged.size();
    if (arguments["--check"].asBool())
        present = cyclamendrift::standins::countPresent(options, tally.acknowledged);
    print(tally, present);

    const auto whole = tally.cut == 0 && tally.staleReads == 0 && present == tally.acknowledged.size();
    return whole && tally.done > 0 ? 0 : 1;
}
